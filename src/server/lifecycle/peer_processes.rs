//! The other processes of an upgrade.
//!
//! [`PeerProcesses`] owns the links and tracks the IDs of the requests open in each process, and those that may have run. A
//! request ID that is open in any of them is in use. Received frames are handled in [`super::handover`]. Outside of an upgrade there are no links, and
//! all operations are no-ops.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;

use crate::server::executed_requests::{ExecutedRequest, ExecutedRequests};
use crate::server::lifecycle::handover_frames::{EndpointListPart, FrameSender, HandoverFrame};
use crate::server::messages::{PeerProcessId, ProcessRole, WorkerCallback};

/// Maximum size of the callbacks that wait to be written to a process and are for requests open there, in bytes.
const MAX_RELAYED_BYTES: usize = 4 * 1024 * 1024;
/// The same for callbacks that match no open request, and may be for one that the process has just opened.
const MAX_UNMATCHED_RELAYED_BYTES: usize = 256 * 1024;
/// Number of requests in one frame.
const MAX_EXECUTED_PER_FRAME: usize = 1024;

struct PeerProcess {
    id: PeerProcessId,
    role: ProcessRole,
    sender: FrameSender,
    /// IDs of the requests that are open in this process.
    open_requests: HashSet<Bytes>,
    /// Whether an update of the endpoint list was not sent, because the process did not keep up.
    misses_list_update: bool,
}

impl PeerProcess {
    fn send_list(&self, parts: &[EndpointListPart]) {
        for part in parts {
            self.sender.send(HandoverFrame::EndpointList(part.clone()), None);
        }
    }
}

/// The processes that this one has a link to. Linked processes form a chain from the oldest to the newest. If each process
/// forwards a frame to all peers except its source, the frame reaches every process exactly once.
#[derive(Clone, Default)]
pub struct PeerProcesses {
    peers: Rc<RefCell<Vec<PeerProcess>>>,
    /// Requests that may have run, in this process or another.
    executed: ExecutedRequests,
    next_id: Rc<Cell<u64>>,
}

impl PeerProcesses {
    /// Adds a link.
    pub fn add(&self, sender: FrameSender, role: ProcessRole) -> PeerProcessId {
        let id = PeerProcessId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let peer = PeerProcess { id, role, sender, open_requests: HashSet::new(), misses_list_update: false };
        self.peers.borrow_mut().push(peer);
        id
    }

    /// Removes a link that has ended, and notifies the other peers that the requests open there are closed. The other
    /// process ended without closing them, so they may have run.
    pub fn remove(&self, id: PeerProcessId) {
        let mut peers = self.peers.borrow_mut();
        let Some(index) = peers.iter().position(|peer| peer.id == id) else { return };
        let removed = peers.remove(index);
        drop(peers);
        for request in removed.open_requests {
            self.record_executed(None, ExecutedRequest::not_repeatable(&request));
            self.broadcast(None, &HandoverFrame::RequestClosed(request));
        }
    }

    /// Records a request that may have run, and notifies all peers except the source.
    pub fn record_executed(&self, source: Option<PeerProcessId>, request: ExecutedRequest) {
        self.executed.record(request);
        self.broadcast(source, &HandoverFrame::RequestsExecuted(vec![request]));
    }

    /// Records requests that may have run, as another process reported them, and notifies the other peers.
    pub fn requests_executed(&self, source: PeerProcessId, requests: Vec<ExecutedRequest>) {
        for request in &requests {
            self.executed.record(*request);
        }
        self.broadcast(Some(source), &HandoverFrame::RequestsExecuted(requests));
    }

    /// Sends a new peer the requests that may have run.
    pub fn send_executed_requests(&self, id: PeerProcessId) {
        for requests in self.executed.all().chunks(MAX_EXECUTED_PER_FRAME) {
            self.send(id, HandoverFrame::RequestsExecuted(requests.to_vec()));
        }
    }

    /// The requests that may have run.
    pub fn executed(&self) -> &ExecutedRequests {
        &self.executed
    }

    /// The sending side of a link.
    pub fn sender(&self, id: PeerProcessId) -> Option<FrameSender> {
        self.peers.borrow().iter().find(|peer| peer.id == id).map(|peer| peer.sender.clone())
    }

    /// Whether this process links an older to a newer one, which know of each other only through it.
    pub fn is_between_processes(&self) -> bool {
        let peers = self.peers.borrow();
        let has = |role| peers.iter().any(|peer| peer.role == role);
        has(ProcessRole::Predecessor) && has(ProcessRole::Successor)
    }

