//! The HTTP front: clients with their transactions, members with their call-backs, `/ready` and `/counters`
//! on one listener. It turns HTTP into the engine's messages and replies into HTTP, and decides nothing.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use simd_json::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::budget::Budget;
use super::end::ConnectionEnd;
use super::engine::{CallBack, Message, News, Queue, Reply, Transaction};
use super::flow::Payload;
use super::http::{Connection, Head, HttpError};
use crate::api::{Effect, Settings};
use crate::counters::Counters;

/// A connection that stands idle for longer is closed.
const IDLE: Duration = Duration::from_secs(120);
/// A message that has begun must have arrived within this time.
const MESSAGE: Duration = Duration::from_secs(10);
/// An answer must have been taken off within this time.
const WRITE: Duration = Duration::from_secs(5);
/// How long to wait for room, or after a failed accept, before trying again.
const RETRY: Duration = Duration::from_millis(10);
/// What the door says to a client that it turns away.
const COME_BACK_S: f64 = 0.5;
/// The longest wait that a client may state.
const LONGEST_MS: f64 = 3_600_000.0;

/// The front of one scheduler.
pub struct Front {
    settings: RefCell<Rc<Settings>>,
    queue: Queue,
    counters: Rc<Counters>,
    /// Connections that may be open.
    connections: Rc<Budget>,
    /// Messages that have been read and whose answer is not written yet: nearly all are transactions.
    waiting: Cell<usize>,
    /// Connections between two messages, by the order in which they became idle.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    idled: Cell<u64>,
    closing: Cell<bool>,
    stopped: Cell<bool>,
}

/// An answer to write.
struct Answer {
    status: &'static str,
    headers: String,
    body: Bytes,
}

impl Answer {
    fn new(status: &'static str, body: impl Into<Bytes>) -> Self {
        Answer { status, headers: String::new(), body: body.into() }
    }

    fn header(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    fn reject(hold_off_s: f64) -> Self {
        let answer = Answer::new("503 Service Unavailable", "rejected, come back later\n");
        if hold_off_s > 0.0 {
            answer.header("Retry-After", format_args!("{hold_off_s:.3}"))
        } else {
            answer
        }
    }
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Served(result) => Answer::new("200 OK", result),
            Reply::Rejected { hold_off_s } => Answer::reject(hold_off_s),
            Reply::Failed => Answer::new("502 Bad Gateway", "failed, the job may have run\n"),
            Reply::Duplicate => Answer::new("409 Conflict", "this X-Request-Id is in use\n"),
        }
    }
}

/// What is asked for.
enum Asked {
    Job { class: usize, tenant: usize },
    CallBack,
    Ready,
    Counters,
}

impl Front {
    /// A front that holds at most `connections` open.
    pub fn new(settings: Settings, queue: Queue, counters: Rc<Counters>, connections: usize) -> Self {
        Front {
            settings: RefCell::new(Rc::new(settings)),
            queue,
            counters,
            connections: Budget::new(connections),
            waiting: Cell::new(0),
            idle: RefCell::default(),
            idled: Cell::new(0),
            closing: Cell::new(false),
            stopped: Cell::new(false),
        }
    }

    /// Takes up other settings and another bound for whatever comes from now on.
    pub fn configure(&self, settings: Settings, connections: usize) {
        *self.settings.borrow_mut() = Rc::new(settings);
        self.connections.set_most(connections);
    }

    /// Transactions that may wait at once: the rest of the connections stays for call-backs.
    fn most_waiting(&self) -> usize {
        self.connections.most() - self.connections.most() / 4
    }

    fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// From now on connections are closed after their next answer.
    pub fn say_close(&self) {
        self.closing.set(true);
    }

    /// From now on transactions are rejected; connections that stand idle are closed. Call-backs are still
    /// taken.
    pub fn stop_taking(&self) {
        self.closing.set(true);
        self.stopped.set(true);
        while self.close_idle() {}
    }

