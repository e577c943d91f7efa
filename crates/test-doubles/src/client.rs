//! Clients: each submits one request and waits for its answer.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::http;

/// An answer that is this much later than the client's timeout still counts: it was on its way.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// `X-Request-Id`.
    pub id: String,
    /// The class.
    pub class: &'static str,
    /// The tenant.
    pub tenant: &'static str,
    /// The work that it truly needs, at speed 1.
    pub work: Duration,
    /// The work that the client estimates.
    pub hint: Duration,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// How long the client waits.
    pub timeout: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// 200, after this time.
    Served(Duration),
    /// 429 or 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// No answer before the client gave up, or a connection that broke.
    NoAnswer,
}

/// The clients of one scheduler; they reuse their connections.
pub struct Client {
    scheduler: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
}

impl Client {
    /// Clients of the scheduler at this address.
    pub fn new(scheduler: SocketAddr) -> Self {
        Client { scheduler, idle: RefCell::default() }
    }

    /// Submits a request and waits for its answer, as long as its client does.
    pub async fn submit(&self, request: &ClientRequest) -> ClientResult {
        let began = Instant::now();
        match timeout(request.timeout + TIMEOUT_SLACK, self.exchange(request)).await {
            Ok(Ok(200)) => ClientResult::Served(began.elapsed()),
            Ok(Ok(429 | 503)) => ClientResult::Rejected,
            Ok(Ok(_)) => ClientResult::Failed,
            Ok(Err(_)) | Err(_) => ClientResult::NoAnswer,
        }
    }

    async fn exchange(&self, request: &ClientRequest) -> io::Result<u16> {
        let idle = self.idle.borrow_mut().pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(self.scheduler).await?,
        };
        // Without it, the exchange is only slower.
        let _ = stream.set_nodelay(true);
        let body = request.work.as_micros().to_string();
        http::write(&mut stream, &request_head(request), body.as_bytes()).await?;
        let response = http::read_response(&mut stream, &mut Vec::new()).await?;
        let response = response.ok_or(io::ErrorKind::UnexpectedEof)?;
        if response.header("connection") != Some("close") {
            self.idle.borrow_mut().push(stream);
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

/// Sends a command to an operators' port and gives the answer.
///
/// # Errors
/// If it does not answer.
pub async fn operator_command(address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
