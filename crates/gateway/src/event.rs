//! Input of the gateway.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    Candidate, Config, ForwardedRequestId, Incarnation, LinkId, LocalRequestId, Origin, Outcome,
    RemoteStatus, SiteId, SiteLoad,
};

/// An event that the gateway handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The load of this site was measured.
    LoadMeasured(SiteLoad),
    /// Requests that would otherwise be rejected or late. Each results in one
    /// [`Action::Forward`](crate::Action::Forward) or [`Action::KeepLocal`](crate::Action::KeepLocal).
    Candidates(Vec<Candidate>),
    /// A request with an idempotency key is being sent to a worker of this site.
    KeyRanLocally {
        /// The idempotency key.
        key: Bytes,
        /// The deduplication window of the key.
        window: Duration,
    },
    /// The client of a request of this site has disconnected.
    ClientDisconnected(LocalRequestId),
    /// This site started (`true`) or stopped (`false`) draining. While it drains, it neither forwards nor
    /// accepts requests.
    Drain(bool),
    /// The settings have changed.
    Configure(Config),
    /// Time has passed; see [`Gateway::due`](crate::Gateway::due).
    Tick,

    /// An outbound link is up.
    OutboundLinkUp {
        /// The link.
        link: LinkId,
        /// The site at the other end.
        site: SiteId,
        /// The incarnation of the process there.
        incarnation: Incarnation,
    },
    /// An outbound link has ended, for any reason.
    OutboundLinkDown(LinkId),
    /// The round-trip time of an outbound link was measured.
    RoundTripMeasured(LinkId, Duration),
    /// The peer has granted capacity.
    CreditGranted {
        /// The link.
        link: LinkId,
        /// The incarnation that granted the capacity.
        epoch: Incarnation,
        /// Total number of slots that may be used on this link, counted since the link came up.
        limit: u64,
        /// How long the grant is valid, starting now.
        term: Duration,
    },
    /// The last byte of a forwarded request was written.
    RequestWritten(LinkId, ForwardedRequestId),
    /// The peer accepted a forwarded request.
    RequestAccepted(LinkId, ForwardedRequestId),
    /// The peer returned a forwarded request unstarted.
    RequestReturned(LinkId, ForwardedRequestId),
    /// A forwarded request ended at the peer.
    RequestEnded(LinkId, ForwardedRequestId, Outcome),
    /// The peer answered a status query.
    StatusReceived(LinkId, ForwardedRequestId, RemoteStatus),

    /// An inbound link, dialled by a peer, is up.
    InboundLinkUp {
        /// The link.
        link: LinkId,
        /// The site at the other end.
        site: SiteId,
        /// The incarnation of the process there.
        incarnation: Incarnation,
    },
    /// An inbound link has ended.
    InboundLinkDown(LinkId),
    /// A peer offered a request to this site.
    RequestOffered {
        /// The link.
        link: LinkId,
        /// The ID assigned by the sender.
        forwarded: ForwardedRequestId,
        /// The incarnation of this process that granted the capacity used by the request.
        epoch: Incarnation,
        /// Number of slots that the request needs.
        slots: u32,
        /// Time until the client gives up, as estimated by the sender.
        time_left: Duration,
        /// How long to store the outcome for status queries after the request ends.
        outcome_retention: Duration,
    },
    /// The sender cancelled a request because its client disconnected.
    RequestCancelled(LinkId, ForwardedRequestId),
    /// A peer queried the status of these requests.
    StatusQueried(LinkId, Vec<ForwardedRequestId>),
    /// The sender acknowledged the outcome of a request.
    OutcomeAcknowledged(LinkId, ForwardedRequestId),
    /// A request from a peer ended at this site.
    InboundRequestEnded(Origin, Outcome),
}
