//! A question to a pool member: does it answer, and how loaded is it? Asked only where the settings allow it,
//! and only when the module decides so.

use std::rc::Rc;

use tokio::time::timeout;

use crate::server::attempt_end::ConnectionEnd;
use crate::server::http::{Connection, HttpError};
use crate::server::load_report::{from_body, Report};
use crate::server::workers::endpoint::{Member, Use};

/// Asks a member once, within the time in which a connection has to come up. The report is empty where it sends
/// none. A connection that got no whole answer is closed.
pub async fn probe(member: Rc<Member>, reports: bool) -> (ConnectionEnd, Report) {
    let mut connection = match Member::connection(&member, Use::Job).await {
        Ok(connection) => connection,
        Err(end) => return (end, Report::new()),
    };
    let end = match timeout(member.patience(), ask(&mut connection.http, reports)).await {
        Err(_) => ConnectionEnd::DeadlinePassed,
        Ok(Ok((status, body, keep))) => {
            if keep {
                member.keep(connection);
            }
            let end = if status == 200 { ConnectionEnd::Done } else { ConnectionEnd::Returned };
            return (end, from_body(body));
        }
        Ok(Err(HttpError::Malformed(_) | HttpError::HeadTooLong | HttpError::BodyTooLong)) => {
            ConnectionEnd::Garbled
        }
        Ok(Err(_)) if member.is_stale(&connection) => ConnectionEnd::Stale,
        Ok(Err(_)) => ConnectionEnd::BrokeWaiting,
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
