//! Tests of a single attempt without the rest of the server, for ends that depend on timing which a test of the whole
//! process cannot control.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chutesaddle::scheduling::AttemptOutcome;
use chutesaddle::server::attempt_end::AttemptEnd;
use chutesaddle::server::descriptor_budget::DescriptorBudget;
use chutesaddle::server::messages::{AttemptCommand, RequestPayload};
use chutesaddle::server::metrics::Counters;
use chutesaddle::server::workers::attempt::{AttemptResult, AttemptTask};
use chutesaddle::server::workers::connector::WorkerConnector;
use chutesaddle::server::workers::endpoint::WorkerEndpoint;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

/// Creates an attempt at a worker at `address`, and the sender for the engine's commands to it.
fn attempt_at(
    address: SocketAddr,
    active: bool,
    descriptors: usize,
) -> (AttemptTask, oneshot::Sender<AttemptCommand>) {
    let counters = Rc::new(Counters::default());
    let connector =
        Rc::new(WorkerConnector::new(DescriptorBudget::new(descriptors), 0.3, 60.0, Rc::clone(&counters)));
    let worker = Rc::new(WorkerEndpoint::new("m1".into(), address, connector));
    worker.update(address, active, 0.0);
    let bytes = Bytes::from_static;
    let payload = RequestPayload {
        name: bytes(b"r1"),
        target: bytes(b"/a"),
        key: None,
        content_type: None,
        body: bytes(b"b"),
        held: Default::default(),
    };
    let (sender, command) = oneshot::channel();
    let deadline = Instant::now() + Duration::from_secs(60);
    (
        AttemptTask {
            worker,
            payload: Rc::new(payload),
            deadline,
            command,
            counters,
            class: Rc::default(),
            accepted: Rc::default(),
            client_disconnected: Rc::default(),
        },
        sender,
    )
}

fn ended_with(end: AttemptEnd) -> AttemptResult {
    AttemptResult { end, load_report: None }
}

/// Rule 3: the worker may start to drain while the connection is being established, and must receive nothing then.
/// Without a free descriptor, no connection is opened at all.
#[rstest]
#[case::draining_worker(false, 8, AttemptEnd::WorkerInactive)]
#[case::no_descriptor(true, 0, AttemptEnd::NoDescriptor)]
#[tokio::test]
async fn sends_nothing_if_the_worker_drains_or_no_descriptor_is_left(
    #[case] active: bool,
    #[case] descriptors: usize,
    #[case] end: AttemptEnd,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (attempt, _command) = attempt_at(listener.local_addr().unwrap(), active, descriptors);
    let ended = attempt.run().await; // drops the worker, and with it the connection
    assert_eq!(ended, ended_with(end));
    if active {
        return;
    }
    let mut received = Vec::new();
    listener.accept().await.unwrap().0.read_to_end(&mut received).await.unwrap();
    assert!(received.is_empty());
}

#[tokio::test]
async fn sends_nothing_if_cancelled_before_the_start() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (attempt, command) = attempt_at(listener.local_addr().unwrap(), true, 8);
    command.send(AttemptCommand::Cancel).unwrap();
    assert_eq!(attempt.run().await, ended_with(AttemptEnd::CancelledUnsent));
}

/// Guards against an attempt that connects when its client leaves and is sent afterwards, where the settings do not allow
/// to cancel it. Nothing commands the attempt then.
#[tokio::test]
async fn sends_nothing_if_the_client_disconnects_before_the_start() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (attempt, _command) = attempt_at(listener.local_addr().unwrap(), true, 8);
    let class = Rc::clone(&attempt.class);
    attempt.client_disconnected.set(true);
    let ended =
        timeout(Duration::from_secs(5), attempt.run()).await.expect("the attempt waits for a response");
    assert_eq!(ended, ended_with(AttemptEnd::CancelledUnsent));
    assert_eq!(class.tries.get(), 0, "requests written");
}

/// The result of an earlier attempt arrives while this one connects, so the request is answered. The worker must not
/// receive it afterwards.
#[tokio::test]
async fn sends_nothing_if_a_callback_answers_the_request_before_the_start() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (attempt, command) = attempt_at(listener.local_addr().unwrap(), true, 8);
    let class = Rc::clone(&attempt.class);
    command.send(AttemptCommand::Finish).unwrap();
    assert_eq!(attempt.run().await, ended_with(AttemptEnd::Completed));
    assert_eq!(class.tries.get(), 0, "requests written");
}

/// An unreachable host does not answer a connect at all. A listener with a full backlog behaves the same way.
#[tokio::test]
async fn connect_times_out_if_the_host_does_not_answer() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut backlog = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        backlog.push(stream.unwrap());
    }
    let (attempt, _command) = attempt_at(address, true, 8);
    assert_eq!(attempt.run().await, ended_with(AttemptEnd::ConnectTimedOut));
}

/// Rule 2 depends on this: a request is proven not to have run only if the worker returned it or this host did not
/// send it completely.
#[test]
fn only_unsent_or_returned_requests_are_proven_not_to_have_run() {
    let never_ran = |end: &AttemptEnd| {
        matches!(
            end.outcome(),
            AttemptOutcome::RejectedByWorker | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    };
    let found: Vec<_> = AttemptEnd::ALL.into_iter().filter(never_ran).collect();
    use AttemptEnd::*;
    let expected = [
        RejectedByWorker,
        ConnectRefused,
        ConnectTimedOut,
        NoDescriptor,
        ResetWhileSending,
        CancelledUnsent,
        WorkerInactive,
    ];
    assert_eq!(found, expected);
    assert!(
        AttemptEnd::ALL.iter().enumerate().all(|(i, end)| *end as usize == i),
        "the discriminants follow the order of `AttemptEnd::ALL`"
    );
}
