//! A capacity probe: asks a worker whether it answers and how loaded it is. Sent only where the settings allow it, and
//! when the scheduling module decides so.

use std::rc::Rc;

use tokio::time::timeout;

use crate::server::attempt_end::AttemptEnd;
use crate::server::http::{Connection, HttpError};
use crate::server::load_report::{from_body, RawLoadReport};
use crate::server::workers::connection::WorkerConnection;
use crate::server::workers::endpoint::{ConnectionPurpose, WorkerEndpoint};

/// What a probe has brought.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// The worker's load report; empty where it sent none.
    pub load_report: RawLoadReport,
}

/// Probes a worker once, within its response time-out. Where workers send load reports (`wants_report`), the probe
/// reads one, else it is a health check. A connection without a complete response is closed.
pub async fn probe(worker: Rc<WorkerEndpoint>, wants_report: bool) -> ProbeResult {
    let mut connection = match WorkerEndpoint::connection(&worker, ConnectionPurpose::Request).await {
        Ok(connection) => connection,
        Err(error) => return ProbeResult { end: error.into(), load_report: RawLoadReport::new() },
    };
    let response = timeout(worker.response_timeout(), request(&mut connection.http, wants_report)).await;
    let end = match response {
        Err(_) => AttemptEnd::DeadlinePassed,
        Ok(Err(error)) => end_without_response(&error, &worker, &connection),
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

async fn request(http: &mut Connection, wants_report: bool) -> Result<ProbeResponse, HttpError> {
    let path: &[u8] = if wants_report { b"/status/load" } else { b"/health" };
    http.write(&[b"GET ", path, b" HTTP/1.1\r\nHost: app.svc\r\n\r\n"]).await?;
    let head = http.response_head().await?;
    let body = http.body(&head).await?.to_vec();
    Ok(ProbeResponse { status: head.status, body, keep_alive: head.keep_alive })
}

fn end_without_response(
    error: &HttpError,
    worker: &WorkerEndpoint,
    connection: &WorkerConnection,
) -> AttemptEnd {
    match error {
        HttpError::Malformed(_) | HttpError::HeadTooLong | HttpError::BodyTooLong => {
            AttemptEnd::MalformedResponse
        }
        HttpError::Closed | HttpError::Io(_) | HttpError::Truncated | HttpError::TimedOut => {
            if worker.record_if_stale(connection) {
                return AttemptEnd::StaleConnection;
            }
            AttemptEnd::ResetWhileWaiting
        }
    }
}
