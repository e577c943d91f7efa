//! The HTTP frontend: one listener for the requests of clients, the callbacks of workers, `/ready` and `/counters`.
//!
//! It turns HTTP into messages for the engine, and the engine's final answers into HTTP. It decides which connections
//! are open, not what becomes of a request: see `src/server/engine.rs` for that, and `src/scheduling` for the rules.
//!
//! - `accept_loop`: accepts connections, and evicts others where descriptors run short.
//! - `client_connection`: the states of a connection and the one function that changes them. Start here.
//! - `request_handling`: what a message that has arrived leads to.
//! - `request_parser`, `callback_parser`: what messages say; `wire_names`: their headers and fields.
//! - `response`: status lines, headers, and how they are written.
//! - `closing`: lingering closes, and the close of idle connections while the process drains.
//! - [`connection_eviction`]: which connections are closed first when descriptors run short.
//! - [`connection_handoff`]: connections and requests to and from another process during an upgrade.
//!
//! All of it runs on one thread: cells need no lock, and nothing changes between two `await`s.

mod accept_loop;
mod callback_parser;
mod client_connection;
mod closing;
pub mod connection_eviction;
pub mod connection_handoff;
mod connection_state;
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
use crate::server::metrics::Counters;
use closing::DISCARD_BYTES;
use connection_eviction::EvictionCandidates;

/// The frontend of one scheduler.
pub struct Frontend {
    settings: RefCell<Rc<Settings>>,
    queue: EngineQueue,
    counters: Rc<Counters>,
    /// Connections that may be open.
    connections: Rc<DescriptorBudget>,
    /// Connections that may be closed where descriptors run short.
    eviction_candidates: EvictionCandidates,
    /// Messages that have been read and whose response is not written yet: nearly all are requests.
    unanswered: Cell<usize>,
    /// Connections that are closed from here, but not yet by their clients.
    lingering: Cell<usize>,
    /// Where input that is dropped is read to, by one connection at a time.
    scratch: Mutex<Vec<u8>>,
    lifecycle: Rc<Lifecycle>,
    /// The process that has taken over, if there is one.
    successor: watch::Sender<Option<FrameSender>>,
}

impl Frontend {
    /// A frontend that holds connections within this budget.
    pub fn new(
        settings: Settings,
        queue: EngineQueue,
        counters: Rc<Counters>,
        lifecycle: Rc<Lifecycle>,
        connections: Rc<DescriptorBudget>,
    ) -> Self {
        Frontend {
            settings: RefCell::new(Rc::new(settings)),
            queue,
            counters,
            connections,
            eviction_candidates: EvictionCandidates::default(),
            unanswered: Cell::new(0),
            lingering: Cell::new(0),
            scratch: Mutex::new(vec![0; DISCARD_BYTES]),
            lifecycle,
            successor: watch::Sender::new(None),
        }
    }

    /// Uses other settings for the requests that arrive from now on.
    pub fn configure(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Whether no client's message is arriving or waits for its response.
    pub fn is_empty(&self) -> bool {
        self.unanswered_messages() == 0 && self.eviction_candidates.count_arriving() == 0
    }

    /// Messages whose response has not been written.
    pub fn unanswered_messages(&self) -> usize {
        self.unanswered.get()
    }

    /// Whether the clients have seen all closes: a process that exits before would reset what they read.
    pub fn has_no_lingering_connections(&self) -> bool {
        self.lingering.get() == 0
    }
}

/// Counts one more, unanswered or lingering, for as long as it lives.
struct InProgress<'a>(&'a Cell<usize>);

impl<'a> InProgress<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        InProgress(count)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
