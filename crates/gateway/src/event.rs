//! The input of the gateway.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    Candidate, Config, ForwardedRequestId, Incarnation, LinkId, LocalRequestId, Origin, Outcome,
    RemoteStatus, SiteId, SiteLoad,
};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The load of this site was measured.
    LoadMeasured(SiteLoad),
    /// These requests would otherwise be rejected or late. Each gets one [`Action::Forward`](crate::Action::Forward)
    /// or [`Action::KeepLocal`](crate::Action::KeepLocal).
    Candidates(Vec<Candidate>),
    /// A request with an idempotency key is sent to a worker of this site.
    KeyRanLocally {
        /// Its key.
        key: Bytes,
        /// Its deduplication window.
        window: Duration,
    },
    /// The client of a request of this site has disconnected.
    ClientDisconnected(LocalRequestId),
    /// Whether this site drains: while it does, it forwards nothing and accepts nothing.
    Drain(bool),
    /// The settings have changed.
    Configure(Config),
    /// Time has passed; see [`Gateway::due`](crate::Gateway::due).
    Tick,

    /// A link on which requests may be forwarded is up.
    OutboundLinkUp {
        /// The link.
        link: LinkId,
        /// The site at the other end.
        site: SiteId,
        /// The incarnation of the process there.
        incarnation: Incarnation,
    },
    /// An outbound link has ended, for whatever reason.
    OutboundLinkDown(LinkId),
    /// The round trip of a link was measured.
    RoundTripMeasured(LinkId, Duration),
    /// The peer has granted capacity.
    CreditGranted {
        /// The link.
        link: LinkId,
        /// The incarnation that granted it.
        epoch: Incarnation,
        /// Slots that may have been used on this link, counted since it came up.
        limit: u64,
        /// How long the grant holds from now on.
        term: Duration,
    },
    /// The last byte of a forwarded request is written.
    RequestWritten(LinkId, ForwardedRequestId),
    /// The peer has accepted it.
    RequestAccepted(LinkId, ForwardedRequestId),
    /// The peer returns it unstarted.
    RequestReturned(LinkId, ForwardedRequestId),
    /// It has ended at the peer.
    RequestEnded(LinkId, ForwardedRequestId, Outcome),
    /// The peer has answered a status query.
    StatusReceived(LinkId, ForwardedRequestId, RemoteStatus),

    /// A peer has dialled this site.
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
    /// A peer forwards a request to this site.
    RequestOffered {
        /// The link.
        link: LinkId,
        /// Its number at the sender.
        forwarded: ForwardedRequestId,
        /// The incarnation of this process that granted the capacity it uses.
        epoch: Incarnation,
        /// Slots that it needs.
        slots: u32,
        /// Time until its client gives up, as estimated by the sender.
        time_left: Duration,
        /// How long the sender may ask for its outcome after it has ended.
        outcome_retention: Duration,
    },
    /// The client of a request that came in has disconnected.
    RequestCancelled(LinkId, ForwardedRequestId),
    /// A peer asks what this site knows of these requests.
    StatusQueried(LinkId, Vec<ForwardedRequestId>),
    /// The sender has received the outcome.
    OutcomeAcknowledged(LinkId, ForwardedRequestId),
    /// A request that came in has ended here.
    InboundRequestEnded(Origin, Outcome),
}
