//! The upgrade: a new process takes over from the one that serves, without a client noticing.
//!
//! The old process listens on a Unix socket in `$TMPDIR`. The new one connects there and is passed the socket
//! on which clients are accepted: no connection that waits in its queue is refused or reset. Once the new one
//! serves, the old one accepts no more, passes idle connections on and finishes the jobs that it has. Should
//! the new one die, the old one goes on as before, unless it has been told to stop.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::server::descriptor_budget::DescriptorBudgets;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::frontend::Frontend;
use crate::server::lifecycle::handover_frames::{link, FrameReceiver, FrameSender, HandoverFrame};
use crate::server::lifecycle::peer_processes::PeerProcesses;
use crate::server::lifecycle::{Lifecycle, LifecycleEvent};
use crate::server::messages::{CallbackRelay, PeerProcessId, ProcessRole};
use crate::server::metrics::Counters;

/// The name of the Unix socket in `$TMPDIR`, which is this scheduler's alone.
const SOCKET: &str = "handover.sock";
/// How long a new process waits for the socket from an old one that has taken its call.
const OFFER: Duration = Duration::from_secs(2);
/// How long a new process keeps trying while another holds the address: it may be about to leave, or just
/// be taking over itself.
const TRY: Duration = Duration::from_secs(10);
/// Wait between two tries.
const TRY_AGAIN: Duration = Duration::from_millis(100);
/// How long a new process waits for discovery before it serves with the pool as last known.
const DISCOVERY: Duration = Duration::from_secs(2);
/// How often it looks whether discovery has spoken.
const LOOK: Duration = Duration::from_millis(5);

/// Where the processes of an upgrade meet; `None` without a `$TMPDIR`, and then there are no upgrades.
pub fn meeting_place() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(|dir| Path::new(&dir).join(SOCKET))
}

/// The way to the old process, from the new one.
pub struct Predecessor {
    outbox: FrameSender,
    inbox: FrameReceiver,
}

/// The socket for clients: from the process that has it, else bound anew.
///
/// # Errors
/// If neither works within a while.
pub async fn listener(
    place: Option<&Path>,
    address: SocketAddr,
) -> io::Result<(TcpListener, Option<Predecessor>)> {
    let until = Instant::now() + TRY;
    loop {
        if let Some((listener, old)) = offered(place, address).await {
            return Ok((listener, Some(old)));
        }
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && place.is_some() => {
                if Instant::now() >= until {
                    return Err(error);
                }
                sleep(TRY_AGAIN).await;
            }
            result => return Ok((result?, None)),
        }
    }
}

/// Asks the old process, if there is one: a socket file without one refuses the connection.
async fn offered(place: Option<&Path>, address: SocketAddr) -> Option<(TcpListener, Predecessor)> {
    let (outbox, mut inbox) = link(UnixStream::connect(place?).await.ok()?);
    let (frame, socket) = timeout(OFFER, inbox.next()).await.ok()??;
    let (HandoverFrame::Listener, Some(socket)) = (frame, socket) else { return None };
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true).ok()?;
    let listener = TcpListener::from_std(listener).ok()?;
    // Told to listen elsewhere, this process is no successor.
    let same = address.port() == 0 || listener.local_addr().is_ok_and(|its| its == address);
    same.then_some((listener, Predecessor { outbox, inbox }))
}

/// One process's part in upgrades.
pub struct Handover {
    /// Where a new process finds this one.
    pub place: Option<PathBuf>,
    /// The socket for clients.
    pub listener: Rc<TcpListener>,
    /// What may be passed on, or comes in.
    pub front: Rc<Frontend>,
    /// The state.
    pub lifecycle: Rc<Lifecycle>,
    /// The way to the engine.
    pub queue: EngineQueue,
    /// The links.
    pub peers: PeerProcesses,
    /// The bounds that two processes share.
    pub shares: Rc<DescriptorBudgets>,
    /// Says whether discovery has spoken.
    pub counters: Rc<Counters>,
}

impl Handover {
    /// Takes over from `old`, if there is one, then serves and waits for a successor.
    pub async fn run(self: Rc<Self>, old: Option<Predecessor>) {
        let said = match old {
            Some(Predecessor { outbox, inbox }) => {
                tracing::info!("taking over from the process that serves");
                let this = Rc::clone(&self);
                let id = self.join(outbox.clone(), ProcessRole::Predecessor);
                spawn_local(async move {
                    this.hear(id, inbox).await;
                    this.part(id);
                    tracing::info!("the old process has left");
                });
                let until = Instant::now() + DISCOVERY;
                while self.counters.pool_updates.get() == 0 && Instant::now() < until {
                    sleep(LOOK).await;
                }
                Some(outbox)
            }
            None => None,
        };
        spawn_local(Rc::clone(&self.front).run(Rc::clone(&self.listener)));
        self.lifecycle.notify(LifecycleEvent::Started);
        let _ = said.map(|outbox| outbox.send(HandoverFrame::Serving, None));
        while let Some(place) = self.place.as_deref() {
            let Ok(door) = meet(place).inspect_err(|error| {
                tracing::warn!("no upgrade can find this process: {error}");
            }) else {
                return;
            };
            self.wait_for_successor(door).await;
        }
    }

