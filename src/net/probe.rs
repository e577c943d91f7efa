//! A question to a pool member: does it answer, and how loaded is it? Asked only where the settings allow it,
//! and only when the module decides so.

use std::rc::Rc;

use simd_json::prelude::*;
use tokio::time::timeout;

use super::end::ConnectionEnd;
use super::http::{Connection, HttpError};
use super::member::{Member, Use};
use crate::api::Outcome;

/// Asks a member once, within the time in which a connection has to come up. The report is empty where it sends
/// none. No connection is kept for long by it: one that got no whole answer is closed.
pub async fn probe(member: Rc<Member>, reports: bool) -> (Outcome, Vec<(String, f64)>) {
    let mut connection = match Member::connection(&member, Use::Job).await {
        Ok(connection) => connection,
        Err(end) => return (end.outcome(), Vec::new()),
    };
    let asked = timeout(member.patience(), ask(&mut connection.http, reports)).await;
    match asked {
        Err(_) => (Outcome::Timeout, Vec::new()),
        Ok(Ok((status, body, keep))) => {
            if keep {
                member.keep(connection);
            }
            let outcome = if status == 200 { Outcome::Ok } else { Outcome::Full };
            (outcome, report(body))
        }
        Ok(Err(HttpError::Closed | HttpError::Io(_))) if member.is_stale(&connection) => {
            (ConnectionEnd::Stale.outcome(), Vec::new())
        }
        Ok(Err(_)) => (Outcome::Reset, Vec::new()),
    }
}

/// The status, the body, and whether the connection is good for more.
async fn ask(http: &mut Connection, reports: bool) -> Result<(u16, Vec<u8>, bool), HttpError> {
    let path: &[u8] = if reports { b"/status/load" } else { b"/health" };
    http.write(&[b"GET ", path, b" HTTP/1.1\r\nHost: app.svc\r\n\r\n"]).await?;
    let head = http.response_head().await?;
    let body = http.body(&head).await?;
    Ok((head.status, body.to_vec(), head.keep_alive))
}

/// The report in a body: an object, or as a header writes it. What is neither tells nothing.
fn report(mut body: Vec<u8>) -> Vec<(String, f64)> {
    if !body.trim_ascii().starts_with(b"{") {
        return String::from_utf8(body).map(|text| read_report(&text)).unwrap_or_default();
    }
    let Ok(tape) = simd_json::to_tape(&mut body) else { return Vec::new() };
    let value = tape.as_value();
    let load = value.get("load").unwrap_or(value);
    let Some(load) = load.as_object() else { return Vec::new() };
    load.iter().filter_map(|(name, value)| Some((name.to_owned(), value.cast_f64()?))).collect()
}

/// A load report as a header writes it: `name=value,name=value`.
pub fn read_report(report: &str) -> Vec<(String, f64)> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter_map(|(name, value)| Some((name.trim().to_owned(), value.trim().parse().ok()?))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_is_read_in_either_form_and_nonsense_tells_nothing() {
        let two = vec![("x0".to_owned(), 2.0), ("x1".to_owned(), 1.5)];
        for body in
            ["x0=2,x1=1.5", " x0 = 2 , x1 = 1.5,", r#"{"x0":2,"x1":1.5}"#, r#"{"load":{"x0":2,"x1":1.5}}"#]
        {
            assert_eq!(report(body.into()), two, "{body}");
        }
        for body in ["", "{", "{\"load\":7}", "[1]", "x0", "\u{0}"] {
            assert!(report(body.into()).is_empty(), "{body}");
        }
    }
}
