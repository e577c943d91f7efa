//! The HTTP frontend: one listener for client requests, worker callbacks, `/ready` and `/counters`.
//!
//! It turns HTTP messages into engine messages and the engine's final answers into HTTP responses. It manages
//! connections only: requests are processed in `src/server/engine.rs`, by the rules in `src/scheduling`.
//!
//! - `accept_loop`: accepts connections and evicts others when descriptors run short.
//! - `client_connection`: the connection state machine. Start here.
//! - `request_handling`: handles received messages.
//! - `request_parser`, `callback_parser`: message parsing; `wire_names`: paths, headers and field names.
//! - `response`: building and writing responses.
//! - `closing`: lingering closes, and closing of idle connections while the process drains.
//! - [`connection_eviction`]: the order in which connections are closed when descriptors or memory run short.
//! - `memory_reclaim`: evicts connections when memory runs short.
//! - [`connection_handoff`]: handover of connections and requests between processes during an upgrade.
//!
//! Everything runs on one thread: cells need no locks, and shared state cannot change between two `await`s.

mod accept_loop;
mod callback_parser;
mod client_connection;
mod closing;
pub mod connection_eviction;
pub mod connection_handoff;
mod connection_state;
mod memory_reclaim;
mod request_handling;
mod request_parser;
mod response;
mod wire_names;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::{watch, Mutex};

use crate::scheduling::Settings;
use crate::server::descriptor_budget::DescriptorBudget;
use crate::server::engine_queue::EngineQueue;
use crate::server::lifecycle::handover_frames::FrameSender;
use crate::server::lifecycle::Lifecycle;
use crate::server::memory_budget::MemoryBudget;
use crate::server::metrics::Counters;
use closing::DISCARD_BYTES;
use connection_eviction::EvictionCandidates;

/// What a frontend may use.
pub struct FrontendBudgets {
    /// Descriptors of connections.
    pub connections: Rc<DescriptorBudget>,
    /// Memory of messages.
    pub memory: Rc<MemoryBudget>,
}

/// The frontend of one scheduler.
pub struct Frontend {
    settings: RefCell<Rc<Settings>>,
    queue: EngineQueue,
    counters: Rc<Counters>,
    /// Descriptor budget for client connections.
    connections: Rc<DescriptorBudget>,
    /// Memory budget for messages.
    memory: Rc<MemoryBudget>,
    /// Connections that can be closed when descriptors run short.
    eviction_candidates: EvictionCandidates,
    /// Messages received whose response has not been written yet. Nearly all are requests.
    unanswered: Cell<usize>,
    /// Connections closed by the frontend but not yet by their clients.
    lingering: Cell<usize>,
    /// Buffer for input that is discarded, used by one connection at a time.
    discard_buffer: Mutex<Vec<u8>>,
    lifecycle: Rc<Lifecycle>,
    /// The process that has taken over, if any.
    successor: watch::Sender<Option<FrameSender>>,
}

impl Frontend {
    /// Creates a frontend that keeps its connections and messages within `budgets`.
    pub fn new(
        settings: Settings,
        queue: EngineQueue,
        counters: Rc<Counters>,
        lifecycle: Rc<Lifecycle>,
        budgets: FrontendBudgets,
    ) -> Self {
        Frontend {
            settings: RefCell::new(Rc::new(settings)),
            queue,
            counters,
            connections: budgets.connections,
            memory: budgets.memory,
            eviction_candidates: EvictionCandidates::default(),
            unanswered: Cell::new(0),
            lingering: Cell::new(0),
            discard_buffer: Mutex::new(vec![0; DISCARD_BYTES]),
            lifecycle,
            successor: watch::Sender::new(None),
        }
    }

    /// Replaces the settings. They apply to requests received from now on.
    pub fn configure(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Whether no message is being received and none awaits its response.
    pub fn is_empty(&self) -> bool {
        self.unanswered_messages() == 0 && self.eviction_candidates.receiving_count() == 0
    }

    /// Number of messages whose response has not been written.
    pub fn unanswered_messages(&self) -> usize {
        self.unanswered.get()
    }

    /// Whether all clients have closed the connections that the frontend closed. If the process exited earlier, those
    /// connections would be reset and responses on their way could be lost.
    pub fn has_no_lingering_connections(&self) -> bool {
        self.lingering.get() == 0
    }
}

/// Guard that increments a count (unanswered messages or lingering connections) until it is dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn increment(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
