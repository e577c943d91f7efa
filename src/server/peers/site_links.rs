//! The links to other sites: dials the peers, takes their calls, and carries frames between the sockets and the
//! engine. What they mean is decided elsewhere; this only keeps links up and tells when they are not.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use chutesaddle_gateway::{Incarnation, LinkId};
use chutesaddle_operator_config::GatewaySettings;
use chutesaddle_site_link::{
    Config, Frame, Handshake, HandshakeStep, Link, LinkError, LocalIdentity, PeerIdentity, Secret,
};
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::lifecycle::{Lifecycle, Phase};
use crate::server::peers::site_messages::{LinkInbox, LinkOutbox, SiteLinkEvent};

/// Callers that may be greeting at a time; one more is closed at once.
const GREETING: usize = 32;
/// Wait before the listener is bound again, or after a failed accept.
const RETRY: Duration = Duration::from_millis(100);
/// How long the last word of a link may take to be written.
const LAST_WORD: Duration = Duration::from_millis(200);
/// A measured time that differs by less than this share is no news.
const NEWS: f64 = 0.1;
/// Room asked for at a time.
const READ_BYTES: usize = 16 * 1024;

/// Why the gateway cannot be switched on, or a link has ended.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The secret cannot be read.
    #[error("the gateway's secret {0:?} cannot be read: {1}")]
    Secret(std::path::PathBuf, io::Error),
    /// It is too short.
    #[error("the gateway's secret {0:?} has under {least} bytes", least = Secret::LEAST_BYTES)]
    Short(std::path::PathBuf),
    /// The machine gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
    /// What was said on the link.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The connection broke or could not be made.
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    /// This side has closed it.
    #[error("it is not needed any more")]
    Closed,
}

/// Reads the secret, without the line end that an editor leaves.
///
/// # Errors
/// If it cannot be read or is too short.
pub fn read_secret(path: &Path) -> Result<Secret, GatewayError> {
    let mut bytes = std::fs::read(path).map_err(|error| GatewayError::Secret(path.into(), error))?;
    while bytes.last().is_some_and(u8::is_ascii_whitespace) {
        bytes.pop();
    }
    Secret::new(bytes).ok_or_else(|| GatewayError::Short(path.into()))
}

/// A number for this life of the process. They grow from life to life, as far as the clock does.
pub fn new_instance() -> Incarnation {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(wall.as_micros() as u64)
}

/// What the operator has said, with the secret.
#[derive(Clone)]
pub struct SiteLinkSettings {
    /// The file.
    pub file: GatewaySettings,
    /// What its `secret-file` holds.
    pub secret: Secret,
}

/// All links of one process.
pub struct SiteLinks {
    said: watch::Sender<Rc<SiteLinkSettings>>,
    instance: Incarnation,
    /// Where the clock of the links and of the decisions begins.
    origin: Instant,
    queue: EngineQueue,
    lifecycle: Rc<Lifecycle>,
    next: Cell<u64>,
    /// Peers that a task sees to: a second one for the same would take the link from the first for good.
    dialling: RefCell<HashSet<String>>,
    greeting: Cell<usize>,
}

impl SiteLinks {
    /// The links that the operator has asked for.
    pub fn new(
        said: SiteLinkSettings,
        instance: Incarnation,
        origin: Instant,
        queue: EngineQueue,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        let said = watch::Sender::new(Rc::new(said));
        let (next, greeting, dialling) = (Cell::new(0), Cell::new(0), RefCell::default());
        Rc::new(SiteLinks { said, instance, origin, queue, lifecycle, next, dialling, greeting })
    }

