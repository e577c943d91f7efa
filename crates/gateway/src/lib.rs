//! The decisions of a gateway between sites: which requests are forwarded to another site, to which one, and how
//! much capacity this site grants to the others.
//!
//! This crate is sans-I/O: it opens no socket, reads no clock and draws no random number. [`Gateway::handle`]
//! takes an [`Event`] with the time at which it happened and appends the [`Action`]s to carry out.
//!
//! Links have a direction. On an outbound link, which this site has dialled, it forwards requests; on an inbound
//! link, which it has accepted, it receives them. Two sites that help each other have one link each way. The two
//! directions share only the [`LoadState`]: a site that forwards requests grants no capacity.
//!
//! Which worker runs a request, whether it is retried and whether it is rejected is decided by the scheduler of
//! the site where the request is. The bytes on a link are `chutesaddle-site-link`. Sockets are in
//! `src/server/peers/site_links.rs`, and the engine's part is in `src/server/engine/site_forwarding.rs`.
//!
//! | file | question |
//! | --- | --- |
//! | `event`, `action`, `candidate`, `outcome`, `ids` | what goes in, what comes out |
//! | `gateway` | the state and the dispatch of events |
//! | `gateway/routing` | is this request forwarded, and on which link |
//! | `gateway/outbound` | what happens to a forwarded request until its client is answered |
//! | `gateway/inbound` | is a request of another site accepted, and what is said about its outcome |
//! | `gateway/granting` | how much capacity each peer gets |
//! | `forwarded_request` | the stages of one forwarded request, as its sender knows them |
//! | `load_state` | hysteresis: does this site forward, grant capacity, or neither |
//! | `credit`, `capacity_grant` | flow control: what a peer has granted, what this site has granted |
//! | `idempotency_store` | at which site an idempotency key may have run lately |
//! | `ledger` | what came in and how it ended, for as long as its sender may ask |
//!
//! The design and its reasons are in `docs/gateway.md`.
#![warn(missing_docs)]

mod action;
mod candidate;
mod capacity_grant;
mod config;
mod credit;
mod event;
mod forwarded_request;
mod gateway;
mod idempotency_store;
mod ids;
mod ledger;
mod load_state;
mod outcome;

pub use action::Action;
pub use candidate::{Candidate, Idempotency, NotForwarded};
pub use config::{Config, PeerConfig};
pub use event::Event;
pub use gateway::{Gateway, Statistics};
pub use ids::{ForwardedRequestId, Incarnation, LinkId, LocalRequestId, Origin, SiteId, Time};
pub use load_state::{LoadState, SiteLoad};
pub use outcome::{ForwardedAnswer, Outcome, RemoteStatus, ReturnReason};
