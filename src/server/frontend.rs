//! The HTTP front: clients with their transactions, members with their call-backs, `/ready` and `/counters`
//! on one listener. It turns HTTP into the engine's messages and replies into HTTP, and decides nothing.

pub mod connection_eviction;
mod connection_handoff;
pub mod request_parser;
mod response;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{watch, Mutex};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use response::Answer;

use crate::scheduling::Settings;
use crate::server::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use crate::server::engine_queue::{EngineMessage, EngineQueue, PendingAnswer};
use crate::server::frontend::connection_eviction::{EvictionCandidates, EvictionClass};
use crate::server::http::{Connection, Head, HttpError};
use crate::server::lifecycle::handover_frames::FrameSender;
use crate::server::lifecycle::{Lifecycle, LifecycleEvent};
use crate::server::messages::{ClientRequest, FinalAnswer, MigratedRequest};
use crate::server::metrics::Counters;
use request_parser::Asked;

/// A connection that stands idle for longer is closed.
const IDLE: Duration = Duration::from_secs(120);
/// A message must have arrived whole within this time: the first one on a connection from the accept, so
/// that neither silence nor a byte now and then holds it; later ones from their first byte.
const MESSAGE: Duration = Duration::from_millis(2400);
/// An answer must have been taken off within this time.
const WRITE: Duration = Duration::from_secs(5);
/// How long what still arrives after the last answer is read.
const LINGER: Duration = Duration::from_secs(2);
/// Wait between two reads of that, over all connections: it must not take the time of the others.
const PASS_OVER: Duration = Duration::from_millis(1);
/// How much is read of that at a time.
const PASS_OVER_BYTES: usize = 64 * 1024;
/// How long to wait for room, or after a failed accept, before trying again.
const RETRY: Duration = Duration::from_millis(10);
/// How often a scheduler that empties itself looks for connections to close.
const CLEAR: Duration = Duration::from_millis(20);
/// What the front says to a client that it turns away.
const COME_BACK_S: f64 = 0.5;

/// The front of one scheduler.
pub struct Frontend {
    settings: RefCell<Rc<Settings>>,
    queue: EngineQueue,
    counters: Rc<Counters>,
    /// Connections that may be open.
    connections: Rc<DescriptorBudget>,
    /// Those that can be done without when there is no room for a new one.
    spares: EvictionCandidates,
    /// Messages that have been read and whose answer is not written yet: nearly all are transactions.
    waiting: Cell<usize>,
    /// Connections that are closed from here, but not yet by their clients.
    lingering: Cell<usize>,
    /// Where input that nobody wants is read to, by one connection at a time.
    scratch: Mutex<Vec<u8>>,
    lifecycle: Rc<Lifecycle>,
    /// The process that has taken over, if there is one.
    successor: watch::Sender<Option<FrameSender>>,
}

/// What follows for a connection on which no message has begun.
enum Next {
    EngineMessage,
    /// The client has closed it, or it broke.
    Gone,
    /// It is closed from here.
    Close,
    PassOn,
}

/// How the wait for a transaction's answer ends.
enum JobEnd {
    Answer(Answer),
    /// The process that has taken over is to answer.
    Migrated(Box<MigratedRequest>),
    /// The client has left.
    ClientDisconnected,
}

impl Frontend {
    /// A front that holds connections within this budget.
    pub fn new(
        settings: Settings,
        queue: EngineQueue,
        counters: Rc<Counters>,
        lifecycle: Rc<Lifecycle>,
        connections: Rc<DescriptorBudget>,
    ) -> Self {
        Frontend {
            settings: RefCell::new(Rc::new(settings)),
            queue,
            counters,
            connections,
            spares: EvictionCandidates::default(),
            waiting: Cell::new(0),
            lingering: Cell::new(0),
            scratch: Mutex::new(vec![0; PASS_OVER_BYTES]),
            lifecycle,
            successor: watch::Sender::new(None),
        }
    }

