//! Output of the gateway.

use std::time::Duration;

use crate::{
    ForwardedAnswer, ForwardedRequestId, Incarnation, LinkId, LocalRequestId, NotForwarded, Origin, Outcome,
    RemoteStatus, ReturnReason,
};

/// An action for the caller to perform, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request on a link and remove it from the local scheduler.
    Forward {
        /// The request to forward.
        request: LocalRequestId,
        /// The outbound link.
        link: LinkId,
        /// The ID of the request on the link.
        forwarded: ForwardedRequestId,
        /// The incarnation that granted the capacity used by this request.
        epoch: Incarnation,
        /// Time left for the request at the peer: until its client gives up, less the round trip and a
        /// margin.
        time_left: Duration,
    },
    /// Keep a candidate at this site.
    KeepLocal(LocalRequestId, NotForwarded),
    /// Return a forwarded request, which never ran at the peer, to the local scheduler.
    ReturnToScheduler(LocalRequestId),
    /// Answer the client of a forwarded request.
    Answer(LocalRequestId, ForwardedAnswer),
    /// Tell the peer that the client has disconnected.
    SendCancel(LinkId, ForwardedRequestId),
    /// Query the peer for the status of these requests.
    QueryStatus(LinkId, Vec<ForwardedRequestId>),
    /// Tell the peer that the outcome was received.
    AcknowledgeOutcome(LinkId, ForwardedRequestId),

    /// Tell the peer how much capacity it may use.
    GrantCapacity {
        /// The inbound link.
        link: LinkId,
        /// Total number of slots that the peer may use on this link, counted since the link came up.
        limit: u64,
        /// How long the grant is valid.
        term: Duration,
    },
    /// Accept an offered request: hand it to the scheduler.
    Accept {
        /// The link on which the request was received.
        link: LinkId,
        /// Identifies the request at this site.
        origin: Origin,
        /// Time left for the request, until its client gives up.
        time_left: Duration,
    },
    /// Return a request to the peer unstarted.
    ReturnUnstarted(LinkId, ForwardedRequestId, ReturnReason),
    /// Send the outcome of a request to the peer.
    SendOutcome(LinkId, ForwardedRequestId, Outcome),
    /// Send the status of a request to the peer.
    SendStatus(LinkId, ForwardedRequestId, RemoteStatus),
    /// Cancel an accepted request whose client has disconnected.
    CancelInbound(Origin),
    /// Close a link that is replaced or no longer needed.
    CloseLink(LinkId),
}
