//! The messages of discovery.

use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// A line as a chunk of the answer.
pub(super) fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// An endpoint list: workers as `NAME:STATE` or `NAME:STATE:STARTED`, in seconds from now.
pub(super) fn list(version: u64, full: bool, workers: &str, addresses: &HashMap<String, String>) -> String {
    let entries: Vec<String> = workers.split_whitespace().map(|worker| entry(worker, addresses)).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

fn entry(worker: &str, addresses: &HashMap<String, String>) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let parts: Vec<&str> = worker.split(':').collect();
    let started_s = parts.get(2).and_then(|text| text.parse::<i64>().ok());
    let started_ms = started_s.map_or(0, |started_s| now_ms + 1000 * started_s);
    // `m1@m2`: the worker m1, now at the address of m2.
    let (name, at) = parts[0].split_once('@').unwrap_or((parts[0], parts[0]));
    format!(
        r#"{{"id":"{name}","addr":"{}","zone":"a","kind":"k","cell":0,"state":"{}","weight":1.0,"started_ms":{started_ms}}}"#,
        addresses[at], parts[1],
    )
}
