//! Scheduling decisions as a deterministic state machine that does no I/O and reads no clock.
//!
//! The caller passes each [`Event`] with its time to a [`Dispatcher`] and carries out the returned [`Action`]s. The
//! same settings, seed and events produce the same actions, so any decision can be replayed.
//!
//! | topic | file |
//! | --- | --- |
//! | event handling, one match arm per event | `dispatcher.rs` |
//! | admission and request priority (Eq. 1) | `admission.rs`, `quota.rs` |
//! | scheduling rounds and load shedding (Eq. 2) | `round.rs`, `load_shedding.rs` |
//! | choice of a worker | `placement.rs`, `affinity.rs`, `capacity_probe.rs` |
//! | retries | `retry.rs` |
//! | overdue attempts, hedging and cancellation | `overdue.rs`, `hedging.rs` |
//! | final answers | `final_answer.rs` |
//! | ejection and readmission of workers | `outlier_detection.rs`, `update_worker` in `attempt_progress.rs` |
//! | slow start of new workers | `slow_start.rs`, `scheduler_share.rs`, `recent_sends.rs` |
//! | effects of an attempt's start, progress and end | `attempt_progress.rs` |
//! | endpoint list updates | `endpoint_update.rs` |
//! | gossip between schedulers | `gossip.rs`, `gossip_broadcast.rs` |
//! | handover to another process in an upgrade | `handover.rs` |
//!
//! These rules use estimates (`run_time_estimate.rs`, `load_estimate.rs`, `water_filling.rs`). Rules and estimates read
//! data that makes no decisions of its own: `state.rs`, `fleet.rs`, `worker.rs`, `request_table.rs`, `statistics.rs`.
//! Times are seconds as `f64` because the simulator's traces are compared bit for bit.
//! [`docs/design.md`](../../docs/design.md) gives the rationale.

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
mod stored_request;
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
