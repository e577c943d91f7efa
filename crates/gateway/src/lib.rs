//! Decides which requests a site forwards to peer sites, and how much capacity it grants them.
//!
//! This crate is sans-I/O: it opens no sockets, reads no clock and draws no random numbers.
//! [`Gateway::handle`] takes an [`Event`] and the time at which it happened, and appends the [`Action`]s to
//! perform.
//!
//! Links are directional. A site dials its outbound links and forwards requests on them; it accepts inbound
//! links and receives requests on them. Two sites that help each other have one link in each direction. The
//! two directions share only the [`LoadState`]: a site that forwards requests grants no capacity.
//!
//! The scheduler of the site that holds a request decides which worker runs it, whether it is retried and
//! whether it is rejected. The frame encoding is in `chutesaddle-site-link`. The sockets are in
//! `src/server/peers/site_links.rs`, and the engine's side is in `src/server/engine/site_forwarding.rs`.
//!
//! | module | purpose |
//! | --- | --- |
//! | `event`, `action`, `candidate`, `outcome`, `ids` | inputs and outputs |
//! | `gateway` | holds the state and dispatches events |
//! | `gateway/routing` | decides whether a request is forwarded, and on which link |
//! | `gateway/outbound` | tracks a forwarded request until its client is answered |
//! | `gateway/inbound` | accepts or returns requests from peers, and reports their outcomes |
//! | `gateway/granting` | decides how much capacity each peer is granted |
//! | `gateway/links` | handles links that come up or go down |
//! | `gateway/statistics` | counters and gauges for operators |
//! | `forwarded_request` | the sender's state machine for one forwarded request |
//! | `load_state` | decides, with hysteresis, whether this site forwards, grants capacity, or neither |
//! | `credit`, `capacity_grant` | flow control: capacity granted by a peer, and capacity granted to a peer |
//! | `idempotency_store` | records the sites at which an idempotency key may have run |
//! | `ledger` | stores requests from peers and their outcomes for status queries |
//!
//! The design is explained in `docs/gateway.md`.
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
