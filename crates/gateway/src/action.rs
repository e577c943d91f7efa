//! The output of the gateway.

use std::time::Duration;

use crate::{
    ForwardedAnswer, ForwardedRequestId, Incarnation, LinkId, LocalRequestId, NotForwarded, Origin, Outcome,
    RemoteStatus, ReturnReason,
};

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request. The scheduler here must give it up.
    Forward {
        /// The request.
        request: LocalRequestId,
        /// The link to forward it on.
        link: LinkId,
        /// Its number on the link.
        forwarded: ForwardedRequestId,
        /// The incarnation that granted the capacity it uses.
        epoch: Incarnation,
        /// Time left for it at the other site: until its client gives up, less the round trip and a margin.
        time_left: Duration,
    },
    /// A candidate is not forwarded.
    KeepLocal(LocalRequestId, NotForwarded),
    /// A forwarded request never ran elsewhere: it goes back to the scheduler here.
    ReturnToScheduler(LocalRequestId),
    /// The final answer to a forwarded request.
    Answer(LocalRequestId, ForwardedAnswer),
    /// Tell the peer that the client has disconnected.
    SendCancel(LinkId, ForwardedRequestId),
    /// Ask the peer what it knows of these.
    QueryStatus(LinkId, Vec<ForwardedRequestId>),
    /// Tell the peer that the outcome has arrived.
    AcknowledgeOutcome(LinkId, ForwardedRequestId),

    /// Tell the peer how much capacity it may use.
    GrantCapacity {
        /// The link.
        link: LinkId,
        /// Slots that may have been used on this link, counted since it came up.
        limit: u64,
        /// How long the grant holds.
        term: Duration,
    },
    /// Accept an offered request: hand it to the scheduler with this time left.
    Accept {
        /// The link that it came on.
        link: LinkId,
        /// Its name here.
        origin: Origin,
        /// Time until its client gives up.
        time_left: Duration,
    },
    /// Return a request to the peer unstarted.
    ReturnUnstarted(LinkId, ForwardedRequestId, ReturnReason),
    /// Tell the peer the outcome.
    SendOutcome(LinkId, ForwardedRequestId, Outcome),
    /// Tell the peer what is known of a request.
    SendStatus(LinkId, ForwardedRequestId, RemoteStatus),
    /// The client of an accepted request has disconnected: the scheduler is to give it up.
    CancelInbound(Origin),
    /// Close a link that is not needed any more.
    CloseLink(LinkId),
}