    /// Takes up other settings for whatever comes from now on.
    pub fn configure(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Transactions that may wait at once: the rest of the connections stays for call-backs.
    fn most_waiting(&self) -> usize {
        self.connections.most() - self.connections.most() / 4
    }

    fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Closes what stands idle whenever the lifecycle says so, and tells it when nothing is left.
    pub async fn clear(self: Rc<Self>) {
        let mut phase = self.lifecycle.watch();
        loop {
            // The sender lives as long as this front.
            let _ = phase.wait_for(|phase| phase.is_draining()).await;
            if self.lifecycle.closes_idle_connections() {
                while self.spares.close_one(EvictionClass::Idle) {}
                let empty = self.is_empty();
                self.lifecycle.notify(if empty { LifecycleEvent::Emptied } else { LifecycleEvent::Occupied });
            }
            sleep(CLEAR).await;
        }
    }

    /// Whether no client's message is arriving or waits for its answer.
    pub fn is_empty(&self) -> bool {
        self.waiting() == 0 && self.spares.count_arriving() == 0
    }

    /// Messages whose answer has not been written.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Whether the clients have seen all closes: a process that ends before would reset what they read.
    pub fn is_closed(&self) -> bool {
        self.lingering.get() == 0
    }

    /// Accepts connections for good, at once: one that waits outside could be a call-back, or a client whose
    /// time runs.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>) {
        let mut successor = self.successor.subscribe();
        loop {
            // The sender lives as long as this front.
            let _ = successor.wait_for(Option::is_none).await;
            let share = self.room().await;
            let accepted = tokio::select! {
                biased;
                _ = successor.wait_for(Option::is_some) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.counters.connections_accepted.add();
                    let front = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        front.serve(Connection::new(stream), EvictionClass::NeverUsed, false).await;
                        drop(share);
                    });
                }
                Err(error) => {
                    // Out of descriptors, most likely. The connection stays in the backlog meanwhile.
                    if self.counters.accept_failures.add().is_power_of_two() {
                        tracing::warn!("cannot accept a connection: {error}");
                    }
                    self.spares.make_room();
                    sleep(RETRY).await;
                }
            }
        }
    }

    /// Room for one more connection, which the one of least worth makes if need be.
    async fn room(&self) -> DescriptorPermit {
        loop {
            if let Some(share) = DescriptorBudget::take(&self.connections) {
                return share;
            }
            // Those that were accepted last are listed once they have had their turn; without them, useful
            // ones would go in their place.
            yield_now().await;
            if self.spares.make_room() {
                self.counters.connections_shed.add();
            }
            // One that was asked to close may have been sent a message that instant, and stay.
            let freed = async {
                loop {
                    self.connections.freed().await;
                    if let Some(share) = DescriptorBudget::take(&self.connections) {
                        return share;
                    }
                }
            };
            if let Ok(share) = timeout(RETRY, freed).await {
                return share;
            }
        }
    }

    async fn serve(&self, mut connection: Connection, mut worth: EvictionClass, mut spoke: bool) {
        let mut began = Instant::now();
        loop {
            let idle = if spoke { Instant::now() + IDLE } else { began + MESSAGE };
            if !connection.has_input() {
                match self.next_message(&mut connection, worth, idle).await {
                    Next::EngineMessage => {}
                    Next::Gone => return,
                    Next::Close if spoke => break,
                    Next::Close => return, // nothing was said on it, nothing is owed
                    Next::PassOn => return self.pass_on(connection, worth, spoke),
                }
            }
            if spoke {
                began = Instant::now();
            }
            let (head, body) = match self.message(&mut connection, began + MESSAGE).await {
                Some(Ok(message)) => message,
                Some(Err(error)) => return self.reject(connection, &error).await,
                None => return,
            };
            let _waiting = Waiting::new(&self.waiting); // until the answer is written
            let settings = self.settings();
            let arrived = connection.message_received_at();
            let answer = match request_parser::read(&head, &body, arrived, &settings) {
                Ok(Asked::Submit(transaction)) => match self.job(&mut connection, transaction, began).await {
                    JobEnd::Answer(answer) => {
                        worth = EvictionClass::Idle;
                        answer
                    }
                    JobEnd::Migrated(moved) => return self.move_on(connection, moved, head.keep_alive),
                    JobEnd::ClientDisconnected => return,
                },
                Ok(Asked::Callback) => {
                    worth = EvictionClass::IdleAfterCallback;
                    self.call_back(body)
                }
                Ok(Asked::Readiness) if self.lifecycle.is_serving() || self.has_successor() => {
                    Answer::new("200 OK", "ready\n")
                }
                Ok(Asked::Readiness) => {
                    Answer::new("503 Service Unavailable", format!("{}\n", self.lifecycle.phase().name()))
                }
                Ok(Asked::Counters) => Answer::new("200 OK", self.counters.to_string()),
                Err(error) => {
                    self.counters.messages_rejected.add();
                    error.into()
                }
            };
            // Who sends what cannot be used is not to keep a place, nor to have what it sent behind that run.
            let keep = head.keep_alive && !answer.status.starts_with('4');
            match self.write(&mut connection, answer, keep).await {
                Ok(true) => spoke = true,
                Ok(false) => break,
                Err(_) => return,
            }
        }
        self.linger(connection).await;
    }

    /// Waits for the first byte of a message.
    async fn next_message(&self, connection: &mut Connection, worth: EvictionClass, until: Instant) -> Next {
        if !self.has_successor() {
            let spare = self.spares.list(worth);
            tokio::select! {
                biased;
                read = timeout_at(until, connection.receive()) => {
                    return match read {
                        Ok(Ok(0) | Err(_)) => Next::Gone,
                        Ok(Ok(_)) => Next::EngineMessage,
                        Err(_) => Next::Close,
                    };
                }
                () = spare.closes() => yield_now().await,
            }
        }
        // A request that has arrived, but has not been seen yet, is not to be lost to the close.
        match connection.receive_available() {
            true => Next::EngineMessage,
            false if self.has_successor() => Next::PassOn,
            false => Next::Close,
        }
    }

    /// Reads a message; `None` if its place is needed for another.
    async fn message(
        &self,
        connection: &mut Connection,
        due: Instant,
    ) -> Option<Result<(Head, Bytes), HttpError>> {
        let spare = self.spares.arriving(connection.last_received());
        tokio::select! {
            biased;
            message = timeout_at(due, message(connection)) => {
                Some(message.unwrap_or(Err(HttpError::TimedOut)))
            }
            () = spare.closes() => None,
        }
    }

    /// Tells the other side what is wrong with what it sent, then closes: where the next message would
    /// begin is not known any more.
    async fn reject(&self, mut connection: Connection, error: &HttpError) {
        let status = match error {
            HttpError::Io(_) | HttpError::Closed | HttpError::Truncated => return,
            HttpError::Malformed(_) => "400 Bad Request",
            HttpError::HeadTooLong => "431 Request Header Fields Too Large",
            HttpError::BodyTooLong => "413 Content Too Large",
            HttpError::TimedOut => "408 Request Timeout",
        };
        self.counters.messages_rejected.add();
        let answer = Answer::new(status, format!("{error}\n"));
        if self.write(&mut connection, answer, false).await.is_ok() {
            self.linger(connection).await;
        }
    }

    /// Closes after the last answer, which a reset for unread input would destroy, or between two requests, where one
    /// may be under way whose client is to find the connection closed and not reset: what still arrives is read
    /// first, for a while, slowly, and without keeping any of it.
    async fn linger(&self, mut connection: Connection) {
        let _lingering = Waiting::new(&self.lingering);
        connection.half_close().await;
        let spare = self.spares.list(EvictionClass::NeverUsed);
        let pass_over = async {
            while connection.readable().await.is_ok() {
                let mut scratch = self.scratch.lock().await;
                if !connection.discard_received(&mut scratch) {
                    return;
                }
                sleep(PASS_OVER).await;
            }
        };
        tokio::select! {
            _ = timeout(LINGER, pass_over) => {}
            () = spare.closes() => {}
        }
    }

    /// Writes an answer; the value says whether the connection stays open.
    async fn write(&self, connection: &mut Connection, answer: Answer, keep: bool) -> io::Result<bool> {
        let keep = keep && (self.has_successor() || !self.lifecycle.phase().is_draining());
        let close = if keep { "" } else { "Connection: close\r\n" };
        let Answer { status, headers, body } = answer;
        let head = format!("HTTP/1.1 {status}\r\n{headers}{close}Content-Length: {}\r\n\r\n", body.len());
        let parts: [&[u8]; 2] = [head.as_bytes(), &body];
        match timeout(WRITE, connection.write(&parts)).await {
            Ok(written) => written.map(|()| keep),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Takes a transaction and waits for its answer.
    async fn job(
        &self,
        connection: &mut Connection,
        mut transaction: Box<ClientRequest>,
        began: Instant,
    ) -> JobEnd {
        if !self.lifecycle.admits(began) || self.waiting.get() > self.most_waiting() {
            self.counters.rejected_at_door.add();
            self.counters.class(transaction.class).shed.add();
            return JobEnd::Answer(Answer::reject(COME_BACK_S));
        }
        let longest = self.settings().classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        if let Some(by) = self.lifecycle.answer_deadline(Duration::from_secs_f64(longest)) {
            transaction.deadline = transaction.deadline.min(by);
        }
        // The engine answers before this; the bound keeps a fault there from holding a client for good.
        let last = transaction.deadline + Duration::from_secs_f64(self.settings().answer_slack_s);
        let pending = self.queue.submit(transaction);
        self.reply(connection, pending, last).await
    }

    async fn reply(&self, connection: &mut Connection, mut pending: PendingAnswer, last: Instant) -> JobEnd {
        tokio::select! {
            biased;
            reply = pending.reply() => match reply {
                FinalAnswer::Migrated(moved) => JobEnd::Migrated(moved),
                reply => JobEnd::Answer(reply.into()),
            },
            () = sleep_until(last) => JobEnd::Answer(FinalAnswer::Failed.into()),
            () = connection.wait_for_close() => JobEnd::ClientDisconnected, // dropping what is pending tells the engine
        }
    }

    fn call_back(&self, body: Bytes) -> Answer {
        match request_parser::read_call_back(body) {
            Some(call_back) => {
                self.queue.send(EngineMessage::Callback(call_back, None));
                Answer::new("200 OK", "")
            }
            None => {
                if self.counters.callbacks_malformed.add().is_power_of_two() {
                    tracing::warn!("a call-back cannot be read");
                }
                Answer::new("400 Bad Request", "no call-back\n")
            }
        }
    }
}

/// Counts one more, waiting or lingering, for as long as it lives.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn message(connection: &mut Connection) -> Result<(Head, Bytes), HttpError> {
    let head = connection.request_head().await?;
    if head.expects_continue() && !connection.has_input() && !head.is_too_long() {
        connection.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"]).await?;
    }
    let body = connection.body(&head).await?;
    Ok((head, body))
}
