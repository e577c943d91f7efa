//! State shared by all site links of a process, and the reasons for closing a link.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_gateway::{Incarnation, LinkId};
use chutesaddle_site_link::LinkError;
use tokio::sync::watch;
use tokio::time::Instant;

use super::settings::SiteLinkSettings;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::lifecycle::Lifecycle;
use crate::server::peers::site_messages::SiteLinkEvent;

/// Initial capacity of a read buffer, in bytes.
pub(super) const READ_BYTES: usize = 16 * 1024;

/// Why a link was closed or could not be established. For some reasons the message is sent to the peer (`Frame::Bye`).
#[derive(Debug, thiserror::Error)]
pub(super) enum CloseReason {
    /// The operating system returned no random bytes for the handshake nonce.
    #[error("cannot generate a handshake nonce: {0}")]
    Random(getrandom::Error),
    /// The peer violated the protocol, timed out, or closed the link with a reason.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The peer's connection ended within a frame.
    #[error(transparent)]
    CutOff(LinkError),
    /// The connection failed or could not be established.
    #[error("connection error: {0}")]
    Io(#[from] io::Error),
    /// Closed by this process: the gateway closed the link, or the operator changed the address of the peer.
    #[error("closed by the gateway, or the configured address of the peer changed")]
    Closed,
}

/// Which side opened a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Dialled,
    Accepted,
}

/// All links of one process.
pub struct SiteLinks {
    pub(super) settings: watch::Sender<Rc<SiteLinkSettings>>,
    pub(super) incarnation: Incarnation,
    /// Time zero of the links and the gateway, which measure time as a duration from here.
    pub(super) time_origin: Instant,
    pub(super) queue: EngineQueue,
    pub(super) lifecycle: Rc<Lifecycle>,
    pub(super) last_link_id: Cell<u64>,
    /// Peers that have a dialer task. Two tasks for the same peer would keep replacing each other's link.
    pub(super) dialled_peers: RefCell<HashSet<String>>,
    /// Number of accepted connections whose handshake is in progress.
    pub(super) handshakes: Cell<usize>,
}

impl SiteLinks {
    /// Creates the links configured in the operator's file. [`Self::start`] starts them.
    pub fn new(
        settings: SiteLinkSettings,
        incarnation: Incarnation,
        time_origin: Instant,
        queue: EngineQueue,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(SiteLinks {
            settings: watch::Sender::new(Rc::new(settings)),
            incarnation,
            time_origin,
            queue,
            lifecycle,
            last_link_id: Cell::new(0),
            dialled_peers: RefCell::default(),
            handshakes: Cell::new(0),
        })
    }

    pub(super) fn notify(&self, event: SiteLinkEvent) {
        self.queue.send(EngineMessage::SiteLink(Box::new(event)));
    }

    /// Waits until the engine has taken the events of which it was notified so far.
    pub(super) async fn wait_for_engine(&self) {
        self.queue.wait_until_taken().await;
    }

    pub(super) fn now(&self) -> Duration {
        self.time_origin.elapsed()
    }

    pub(super) fn next_link_id(&self) -> LinkId {
        self.last_link_id.set(self.last_link_id.get() + 1);
        LinkId(self.last_link_id.get())
    }
}
