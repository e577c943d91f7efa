//! Zero-downtime upgrade: a new process, the successor, takes over from the serving process, its predecessor.
//!
//! 1. The predecessor listens on a Unix socket in `$TMPDIR`. The successor connects to it ([`acquire_listener`]) and
//!    receives the client listener. No connection in the accept queue is refused or reset.
//! 2. The predecessor sends its initial state: the endpoint list, what it has learned, and which requests are open. The
//!    successor waits for it and for discovery, starts to serve and sends `Serving` ([`Handover::run`]).
//! 3. The predecessor stops accepting, hands over its idle connections, and migrates or finishes its requests. Its phase
//!    is [`super::Phase::Replaced`].
//! 4. If the successor exits before the predecessor receives SIGTERM, the predecessor serves again.
//!
//! A process that has both a predecessor and a successor exits after its predecessor. Otherwise the predecessor would
//! serve again beside the newest process.
//!
//! `Handover::receive` returns when the other process exits or the link breaks. Its caller then cleans up:
//! [`Handover::run`] for a predecessor, `Handover::offer_listener` for a successor.
//!
//! The frame encoding is in [`super::handover_frames`], and the requests open in other processes are tracked in
//! [`super::peer_processes`]. Request migration is in `engine/migration.rs`, connection handoff in
//! `frontend/connection_handoff.rs`.

mod listener;

use std::cell::Cell;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream, UnixListener};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::server::descriptor_budget::{DescriptorBudgets, SuccessorState};
use crate::server::discovery::list_tracker::ListTracker;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::frontend::connection_handoff::PendingRequest;
use crate::server::frontend::Frontend;
use crate::server::lifecycle::handover_frames::{
    link, AssembledList, EndpointListAssembler, FrameReceiver, FrameSender, HandoverFrame, ReceivedFrame,
};
use crate::server::lifecycle::peer_processes::PeerProcesses;
use crate::server::lifecycle::{Lifecycle, LifecycleEvent};
use crate::server::messages::{CallbackRelay, MigratedRequest, PeerProcessId, ProcessRole};
use crate::server::metrics::Counters;

use listener::bind_socket;
pub use listener::{acquire_listener, socket_path, AcquiredListener, Predecessor};

/// Delay after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a successor waits for its predecessor and for discovery before it serves with what it has.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a successor checks whether both have sent what it waits for.
const INITIAL_STATE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Runs this process's side of upgrades: first as the successor of an earlier process, later as the predecessor of a new
/// one.
pub struct Handover {
    /// Path of the Unix socket that a successor connects to. `None` disables upgrades.
    pub socket_path: Option<PathBuf>,
    /// The client listener.
    pub listener: Rc<TcpListener>,
    /// Hands connections over to a successor and serves those received from a predecessor.
    pub frontend: Rc<Frontend>,
    /// The phase of this process.
    pub lifecycle: Rc<Lifecycle>,
    /// Queue of messages to the engine.
    pub queue: EngineQueue,
    /// Links to the other processes of an upgrade.
    pub peers: PeerProcesses,
    /// Descriptor budgets, shared by the linked processes.
    pub budgets: Rc<DescriptorBudgets>,
    /// The endpoint list in use, which other processes may replace by a newer one.
    pub endpoint_list: Rc<ListTracker>,
    /// Counters. They show whether discovery has delivered an endpoint list.
    pub counters: Rc<Counters>,
    /// Whether the predecessor has sent its initial state, or none is expected.
    pub has_initial_state: Cell<bool>,
}

impl Handover {
    /// Takes over from the predecessor, if there is one, then serves and accepts successors.
    pub async fn run(self: Rc<Self>, predecessor: Option<Predecessor>) {
        let mut to_predecessor = None;
        if let Some(predecessor) = predecessor {
            to_predecessor = Some(predecessor.sender.clone());
            self.has_initial_state.set(!predecessor.sender.has_same_format());
            self.follow_predecessor(predecessor);
            self.wait_for_initial_state().await;
        }
        spawn_local(Rc::clone(&self.frontend).run(Rc::clone(&self.listener)));
        self.lifecycle.notify(LifecycleEvent::Started);
        if let Some(sender) = to_predecessor {
            sender.send(HandoverFrame::Serving, None);
        }
        self.accept_successors().await;
    }

