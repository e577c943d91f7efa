//! Capacity probes: check whether a worker responds and how loaded it is. The scheduling module decides when to send
//! one, and the settings may disallow them.

use std::rc::Rc;

use tokio::time::timeout;

use crate::server::attempt_end::AttemptEnd;
use crate::server::http::{Connection, HttpError};
use crate::server::load_report::{from_body, RawLoadReport};
use crate::server::workers::connection::WorkerConnection;
use crate::server::workers::endpoint::{ConnectionPurpose, WorkerEndpoint};

/// Result of a capacity probe.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// How the probe ended.
    pub end: AttemptEnd,
    /// Load report of the worker; empty if it sent none.
    pub load_report: RawLoadReport,
}

/// Sends one probe to a worker: a request for its load report if `wants_load_report` is set, a plain health check
/// otherwise.
///
/// Opening a connection is limited by the connect timeout. The response must then arrive within the worker's response
/// timeout. The connection is returned to the pool after a complete response that keeps it alive, and closed otherwise.
pub async fn probe(worker: Rc<WorkerEndpoint>, wants_load_report: bool) -> ProbeResult {
    // As for requests, a pooled connection that has been idle for long is not used, because it may be stale.
    let mut connection = match WorkerEndpoint::acquire_connection(&worker, ConnectionPurpose::Request).await {
        Ok(connection) => connection,
        Err(error) => return ProbeResult { end: error.into(), load_report: RawLoadReport::new() },
    };
    let response =
        timeout(worker.response_timeout(), send_probe(&mut connection.http, wants_load_report)).await;
    let end = match response {
        Err(_) => AttemptEnd::DeadlinePassed,
        Ok(Err(error)) => classify_and_record_error(&error, &worker, &connection),
        Ok(Ok(response)) => {
            if response.keep_alive {
                worker.return_to_pool(connection);
            }
            let is_ready = response.status == 200;
            let end = if is_ready { AttemptEnd::Completed } else { AttemptEnd::RejectedByWorker };
            return ProbeResult { end, load_report: from_body(response.body) };
        }
    };
    ProbeResult { end, load_report: RawLoadReport::new() }
}

struct ProbeResponse {
    status: u16,
    body: Vec<u8>,
    keep_alive: bool,
}

async fn send_probe(http: &mut Connection, wants_load_report: bool) -> Result<ProbeResponse, HttpError> {
    let path: &[u8] = if wants_load_report { b"/status/load" } else { b"/health" };
    // All requests to workers carry the same fixed `Host`.
    http.write(&[b"GET ", path, b" HTTP/1.1\r\nHost: app.svc\r\n\r\n"]).await?;
    let head = http.response_head().await?;
    let body = http.body(&head).await?.to_vec();
    Ok(ProbeResponse { status: head.status, body, keep_alive: head.keep_alive })
}

/// Classifies a probe that failed before a complete response was read. If a reused connection broke, this also shortens
/// the trusted idle time of pooled connections.
///
/// A truncated response counts as a broken connection, too. `HttpError::TimedOut` does not occur: [`probe`] has its own
/// timeout, which ends the probe with [`AttemptEnd::DeadlinePassed`].
fn classify_and_record_error(
    error: &HttpError,
    worker: &WorkerEndpoint,
    connection: &WorkerConnection,
) -> AttemptEnd {
    match error {
        HttpError::Malformed(_) | HttpError::HeadTooLong | HttpError::BodyTooLong => {
            AttemptEnd::MalformedResponse
        }
        HttpError::Closed
        | HttpError::Io(_)
        | HttpError::Truncated
        | HttpError::TimedOut
        | HttpError::MemoryExhausted(_) => {
            if worker.record_if_stale(connection) {
                return AttemptEnd::StaleConnection;
            }
            AttemptEnd::ResetWhileWaiting
        }
    }
}