    /// Messages whose answer has not been written.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Accepts connections for good.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let share = loop {
                match Budget::take(&self.connections) {
                    Some(share) => break share,
                    None => {
                        self.close_idle();
                        sleep(RETRY).await;
                    }
                }
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.counters.connections_accepted.add();
                    let front = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        front.serve(Connection::new(stream)).await;
                        drop(share);
                    });
                }
                Err(error) => {
                    // Out of descriptors, most likely. The connection stays in the backlog meanwhile.
                    if self.counters.accept_failures.add().is_power_of_two() {
                        eprintln!("chutesaddle: cannot accept a connection: {error}");
                    }
                    self.close_idle();
                    sleep(RETRY).await;
                }
            }
        }
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    fn close_idle(&self) -> bool {
        self.idle.borrow_mut().pop_first().inspect(|(_, close)| close.notify_one()).is_some()
    }

    async fn serve(&self, mut connection: Connection) {
        loop {
            if !connection.has_input() && !self.next_message(&mut connection).await {
                return;
            }
            let head = match timeout(MESSAGE, connection.request_head()).await {
                Ok(Ok(head)) => head,
                Ok(Err(error)) => return self.reject(connection, &error).await,
                Err(_) => return,
            };
            let body = match timeout(MESSAGE, body(&mut connection, &head)).await {
                Ok(Ok(body)) => body,
                Ok(Err(error)) => return self.reject(connection, &error).await,
                Err(_) => return,
            };
            let _waiting = Waiting::new(&self.waiting); // until the answer is written
            let answer = match self.asked(&head) {
                Ok(Asked::Job { class, tenant }) => {
                    let transaction = self.transaction(&head, body, class, tenant);
                    match self.job(&mut connection, transaction).await {
                        Some(answer) => answer,
                        None => return,
                    }
                }
                Ok(Asked::CallBack) => self.call_back(body),
                Ok(Asked::Ready) if self.stopped.get() => {
                    Answer::new("503 Service Unavailable", "stopping\n")
                }
                Ok(Asked::Ready) => Answer::new("200 OK", "ready\n"),
                Ok(Asked::Counters) => Answer::new("200 OK", self.counters.to_string()),
                Err(answer) => {
                    self.counters.messages_rejected.add();
                    answer
                }
            };
            match self.write(&mut connection, answer, head.keep_alive).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return,
            }
        }
        let _ = timeout(WRITE, connection.finish()).await;
    }

    /// Waits for the first byte of a message; false if the connection is to be closed instead.
    async fn next_message(&self, connection: &mut Connection) -> bool {
        let close = Rc::new(Notify::new());
        let number = self.idled.replace(self.idled.get() + 1);
        self.idle.borrow_mut().insert(number, Rc::clone(&close));
        let arrived = tokio::select! {
            biased;
            read = timeout(IDLE, connection.fill()) => matches!(read, Ok(Ok(bytes)) if bytes > 0),
            () = close.notified() => false,
        };
        self.idle.borrow_mut().remove(&number);
        arrived
    }

    /// Tells the other side what is wrong with what it sent, then closes: where the next message would
    /// begin is not known any more.
    async fn reject(&self, mut connection: Connection, error: &HttpError) {
        let status = match error {
            HttpError::Io(_) | HttpError::Closed | HttpError::Truncated => return,
            HttpError::Malformed(_) => "400 Bad Request",
            HttpError::HeadTooLong => "431 Request Header Fields Too Large",
            HttpError::BodyTooLong => "413 Content Too Large",
        };
        self.counters.messages_rejected.add();
        let answer = Answer::new(status, format!("{error}\n"));
        if self.write(&mut connection, answer, false).await.is_ok() {
            let _ = timeout(WRITE, connection.finish()).await;
        }
    }

    /// Writes an answer; the value says whether the connection stays open.
    async fn write(&self, connection: &mut Connection, answer: Answer, keep: bool) -> io::Result<bool> {
        let keep = keep && !self.closing.get();
        let close = if keep { "" } else { "Connection: close\r\n" };
        let Answer { status, headers, body } = answer;
        let head = format!("HTTP/1.1 {status}\r\n{headers}{close}Content-Length: {}\r\n\r\n", body.len());
        let parts: [&[u8]; 2] = [head.as_bytes(), &body];
        match timeout(WRITE, connection.write(&parts)).await {
            Ok(written) => written.map(|()| keep),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Finds what a request asks for; else the answer that says why there is nothing.
    fn asked(&self, head: &Head) -> Result<Asked, Answer> {
        let settings = self.settings();
        let target = std::str::from_utf8(&head.target).unwrap_or_default();
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let (asked, method) = match path {
            "/ready" => (Asked::Ready, "GET"),
            "/counters" => (Asked::Counters, "GET"),
            "/callback" => (Asked::CallBack, "POST"),
            _ => {
                let name = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
                let classes = settings.classes.iter();
                let class = classes.enumerate().find(|(_, class)| is_named(&class.name, name));
                let class = class.ok_or_else(|| Answer::new("404 Not Found", "no such path or class\n"))?.0;
                (Asked::Job { class, tenant: 0 }, "POST")
            }
        };
        if head.method != method {
            return Err(Answer::new("405 Method Not Allowed", "wrong method\n").header("Allow", method));
        }
        let Asked::Job { class, .. } = asked else { return Ok(asked) };
        let bad = |what: &'static str| Err(Answer::new("400 Bad Request", what));
        if head.headers.raw("x-request-id").is_none_or(|id| id.is_empty()) {
            return bad("X-Request-Id is missing\n");
        }
        // Without its key, a repeat of such a job would take effect twice.
        if settings.classes[class].effect == Effect::Keyed && head.headers.raw("idempotency-key").is_none() {
            return bad("Idempotency-Key is missing\n");
        }
        let tenants = &settings.tenants;
        let tenant = match head.headers.get("x-tenant") {
            _ if tenants.is_empty() => 0,
            Some(name) => match tenants.iter().position(|tenant| is_named(&tenant.name, name)) {
                Some(tenant) => tenant,
                None => return Err(Answer::new("403 Forbidden", "no such tenant\n")),
            },
            None => return bad("X-Tenant is missing\n"),
        };
        Ok(Asked::Job { class, tenant })
    }

    /// Takes a transaction and waits for its answer; `None` if the client has left.
    async fn job(&self, connection: &mut Connection, transaction: Option<Transaction>) -> Option<Answer> {
        if self.stopped.get() || self.waiting.get() > self.most_waiting() {
            self.counters.rejected_at_door.add();
            return Some(Answer::reject(COME_BACK_S));
        }
        let Some(transaction) = transaction else {
            self.counters.messages_rejected.add();
            return Some(Answer::new("400 Bad Request", "a header is malformed\n"));
        };
        // The engine answers before this; the bound keeps a fault there from holding a client for good.
        let last = transaction.deadline + Duration::from_secs_f64(self.settings().answer_slack_s);
        let mut pending = self.queue.submit(transaction);
        tokio::select! {
            biased;
            reply = pending.reply() => Some(reply.into()),
            () = sleep_until(last) => Some(Reply::Failed.into()),
            () = connection.closed() => None, // dropping what is pending tells the engine
        }
    }

    fn transaction(&self, head: &Head, body: Bytes, class: usize, tenant: usize) -> Option<Transaction> {
        let number = |name: &str| match head.headers.raw(name) {
            None => Some(None),
            Some(_) => {
                let value: f64 = head.headers.get(name)?.trim().parse().ok()?;
                (value.is_finite() && value >= 0.0).then_some(Some(value))
            }
        };
        let extras = head.headers.get("x-extras").unwrap_or_default();
        let extra = |name: &str| {
            let pairs = extras.split(',').filter_map(|pair| pair.split_once('='));
            let value =
                pairs.filter(|pair| pair.0.trim() == name).find_map(|p| p.1.trim().parse::<f64>().ok());
            value.filter(|value| value.is_finite() && *value >= 0.0)
        };
        let deadline_ms = number("x-deadline-ms")?.unwrap_or(self.settings().classes[class].deadline_s * 1e3);
        Some(Transaction {
            class,
            tenant,
            deadline: Instant::now() + Duration::from_secs_f64(deadline_ms.min(LONGEST_MS) / 1e3),
            slots: extra("slots").unwrap_or(1.0),
            memory: extra("memory").unwrap_or(0.0),
            hint: number("x-cost-hint")?.map(|us| us / 1e6),
            payload: Payload {
                name: head.headers.raw("x-request-id")?.clone(),
                target: head.target.clone(),
                key: head.headers.raw("idempotency-key").cloned(),
                content_type: head.headers.raw("content-type").cloned(),
                body,
            },
        })
    }

    fn call_back(&self, body: Bytes) -> Answer {
        match read_call_back(body) {
            Some(call_back) => {
                self.queue.send(Message::CallBack(call_back));
                Answer::new("200 OK", "")
            }
            None => {
                if self.counters.callbacks_malformed.add().is_power_of_two() {
                    eprintln!("chutesaddle: a call-back cannot be read");
                }
                Answer::new("400 Bad Request", "no call-back\n")
            }
        }
    }
}

/// Counts a message as waiting for as long as it lives.
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

/// The settings write names with `_` for spaces and commas; headers and paths may carry either form.
fn is_named(known: &str, name: &str) -> bool {
    !known.is_empty() && (known == name || known == name.replace([' ', ','], "_"))
}

async fn body(connection: &mut Connection, head: &Head) -> Result<Bytes, HttpError> {
    if head.expects_continue() && !connection.has_input() {
        connection.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"]).await?;
    }
    connection.body(head).await
}

/// Reads a call-back. The tape is flat, so that no nesting, however deep, can exhaust the stack.
fn read_call_back(body: Bytes) -> Option<CallBack> {
    let mut text = Vec::from(body);
    let tape = simd_json::to_tape(&mut text).ok()?;
    let value = tape.as_value();
    let news = match value.get_str("state")? {
        "started" => News::Started,
        "running" => News::Progress(value.get("share")?.cast_f64()?),
        "done" => News::Done(match value.get("result") {
            // A result is text; anything else is passed on in the form in which JSON writes it.
            Some(result) => match result.as_str() {
                Some(text) => Bytes::copy_from_slice(text.as_bytes()),
                None => result.encode().into(),
            },
            None => return None,
        }),
        "failed" => News::Ended(ConnectionEnd::Failed),
        "returned" => News::Ended(ConnectionEnd::Returned),
        "lost" => News::Ended(ConnectionEnd::Lost),
        _ => return None,
    };
    // Not `get_object`: simd-json 0.15 cuts its slice of the tape one node short and panics on the last.
    let load = value.get("load").and_then(|load| load.as_object());
    let load = load.iter().flat_map(|load| load.iter());
    Some(CallBack {
        name: Bytes::copy_from_slice(value.get_str("id")?.as_bytes()),
        from: value.get_str("from")?.to_owned(),
        news,
        load: load.filter_map(|(name, value)| Some((name.to_owned(), value.cast_f64()?))).collect(),
    })
}
