//! The other processes of an upgrade, as the engine sees them: jobs that are open there, call-backs that
//! belong there, and work that they send to members. With none, everything here is a no-op.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;

use crate::server::lifecycle::handover_frames::{FrameSender, HandoverFrame};
use crate::server::messages::PeerProcessId;

struct Peer {
    id: PeerProcessId,
    outbox: FrameSender,
    /// Transactions that are open there.
    names: HashSet<Bytes>,
}

/// The processes that this one has a link to. They form a line, old to new, so that what is passed to all
/// but the one it came from reaches each of them once.
#[derive(Clone, Default)]
pub struct PeerProcesses {
    peers: Rc<RefCell<Vec<Peer>>>,
    next: Rc<Cell<u64>>,
}

impl PeerProcesses {
    /// Adds a link.
    pub fn join(&self, outbox: FrameSender) -> PeerProcessId {
        let id = PeerProcessId(self.next.get());
        self.next.set(id.0 + 1);
        self.peers.borrow_mut().push(Peer { id, outbox, names: HashSet::new() });
        id
    }

    /// A link has ended, and whatever was open there with it.
    pub fn part(&self, id: PeerProcessId) {
        let mut peers = self.peers.borrow_mut();
        if let Some(at) = peers.iter().position(|peer| peer.id == id) {
            let gone = peers.remove(at);
            for name in gone.names {
                peers
                    .iter()
                    .for_each(|peer| peer.outbox.send(HandoverFrame::RequestClosed(name.clone()), None));
            }
        }
    }

    /// The way to one of them.
    pub fn outbox(&self, id: PeerProcessId) -> Option<FrameSender> {
        self.peers.borrow().iter().find(|peer| peer.id == id).map(|peer| peer.outbox.clone())
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Whether all that was said to them is written.
    pub fn is_flushed(&self) -> bool {
        self.peers.borrow().iter().all(|peer| peer.outbox.is_flushed())
    }

    /// Whether a transaction of this name is open at one of them.
    pub fn holds(&self, name: &Bytes) -> bool {
        self.peers.borrow().iter().any(|peer| peer.names.contains(name))
    }

    /// Tells one what is open at the others; its own engine tells the rest.
    pub fn introduce(&self, id: PeerProcessId) {
        let peers = self.peers.borrow();
        let Some(new) = peers.iter().find(|peer| peer.id == id) else { return };
        for name in peers.iter().filter(|peer| peer.id != id).flat_map(|peer| &peer.names) {
            new.outbox.send(HandoverFrame::RequestOpened(name.clone()), None);
        }
    }

    /// Says something to one of them.
    pub fn tell(&self, id: PeerProcessId, frame: HandoverFrame) {
        if let Some(peer) = self.peers.borrow().iter().find(|peer| peer.id == id) {
            peer.outbox.send(frame, None);
        }
    }

    /// Says something to all but the one that it came from; whether there is such a one.
    pub fn pass(&self, from: Option<PeerProcessId>, frame: &HandoverFrame) -> bool {
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|peer| Some(peer.id) != from);
        others.map(|peer| peer.outbox.send(frame.clone(), None)).count() > 0
    }

    /// One of them says that a transaction is open there, or is open no more.
    pub fn note(&self, id: PeerProcessId, name: Bytes, open: bool) {
        if let Some(peer) = self.peers.borrow_mut().iter_mut().find(|peer| peer.id == id) {
            if open {
                peer.names.insert(name.clone());
            } else {
                peer.names.remove(&name);
            }
        }
        self.pass(
            Some(id),
            &if open { HandoverFrame::RequestOpened(name) } else { HandoverFrame::RequestClosed(name) },
        );
    }
}
