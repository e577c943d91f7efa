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
//! | the state that all links share; why a link ended | `site_links/links.rs` |
//! | the handshake on a stream | `site_links/handshake.rs` |
//! | frames between stream and engine, the reason given at the end | `site_links/frames.rs` |
//! | secret and incarnation | `site_links/settings.rs` |
//!
//! Framing, authentication and heartbeats are in `crates/site-link`, which opens no socket. What the frames mean is
//! decided in `crates/gateway`, which the engine runs.

mod dialer;
mod frames;
mod handshake;
mod links;
mod listener;
mod settings;

use std::rc::Rc;

use chutesaddle_operator_config::GatewaySettings;
use tokio::task::spawn_local;

use crate::server::lifecycle::Phase;
use crate::server::peers::site_links::dialer::Dialer;
use crate::server::peers::site_messages::SiteLinkEvent;

pub use links::SiteLinks;
pub use settings::{new_incarnation, read_secret, SecretError, SiteLinkSettings};

impl SiteLinks {
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
}
