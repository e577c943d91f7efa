//! The other processes of an upgrade, as the engine sees them.
//!
//! [`PeerProcesses`] owns the links, and for each the ids of the requests that are open there: an id that is open at any of
//! them is in use. It does not know what follows from a frame; [`super::handover`] does. Without an upgrade there is no
//! link, and everything here does nothing.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;

use crate::server::lifecycle::handover_frames::{FrameSender, HandoverFrame};
use crate::server::messages::PeerProcessId;

struct PeerProcess {
    id: PeerProcessId,
    sender: FrameSender,
    /// Ids of the requests that are open there.
    open_requests: HashSet<Bytes>,
}

/// The processes that this one has a link to. They form a chain from the oldest to the newest, so that a frame that each
/// sends on to all but its source reaches every process once.
#[derive(Clone, Default)]
pub struct PeerProcesses {
    peers: Rc<RefCell<Vec<PeerProcess>>>,
    next_id: Rc<Cell<u64>>,
}

impl PeerProcesses {
    /// Adds a link.
    pub fn add(&self, sender: FrameSender) -> PeerProcessId {
        let id = PeerProcessId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        self.peers.borrow_mut().push(PeerProcess { id, sender, open_requests: HashSet::new() });
        id
    }

    /// Removes a link that has ended, and notifies the others that no request is open there any more.
    pub fn remove(&self, id: PeerProcessId) {
        let mut peers = self.peers.borrow_mut();
        let Some(index) = peers.iter().position(|peer| peer.id == id) else { return };
        let removed = peers.remove(index);
        for request in removed.open_requests {
            for peer in peers.iter() {
                peer.sender.send(HandoverFrame::RequestClosed(request.clone()), None);
            }
        }
    }

    /// The sending side of a link.
    pub fn sender(&self, id: PeerProcessId) -> Option<FrameSender> {
        self.peers.borrow().iter().find(|peer| peer.id == id).map(|peer| peer.sender.clone())
    }

    /// How many links there are.
    pub fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Whether all frames have been written.
    pub fn is_flushed(&self) -> bool {
        self.peers.borrow().iter().all(|peer| peer.sender.is_flushed())
    }

    /// Whether a request with this id is open at another process.
    pub fn has_open_request(&self, request: &Bytes) -> bool {
        self.peers.borrow().iter().any(|peer| peer.open_requests.contains(request))
    }

    /// Notifies a new peer of the requests that are open at the others; the engine sends those of this process.
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

    /// Sends a frame to all peers but its source; false if there is none.
    pub fn broadcast(&self, source: Option<PeerProcessId>, frame: &HandoverFrame) -> bool {
        let mut sent = false;
        for peer in self.peers.borrow().iter().filter(|peer| Some(peer.id) != source) {
            peer.sender.send(frame.clone(), None);
            sent = true;
        }
        sent
    }

    /// A request is open at a peer from now on.
    pub fn request_opened(&self, id: PeerProcessId, request: Bytes) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            peer.open_requests.insert(request.clone());
        }
        self.broadcast(Some(id), &HandoverFrame::RequestOpened(request));
    }

    /// A request is no longer open at a peer.
    pub fn request_closed(&self, id: PeerProcessId, request: Bytes) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            peer.open_requests.remove(&request);
        }
        self.broadcast(Some(id), &HandoverFrame::RequestClosed(request));
    }
}
