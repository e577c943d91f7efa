//! Links to other sites. Each direction in which requests are forwarded uses its own TCP connection.
//!
//! The forwarding site dials a link, and the site that runs the requests accepts it. A link starts with a handshake in which
//! both sides prove that they know the operator's secret, and then carries frames. After a link ends, it is redialled with a
//! random backoff. Frames in flight are not retransmitted: the gateway queries open requests on the next link.
//!
//! | file | responsibility |
//! | --- | --- |
//! | this file | selects the peers to dial, applies reloaded settings |
//! | `site_links/dialer.rs` | states of a dialled link, backoff |
//! | `site_links/listener.rs` | accepts links and checks their peers |
//! | `site_links/links.rs` | state shared by all links, close reasons |
//! | `site_links/handshake.rs` | performs the handshake on a stream |
//! | `site_links/frames.rs` | passes frames between stream and engine, notifies the peer of the close reason |
//! | `site_links/settings.rs` | secret and incarnation |
//!
//! Framing, authentication and heartbeats are implemented in `crates/site-link`, which performs no I/O. The gateway protocol
//! is implemented in `crates/gateway`, which the engine runs.

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
    /// Starts to dial and accept links.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).publish_drain_state());
        spawn_local(Rc::clone(self).accept());
        self.start_dialers();
    }

    /// Applies changed settings. Returns the changed keys that require a restart.
    pub fn configure(self: &Rc<Self>, settings: SiteLinkSettings) -> Vec<&'static str> {
        let SiteLinkSettings { file, secret } = settings;
        let current = Rc::clone(&self.settings.borrow());
        let mut restart_only_keys = Vec::new();
        if file.site != current.file.site {
            restart_only_keys.push("gateway site");
        }
        if file.listen != current.file.listen {
            restart_only_keys.push("gateway listen");
        }
        let file = GatewaySettings { site: current.file.site.clone(), listen: current.file.listen, ..file };
        self.notify(SiteLinkEvent::SettingsChanged(Box::new(file.decisions.clone())));
        self.settings.send_replace(Rc::new(SiteLinkSettings { file, secret }));
        self.start_dialers();
        restart_only_keys
    }

    /// Starts a dialer task for each configured peer that does not have one.
    fn start_dialers(self: &Rc<Self>) {
        let settings = Rc::clone(&self.settings.borrow());
        for peer in &settings.file.peers {
            let inserted = self.dialled_peers.borrow_mut().insert(peer.name.clone());
            if inserted {
                spawn_local(Dialer::new(Rc::clone(self), peer.name.clone()).run());
            }
        }
    }

    /// Notifies the gateway when this process starts or stops draining.
    async fn publish_drain_state(self: Rc<Self>) {
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
