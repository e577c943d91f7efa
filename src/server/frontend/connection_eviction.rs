//! Which connections are closed first when descriptors run short, or while the process drains.
//!
//! A connection registers here while it can be closed: idle, lingering, or with a message that is still arriving. It is
//! never registered while a request on it awaits its answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A message of which nothing has arrived for so long has stalled. Honest clients that write slowly pause as well:
/// of those that have stalled, the one that has for longest goes first.
const STALLED_AFTER: Duration = Duration::from_millis(300);

/// How readily an idle connection is closed: those of the lowest class go first. Stored in hand-over frames: the order
/// of the variants must stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EvictionClass {
    /// It has carried neither a request nor a callback, or its last response is written.
    NeverUsed,
    /// It is idle between two messages of a client.
    Idle,
    /// It is idle after a callback: it is closed only where descriptors run short.
    IdleAfterCallback,
}

/// When something was last received on a connection.
pub type LastReceived = Rc<Cell<Instant>>;

/// Counts up over the registrations of one frontend: the lower, the older.
type Registration = u64;

/// An idle connection, in the order of eviction.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    class: EvictionClass,
    registration: Registration,
}

/// A connection on which a message is arriving.
struct Arriving {
    last_received: LastReceived,
    evicted: Rc<Notify>,
}

/// The connections that may be closed.
#[derive(Default)]
pub struct EvictionCandidates {
    idle: RefCell<BTreeMap<IdleKey, Rc<Notify>>>,
    arriving: RefCell<BTreeMap<Registration, Arriving>>,
    next_registration: Cell<Registration>,
}

impl EvictionCandidates {
    fn register(&self) -> Registration {
        self.next_registration.replace(self.next_registration.get() + 1)
    }

    /// Lists an idle connection for as long as the handle lives.
    pub fn list(&self, class: EvictionClass) -> EvictionHandle<'_> {
        let key = IdleKey { class, registration: self.register() };
        let evicted = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(key, Rc::clone(&evicted));
        EvictionHandle { candidates: self, key: CandidateKey::Idle(key), evicted }
    }

    /// Lists a connection on which a message is arriving, for as long as the handle lives.
    pub fn list_arriving(&self, last_received: LastReceived) -> EvictionHandle<'_> {
        let registration = self.register();
        let evicted = Rc::new(Notify::new());
        let arriving = Arriving { last_received, evicted: Rc::clone(&evicted) };
        self.arriving.borrow_mut().insert(registration, arriving);
        EvictionHandle { candidates: self, key: CandidateKey::Arriving(registration), evicted }
    }

    /// On how many connections a message is arriving.
    pub fn count_arriving(&self) -> usize {
        self.arriving.borrow().len()
    }

    /// Evicts the idle connection of the lowest class that was listed first; false if there is none of this class or a
    /// lower one.
    pub fn evict_up_to(&self, highest: EvictionClass) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(first) = idle.first_entry() else { return false };
        if first.key().class > highest {
            return false;
        }
        first.remove().notify_one();
        true
    }

    /// Evicts one connection so that another can be opened; false if there is none to evict.
    ///
    /// The order: a connection that was never used, then a stalled message, then an idle client. A connection for
    /// callbacks goes only while no message is arriving that may yet stall; a message that makes progress never.
    pub fn evict_for_new_connection(&self) -> bool {
        if self.evict_up_to(EvictionClass::NeverUsed) || self.evict_stalled() {
            return true;
        }
        if self.evict_up_to(EvictionClass::Idle) {
            return true;
        }
        self.count_arriving() == 0 && self.evict_up_to(EvictionClass::IdleAfterCallback)
    }

    /// Evicts the message that has stalled for longest; false if none has stalled.
    fn evict_stalled(&self) -> bool {
        let mut arriving = self.arriving.borrow_mut();
        let oldest = arriving.iter().min_by_key(|(_, message)| message.last_received.get());
        let Some((registration, message)) = oldest else { return false };
        if message.last_received.get().elapsed() < STALLED_AFTER {
            return false;
        }
        let registration = *registration;
        let Some(stalled) = arriving.remove(&registration) else { return false };
        stalled.evicted.notify_one();
        true
    }
}

enum CandidateKey {
    Idle(IdleKey),
    Arriving(Registration),
}

/// A listed connection; dropping the handle takes it off the list.
pub struct EvictionHandle<'a> {
    candidates: &'a EvictionCandidates,
    key: CandidateKey,
    evicted: Rc<Notify>,
}

impl EvictionHandle<'_> {
    /// Waits until the connection is to be closed.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for EvictionHandle<'_> {
    fn drop(&mut self) {
        // It is not there any more once it has been evicted.
        match &self.key {
            CandidateKey::Idle(key) => drop(self.candidates.idle.borrow_mut().remove(key)),
            CandidateKey::Arriving(key) => drop(self.candidates.arriving.borrow_mut().remove(key)),
        }
    }
}
