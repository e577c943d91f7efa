//! One server-side flow: a single attempt of a transaction at one pool member, from the connect to the
//! moment the engine needs it no more.

use std::cell::Cell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

use crate::server::attempt_end::AttemptEnd;
use crate::server::http::{Head, HttpError};
use crate::server::messages::{AttemptCommand, RequestPayload};
use crate::server::metrics::{ClassCounters, Counter, Counters};
use crate::server::workers::endpoint::{Use, WorkerConnection, WorkerEndpoint};

/// How long an answer of the member may still come once the engine needs it no more; until then the
/// connection may become free again.
const LATE_ANSWER: Duration = Duration::from_secs(1);

/// Wait between two tries to reach a member that holds a job which is given up.
const DELETE_AGAIN: Duration = Duration::from_millis(200);

/// How far a flow has come; it decides what giving it up takes.
enum Stage {
    Unsent,
    Waiting,
    Taken,
}

/// A flow before it runs.
pub struct AttemptTask {
    /// Where to.
    pub worker: Rc<WorkerEndpoint>,
    /// What.
    pub payload: Rc<RequestPayload>,
    /// When the transaction's client stops waiting.
    pub deadline: Instant,
    /// The engine's word that it needs the flow no more.
    pub command: oneshot::Receiver<AttemptCommand>,
    /// Counts deletes.
    pub counters: Rc<Counters>,
    /// Counts attempts of the transaction's class.
    pub class: Rc<ClassCounters>,
    /// Told once the member has taken the job.
    pub accepted: Rc<Cell<bool>>,
}

impl AttemptTask {
    /// Runs the flow. The value is how it ended and the load report that came with that, unless a
    /// call-back, which goes to the engine directly, has ended it before.
    pub async fn run(mut self) -> (AttemptEnd, Option<String>) {
        let mut stage = Stage::Unsent;
        // Boxed, so that giving up can drop it, and with it the connection, on the spot.
        let exchange = exchange(&self.worker, &self.payload, self.deadline, &self.class.tries, &mut stage);
        let mut exchange = Box::pin(exchange);
        let order = tokio::select! {
            biased;
            order = &mut self.command => order,
            end = &mut exchange => match end {
                Some(end) => return end,
                None => {
                    drop(exchange);
                    return self.run_taken().await;
                }
            },
        };
        if !matches!(order, Ok(AttemptCommand::Cancel)) {
            // A call-back may overtake the answer. What that answer says is of no more interest, but once it
            // is read the connection is free.
            let _ = timeout(LATE_ANSWER, exchange).await;
            return (AttemptEnd::Completed, None);
        }
        drop(exchange); // before the answer, the close alone gives the job up
        match stage {
            Stage::Unsent => (AttemptEnd::CancelledUnsent, None),
            // The close has given it up. The member may have taken it this instant, hence the DELETE.
            Stage::Waiting => {
                self.delete().await;
                (AttemptEnd::Cancelled, None)
            }
            Stage::Taken => (self.give_up().await, None),
        }
    }

    /// The rest of a flow once the member has taken the job: call-backs, which go to the engine directly,
    /// tell what becomes of it.
    pub async fn run_taken(mut self) -> (AttemptEnd, Option<String>) {
        self.accepted.set(true);
        let held = WorkerEndpoint::hold(&self.worker);
        let order = (&mut self.command).await;
        drop(held); // a connection for the DELETE has been kept for long enough
        match order {
            Ok(AttemptCommand::Cancel) => (self.give_up().await, None),
            _ => (AttemptEnd::Completed, None),
        }
    }

    /// Gives up a job that the member has taken. That takes a DELETE whose last byte is written: to a member
    /// that cannot be reached, the attempt stays out, and whatever is sent elsewhere meanwhile would be a
    /// second copy. Either a call-back or the deadline ends it then.
    async fn give_up(&self) -> AttemptEnd {
        while !self.delete().await {
            let next = Instant::now() + DELETE_AGAIN;
            if next >= self.deadline {
                sleep_until(self.deadline).await;
                return AttemptEnd::DeadlinePassed;
            }
            sleep_until(next).await;
        }
        AttemptEnd::Cancelled
    }

