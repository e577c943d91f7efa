//! A test client that submits requests to a scheduler and waits for their answers.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::http;

/// Extra time after the client's timeout in which an answer still counts, because it was already in transit.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Value of the `X-Request-Id` header.
    pub id: String,
    /// The request class.
    pub class: &'static str,
    /// The tenant.
    pub tenant: &'static str,
    /// The actual work, as run time at speed 1.
    pub work: Duration,
    /// The client's estimate of the work.
    pub hint: Duration,
    /// Value of the `Idempotency-Key` header, if any.
    pub key: Option<String>,
    /// How long the client waits for the answer.
    pub timeout: Duration,
}

/// The result of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// Status 200, with this latency.
    Served(Duration),
    /// Status 429 or 503.
    Rejected,
    /// Any other status.
    Failed,
    /// The client timed out, or its connection failed.
    NoAnswer,
}

/// A client of one scheduler. It reuses connections.
pub struct Client {
    scheduler: SocketAddr,
    idle_connections: RefCell<Vec<TcpStream>>,
}

impl Client {
    /// Creates a client of the scheduler at this address.
    pub fn new(scheduler: SocketAddr) -> Self {
        Client { scheduler, idle_connections: RefCell::default() }
    }

    /// Submits a request and waits for its answer until the request's timeout.
    pub async fn submit(&self, request: &ClientRequest) -> ClientResult {
        self.submit_with_slack(request, TIMEOUT_SLACK).await
    }

    /// Submits a request and waits for its answer until `slack` after the request's timeout.
    pub async fn submit_with_slack(&self, request: &ClientRequest, slack: Duration) -> ClientResult {
        let started_at = Instant::now();
        match timeout(request.timeout + slack, self.exchange(request)).await {
            Ok(Ok(200)) => ClientResult::Served(started_at.elapsed()),
            Ok(Ok(429 | 503)) => ClientResult::Rejected,
            Ok(Ok(_)) => ClientResult::Failed,
            Ok(Err(_)) | Err(_) => ClientResult::NoAnswer,
        }
    }

    async fn exchange(&self, request: &ClientRequest) -> io::Result<u16> {
        let idle = self.idle_connections.borrow_mut().pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(self.scheduler).await?,
        };
        // A failure only makes the exchange slower.
        let _ = stream.set_nodelay(true);
        let body = request.work.as_micros().to_string();
        http::write(&mut stream, &request_head(request), body.as_bytes()).await?;
        let response = http::read_response(&mut stream, &mut Vec::new()).await?;
        let response = response.ok_or(io::ErrorKind::UnexpectedEof)?;
        if response.header("connection") != Some("close") {
            self.idle_connections.borrow_mut().push(stream);
        }
        response.status()
    }
}

fn request_head(request: &ClientRequest) -> String {
    let ClientRequest { id, class, tenant, hint, key, timeout, .. } = request;
    let key = key.as_ref().map(|key| format!("\r\nIdempotency-Key: {key}")).unwrap_or_default();
    let (timeout_ms, hint_us) = (timeout.as_millis(), hint.as_micros());
    format!(
        "POST /{class}/{id} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\nX-Tenant: {tenant}\r\n\
         X-Deadline-Ms: {timeout_ms}\r\nX-Cost-Hint: {hint_us}{key}"
    )
}

/// Sends a command to an operator interface and returns its answer.
///
/// # Errors
/// If the connection fails or the answer is not UTF-8.
pub async fn operator_command(address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
