//! A question to a pool member: does it answer, and how loaded is it? Asked only where the settings allow it,
//! and only when the module decides so.

use std::rc::Rc;

use tokio::time::timeout;

use crate::server::attempt_end::AttemptEnd;
use crate::server::http::{Connection, HttpError};
use crate::server::load_report::{from_body, Report};
use crate::server::workers::endpoint::{Use, WorkerEndpoint};

/// Asks a member once, within the time in which a connection has to come up. The report is empty where it sends
/// none. A connection that got no whole answer is closed.
pub async fn probe(member: Rc<WorkerEndpoint>, reports: bool) -> (AttemptEnd, Report) {
    let mut connection = match WorkerEndpoint::connection(&member, Use::Job).await {
        Ok(connection) => connection,
        Err(end) => return (end, Report::new()),
    };
    let end = match timeout(member.patience(), ask(&mut connection.http, reports)).await {
        Err(_) => AttemptEnd::DeadlinePassed,
        Ok(Ok((status, body, keep))) => {
            if keep {
                member.keep(connection);
            }
            let end = if status == 200 { AttemptEnd::Completed } else { AttemptEnd::RejectedByWorker };
            return (end, from_body(body));
        }
        Ok(Err(HttpError::Malformed(_) | HttpError::HeadTooLong | HttpError::BodyTooLong)) => {
            AttemptEnd::MalformedResponse
        }
        Ok(Err(_)) if member.is_stale(&connection) => AttemptEnd::StaleConnection,
        Ok(Err(_)) => AttemptEnd::ResetWhileWaiting,
    };
    (end, Report::new())
}

/// The status, the body, and whether the connection is good for more.
async fn ask(http: &mut Connection, reports: bool) -> Result<(u16, Vec<u8>, bool), HttpError> {
    let path: &[u8] = if reports { b"/status/load" } else { b"/health" };
    http.write(&[b"GET ", path, b" HTTP/1.1\r\nHost: app.svc\r\n\r\n"]).await?;
    let head = http.response_head().await?;
    let body = http.body(&head).await?;
    Ok((head.status, body.to_vec(), head.keep_alive))
}