    /// Whether no link has frames waiting to be written.
    pub fn is_flushed(&self) -> bool {
        self.peers.borrow().iter().all(|peer| peer.sender.is_flushed())
    }

    /// Whether a request with this ID is open in another process.
    pub fn has_open_request(&self, request: &Bytes) -> bool {
        self.peers.borrow().iter().any(|peer| peer.open_requests.contains(request))
    }

    /// Notifies a new peer of the requests open in the other peers. The engine sends the IDs of this process's own requests.
    pub fn send_open_requests(&self, id: PeerProcessId) {
        let peers = self.peers.borrow();
        let Some(new_peer) = peers.iter().find(|peer| peer.id == id) else { return };
        for request in peers.iter().filter(|peer| peer.id != id).flat_map(|peer| &peer.open_requests) {
            new_peer.sender.send(HandoverFrame::RequestOpened(request.clone()), None);
        }
    }

    /// Sends a frame to one peer.
    pub fn send(&self, id: PeerProcessId, frame: HandoverFrame) {
        if let Some(peer) = self.peers.borrow().iter().find(|peer| peer.id == id) {
            peer.sender.send(frame, None);
        }
    }

    /// Sends a frame to all peers except its source. Returns whether it was sent to any peer.
    pub fn broadcast(&self, source: Option<PeerProcessId>, frame: &HandoverFrame) -> bool {
        let mut sent = false;
        for peer in self.peers.borrow().iter().filter(|peer| Some(peer.id) != source) {
            peer.sender.send(frame.clone(), None);
            sent = true;
        }
        sent
    }

    /// Whether there is no link to another process.
    pub fn is_empty(&self) -> bool {
        self.peers.borrow().is_empty()
    }

    /// Sends an update of the endpoint list to all peers except its source. A peer that does not keep up is left out, and
    /// gets the whole list later.
    pub fn broadcast_list_update(&self, source: Option<PeerProcessId>, parts: &[EndpointListPart]) {
        for peer in self.peers.borrow_mut().iter_mut().filter(|peer| Some(peer.id) != source) {
            if peer.sender.is_behind_with_lists() {
                peer.misses_list_update = true;
            } else {
                peer.send_list(parts);
            }
        }
    }

    /// Sends the whole endpoint list to one peer.
    pub fn send_whole_list(&self, id: PeerProcessId, parts: &[EndpointListPart]) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            peer.misses_list_update = false;
            peer.send_list(parts);
        }
    }

    /// The peers that miss an update of the endpoint list and keep up again.
    pub fn missing_list_update(&self) -> Vec<PeerProcessId> {
        let peers = self.peers.borrow();
        let behind =
            peers.iter().filter(|peer| peer.misses_list_update && !peer.sender.is_behind_with_lists());
        behind.map(|peer| peer.id).collect()
    }

    /// Relays a callback to all peers except one. `migrated` is whether its request has migrated to the successor. Returns
    /// whether it was relayed to any peer: one that does not read the earlier ones gets none.
    pub fn relay_callback(
        &self,
        excluded: Option<PeerProcessId>,
        migrated: bool,
        callback: &WorkerCallback,
        relays: u8,
    ) -> bool {
        let mut sent = false;
        for peer in self.peers.borrow().iter().filter(|peer| Some(peer.id) != excluded) {
            let is_open_there = migrated || peer.open_requests.contains(&callback.request_name);
            let limit = if is_open_there { MAX_RELAYED_BYTES } else { MAX_UNMATCHED_RELAYED_BYTES };
            if peer.sender.unwritten_callback_bytes() >= limit {
                continue;
            }
            peer.sender.send(HandoverFrame::Callback { callback: callback.clone(), relays }, None);
            sent = true;
        }
        sent
    }

    /// Records that a request was opened in a peer process, and notifies the other peers.
    pub fn request_opened(&self, id: PeerProcessId, request: Bytes) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            peer.open_requests.insert(request.clone());
        }
        self.broadcast(Some(id), &HandoverFrame::RequestOpened(request));
    }

    /// Records that this process has taken over a request that was open in a peer process. For the other peers it stays
    /// open beyond this one.
    pub fn request_taken_over(&self, id: PeerProcessId, request: &Bytes) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            peer.open_requests.remove(request);
        }
    }

    /// Records that a request is no longer open in a peer process, and notifies the other peers.
    pub fn request_closed(&self, id: PeerProcessId, request: Bytes) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            peer.open_requests.remove(&request);
        }
        self.broadcast(Some(id), &HandoverFrame::RequestClosed(request));
    }
}
