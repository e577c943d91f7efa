//! Dials one peer, and keeps the link to it up for as long as the operator lists the peer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_site_link::LinkError;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use super::handshake::EstablishedLink;
use super::links::{Direction, LinkEnd, SiteLinks};
use super::settings::SiteLinkSettings;

/// The lifetime of the link to one peer. The loop in [`Dialer::run`] is the only place where it changes.
///
/// | state | what ends it | next |
/// | --- | --- | --- |
/// | `LookUp` | the peer is listed with an address | `Connecting` |
/// | | it is listed without one | `NoAddress` |
/// | | it is not listed | `Removed` |
/// | `NoAddress` | the settings change | `LookUp` |
/// | `Connecting` | the handshake succeeds | `Up` |
/// | | connect or handshake fails, or another site answers | `BackingOff` |
/// | `Up` | the link ends | `BackingOff` |
/// | `BackingOff` | the backoff is over, or the settings change | `LookUp` |
/// | `Removed` | the end | - |
enum DialState {
    /// Looks the peer up in the operator's settings.
    LookUp,
    /// Nothing is sent to the peer until the operator says where it is.
    NoAddress,
    /// Connects and performs the handshake.
    Connecting(SocketAddr),
    /// Carries frames.
    Up(SocketAddr, EstablishedLink<TcpStream>),
    /// Waits before the next try.
    BackingOff(LinkEnd),
    /// The operator does not list the peer any more.
    Removed,
}

/// The task that dials one peer.
pub(super) struct Dialer {
    links: Rc<SiteLinks>,
    peer: String,
    changes: watch::Receiver<Rc<SiteLinkSettings>>,
    /// The settings of the current try.
    settings: Rc<SiteLinkSettings>,
    dialled_at: Instant,
    backoff: Duration,
    /// The loss of the link has been logged, and it has not been up since.
    lost: bool,
}

impl Dialer {
    pub(super) fn new(links: Rc<SiteLinks>, peer: String) -> Self {
        let changes = links.settings.subscribe();
        let settings = Rc::clone(&changes.borrow());
        Dialer {
            links,
            peer,
            changes,
            settings,
            dialled_at: Instant::now(),
            backoff: Duration::ZERO,
            lost: false,
        }
    }

    /// Dials until the operator lists the peer no more.
    pub(super) async fn run(mut self) {
        let mut state = DialState::LookUp;
        loop {
            state = match state {
                DialState::LookUp => self.look_up(),
                DialState::NoAddress => {
                    if self.changes.changed().await.is_err() {
                        return; // the process ends
                    }
                    DialState::LookUp
                }
                DialState::Connecting(address) => self.connect(address).await,
                DialState::Up(address, established) => self.serve(address, established).await,
                DialState::BackingOff(end) => self.back_off(&end).await,
                DialState::Removed => {
                    self.links.dialling.borrow_mut().remove(&self.peer);
                    return;
                }
            };
        }
    }

    fn look_up(&mut self) -> DialState {
        self.settings = Rc::clone(&self.changes.borrow_and_update());
        let Some(peer) = self.settings.file.peers.iter().find(|peer| peer.name == self.peer) else {
            return DialState::Removed;
        };
        match peer.connect {
            Some(address) => DialState::Connecting(address),
            None => DialState::NoAddress,
        }
    }

    async fn connect(&mut self, address: SocketAddr) -> DialState {
        self.dialled_at = Instant::now();
        match self.links.dial(address, &self.settings).await {
            Ok(established) if established.peer.site == self.peer => DialState::Up(address, established),
            Ok(established) => {
                DialState::BackingOff(LinkEnd::Link(LinkError::UnknownPeer(established.peer.site)))
            }
            Err(end) => DialState::BackingOff(end),
        }
    }

    async fn serve(&mut self, address: SocketAddr, established: EstablishedLink<TcpStream>) -> DialState {
        tracing::info!(site = %self.peer, "site link up");
        self.lost = false;
        let dialled = DialledAddress { changes: self.changes.clone(), peer: self.peer.clone(), address };
        DialState::BackingOff(self.links.serve(established, &mut Some(dialled)).await)
    }

    async fn back_off(&mut self, end: &LinkEnd) -> DialState {
        if !self.lost {
            self.lost = true;
            tracing::warn!(site = %self.peer, error = %end, "site link down");
        }
        let (first, longest) =
            (self.settings.file.link.reconnect.first, self.settings.file.link.reconnect.longest);
        let has_lasted = self.dialled_at.elapsed() > longest;
        self.backoff = if has_lasted { first } else { (2 * self.backoff).clamp(first, longest) };
        let jittered = self.backoff.mul_f64(jitter_factor());
        tokio::select! {
            () = sleep(jittered) => {}
            _ = self.changes.changed() => self.changes.mark_changed(),
        }
        DialState::LookUp
    }
}

impl SiteLinks {
    async fn dial(
        &self,
        address: SocketAddr,
        settings: &SiteLinkSettings,
    ) -> Result<EstablishedLink<TcpStream>, LinkEnd> {
        let limit = settings.file.link.handshake_timeout;
        let Ok(connected) = timeout(limit, TcpStream::connect(address)).await else {
            return Err(LinkEnd::Link(LinkError::HandshakeTimeout(limit)));
        };
        let stream = connected?;
        let _ = stream.set_nodelay(true); // without it the link works, only slower
        self.handshake(stream, settings, Direction::Dialled).await
    }
}

/// Where a link was dialled, to notice that the operator names another address for the peer.
pub(super) struct DialledAddress {
    changes: watch::Receiver<Rc<SiteLinkSettings>>,
    peer: String,
    address: SocketAddr,
}

impl DialledAddress {
    /// Ends when the operator names another address for the peer. A peer that is no longer listed keeps its link
    /// until the gateway closes it.
    pub(super) async fn changed(&mut self) {
        loop {
            if self.changes.changed().await.is_err() {
                return std::future::pending().await;
            }
            let settings = Rc::clone(&self.changes.borrow_and_update());
            let peer = settings.file.peers.iter().find(|peer| peer.name == self.peer);
            if peer.is_some_and(|peer| peer.connect != Some(self.address)) {
                return;
            }
        }
    }
}

/// A random factor between a half and one and a half, so that sites that were cut off together do not all dial at
/// once. Without random numbers it is 1: one site alone is not harmed by that.
fn jitter_factor() -> f64 {
    0.5 + getrandom::u32().map_or(0.5, |number| f64::from(number) / f64::from(u32::MAX))
}
