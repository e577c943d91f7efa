//! The state that all site links of a process share, and why one of them ended.

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

/// Capacity of a read buffer, in bytes.
pub(super) const READ_BYTES: usize = 16 * 1024;

/// Why a link has ended or did not come up. The text of some is sent to the other end (`Frame::Bye`).
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkEnd {
    /// The machine gives no random numbers for the handshake.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
    /// The other end broke the rules of the link or fell silent, or it has said why it closes.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The connection broke or could not be made.
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    /// This end has closed it: by the gateway's decision, or since the operator names another address.
    #[error("it is not needed any more")]
    Closed,
}

/// Which end has opened a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Dialled,
    Accepted,
}

/// All links of one process.
pub struct SiteLinks {
    pub(super) settings: watch::Sender<Rc<SiteLinkSettings>>,
    pub(super) incarnation: Incarnation,
    /// Where the times of the links and of the gateway's decisions begin.
    pub(super) origin: Instant,
    pub(super) queue: EngineQueue,
    pub(super) lifecycle: Rc<Lifecycle>,
    pub(super) last_link_id: Cell<u64>,
    /// Peers that have a dialling task. With two tasks, each would replace the other's link.
    pub(super) dialling: RefCell<HashSet<String>>,
    /// Accepted connections in their handshake.
    pub(super) handshakes: Cell<usize>,
}

impl SiteLinks {
    /// The links that the operator's file lists.
    pub fn new(
        settings: SiteLinkSettings,
        incarnation: Incarnation,
        origin: Instant,
        queue: EngineQueue,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(SiteLinks {
            settings: watch::Sender::new(Rc::new(settings)),
            incarnation,
            origin,
            queue,
            lifecycle,
            last_link_id: Cell::new(0),
            dialling: RefCell::default(),
            handshakes: Cell::new(0),
        })
    }

    pub(super) fn notify(&self, event: SiteLinkEvent) {
        self.queue.send(EngineMessage::SiteLink(Box::new(event)));
    }

    pub(super) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(super) fn next_link_id(&self) -> LinkId {
        self.last_link_id.set(self.last_link_id.get() + 1);
        LinkId(self.last_link_id.get())
    }
}
