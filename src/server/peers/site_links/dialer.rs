//! Dials one peer and keeps the link to it up while the peer is configured.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_site_link::LinkError;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use super::handshake::EstablishedLink;
use super::links::{CloseReason, Direction, SiteLinks};
use super::settings::SiteLinkSettings;

/// State of the link to one peer. Only the loop in [`Dialer::run`] changes it.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | `LookUp` | the peer is configured with an address | `Connecting` |
/// | | it is configured without an address | `NoAddress` |
/// | | it is not configured | `Removed` |
/// | `NoAddress` | the settings change | `LookUp` |
/// | `Connecting` | the handshake succeeds | `Up` |
/// | | connect or handshake fails, or the peer is a different site | `BackingOff` |
/// | `Up` | the link ends | `BackingOff` |
/// | `BackingOff` | the backoff elapses, or the settings change | `LookUp` |
/// | `Removed` | final state | - |
enum DialState {
    /// Looks up the peer in the operator's settings.
    LookUp,
    /// Waits until the operator configures an address for the peer.
    NoAddress,
    /// Connects and performs the handshake.
    Connecting(SocketAddr),
    /// The link carries frames.
    Up(SocketAddr, EstablishedLink<TcpStream>),
    /// Waits before the next attempt.
    BackingOff(CloseReason),
    /// The peer is no longer configured.
    Removed,
}

/// The task that dials one peer.
pub(super) struct Dialer {
    links: Rc<SiteLinks>,
    peer: String,
    settings_updates: watch::Receiver<Rc<SiteLinkSettings>>,
    /// Settings of the current attempt.
    settings: Rc<SiteLinkSettings>,
    last_attempt_at: Instant,
    backoff: Duration,
    /// Whether the loss of the link has been logged. Reset when the link is up again.
    loss_logged: bool,
}

impl Dialer {
    pub(super) fn new(links: Rc<SiteLinks>, peer: String) -> Self {
        let settings_updates = links.settings.subscribe();
        let settings = Rc::clone(&settings_updates.borrow());
        Dialer {
            links,
            peer,
            settings_updates,
            settings,
            last_attempt_at: Instant::now(),
            backoff: Duration::ZERO,
            loss_logged: false,
        }
    }

    /// Dials until the peer is removed from the operator's settings.
    pub(super) async fn run(mut self) {
        let mut state = DialState::LookUp;
        loop {
            state = match state {
                DialState::LookUp => self.look_up(),
                DialState::NoAddress => {
                    if self.settings_updates.changed().await.is_err() {
                        return; // the process is exiting
                    }
                    DialState::LookUp
                }
                DialState::Connecting(address) => self.connect(address).await,
                DialState::Up(address, established) => self.serve(address, established).await,
                DialState::BackingOff(reason) => self.back_off(&reason).await,
                DialState::Removed => {
                    self.links.dialled_peers.borrow_mut().remove(&self.peer);
                    return;
                }
            };
        }
    }

    fn look_up(&mut self) -> DialState {
        self.settings = Rc::clone(&self.settings_updates.borrow_and_update());
        let Some(peer) = self.settings.file.peers.iter().find(|peer| peer.name == self.peer) else {
            return DialState::Removed;
        };
        match peer.connect {
            Some(address) => DialState::Connecting(address),
            None => DialState::NoAddress,
        }
    }

    async fn connect(&mut self, address: SocketAddr) -> DialState {
        self.last_attempt_at = Instant::now();
        match self.links.dial(address, &self.settings).await {
            Ok(established) if established.peer.site == self.peer => DialState::Up(address, established),
            Ok(established) => {
                DialState::BackingOff(CloseReason::Link(LinkError::UnknownPeer(established.peer.site)))
            }
            Err(reason) => DialState::BackingOff(reason),
        }
    }

    async fn serve(&mut self, address: SocketAddr, established: EstablishedLink<TcpStream>) -> DialState {
        tracing::info!(site = %self.peer, "site link up");
        self.loss_logged = false;
        let address_watch = PeerAddressWatch {
            settings_updates: self.settings_updates.clone(),
            peer: self.peer.clone(),
            address,
        };
        DialState::BackingOff(self.links.serve(established, &mut Some(address_watch)).await)
    }

    async fn back_off(&mut self, reason: &CloseReason) -> DialState {
        if !self.loss_logged {
            self.loss_logged = true;
            tracing::warn!(site = %self.peer, error = %reason, "site link down");
        }
        let (first, longest) =
            (self.settings.file.link.reconnect.first, self.settings.file.link.reconnect.longest);
        // A link that stayed up longer than the maximum backoff resets the backoff.
        let was_long_lived = self.last_attempt_at.elapsed() > longest;
        self.backoff = if was_long_lived { first } else { (2 * self.backoff).clamp(first, longest) };
        let jittered = self.backoff.mul_f64(jitter_factor());
        tokio::select! {
            () = sleep(jittered) => {}
            _ = self.settings_updates.changed() => self.settings_updates.mark_changed(),
        }
        DialState::LookUp
    }
}

impl SiteLinks {
    async fn dial(
        &self,
        address: SocketAddr,
        settings: &SiteLinkSettings,
    ) -> Result<EstablishedLink<TcpStream>, CloseReason> {
        let connect_timeout = settings.file.link.handshake_timeout;
        let Ok(connected) = timeout(connect_timeout, TcpStream::connect(address)).await else {
            return Err(CloseReason::Link(LinkError::HandshakeTimeout));
        };
        let stream = connected?;
        let _ = stream.set_nodelay(true); // best effort: without it the link is only slower
        self.handshake(stream, settings, Direction::Dialled).await
    }
}

/// Detects that the operator has changed the address of a peer whose link is up.
pub(super) struct PeerAddressWatch {
    settings_updates: watch::Receiver<Rc<SiteLinkSettings>>,
    peer: String,
    address: SocketAddr,
}

impl PeerAddressWatch {
    /// Waits until the operator changes the address of the peer. A peer that is no longer configured keeps its link
    /// until the gateway closes it.
    pub(super) async fn changed(&mut self) {
        loop {
            if self.settings_updates.changed().await.is_err() {
                return std::future::pending().await;
            }
            let settings = Rc::clone(&self.settings_updates.borrow_and_update());
            let peer = settings.file.peers.iter().find(|peer| peer.name == self.peer);
            if peer.is_some_and(|peer| peer.connect != Some(self.address)) {
                return;
            }
        }
    }
}

/// Returns a random factor between 0.5 and 1.5, so that sites that were disconnected together do not redial at the same
/// time. Returns 1 if no random number is available, which is harmless if it happens at one site only.
fn jitter_factor() -> f64 {
    0.5 + getrandom::u32().map_or(0.5, |number| f64::from(number) / f64::from(u32::MAX))
}
