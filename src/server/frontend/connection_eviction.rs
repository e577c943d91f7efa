//! The order in which connections are closed when descriptors or memory run short or the process drains.
//!
//! A connection is registered here while it may be closed: when it is idle, lingering, or still receiving a message. It
//! is never registered while a request on it awaits its answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A message is stalled if none of its bytes were received for this long. Well-behaved slow clients pause as well, so
/// the message that has been stalled longest is evicted first.
const STALLED_AFTER: Duration = Duration::from_millis(300);

/// Eviction order of idle connections: the lowest class is evicted first. Serialized in handover frames, so the order
/// of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EvictionClass {
    /// Nothing is lost with it: it has carried neither a request nor a callback, or its last response has been written
    /// and it is about to close.
    NeverUsed,
    /// Idle after a request.
    Idle,
    /// Idle after a callback. Closed only when descriptors run short.
    IdleAfterCallback,
}

/// When bytes were last received on a connection.
pub type LastReceived = Rc<Cell<Instant>>;

/// The memory that is charged to a connection, in bytes.
pub type ChargedBytes = Rc<Cell<usize>>;

/// Why a connection is evicted while it receives a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionReason {
    /// Its descriptor is needed.
    Descriptors,
    /// Its memory is needed.
    Memory,
}

/// Sequence number of a registration; lower numbers are older.
type RegistrationId = u64;

/// Identifies a registered idle connection. Ordered by eviction order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    class: EvictionClass,
    registration: RegistrationId,
}

/// A connection that is receiving a message.
struct ReceivingConnection {
    last_received: LastReceived,
    charged: ChargedBytes,
    eviction: Rc<Eviction>,
}

impl ReceivingConnection {
    fn is_stalled(&self) -> bool {
        self.last_received.get().elapsed() >= STALLED_AFTER
    }
}

/// Tells a connection that it is evicted, and why.
struct Eviction {
    evicted: Notify,
    reason: Cell<EvictionReason>,
}

impl Eviction {
    fn new() -> Rc<Self> {
        Rc::new(Eviction { evicted: Notify::new(), reason: Cell::new(EvictionReason::Descriptors) })
    }

    fn evict(&self, reason: EvictionReason) {
        self.reason.set(reason);
        self.evicted.notify_one();
    }
}

/// The connections that may be evicted.
#[derive(Default)]
pub struct EvictionCandidates {
    idle: RefCell<BTreeMap<IdleKey, Rc<Eviction>>>,
    receiving: RefCell<BTreeMap<RegistrationId, ReceivingConnection>>,
    next_registration: Cell<RegistrationId>,
}

impl EvictionCandidates {
    fn next_registration(&self) -> RegistrationId {
        self.next_registration.replace(self.next_registration.get() + 1)
    }

    /// Registers an idle connection until the handle is dropped.
    pub fn register_idle(&self, class: EvictionClass) -> EvictionHandle<'_> {
        let key = IdleKey { class, registration: self.next_registration() };
        let eviction = Eviction::new();
        self.idle.borrow_mut().insert(key, Rc::clone(&eviction));
        EvictionHandle { candidates: self, key: CandidateKey::Idle(key), eviction }
    }

    /// Registers a connection that is receiving a message, until the handle is dropped.
    pub fn register_receiving(
        &self,
        last_received: LastReceived,
        charged: ChargedBytes,
    ) -> EvictionHandle<'_> {
        let registration = self.next_registration();
        let eviction = Eviction::new();
        let connection = ReceivingConnection { last_received, charged, eviction: Rc::clone(&eviction) };
        self.receiving.borrow_mut().insert(registration, connection);
        EvictionHandle { candidates: self, key: CandidateKey::Receiving(registration), eviction }
    }

    /// Number of connections that are receiving a message.
    pub fn receiving_count(&self) -> usize {
        self.receiving.borrow().len()
    }

    /// Evicts the oldest registered connection of the lowest class, if that class is at most `highest`. Returns whether
    /// a connection was evicted.
    pub fn evict_up_to(&self, highest: EvictionClass) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(first) = idle.first_entry() else { return false };
        if first.key().class > highest {
            return false;
        }
        first.remove().evict(EvictionReason::Descriptors);
        true
    }

    /// Evicts one connection to make room for a new one. Returns whether a connection was evicted.
    ///
    /// The order is: never-used connections, connections with a stalled message, idle client connections. Callback
    /// connections are evicted only while no message is being received, since such a message may still stall. A
    /// connection whose message makes progress is never evicted.
    pub fn evict_for_new_connection(&self) -> bool {
        if self.evict_up_to(EvictionClass::NeverUsed) || self.evict_stalled() {
            return true;
        }
        if self.evict_up_to(EvictionClass::Idle) {
            return true;
        }
        self.receiving_count() == 0 && self.evict_up_to(EvictionClass::IdleAfterCallback)
    }

    /// Evicts the connection whose message has been stalled longest. Returns false if no message is stalled.
    fn evict_stalled(&self) -> bool {
        let mut receiving = self.receiving.borrow_mut();
        let oldest = receiving.iter().min_by_key(|(_, connection)| connection.last_received.get());
        let Some((registration, connection)) = oldest else { return false };
        if !connection.is_stalled() {
            return false;
        }
        let registration = *registration;
        let Some(stalled) = receiving.remove(&registration) else { return false };
        stalled.eviction.evict(EvictionReason::Descriptors);
        true
    }

    /// Evicts connections that are receiving a message until `excess` bytes are freed. Stalled ones go first, then those
    /// with the most memory, so that a small message is received whatever the others send.
    pub fn evict_for_memory(&self, excess: usize) {
        let mut receiving = self.receiving.borrow_mut();
        let mut order: Vec<_> = receiving
            .iter()
            .filter(|(_, connection)| connection.charged.get() > 0)
            .map(|(id, connection)| (connection.is_stalled(), connection.charged.get(), *id))
            .collect();
        order.sort_unstable_by(|first, second| second.cmp(first));
        let mut freed = 0;
        for (_, charged, id) in order {
            if freed >= excess {
                break;
            }
            if let Some(connection) = receiving.remove(&id) {
                connection.eviction.evict(EvictionReason::Memory);
                freed += charged;
            }
        }
    }
}

enum CandidateKey {
    Idle(IdleKey),
    Receiving(RegistrationId),
}

/// Handle of a registered connection. Dropping it removes the registration.
pub struct EvictionHandle<'a> {
    candidates: &'a EvictionCandidates,
    key: CandidateKey,
    eviction: Rc<Eviction>,
}

impl EvictionHandle<'_> {
    /// Waits until the connection is evicted, and returns why.
    pub async fn evicted(&self) -> EvictionReason {
        self.eviction.evicted.notified().await;
        self.eviction.reason.get()
    }
}

impl Drop for EvictionHandle<'_> {
    fn drop(&mut self) {
        // The registration is already gone if the connection was evicted.
        match &self.key {
            CandidateKey::Idle(key) => drop(self.candidates.idle.borrow_mut().remove(key)),
            CandidateKey::Receiving(key) => drop(self.candidates.receiving.borrow_mut().remove(key)),
        }
    }
}
