//! The scheduling decisions, without sockets and without a clock.
//!
//! The caller hands a [`Dispatcher`] each [`Event`] with the time, and carries out the [`Action`]s that come back. The
//! same settings, seed and events give the same actions, so that any decision can be replayed.
//!
//! | question | file |
//! | --- | --- |
//! | what happens at an event? | `dispatcher.rs`: one line for each |
//! | who is admitted, with what priority (Eq. 1)? | `admission.rs`, `quota.rs` |
//! | when is the queue served, and who is shed (Eq. 2)? | `round.rs`, `load_shedding.rs` |
//! | which worker gets a request, and why does one get none? | `placement.rs`, `affinity.rs`, `capacity_probe.rs` |
//! | may it be sent again? | `retry.rs` |
//! | when is an attempt overdue, and is it hedged or cancelled? | `overdue.rs`, `hedging.rs` |
//! | how does a request end? | `final_answer.rs` |
//! | who is ejected and readmitted? | `outlier_detection.rs`; after which faults: `attempt_progress.rs`, `update_worker` |
//! | how much may a worker get that has just started? | `slow_start.rs`, `scheduler_share.rs`, `recent_sends.rs` |
//! | what does the start, progress or end of an attempt mean for its worker and its request? | `attempt_progress.rs` |
//! | what does a new endpoint list change? | `endpoint_update.rs` |
//! | what do schedulers tell each other? | `gossip.rs`, `gossip_broadcast.rs` |
//! | what goes to the next process in an upgrade? | `handover.rs` |
//!
//! Rules use estimates (`run_time_estimate.rs`, `load_estimate.rs`, `water_filling.rs`), and both use records that decide
//! nothing: `state.rs`, `fleet.rs`, `worker.rs`, `request_table.rs`, `statistics.rs`. Times are seconds as `f64`, as the
//! simulator's traces are compared to the bit. [`docs/design.md`](../../docs/design.md) gives the reasons.

mod action;
mod admission;
mod affinity;
mod attempt_progress;
mod capacity_probe;
mod decaying_mean;
mod dispatcher;
mod endpoint;
mod endpoint_update;
mod event;
mod final_answer;
mod fleet;
pub(crate) mod gossip;
mod gossip_broadcast;
mod handover;
mod hedging;
mod identifiers;
mod load_estimate;
mod load_shedding;
mod outlier_detection;
mod overdue;
mod placement;
mod quota;
pub(crate) mod random;
mod recent_sends;
mod request;
mod request_table;
mod retry;
mod round;
mod run_time_estimate;
pub mod scheduler_share;
mod settings;
pub mod slow_start;
mod state;
mod statistics;
mod timer;
mod token_bucket;
mod water_filling;
mod worker;

pub use action::{Action, CapacitySummary};
pub use dispatcher::Dispatcher;
pub use endpoint::{LoadReport, WorkerInfo, WorkerState};
pub use event::{AttemptEnded, Event};
pub use handover::{LearnedState, RequestNeeds, RequestRecord};
pub use identifiers::{RequestId, WorkerId};
pub use request::{AttemptOutcome, Request};
pub use settings::{
    DeduplicationScope, Idempotency, LoadReportField, RequestClass, ScoringBounds, Settings, Tenant,
};
pub use timer::Timer;