    /// Sends a DELETE and waits for the answer, which shows that no second copy can overlap; a silent member
    /// gives none. Whether the DELETE has been written.
    async fn delete(&self) -> bool {
        self.counters.deletes.add();
        let mut written = false;
        let _ = timeout(self.worker.patience(), delete(&self.worker, &self.payload, &mut written)).await;
        written
    }
}

/// Sends the job and reads the answer. `None`: the member has taken it, and call-backs tell the rest.
async fn exchange(
    member: &Rc<WorkerEndpoint>,
    payload: &RequestPayload,
    deadline: Instant,
    tries: &Counter,
    stage: &mut Stage,
) -> Option<(AttemptEnd, Option<String>)> {
    let mut connection = match WorkerEndpoint::connection(member, Use::Job).await {
        Ok(connection) => connection,
        Err(end) => return Some((end, None)),
    };
    // The connect took time: a member that was told to drain meanwhile must not get the first byte.
    if !member.is_active() {
        member.keep(connection);
        return Some((AttemptEnd::WorkerInactive, None));
    }
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut lengths = String::new();
    let _ = write!(lengths, "\r\nX-Deadline-Ms: {left}\r\nContent-Length: {}\r\n", payload.body.len());
    let mut parts: Vec<&[u8]> =
        vec![b"POST ", &payload.target, b" HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: "];
    parts.extend([&payload.name[..], lengths.as_bytes()]);
    if let Some(key) = &payload.key {
        parts.extend([&b"Idempotency-Key: "[..], key, b"\r\n"]);
    }
    if let Some(content_type) = &payload.content_type {
        parts.extend([&b"Content-Type: "[..], content_type, b"\r\n"]);
    }
    parts.extend([&b"\r\n"[..], &payload.body]);
    if connection.http.write(&parts).await.is_err() {
        return Some((AttemptEnd::ResetWhileSending, None));
    }
    *stage = Stage::Waiting;
    tries.add();
    let head = match connection.http.response_head().await {
        Ok(head) => head,
        Err(HttpError::Malformed(_) | HttpError::HeadTooLong | HttpError::BodyTooLong) => {
            return Some((AttemptEnd::MalformedResponse, None))
        }
        Err(HttpError::Closed | HttpError::Io(_)) if member.is_stale(&connection) => {
            return Some((AttemptEnd::StaleConnection, None))
        }
        Err(_) => return Some((AttemptEnd::ResetWhileWaiting, None)),
    };
    // The head alone tells what became of the job. If its body breaks off, only the connection is lost.
    if head.status == 202 {
        *stage = Stage::Taken;
    }
    let not_run = head.headers.get("x-not-run") == Some("1");
    let load = head.headers.get("x-load").map(str::to_owned);
    finish(member, connection, &head).await;
    match head.status {
        202 => None,
        503 | 504 if not_run => Some((AttemptEnd::RejectedByWorker, load)),
        _ => Some((AttemptEnd::Failed, load)),
    }
}

/// Reads the body of an answer, of which nothing is needed, and keeps the connection.
async fn finish(member: &WorkerEndpoint, mut connection: WorkerConnection, head: &Head) {
    if head.keep_alive && connection.http.body(head).await.is_ok() {
        member.keep(connection);
    }
}

/// Gives a job up at a member that may hold it. Whatever it answers, nothing more can be done. On a kept
/// connection that turns out to be gone, nobody has read the DELETE: it goes out again on another. Where a
/// new one breaks as well, the job stays out: what is sent elsewhere then would be a second copy.
async fn delete(member: &Rc<WorkerEndpoint>, payload: &RequestPayload, written: &mut bool) {
    let head = b" HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n";
    while let Ok(mut connection) = WorkerEndpoint::connection(member, Use::Delete).await {
        if connection.http.write(&[b"DELETE /jobs/", &payload.name, head]).await.is_ok() {
            *written = true;
            if let Ok(head) = connection.http.response_head().await {
                return finish(member, connection, &head).await;
            }
        }
        *written = false;
        if !member.is_stale(&connection) {
            return;
        }
    }
}