    /// Offers the socket to one new process at a time, until one that served has died.
    async fn wait_for_successor(self: &Rc<Self>, door: UnixListener) {
        loop {
            let stream = match door.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(TRY_AGAIN).await;
                    continue;
                }
            };
            let Ok(socket) = self.listener.as_fd().try_clone_to_owned() else { continue };
            tracing::info!("a new process takes over");
            let (outbox, inbox) = link(stream);
            outbox.send(HandoverFrame::Listener, Some(socket));
            let id = self.join(outbox.clone(), ProcessRole::Successor);
            self.hear(id, inbox).await;
            self.part(id);
            let served = self.front.has_successor();
            self.front.succeeded_by(None);
            self.queue.send(EngineMessage::SuccessorChanged(false));
            self.lifecycle.notify(LifecycleEvent::SuccessorLost);
            tracing::warn!("the new process is gone");
            if served {
                return; // it had taken the meeting place over
            }
        }
    }

    fn join(&self, outbox: FrameSender, side: ProcessRole) -> PeerProcessId {
        let id = self.peers.join(outbox);
        self.peers.introduce(id);
        self.queue.send(EngineMessage::PeerProcessJoined(id, side));
        self.shares.among(1 + self.peers.count());
        id
    }

    fn part(&self, id: PeerProcessId) {
        self.peers.part(id);
        self.shares.among(1 + self.peers.count());
    }

    /// Takes what the other process says, until its end.
    async fn hear(&self, id: PeerProcessId, mut inbox: FrameReceiver) {
        while let Some((frame, socket)) = inbox.next().await {
            match (frame, socket) {
                (HandoverFrame::Serving, _) => {
                    let successor = self.peers.outbox(id);
                    let alike = successor.as_ref().is_some_and(FrameSender::is_alike);
                    if !alike {
                        tracing::info!("the new process is of another build: jobs are finished here");
                    }
                    self.lifecycle.notify(LifecycleEvent::SuccessorServing);
                    self.front.succeeded_by(successor);
                    self.queue.send(EngineMessage::SuccessorChanged(alike));
                }
                (HandoverFrame::IdleConnection { worth, spoke }, Some(socket)) => {
                    if let Some(stream) = adopted(socket) {
                        spawn_local(Rc::clone(&self.front).adopt(stream, worth, spoke));
                    }
                }
                (HandoverFrame::LearnedState(learnt, names), _) => {
                    self.queue.send(EngineMessage::LearnedState(learnt, names))
                }
                (HandoverFrame::RequestOpened(name), _) => self.peers.note(id, name, true),
                (HandoverFrame::RequestClosed(name), _) => self.peers.note(id, name, false),
                (
                    HandoverFrame::Request { request: moved, read_ahead: ahead, keep_alive: keep },
                    Some(socket),
                ) => {
                    self.peers.note(id, moved.payload.name.clone(), false);
                    if let Some(stream) = adopted(socket) {
                        // Handed in before the next frame is read, which may be a call-back for it.
                        let (left, pending) = (moved.time_left, self.queue.take_over(moved));
                        spawn_local(Rc::clone(&self.front).take_over(stream, ahead, keep, pending, left));
                    }
                }
                (HandoverFrame::Callback(call_back, hops), _) => {
                    let passed = Some(CallbackRelay { from: id, relays: hops });
                    self.queue.send(EngineMessage::Callback(call_back, passed));
                }
                (HandoverFrame::WorkSent(name, class, work), _) => {
                    self.peers.pass(Some(id), &HandoverFrame::WorkSent(name.clone(), class, work));
                    self.queue.send(EngineMessage::SentByOtherProcess(name, class, work));
                }
                (
                    HandoverFrame::Listener
                    | HandoverFrame::IdleConnection { .. }
                    | HandoverFrame::Request { .. },
                    _,
                ) => {}
            }
        }
    }
}

fn adopted(socket: OwnedFd) -> Option<TcpStream> {
    let stream = std::net::TcpStream::from(socket);
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}

/// Listens at the meeting place. The file of a process that is gone, or that this one replaces, gives way
/// in one step: at no moment is there none.
fn meet(place: &Path) -> io::Result<UnixListener> {
    let own = place.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own);
    let door = UnixListener::bind(&own)?;
    std::fs::rename(&own, place)?;
    Ok(door)
}
