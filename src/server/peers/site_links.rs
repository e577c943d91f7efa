//! The links to other sites: one TCP connection for each direction in which requests are forwarded.
//!
//! A link is dialled by the site that forwards, and accepted by the site that runs the request. It begins with a
//! handshake in which both ends prove that they know the operator's secret, and then carries frames. A link that ends
//! is dialled again after a random backoff. Frames that were under way are not repeated: the gateway asks about open
//! requests on the next link.
//!
//! | question | file |
//! | --- | --- |
//! | which peers are dialled, what a reload changes | here |
//! | states of a dialled link, backoff | `site_links/dialer.rs` |
//! | who is accepted | `site_links/listener.rs` |
//! | the handshake on a stream | `site_links/handshake.rs` |
//! | frames between stream and engine, the reason given at the end | `site_links/frames.rs` |
//! | secret and incarnation | `site_links/settings.rs` |
//!
//! Framing, authentication and heartbeats are in `crates/site-link`, which opens no socket. What the frames mean is
//! decided in `crates/gateway`, which the engine runs.

mod dialer;
mod frames;
mod handshake;
mod listener;
mod settings;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_gateway::{Incarnation, LinkId};
use chutesaddle_operator_config::GatewaySettings;
use chutesaddle_site_link::LinkError;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::lifecycle::{Lifecycle, Phase};
use crate::server::peers::site_links::dialer::Dialer;
use crate::server::peers::site_messages::SiteLinkEvent;

pub use settings::{new_incarnation, read_secret, SecretError, SiteLinkSettings};

/// Capacity of a read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Why a link has ended or did not come up. The text of some is sent to the other end (`Frame::Bye`).
#[derive(Debug, thiserror::Error)]
enum LinkEnd {
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
enum Direction {
    Dialled,
    Accepted,
}

/// All links of one process.
pub struct SiteLinks {
    settings: watch::Sender<Rc<SiteLinkSettings>>,
    incarnation: Incarnation,
    /// Where the times of the links and of the gateway's decisions begin.
    origin: Instant,
    queue: EngineQueue,
    lifecycle: Rc<Lifecycle>,
    last_link_id: Cell<u64>,
    /// Peers that have a dialling task. With two tasks, each would replace the other's link.
    dialling: RefCell<HashSet<String>>,
    /// Accepted connections in their handshake.
    handshakes: Cell<usize>,
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

    /// Begins to dial and to accept.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).notify_drains());
        spawn_local(Rc::clone(self).accept());
        self.dial_all();
    }

    /// Applies changed settings; returns the names of those that take a restart.
    pub fn configure(self: &Rc<Self>, settings: SiteLinkSettings) -> Vec<&'static str> {
        let SiteLinkSettings { file, secret } = settings;
        let current = Rc::clone(&self.settings.borrow());
        let mut need_restart = Vec::new();
        if file.site != current.file.site {
            need_restart.push("gateway site");
        }
        if file.listen != current.file.listen {
            need_restart.push("gateway listen");
        }
        let file = GatewaySettings { site: current.file.site.clone(), listen: current.file.listen, ..file };
        self.notify(SiteLinkEvent::SettingsChanged(Box::new(file.decisions.clone())));
        self.settings.send_replace(Rc::new(SiteLinkSettings { file, secret }));
        self.dial_all();
        need_restart
    }

    /// Starts a dialling task for each peer that has none.
    fn dial_all(self: &Rc<Self>) {
        let settings = Rc::clone(&self.settings.borrow());
        for peer in &settings.file.peers {
            let is_new = self.dialling.borrow_mut().insert(peer.name.clone());
            if is_new {
                spawn_local(Dialer::new(Rc::clone(self), peer.name.clone()).run());
            }
        }
    }

    /// Notifies the gateway when this process begins and ends to drain.
    async fn notify_drains(self: Rc<Self>) {
        let mut phase = self.lifecycle.watch();
        loop {
            let is_serving = *phase.borrow_and_update() == Phase::Serving;
            self.notify(SiteLinkEvent::DrainChanged { draining: !is_serving });
            if phase.changed().await.is_err() {
                return;
            }
        }
    }

    fn notify(&self, event: SiteLinkEvent) {
        self.queue.send(EngineMessage::SiteLink(Box::new(event)));
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn next_link_id(&self) -> LinkId {
        self.last_link_id.set(self.last_link_id.get() + 1);
        LinkId(self.last_link_id.get())
    }
}
