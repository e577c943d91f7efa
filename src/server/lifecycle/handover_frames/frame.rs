//! The messages between the two processes of an upgrade.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::scheduling::{LearnedState, WorkerId};
use crate::server::frontend::connection_eviction::EvictionClass;
use crate::server::messages::{MigratedRequest, WorkerCallback};

/// The form of the frames that are not stable: one more with each change to any of them.
///
/// Two builds with different forms exchange only the stable frames, which is enough to take over: the predecessor then
/// closes idle connections instead of handing them on, and finishes its requests itself.
pub(super) const FORM: u8 = 2;
/// The number of stable frames, which come first in [`HandoverFrame`]: every build writes the same bytes for them.
pub(super) const STABLE_FRAMES: u8 = 5;

/// A message between the predecessor and its successor. The order of variants and fields is stored: see the module above.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandoverFrame {
    /// From the predecessor, with the socket on which clients are accepted.
    Listener,
    /// From the successor: it serves, and the predecessor is to accept no more.
    Serving,
    /// A request with this id is open at the sender.
    RequestOpened(Bytes),
    /// The request with this id is no longer open at the sender.
    RequestClosed(Bytes),
    /// A callback for a request that is not open where it came in.
    Callback {
        /// The callback.
        callback: WorkerCallback,
        /// How often it has been relayed.
        relays: u8,
    },
    /// An idle connection of a client, with its socket.
    IdleConnection {
        /// When it is evicted, by what it has carried.
        eviction_class: EvictionClass,
        /// Whether a message on it has been answered.
        answered: bool,
    },
    /// From the predecessor: what it has learned about the workers.
    LearnedState {
        /// The state, with the worker numbers of the predecessor.
        learned: Box<LearnedState>,
        /// The names of the workers with these numbers.
        worker_names: Vec<(WorkerId, String)>,
    },
    /// A request, with the socket on which its client waits.
    Request {
        /// The request.
        request: Box<MigratedRequest>,
        /// What the client has sent after it.
        read_ahead: Bytes,
        /// Whether the client keeps the connection open.
        keep_alive: bool,
    },
    /// The sender has sent an attempt to a worker.
    WorkSent {
        /// The worker.
        worker_name: String,
        /// Index into the settings' classes.
        class: usize,
        /// Its expected work in seconds.
        work_s: f64,
    },
}

impl HandoverFrame {
    /// Whether builds of every form read this frame.
    pub(super) fn is_stable(&self) -> bool {
        match self {
            HandoverFrame::Listener
            | HandoverFrame::Serving
            | HandoverFrame::RequestOpened(_)
            | HandoverFrame::RequestClosed(_)
            | HandoverFrame::Callback { .. } => true,
            HandoverFrame::IdleConnection { .. }
            | HandoverFrame::LearnedState { .. }
            | HandoverFrame::Request { .. }
            | HandoverFrame::WorkSent { .. } => false,
        }
    }

    /// Whether a socket comes with this frame.
    pub(super) fn carries_socket(&self) -> bool {
        match self {
            HandoverFrame::Listener
            | HandoverFrame::IdleConnection { .. }
            | HandoverFrame::Request { .. } => true,
            HandoverFrame::Serving
            | HandoverFrame::RequestOpened(_)
            | HandoverFrame::RequestClosed(_)
            | HandoverFrame::Callback { .. }
            | HandoverFrame::LearnedState { .. }
            | HandoverFrame::WorkSent { .. } => false,
        }
    }
}
