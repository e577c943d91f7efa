//! Clients that send at full speed: what waits in the process must not grow with what they send.

use std::rc::Rc;
use std::time::Duration;

use chutesaddle::config::ProcessLimits;
use chutesaddle::scheduling::{DeduplicationScope, Idempotency, RequestClass, Settings, Tenant};
use chutesaddle::server::descriptor_budget::DescriptorBudget;
use chutesaddle::server::engine_queue::{EngineQueue, QueuedMessage};
use chutesaddle::server::frontend::{Frontend, FrontendBudgets};
use chutesaddle::server::lifecycle::{Lifecycle, LifecycleEvent};
use chutesaddle::server::memory_budget::MemoryBudget;
use chutesaddle::server::metrics::Counters;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Limits of the scheduler.
const LIMITS: ProcessLimits = ProcessLimits { memory_bytes: 32 * 1024 * 1024, descriptors: 1024 };
/// Number of connections that send.
const CONNECTIONS: usize = 4;
/// Number of messages on each connection.
const MESSAGES: usize = 2000;
/// Number of messages that may wait for the engine: the places in its queue, and a disconnect for each request.
const MAX_WAITING: usize = 2 * 256 + CONNECTIONS;
/// Time in which a frontend that does not wait for the engine would have read all messages.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time in which the next message is expected.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

fn settings() -> Settings {
    let class = RequestClass {
        name: "draw-map".to_owned(),
        latency_objective_s: 3.0,
        objective_per_work: 0.0,
        deadline_s: 8.0,
        priority_weight: 1.0,
        weight_after_objective: 0.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_s: 0.0,
        required_kind: None,
    };
    let tenants = vec![Tenant { name: "acme".to_owned(), quota_per_s: 100.0 }];
    Settings { classes: vec![class], tenants, ..Settings::default() }
}

/// Starts a frontend without an engine. Returns its address and the messages that it sends to the engine.
async fn frontend_without_engine() -> (std::net::SocketAddr, UnboundedReceiver<QueuedMessage>) {
    let (queue, messages) = EngineQueue::channel();
    let lifecycle = Rc::new(Lifecycle::default());
    lifecycle.notify(LifecycleEvent::Started);
    let counters = Rc::new(Counters::default());
    let frontend = Frontend::new(
        settings(),
        queue,
        counters,
        lifecycle,
        FrontendBudgets {
            connections: DescriptorBudget::new(100),
            memory: MemoryBudget::new(LIMITS, Rc::default()),
        },
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::new(frontend).run(Rc::new(listener)));
    (address, messages)
}

/// A callback for a request that is not open, from a worker that is not listed.
fn unknown_callback(number: usize) -> String {
    let body = format!(r#"{{"id":"u{number}","from":"w{number}","state":"done","result":"x"}}"#);
    format!("POST /callback HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A request whose deadline is over when the previous one on the connection is answered.
fn late_request(number: usize) -> String {
    format!("POST /draw-map/o1 HTTP/1.1\r\nX-Request-Id: r{number}\r\nX-Tenant: acme\r\nX-Deadline-Ms: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Guards against memory that grows without end, and against other clients that wait behind such a flood: the frontend must
/// not read on before the engine has taken what was read.
#[rstest]
#[case::callbacks_of_unknown_requests(unknown_callback)]
#[case::requests_whose_deadline_is_over(late_request)]
fn messages_that_wait_for_the_engine_are_bounded(#[case] message: fn(usize) -> String) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (address, mut messages) = frontend_without_engine().await;
        for connection in 0..CONNECTIONS {
            let flood: String = (0..MESSAGES).map(|number| message(connection * MESSAGES + number)).collect();
            let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
            spawn_local(async move { writer.write_all(flood.as_bytes()).await });
            spawn_local(async move { while reader.read(&mut [0; 4096]).await.is_ok_and(|read| read > 0) {} });
        }
        sleep(SETTLE_TIME).await;
        assert!((1..=MAX_WAITING).contains(&messages.len()), "{} messages wait", messages.len());
        // The rest is read as the engine takes messages.
        let mut taken = 0;
        while taken < CONNECTIONS * MESSAGES {
            let received = timeout(RECEIVE_TIMEOUT, messages.recv()).await;
            received.unwrap_or_else(|_| panic!("no message after {taken}")).expect("the frontend runs");
            taken += 1;
            assert!(messages.len() <= MAX_WAITING);
        }
    });
}
