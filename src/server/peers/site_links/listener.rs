//! Accepts the links that other sites dial.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_site_link::LinkError;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::handshake::EstablishedLink;
use super::links::{CloseReason, Direction, SiteLinks};
use super::settings::SiteLinkSettings;
use crate::server::lifecycle::Phase;

/// Maximum number of concurrent handshakes. Further connections are closed immediately.
const MAX_HANDSHAKES: usize = 32;
/// Delay before the listener is bound again, and after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl SiteLinks {
    /// Accepts links unless this process is starting or has been replaced. A successor binds the address itself.
    pub(super) async fn accept(self: Rc<Self>) {
        let Some(address) = self.settings.borrow().file.listen else { return };
        let mut phase = self.lifecycle.watch();
        let mut failures = 0u64;
        loop {
            let is_active = |phase: &Phase| !matches!(phase, Phase::Replaced | Phase::Starting);
            // Fails only if the sender is dropped, but `self` keeps it alive.
            let _ = phase.wait_for(is_active).await;
            let listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(error) => {
                    failures += 1;
                    if failures.is_power_of_two() {
                        tracing::warn!(%address, %error, "cannot listen for site links");
                    }
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            failures = 0;
            let bound = listener.local_addr().unwrap_or(address);
            tracing::info!(address = %bound, "listening for site links");
            self.accept_until_replaced(&listener, &mut phase).await;
        }
    }

    async fn accept_until_replaced(
        self: &Rc<Self>,
        listener: &TcpListener,
        phase: &mut watch::Receiver<Phase>,
    ) {
        loop {
            let accepted = tokio::select! {
                biased;
                _ = phase.wait_for(|phase| *phase == Phase::Replaced) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) if self.handshakes.get() < MAX_HANDSHAKES => {
                    self.handshakes.set(self.handshakes.get() + 1);
                    spawn_local(Rc::clone(self).handle_accepted(stream, from));
                }
                Ok(_) => {}
                Err(_) => sleep(RETRY_DELAY).await, // for example out of descriptors, which may be released
            }
        }
    }

    async fn handle_accepted(self: Rc<Self>, stream: TcpStream, from: SocketAddr) {
        let _ = stream.set_nodelay(true); // best effort: without it the link is only slower
        let settings = Rc::clone(&self.settings.borrow());
        let handshake = self.handshake(stream, &settings, Direction::Accepted).await;
        self.handshakes.set(self.handshakes.get() - 1);
        let established = handshake.and_then(|established| require_known_peer(established, &settings));
        let established = match established {
            Ok(established) => established,
            Err(error) => {
                tracing::warn!(%error, address = %from, "site link rejected");
                return;
            }
        };
        let site = established.peer.site.clone();
        tracing::info!(%site, "site link accepted");
        let error = self.serve(established, &mut None).await;
        tracing::warn!(%site, %error, "accepted site link ended");
    }
}

/// Rejects a link whose peer is not configured.
fn require_known_peer(
    established: EstablishedLink<TcpStream>,
    settings: &SiteLinkSettings,
) -> Result<EstablishedLink<TcpStream>, CloseReason> {
    let site = &established.peer.site;
    if settings.file.peers.iter().any(|peer| peer.name == *site) {
        return Ok(established);
    }
    Err(CloseReason::Link(LinkError::UnknownPeer(site.clone())))
}
