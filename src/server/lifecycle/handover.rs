//! The upgrade: a new process, the successor, takes over from the one that serves, and no client notices.
//!
//! 1. The predecessor listens on a Unix socket in `$TMPDIR`. The successor connects there ([`take_listener`]) and is
//!    sent the listener on which clients are accepted: no connection in its queue is refused or reset.
//! 2. The successor waits for the endpoint list, serves, and sends `Serving` ([`Handover::run`]).
//! 3. The predecessor accepts no more, hands idle connections on and migrates or finishes its requests. Its phase is
//!    [`super::Phase::Replaced`].
//! 4. If the successor exits before the predecessor has been sent SIGTERM, the predecessor serves again.
//!
//! Each direction of the link is a lifetime: `Handover::receive` ends with the other process, and whoever called it
//! ([`Handover::run`] for a predecessor, `Handover::offer_listener` for a successor) then does what follows.
//!
//! This module owns neither the bytes on the link ([`super::handover_frames`]) nor what is open at the other process
//! ([`super::peer_processes`]). How a request is migrated is in `engine/migration.rs`, how a client's connection is handed
//! on in `frontend/connection_handoff.rs`.

mod listener;

use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream, UnixListener};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::server::descriptor_budget::DescriptorBudgets;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::frontend::connection_handoff::PendingRequest;
use crate::server::frontend::Frontend;
use crate::server::lifecycle::handover_frames::{
    link, FrameReceiver, FrameSender, HandoverFrame, ReceivedFrame,
};
use crate::server::lifecycle::peer_processes::PeerProcesses;
use crate::server::lifecycle::{Lifecycle, LifecycleEvent};
use crate::server::messages::{CallbackRelay, MigratedRequest, PeerProcessId, ProcessRole};
use crate::server::metrics::Counters;

use listener::bind_socket;
pub use listener::{socket_path, take_listener, Predecessor, TakenListener};

/// Wait after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a successor waits for discovery before it serves with the endpoint list of its configuration.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How often it checks whether an endpoint list has come.
const DISCOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What this process needs to take part in upgrades, as the successor first and as a predecessor later.
pub struct Handover {
    /// Where a successor finds this process; `None`: there are no upgrades.
    pub socket_path: Option<PathBuf>,
    /// The listener for clients.
    pub listener: Rc<TcpListener>,
    /// Hands connections on, and serves those that come in.
    pub frontend: Rc<Frontend>,
    /// The phase of this process.
    pub lifecycle: Rc<Lifecycle>,
    /// The queue to the engine.
    pub queue: EngineQueue,
    /// The links to the other processes.
    pub peers: PeerProcesses,
    /// The descriptor budgets, which linked processes share.
    pub budgets: Rc<DescriptorBudgets>,
    /// Shows whether an endpoint list has come.
    pub counters: Rc<Counters>,
}

impl Handover {
    /// Takes over from the predecessor, if there is one, then serves and waits for successors.
    pub async fn run(self: Rc<Self>, predecessor: Option<Predecessor>) {
        let mut to_predecessor = None;
        if let Some(predecessor) = predecessor {
            to_predecessor = Some(predecessor.sender.clone());
            self.follow_predecessor(predecessor);
            self.wait_for_endpoint_list().await;
        }
        spawn_local(Rc::clone(&self.frontend).run(Rc::clone(&self.listener)));
        self.lifecycle.notify(LifecycleEvent::Started);
        if let Some(sender) = to_predecessor {
            sender.send(HandoverFrame::Serving, None);
        }
        self.accept_successors().await;
    }

    /// Receives from the predecessor until it exits.
    fn follow_predecessor(self: &Rc<Self>, predecessor: Predecessor) {
        tracing::info!("taking over from the predecessor");
        let handover = Rc::clone(self);
        let peer = self.add_peer(predecessor.sender, ProcessRole::Predecessor);
        spawn_local(async move {
            handover.receive(peer, predecessor.receiver).await;
            handover.remove_peer(peer);
            tracing::info!("the predecessor has exited");
        });
    }

    async fn wait_for_endpoint_list(&self) {
        let last_check = Instant::now() + DISCOVERY_TIMEOUT;
        while self.counters.pool_updates.get() == 0 && Instant::now() < last_check {
            sleep(DISCOVERY_CHECK_INTERVAL).await;
        }
    }

    /// Listens for successors for good, or not at all if the socket cannot be bound.
    async fn accept_successors(self: &Rc<Self>) {
        while let Some(socket_path) = self.socket_path.as_deref() {
            let listener = match bind_socket(socket_path) {
                Ok(listener) => listener,
                Err(error) => {
                    tracing::warn!(%error, "cannot listen for a successor");
                    return;
                }
            };
            self.offer_listener(listener).await;
        }
    }