    /// Spawns a task that receives frames from the predecessor until it exits.
    fn follow_predecessor(self: &Rc<Self>, predecessor: Predecessor) {
        tracing::info!("taking over from the predecessor");
        let handover = Rc::clone(self);
        let peer = self.add_peer(predecessor.sender, ProcessRole::Predecessor);
        self.budgets.predecessor_joined();
        spawn_local(async move {
            handover.receive(peer, predecessor.receiver).await;
            handover.has_initial_state.set(true);
            handover.peers.remove(peer);
            handover.budgets.predecessor_exited();
            tracing::info!("the predecessor has exited");
        });
    }

    /// Waits until the predecessor has sent its initial state and discovery has delivered an endpoint list, or until one
    /// of them has not done so in time.
    async fn wait_for_initial_state(&self) {
        let give_up_at = Instant::now() + INITIAL_STATE_TIMEOUT;
        let is_complete = || self.has_initial_state.get() && self.counters.pool_updates.get() > 0;
        while !is_complete() && Instant::now() < give_up_at {
            sleep(INITIAL_STATE_CHECK_INTERVAL).await;
        }
    }

    /// Accepts successors until the process exits. Returns if the socket cannot be bound.
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

    /// Offers the client listener to one successor at a time. Returns when a successor that has served is lost: it
    /// replaced the socket file, so the socket must be bound again.
    async fn offer_listener(self: &Rc<Self>, successors: UnixListener) {
        loop {
            let Ok((stream, _)) = successors.accept().await else {
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            // Out of descriptors: drops the stream, and the successor retries.
            let Ok(listener) = self.listener.as_fd().try_clone_to_owned() else { continue };
            tracing::info!("a successor takes over");
            let (sender, receiver) = link(stream);
            sender.send(HandoverFrame::Listener, Some(listener));
            let peer = self.add_peer(sender.clone(), ProcessRole::Successor);
            self.budgets.set_successor(SuccessorState::Starting);
            tokio::select! {
                () = self.receive(peer, receiver) => {}
                () = self.report_reservation(&sender) => {}
            }
            self.peers.remove(peer);
            self.budgets.set_successor(SuccessorState::Absent);
            let had_served = self.frontend.has_successor();
            self.frontend.set_successor(None);
            self.queue.send(EngineMessage::SuccessorChanged(SuccessorState::Absent));
            self.lifecycle.notify(LifecycleEvent::SuccessorLost);
            tracing::warn!("the successor has exited");
            if had_served {
                return;
            }
        }
    }

    fn add_peer(&self, sender: FrameSender, role: ProcessRole) -> PeerProcessId {
        let peer = self.peers.add(sender, role);
        self.peers.send_open_requests(peer);
        self.queue.send(EngineMessage::PeerProcessJoined { peer, role });
        peer
    }

    /// Reports to the successor which descriptors this process and its predecessors reserve, now and whenever that
    /// changes. Never returns.
    async fn report_reservation(&self, successor: &FrameSender) {
        let mut reported = None;
        loop {
            let reservation = self.budgets.reservation();
            if reported.replace(reservation) != Some(reservation) {
                successor.send(HandoverFrame::DescriptorsReserved(reservation), None);
            }
            self.budgets.changed().await;
        }
    }

    /// Handles frames from another process until it exits or the link ends.
    async fn receive(&self, peer: PeerProcessId, mut receiver: FrameReceiver) {
        let mut list = EndpointListAssembler::default();
        while let Some(received) = receiver.next().await {
            if let HandoverFrame::Callback { callback, relays } = received.frame {
                // Anyone can send callbacks. Waiting here lets them wait in the other process.
                let slot = self.queue.slot().await;
                let relay = Some(CallbackRelay { from: peer, relays });
                self.queue.send_in(slot, EngineMessage::CallbackReceived { callback, relay });
                continue;
            }
            self.handle(peer, received, &mut list);
        }
        if let Some(AssembledList { update, origin }) = list.into_incomplete() {
            self.endpoint_list.received_incomplete_list(update, origin, peer);
        }
    }

    fn handle(&self, peer: PeerProcessId, received: ReceivedFrame, list: &mut EndpointListAssembler) {
        match (received.frame, received.socket) {
            (HandoverFrame::Serving, _) => self.handle_successor_serving(peer),
            (HandoverFrame::IdleConnection { eviction_class, answered }, Some(socket)) => {
                if let Some(stream) = adopt_socket(socket) {
                    Rc::clone(&self.frontend).adopt(stream, eviction_class, answered);
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
            (HandoverFrame::AttemptSent { worker_name, class, work_s }, _) => {
                let frame = HandoverFrame::AttemptSent { worker_name: worker_name.clone(), class, work_s };
                self.peers.broadcast(Some(peer), &frame);
                self.queue.send(EngineMessage::SentByOtherProcess { worker_name, class, work_s });
            }
            (HandoverFrame::DescriptorsReserved(reservation), _) => {
                self.budgets.predecessor_reported(reservation);
            }
            (HandoverFrame::EndpointList(part), _) => {
                if let Some(AssembledList { update, origin }) = list.add(part) {
                    self.endpoint_list.received_from_process(update, origin, peer);
                }
            }
            (HandoverFrame::InitialStateSent, _) => self.has_initial_state.set(true),
            (HandoverFrame::RequestsExecuted(requests), _) => self.peers.requests_executed(peer, requests),
            // `Listener` is consumed by `receive_listener`, callbacks by `receive`. `FrameReceiver` never returns the others
            // without a socket.
            (
                HandoverFrame::Listener
                | HandoverFrame::Callback { .. }
                | HandoverFrame::IdleConnection { .. }
                | HandoverFrame::Request { .. },
                _,
            ) => {}
        }
    }

    /// Handles `Serving`: the successor now accepts connections, and this process hands its own connections over.
    fn handle_successor_serving(&self, peer: PeerProcessId) {
        let successor = self.peers.sender(peer);
        let has_same_format = successor.as_ref().is_some_and(FrameSender::has_same_format);
        let state = match has_same_format {
            true => SuccessorState::Serving,
            false => SuccessorState::ServingOtherBuild,
        };
        if !has_same_format {
            tracing::info!("the successor is of another build: requests are finished here");
        }
        self.lifecycle.notify(LifecycleEvent::SuccessorServing);
        self.frontend.set_successor(successor);
        self.budgets.set_successor(state);
        self.queue.send(EngineMessage::SuccessorChanged(state));
    }

    /// Takes over a request of the predecessor. The request is queued for the engine before the next frame is read,
    /// because that frame may be a callback for it.
    fn receive_migrated_request(&self, peer: PeerProcessId, adopted: AdoptedRequest) {
        let AdoptedRequest { mut request, socket, read_ahead, keep_alive } = adopted;
        request.payload.held = self.frontend.hold_memory(request.payload.size());
        let stream = adopt_socket(socket);
        let time_left = request.time_left;
        // Without a usable socket, the dropped answer counts as the disconnect of the client.
        let answer = self.queue.take_over(peer, request);
        let Some(stream) = stream else { return };
        let request = PendingRequest { read_ahead, keep_alive, answer, time_left };
        Rc::clone(&self.frontend).adopt_with_request(stream, request);
    }
}

/// A request received from the predecessor, with the socket of its client.
struct AdoptedRequest {
    request: Box<MigratedRequest>,
    socket: OwnedFd,
    read_ahead: Bytes,
    keep_alive: bool,
}

/// Registers a client socket received from another process. Returns `None` if the socket is no longer usable.
fn adopt_socket(socket: OwnedFd) -> Option<TcpStream> {
    let stream = std::net::TcpStream::from(socket);
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
