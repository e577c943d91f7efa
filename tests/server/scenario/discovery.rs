//! Messages of the discovery service.

use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// Encodes a line as one chunk of the response.
pub(super) fn encode_chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// An endpoint list. Workers are given as `NAME:STATE` or `NAME:STATE:START`, with the start time in seconds relative
/// to now.
pub(super) fn endpoint_list(
    version: u64,
    full: bool,
    workers: &str,
    addresses: &HashMap<String, String>,
) -> String {
    let entries: Vec<String> =
        workers.split_whitespace().map(|worker| endpoint_entry(worker, addresses)).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

fn endpoint_entry(worker: &str, addresses: &HashMap<String, String>) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let parts: Vec<&str> = worker.split(':').collect();
    let started_s = parts.get(2).and_then(|text| text.parse::<i64>().ok());
    let started_ms = started_s.map_or(0, |started_s| now_ms + 1000 * started_s);
    // `m1@m2` is the worker m1 at the address of m2.
    let (name, address_of) = parts[0].split_once('@').unwrap_or((parts[0], parts[0]));
    format!(
        r#"{{"id":"{name}","addr":"{}","zone":"a","kind":"k","cell":0,"state":"{}","weight":1.0,"started_ms":{started_ms}}}"#,
        addresses[address_of], parts[1],
    )
}
