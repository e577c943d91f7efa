//! A server-side flow by itself: ends that need a moment which the whole program cannot be held at.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chutesaddle::scheduling::AttemptOutcome;
use chutesaddle::server::attempt_end::AttemptEnd;
use chutesaddle::server::descriptor_budget::DescriptorBudget;
use chutesaddle::server::messages::{AttemptCommand, RequestPayload};
use chutesaddle::server::metrics::Counters;
use chutesaddle::server::workers::attempt::AttemptTask;
use chutesaddle::server::workers::endpoint::{WorkerConnector, WorkerEndpoint};
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

/// A flow to a member at `address`, and the engine's end of it.
fn flow(
    address: SocketAddr,
    active: bool,
    descriptors: usize,
) -> (AttemptTask, oneshot::Sender<AttemptCommand>) {
    let counters = Rc::new(Counters::default());
    let dialer =
        Rc::new(WorkerConnector::new(DescriptorBudget::new(descriptors), 0.3, 60.0, Rc::clone(&counters)));
    let member = Rc::new(WorkerEndpoint::new("m1".into(), address, dialer));
    member.update(address, active, 0.0);
    let bytes = Bytes::from_static;
    let payload = RequestPayload {
        name: bytes(b"r1"),
        target: bytes(b"/a"),
        key: None,
        content_type: None,
        body: bytes(b"b"),
    };
    let (sender, order) = oneshot::channel();
    let deadline = Instant::now() + Duration::from_secs(60);
    (
        AttemptTask {
            worker: member,
            payload: Rc::new(payload),
            deadline,
            command: order,
            counters,
            class: Rc::default(),
            accepted: Rc::default(),
        },
        sender,
    )
}

/// Rule 3: the connect takes time, and the member may have been told to drain meanwhile.
#[rstest]
#[case::it_drains_now(false, 8, AttemptEnd::WorkerInactive)]
#[case::no_descriptor_is_left(true, 0, AttemptEnd::NoDescriptor)]
#[tokio::test]
async fn nothing_is_written(#[case] active: bool, #[case] descriptors: usize, #[case] end: AttemptEnd) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (flow, _order) = flow(listener.local_addr().unwrap(), active, descriptors);
    let ended = flow.run().await; // drops the member, and with it the connection
    assert_eq!(ended, (end, None));
    if active {
        return;
    }
    let mut written = Vec::new();
    listener.accept().await.unwrap().0.read_to_end(&mut written).await.unwrap();
    assert!(written.is_empty());
}

#[tokio::test]
async fn what_is_given_up_before_it_begins_is_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (flow, order) = flow(listener.local_addr().unwrap(), true, 8);
    order.send(AttemptCommand::Cancel).unwrap();
    assert_eq!(flow.run().await, (AttemptEnd::CancelledUnsent, None));
}

/// A machine that is cut off answers no connect at all: here one whose backlog is full.
#[tokio::test]
async fn a_connect_that_never_comes_up_has_an_end() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut filling = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        filling.push(stream.unwrap());
    }
    let (flow, _order) = flow(address, true, 8);
    assert_eq!(flow.run().await, (AttemptEnd::ConnectTimedOut, None));
}

/// Rule 2 rests on this: only what certainly never left this machine whole proves that the job never ran.
#[test]
fn only_unsent_or_returned_jobs_never_ran() {
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
