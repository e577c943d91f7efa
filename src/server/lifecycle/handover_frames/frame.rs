//! The message type of the handover link.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::scheduling::{LearnedState, WorkerId};
use crate::server::descriptor_budget::DescriptorReservation;
use crate::server::executed_requests::ExecutedRequest;
use crate::server::frontend::connection_eviction::EvictionClass;
use crate::server::lifecycle::handover_frames::EndpointListPart;
use crate::server::messages::{MigratedRequest, WorkerCallback};

/// Frame format version. Increment it with every change to a frame that is not stable, or to what it implies.
///
/// | version | change |
/// | --- | --- |
/// | 2 | the first with stable frames |
/// | 3 | same encoding; no callback about an ended attempt of a migrated request can follow |
/// | 4 | `DescriptorsReserved`; a client connection takes its descriptor along |
/// | 5 | `EndpointList` and `InitialStateSent` |
/// | 6 | `RequestsExecuted`; a request that was taken over stays open without a further frame |
///
/// Builds with different versions exchange only stable frames, which suffice for an upgrade: the predecessor then closes
/// its idle connections instead of handing them over, and finishes its own requests.
pub(super) const FRAME_FORMAT_VERSION: u8 = 6;
/// Number of stable frames, the first variants of [`HandoverFrame`]. All builds encode them identically.
pub(super) const STABLE_FRAME_COUNT: u8 = 5;

/// A message between the predecessor and its successor. The order of variants and fields is part of the encoding, see
/// [`super`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandoverFrame {
    /// Sent by the predecessor with the client listener.
    Listener,
    /// Sent by the successor: it serves, and the predecessor must stop accepting connections.
    Serving,
    /// The request with this ID is now open in the sending process.
    RequestOpened(Bytes),
    /// The request with this ID is no longer open in the sending process.
    RequestClosed(Bytes),
    /// A callback for a request that is not open in the process that received the callback.
    Callback {
        /// The callback.
        callback: WorkerCallback,
        /// How many times it has been relayed.
        relays: u8,
    },
    /// An idle client connection, sent with its socket.
    IdleConnection {
        /// Eviction class of the connection.
        eviction_class: EvictionClass,
        /// Whether a message on the connection has been answered.
        answered: bool,
    },
    /// Sent by the predecessor: its learned state of the workers.
    LearnedState {
        /// The learned state. It refers to workers by the predecessor's worker IDs.
        learned: Box<LearnedState>,
        /// Names of the workers with these IDs.
        worker_names: Vec<(WorkerId, String)>,
    },
    /// A migrated request, sent with the socket of its client.
    Request {
        /// The request.
        request: Box<MigratedRequest>,
        /// Bytes received from the client after the request.
        read_ahead: Bytes,
        /// Whether the connection stays open after the response.
        keep_alive: bool,
    },
    /// The sending process has sent an attempt to a worker.
    AttemptSent {
        /// Name of the worker.
        worker_name: String,
        /// Index of the request class in the settings.
        class: usize,
        /// Estimated work of the attempt, in seconds.
        work_s: f64,
    },
    /// Sent by the predecessor: the descriptors that it and the processes before it reserve.
    DescriptorsReserved(DescriptorReservation),
    /// A part of an update of the endpoint list in use. A process sends the whole list to a process that joins, and each
    /// update after that.
    EndpointList(EndpointListPart),
    /// Sent by the predecessor once it has sent its endpoint list, its learned state and the requests open in it.
    InitialStateSent,
    /// These requests may have run and are no longer open.
    RequestsExecuted(Vec<ExecutedRequest>),
}

impl HandoverFrame {
    /// Whether builds of every frame format version can read this frame.
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
            | HandoverFrame::AttemptSent { .. }
            | HandoverFrame::DescriptorsReserved(_)
            | HandoverFrame::EndpointList(_)
            | HandoverFrame::InitialStateSent
            | HandoverFrame::RequestsExecuted(_) => false,
        }
    }

    /// Whether this frame is sent with a socket.
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
            | HandoverFrame::AttemptSent { .. }
            | HandoverFrame::DescriptorsReserved(_)
            | HandoverFrame::EndpointList(_)
            | HandoverFrame::InitialStateSent
            | HandoverFrame::RequestsExecuted(_) => false,
        }
    }
}