    /// Offers the listener to one successor at a time, until one that has served is lost: that one has replaced the
    /// socket file, which is then to be bound again.
    async fn offer_listener(self: &Rc<Self>, successors: UnixListener) {
        loop {
            let Ok((stream, _)) = successors.accept().await else {
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            // Without a descriptor to spare the link is closed, and the successor tries again.
            let Ok(listener) = self.listener.as_fd().try_clone_to_owned() else { continue };
            tracing::info!("a successor takes over");
            let (sender, receiver) = link(stream);
            sender.send(HandoverFrame::Listener, Some(listener));
            let peer = self.add_peer(sender, ProcessRole::Successor);
            self.receive(peer, receiver).await;
            self.remove_peer(peer);
            let has_served = self.frontend.has_successor();
            self.frontend.set_successor(None);
            self.queue.send(EngineMessage::SuccessorChanged { accepts_requests: false });
            self.lifecycle.notify(LifecycleEvent::SuccessorLost);
            tracing::warn!("the successor has exited");
            if has_served {
                return;
            }
        }
    }

    fn add_peer(&self, sender: FrameSender, role: ProcessRole) -> PeerProcessId {
        let peer = self.peers.add(sender);
        self.peers.send_open_requests(peer);
        self.queue.send(EngineMessage::PeerProcessJoined { peer, role });
        self.share_descriptors();
        peer
    }

    fn remove_peer(&self, peer: PeerProcessId) {
        self.peers.remove(peer);
        self.share_descriptors();
    }

    fn share_descriptors(&self) {
        self.budgets.set_processes(1 + self.peers.count());
    }

    /// Receives from another process until its end.
    async fn receive(&self, peer: PeerProcessId, mut receiver: FrameReceiver) {
        while let Some(received) = receiver.next().await {
            self.handle(peer, received);
        }
    }

    fn handle(&self, peer: PeerProcessId, received: ReceivedFrame) {
        match (received.frame, received.socket) {
            (HandoverFrame::Serving, _) => self.successor_serves(peer),
            (HandoverFrame::IdleConnection { eviction_class, answered }, Some(socket)) => {
                if let Some(stream) = adopt_socket(socket) {
                    spawn_local(Rc::clone(&self.frontend).adopt(stream, eviction_class, answered));
                }
            }
            (HandoverFrame::LearnedState { learned, worker_names }, _) => {
                self.queue.send(EngineMessage::LearnedState { learned, worker_names });
            }
            (HandoverFrame::RequestOpened(id), _) => self.peers.request_opened(peer, id),
            (HandoverFrame::RequestClosed(id), _) => self.peers.request_closed(peer, id),
            (HandoverFrame::Request { request, read_ahead, keep_alive }, Some(socket)) => {
                self.receive_migrated_request(
                    peer,
                    AdoptedRequest { request, socket, read_ahead, keep_alive },
                );
            }
            (HandoverFrame::Callback { callback, relays }, _) => {
                let relay = CallbackRelay { from: peer, relays };
                self.queue.send(EngineMessage::CallbackReceived { callback, relay: Some(relay) });
            }
            (HandoverFrame::WorkSent { worker_name, class, work_s }, _) => {
                let frame = HandoverFrame::WorkSent { worker_name: worker_name.clone(), class, work_s };
                self.peers.broadcast(Some(peer), &frame);
                self.queue.send(EngineMessage::SentByOtherProcess { worker_name, class, work_s });
            }
            // The first is expected only by `listener_of_predecessor`; the others never come without their socket.
            (
                HandoverFrame::Listener
                | HandoverFrame::IdleConnection { .. }
                | HandoverFrame::Request { .. },
                _,
            ) => {}
        }
    }

    /// The successor accepts connections from now on, and this process hands its own on.
    fn successor_serves(&self, peer: PeerProcessId) {
        let successor = self.peers.sender(peer);
        let migrates = successor.as_ref().is_some_and(FrameSender::has_same_form);
        if !migrates {
            tracing::info!("the successor is of another build: requests are finished here");
        }
        self.lifecycle.notify(LifecycleEvent::SuccessorServing);
        self.frontend.set_successor(successor);
        self.queue.send(EngineMessage::SuccessorChanged { accepts_requests: migrates });
    }

    /// Takes over a request of the predecessor. It is in the engine's queue before the next frame is read, which may
    /// be a callback for it.
    fn receive_migrated_request(&self, peer: PeerProcessId, adopted: AdoptedRequest) {
        let AdoptedRequest { request, socket, read_ahead, keep_alive } = adopted;
        self.peers.request_closed(peer, request.payload.name.clone());
        let Some(stream) = adopt_socket(socket) else { return };
        let time_left = request.time_left;
        let answer = self.queue.take_over(request);
        let request = PendingRequest { read_ahead, keep_alive, answer, time_left };
        spawn_local(Rc::clone(&self.frontend).adopt_with_request(stream, request));
    }
}

/// A request of the predecessor, with the socket on which its client waits.
struct AdoptedRequest {
    request: Box<MigratedRequest>,
    socket: OwnedFd,
    read_ahead: Bytes,
    keep_alive: bool,
}

/// A client's socket from another process; `None`: it has broken meanwhile.
fn adopt_socket(socket: OwnedFd) -> Option<TcpStream> {
    let stream = std::net::TcpStream::from(socket);
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