    /// Begins to dial and to take calls.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).tell_drains());
        spawn_local(Rc::clone(self).accept());
        self.dial_all();
    }

    /// Sees to each peer that no task sees to yet.
    fn dial_all(self: &Rc<Self>) {
        let said = Rc::clone(&self.said.borrow());
        for peer in &said.file.peers {
            if self.dialling.borrow_mut().insert(peer.name.clone()) {
                spawn_local(Rc::clone(self).dial(peer.name.clone()));
            }
        }
    }

    /// Takes up what the operator says now; what cannot change in flight is named.
    pub fn configure(self: &Rc<Self>, said: SiteLinkSettings) -> Vec<&'static str> {
        let old = Rc::clone(&self.said.borrow());
        let mut kept = Vec::new();
        kept.extend((said.file.site != old.file.site).then_some("gateway site"));
        kept.extend((said.file.listen != old.file.listen).then_some("gateway listen"));
        let file = GatewaySettings { site: old.file.site.clone(), listen: old.file.listen, ..said.file };
        self.tell(SiteLinkEvent::Configure(Box::new(file.decisions.clone())));
        self.said.send_replace(Rc::new(SiteLinkSettings { file, secret: said.secret }));
        self.dial_all();
        kept
    }

    fn tell(&self, heard: SiteLinkEvent) {
        self.queue.send(EngineMessage::SiteLink(Box::new(heard)));
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn link_id(&self) -> LinkId {
        self.next.set(self.next.get() + 1);
        LinkId(self.next.get())
    }

    /// Tells the decisions when this process empties itself.
    async fn tell_drains(self: Rc<Self>) {
        let mut phase = self.lifecycle.watch();
        loop {
            let serves = *phase.borrow_and_update() == Phase::Serving;
            self.tell(SiteLinkEvent::Drain(!serves));
            if phase.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes calls while this process is the one that serves. Another that replaces it binds the address anew.
    async fn accept(self: Rc<Self>) {
        let Some(address) = self.said.borrow().file.listen else { return };
        let mut phase = self.lifecycle.watch();
        let mut failures = 0u64;
        loop {
            // The sender lives as long as this.
            let serves = |phase: &Phase| !matches!(phase, Phase::Replaced | Phase::Starting);
            let _ = phase.wait_for(serves).await;
            let listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(error) => {
                    failures += 1;
                    if failures.is_power_of_two() {
                        tracing::warn!("peers cannot call at {address}: {error}");
                    }
                    sleep(RETRY).await;
                    continue;
                }
            };
            failures = 0;
            let address = listener.local_addr().unwrap_or(address);
            tracing::info!("peers call at {address}");
            loop {
                let accepted = tokio::select! {
                    biased;
                    _ = phase.wait_for(|phase| *phase == Phase::Replaced) => break,
                    accepted = listener.accept() => accepted,
                };
                match accepted {
                    Ok((stream, from)) if self.greeting.get() < GREETING => {
                        self.greeting.set(self.greeting.get() + 1);
                        spawn_local(Rc::clone(&self).called(stream, from));
                    }
                    Ok(_) => {}
                    Err(_) => sleep(RETRY).await,
                }
            }
        }
    }

    async fn called(self: Rc<Self>, stream: TcpStream, from: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let said = Rc::clone(&self.said.borrow());
        let greeted = self.greet(stream, &said, false).await;
        self.greeting.set(self.greeting.get() - 1);
        let ended = match greeted {
            Ok((stream, link, peer)) if said.file.peers.iter().any(|known| known.name == peer.site) => {
                tracing::info!("the site {} has called", peer.site);
                let why = self.serve(stream, link, &peer, false, &mut None).await;
                tracing::warn!("the call of the site {} has ended: {why}", peer.site);
                return;
            }
            Ok((_, _, peer)) => GatewayError::Link(LinkError::UnknownPeer(peer.site)),
            Err(error) => error,
        };
        tracing::warn!("a call from {from} is turned down: {ended}");
    }

    /// Keeps one link to a peer up for as long as the operator lists it.
    async fn dial(self: Rc<Self>, name: String) {
        let mut changes = self.said.subscribe();
        let mut wait = Duration::ZERO;
        let mut lost = false;
        loop {
            let said = Rc::clone(&changes.borrow_and_update());
            let Some(peer) = said.file.peers.iter().find(|peer| peer.name == name) else {
                self.dialling.borrow_mut().remove(&name);
                return;
            };
            let (Some(address), config) = (peer.connect, &said.file.link) else {
                // Nothing is sent there, until the operator says where it is.
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let up_at = Instant::now();
            let why = match self.connect(address, &said).await {
                Ok((stream, link, peer)) if peer.site == name => {
                    tracing::info!("the link to the site {name} is up");
                    lost = false;
                    let mut moved = Some((changes.clone(), (name.clone(), address)));
                    self.serve(stream, link, &peer, true, &mut moved).await
                }
                Ok((_, _, peer)) => GatewayError::Link(LinkError::UnknownPeer(peer.site)),
                Err(error) => error,
            };
            if !std::mem::replace(&mut lost, true) {
                tracing::warn!("no link to the site {name}: {why}");
            }
            let (first, most) = (config.reconnect.first, config.reconnect.longest);
            // A link that lasted was sound: the next try need not wait for long.
            wait = if up_at.elapsed() > most { first } else { (2 * wait).clamp(first, most) };
            let jittered = wait.mul_f64(jitter());
            tokio::select! {
                () = sleep(jittered) => {}
                _ = changes.changed() => changes.mark_changed(),
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        said: &SiteLinkSettings,
    ) -> Result<(TcpStream, Box<Link>, PeerIdentity), GatewayError> {
        let stream = timeout(said.file.link.handshake_timeout, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| GatewayError::Link(LinkError::HandshakeTimeout))??;
        let _ = stream.set_nodelay(true);
        self.greet(stream, said, true).await
    }

    /// Greets the other end. Any stream does: encryption would go between it and this.
    async fn greet<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        mut stream: S,
        said: &SiteLinkSettings,
        dialled: bool,
    ) -> Result<(S, Box<Link>, PeerIdentity), GatewayError> {
        let mut nonce = [0; 16];
        getrandom::fill(&mut nonce).map_err(GatewayError::Random)?;
        let me = LocalIdentity { site: said.file.site.clone(), incarnation: self.instance.0, nonce, dialled };
        let config: Config = said.file.link.clone();
        let (mut greeting, hello) = Handshake::begin(self.now(), config, said.secret.clone(), me)?;
        let until = self.origin + greeting.times_out_at();
        let exchange = async {
            stream.write_all(&hello).await?;
            let mut read = BytesMut::with_capacity(READ_BYTES);
            loop {
                if stream.read_buf(&mut read).await? == 0 {
                    return Err(GatewayError::Io(io::ErrorKind::UnexpectedEof.into()));
                }
                let step = greeting.input(self.now(), &read)?;
                read.clear();
                match step {
                    HandshakeStep::Continue(write) => stream.write_all(&write).await?,
                    HandshakeStep::Established(write, link, peer) => {
                        stream.write_all(&write).await?;
                        return Ok((link, peer));
                    }
                }
            }
        };
        let greeted = tokio::time::timeout_at(until, exchange).await;
        let (link, peer) = greeted.map_err(|_| GatewayError::Link(LinkError::HandshakeTimeout))??;
        Ok((stream, link, peer))
    }

    /// Serves a link until it ends, and says why it did.
    async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        mut stream: S,
        mut link: Box<Link>,
        peer: &PeerIdentity,
        dialled: bool,
        moved: &mut Option<Moved>,
    ) -> GatewayError {
        let id = self.link_id();
        let (outbox, inbox) = LinkOutbox::pair();
        let (site, instance) = (peer.site.clone(), peer.incarnation);
        self.tell(SiteLinkEvent::Up { link: id, site, instance, dialled, outbox });
        let why = self.carry(&mut stream, &mut link, id, inbox, moved).await;
        self.tell(SiteLinkEvent::Down(id));
        if !matches!(why, GatewayError::Io(_) | GatewayError::Link(LinkError::ClosedByPeer(_))) {
            // The other end's log should say why, too; it may be gone, or take nothing any more.
            let _ = link.send(&Frame::Bye(why.to_string()));
            let last_word = async {
                while let Some(transmit) = link.transmit() {
                    stream.write_all(&transmit.bytes).await?;
                }
                stream.shutdown().await
            };
            let _ = timeout(LAST_WORD, last_word).await;
        }
        why
    }

    /// Carries frames both ways. No await in it loses bytes when another branch is faster.
    async fn carry<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        link: &mut Link,
        id: LinkId,
        mut inbox: LinkInbox,
        moved: &mut Option<Moved>,
    ) -> GatewayError {
        let (mut reader, mut writer) = split(stream);
        let mut read = BytesMut::with_capacity(READ_BYTES);
        let (mut frames, mut round_trip) = (Vec::new(), None);
        let mut writing = None;
        loop {
            if writing.is_none() {
                writing = link.transmit().map(|transmit| (transmit, 0));
            }
            let write = async {
                match &writing {
                    Some((transmit, at)) => writer.write(&transmit.bytes[*at..]).await,
                    None => std::future::pending().await,
                }
            };
            let step = tokio::select! {
                written = write => match written {
                    Ok(0) => Err(GatewayError::Io(io::ErrorKind::WriteZero.into())),
                    Ok(bytes) => {
                        if let Some((transmit, at)) = &mut writing {
                            *at += bytes;
                            if *at == transmit.bytes.len() {
                                if let Some(offer) = transmit.offered {
                                    self.tell(SiteLinkEvent::Written(id, offer));
                                }
                                writing = None;
                            }
                        }
                        Ok(())
                    }
                    Err(error) => Err(error.into()),
                },
                got = reader.read_buf(&mut read) => match got {
                    Ok(0) => Err(GatewayError::Io(io::ErrorKind::UnexpectedEof.into())),
                    Ok(_) => {
                        let taken = link.input(self.now(), &read, &mut frames);
                        read.clear();
                        for frame in frames.drain(..) {
                            self.tell(SiteLinkEvent::SiteLinkSettings(id, frame));
                        }
                        taken.map_err(GatewayError::from)
                    }
                    Err(error) => Err(error.into()),
                },
                frame = inbox.recv() => match frame {
                    Some(frame) => link.send(&frame).map_err(GatewayError::from),
                    None => Err(GatewayError::Closed),
                },
                () = sleep_until(self.origin + link.due()) => link.tick(self.now()).map_err(GatewayError::from),
                () = moves(moved) => Err(GatewayError::Closed),
            };
            if let Err(why) = step {
                return why;
            }
            // Only what matters is told: each word to the engine is a turn of its loop.
            let differs = |new: Duration, old: Duration| new.abs_diff(old) > old.mul_f64(NEWS);
            match (link.round_trip(), round_trip) {
                (Some(new), old) if old.is_none_or(|old| differs(new, old)) => {
                    round_trip = Some(new);
                    self.tell(SiteLinkEvent::RoundTrip(id, new));
                }
                _ => {}
            }
        }
    }
}

/// Changes of the settings, and the name and address for which a link was dialled.
type Moved = (watch::Receiver<Rc<SiteLinkSettings>>, (String, SocketAddr));

/// Ends when the operator names another address for the peer. One that is listed no more keeps its link until
/// the decisions close it.
async fn moves(moved: &mut Option<Moved>) {
    let Some((changes, (name, address))) = moved else { return std::future::pending().await };
    loop {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
        let said = Rc::clone(&changes.borrow_and_update());
        let peer = said.file.peers.iter().find(|peer| peer.name == *name);
        if peer.is_some_and(|peer| peer.connect != Some(*address)) {
            return;
        }
    }
}

/// From a half to one and a half, so that sites cut off together do not come back together. Without random
/// numbers they do, which is no harm to one of them.
fn jitter() -> f64 {
    0.5 + getrandom::u32().map_or(0.5, |n| f64::from(n) / f64::from(u32::MAX))
}
