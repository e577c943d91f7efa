//! The scheduling decisions: who is admitted, where a request is placed, when it is retried, who is ejected.
//!
//! The module knows no sockets and no clock. The caller hands in an [`Event`] with the time and carries out the
//! [`Action`]s that come back.

pub mod affinity;
pub mod decaying_mean;
pub mod dispatcher;
mod estimates;
pub mod gossip;
pub mod interface;
pub mod random;
mod recent_sends;
pub mod scheduler_share;
pub mod slow_start;
pub mod state;
mod water_filling;

pub use dispatcher::Dispatcher;
pub use interface::{Action, Event, Settings};
