//! One attempt by itself: ends that need a moment at which the whole program cannot be held.

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

/// An attempt at a worker at `address`, and the sender of the engine's commands.
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
        },
        sender,
    )
}

fn ended_with(end: AttemptEnd) -> AttemptResult {
    AttemptResult { end, load_report: None }
}

/// Rule 3: the connect takes time, and the worker may have begun to drain meanwhile.
#[rstest]
#[case::it_drains_now(false, 8, AttemptEnd::WorkerInactive)]
#[case::no_descriptor_is_left(true, 0, AttemptEnd::NoDescriptor)]
#[tokio::test]
async fn sends_nothing_to_a_worker_that_drains_or_without_a_descriptor(
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
    let mut written = Vec::new();
    listener.accept().await.unwrap().0.read_to_end(&mut written).await.unwrap();
    assert!(written.is_empty());
}

#[tokio::test]
async fn never_sends_an_attempt_that_is_cancelled_before_it_begins() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (attempt, command) = attempt_at(listener.local_addr().unwrap(), true, 8);
    command.send(AttemptCommand::Cancel).unwrap();
    assert_eq!(attempt.run().await, ended_with(AttemptEnd::CancelledUnsent));
}

/// A machine that is cut off answers no connect at all: here one whose backlog is full.
#[tokio::test]
async fn ends_a_connect_that_never_comes_up_after_the_time_out() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut filling = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        filling.push(stream.unwrap());
    }
    let (attempt, _command) = attempt_at(address, true, 8);
    assert_eq!(attempt.run().await, ended_with(AttemptEnd::ConnectTimedOut));
}

/// Rule 2 rests on this: only what certainly never left this machine whole proves that the request never ran.
#[test]
fn only_unsent_or_returned_requests_prove_that_they_never_ran() {
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
    assert!(AttemptEnd::ALL.iter().enumerate().all(|(i, end)| *end as usize == i), "counters are in order");
}
