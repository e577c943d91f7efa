//! One attempt of a request at one worker, from the connect until the engine needs it no more.
//!
//! `exchange` sends the request and reads the response. A response of 202 accepts the request: its callbacks, which
//! go to the engine directly, report the result, and the attempt waits for the engine's command. `cancellation`
//! sends the `DELETE` if the engine cancels the attempt, and `state` tells how far the attempt has come.
//!
//! Not decided here: which worker, when to cancel, and whether to retry (scheduling), and what an end proves about
//! the request ([`AttemptEnd::outcome`]).

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

/// How long a response is read once the engine needs it no more, so that the connection can be pooled.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt before it runs.
pub struct AttemptTask {
    /// Where the request goes.
    pub worker: Rc<WorkerEndpoint>,
    /// The request.
    pub payload: Rc<RequestPayload>,
    /// When the request's client stops waiting.
    pub deadline: Instant,
    /// Brings the engine's command once it needs the attempt no more.
    pub command: oneshot::Receiver<AttemptCommand>,
    /// Counts cancellations.
    pub counters: Rc<Counters>,
    /// Counts attempts of the request's class.
    pub class: Rc<ClassCounters>,
    /// Set once the worker has accepted the request.
    pub accepted: Rc<Cell<bool>>,
}

impl AttemptTask {
    /// Runs the attempt to its end. If a callback has ended it before, the engine knows the result already and the
    /// value is [`AttemptEnd::Completed`].
    pub async fn run(mut self) -> AttemptResult {
        let state = Cell::new(AttemptState::Connecting);
        let exchange = Exchange {
            worker: &self.worker,
            payload: &self.payload,
            deadline: self.deadline,
            attempts: &self.class.tries,
            state: &state,
        };
        // Boxed, so that a cancellation can drop it, and with it the connection, at once.
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
            // A callback may overtake the response. The response is of no interest then, but once it is read the
            // connection is free. If it does not come in time, the connection is closed.
            let _ = timeout(LATE_RESPONSE_TIMEOUT, exchange).await;
            return AttemptResult::without_report(AttemptEnd::Completed);
        }
        drop(exchange); // before the response, closing the connection cancels the request (protocol page)
        let end = self.cancel(state.get().after(AttemptEvent::CancelCommanded)).await;
        AttemptResult::without_report(end)
    }

    /// The rest of an attempt whose request the worker has accepted: waits for the engine's command.
    pub async fn run_accepted(mut self) -> AttemptResult {
        self.accepted.set(true);
        let reserve = WorkerEndpoint::request_accepted(&self.worker);
        let command = (&mut self.command).await;
        drop(reserve); // a connection for the DELETE is needed no longer than this
        if !matches!(command, Ok(AttemptCommand::Cancel)) {
            return AttemptResult::without_report(AttemptEnd::Completed);
        }
        let end = self.cancel(AttemptState::Accepted.after(AttemptEvent::CancelCommanded)).await;
        AttemptResult::without_report(end)
    }
}
