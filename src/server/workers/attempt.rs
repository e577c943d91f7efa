//! One attempt of a request at one worker, from connecting until the engine no longer needs it.
//!
//! `exchange` sends the request and reads the response. With a 202 response the worker accepts the request and reports
//! the result later in a callback, which goes directly to the engine. Until then the attempt waits for a command from
//! the engine. `cancellation` sends a `DELETE` if the engine cancels the attempt. `state` tracks the progress of the
//! attempt.
//!
//! The scheduling module chooses the worker and decides when to cancel and whether to retry.
//! [`AttemptEnd::outcome`] defines which ends prove that the request did not run.

mod cancellation;
mod exchange;
mod result;
mod state;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

use crate::server::attempt_end::AttemptEnd;
use crate::server::messages::{AttemptCommand, RequestPayload};
use crate::server::metrics::{ClassCounters, Counters};
use crate::server::workers::attempt::exchange::{Exchange, ExchangeResult};
pub use crate::server::workers::attempt::result::AttemptResult;
use crate::server::workers::attempt::state::{AttemptEvent, AttemptState};
use crate::server::workers::endpoint::WorkerEndpoint;

/// Time limit for reading a response that the engine no longer needs, so that the connection can be pooled.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt that has not started yet.
pub struct AttemptTask {
    /// The worker to send the request to.
    pub worker: Rc<WorkerEndpoint>,
    /// The request to send.
    pub payload: Rc<RequestPayload>,
    /// Deadline of the request, after which its client stops waiting.
    pub deadline: Instant,
    /// Receives the engine's command when it no longer needs the attempt.
    pub command: oneshot::Receiver<AttemptCommand>,
    /// Process-wide counters; cancellations are counted here.
    pub counters: Rc<Counters>,
    /// Counters of the request's class; attempts are counted here.
    pub class: Rc<ClassCounters>,
    /// Set once the worker has accepted the request.
    pub accepted: Rc<Cell<bool>>,
    /// Set once the client of the request has disconnected. An attempt that is not written yet must not be sent then, also
    /// where the settings do not allow to cancel one.
    pub client_disconnected: Rc<Cell<bool>>,
}

impl AttemptTask {
    /// Runs the attempt to its end. If a callback ends it first, the engine already has the result and this returns
    /// [`AttemptEnd::Completed`].
    pub async fn run(mut self) -> AttemptResult {
        let state = Cell::new(AttemptState::Connecting);
        let exchange = Exchange {
            worker: &self.worker,
            payload: &self.payload,
            deadline: self.deadline,
            attempts: &self.class.tries,
            client_disconnected: &self.client_disconnected,
            state: &state,
        };
        // Boxed so that a cancellation can drop the exchange, and with it the connection, immediately.
        let mut exchange = Box::pin(exchange.run());
        let command = tokio::select! {
            biased;
            command = &mut self.command => command,
            result = &mut exchange => match result {
                ExchangeResult::Ended(result) => return result,
                ExchangeResult::Accepted => {
                    drop(exchange);
                    return self.run_accepted().await;
                }
            },
        };
        if !matches!(command, Ok(AttemptCommand::Cancel)) {
            // A callback arrived before the response. The response is still read so that the connection can be
            // reused. If it does not arrive in time, the connection is closed. A request that is not written yet
            // was answered by another attempt, and must not reach the worker.
            if state.get().is_request_written() {
                let _ = timeout(LATE_RESPONSE_TIMEOUT, exchange).await;
            }
            return AttemptResult::without_load_report(AttemptEnd::Completed);
        }
        // Closing the connection before the response cancels the request (protocol page).
        drop(exchange);
        let end = self.cancel(state.get().after(AttemptEvent::CancelRequested)).await;
        AttemptResult::without_load_report(end)
    }

    /// Runs the remainder of an attempt after the worker accepted the request: waits for the engine's command.
    pub async fn run_accepted(mut self) -> AttemptResult {
        self.accepted.set(true);
        let accepted_request = WorkerEndpoint::track_accepted_request(&self.worker);
        let command = (&mut self.command).await;
        drop(accepted_request); // the DELETE, if any, follows now: no connection has to stay reserved for it
        if !matches!(command, Ok(AttemptCommand::Cancel)) {
            return AttemptResult::without_load_report(AttemptEnd::Completed);
        }
        let end = self.cancel(AttemptState::Accepted.after(AttemptEvent::CancelRequested)).await;
        AttemptResult::without_load_report(end)
    }
}
