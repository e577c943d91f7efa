//! Memory: what clients send, and however slowly, must not take more than the platform allows.

use rstest::rstest;

use crate::scenario::{run_scenario, Environment, DEFAULT};

/// Number of clients, with some 64 kB each.
const CLIENTS: usize = 500;
/// The deployment with the least memory and the usual descriptors.
const SMALL: Environment = Environment { memory_mb: 32, ..DEFAULT };

/// A large request without its last bytes.
fn unfinished_body(client: usize) -> String {
    format!(
        "raw POST /draw-map/o1 HTTP/1.1\\r\\nX-Request-Id: q{client}\\r\\nX-Tenant: acme\\r\\nContent-Length: 65536\\r\\n\\r\\n{}",
        "x".repeat(64_000)
    )
}

/// The same in small chunks.
fn unfinished_chunks(client: usize) -> String {
    format!(
        "raw POST /draw-map/o1 HTTP/1.1\\r\\nX-Request-Id: q{client}\\r\\nX-Tenant: acme\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n{}",
        format!("3e8\\r\\n{}\\r\\n", "x".repeat(1000)).repeat(64)
    )
}

/// A whole large request.
fn large_request(client: usize) -> String {
    format!("POST /draw-map/o1 HTTP/1.1|X-Request-Id: q{client}|X-Tenant: acme||{}", "x".repeat(64_000))
}

/// Guards against a process that is killed for its memory, and against small requests that find none.
#[rstest]
#[case::messages_that_stop_half_way(unfinished_body)]
#[case::chunked_messages_that_stop_half_way(unfinished_chunks)]
#[case::requests_that_wait(large_request)]
fn messages_stay_within_the_memory_of_the_scheduler(#[case] message: fn(usize) -> String) {
    let mut scenario = String::new();
    for client in 1..=CLIENTS {
        scenario += &format!("c{client} send {}\n", message(client));
    }
    scenario += "s wait rejected_for_memory 1
        c900 send request r1
        c900 expect HTTP/1.1
        s expect log memory for messages is short
        s expect memory-below 32";
    run_scenario(&SMALL, &scenario);
}
