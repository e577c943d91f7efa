//! Clients: each submits one job and waits for its answer.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::http;

/// A job that a client wants done.
#[derive(Clone, Debug)]
pub struct Job {
    /// `X-Request-Id`.
    pub id: String,
    /// The class.
    pub class: &'static str,
    /// The tenant.
    pub tenant: &'static str,
    /// What it truly needs, at speed 1.
    pub work: Duration,
    /// What the client thinks that it needs.
    pub hint: Duration,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// How long the client waits.
    pub patience: Duration,
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// 200, after so long.
    Served(Duration),
    /// 429 or 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// No answer before the client gave up, or a connection that broke.
    Nothing,
}

/// Clients of one scheduler; they keep their connections.
pub struct Client {
    scheduler: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
}

impl Client {
    /// Clients of the scheduler there.
    pub fn new(scheduler: SocketAddr) -> Self {
        Client { scheduler, idle: RefCell::default() }
    }

    /// Submits a job. The answer counts if it comes within the client's patience and a little.
    pub async fn submit(&self, job: &Job) -> Told {
        let began = Instant::now();
        let slack = Duration::from_millis(100);
        match timeout(job.patience + slack, self.exchange(job)).await {
            Ok(Ok(200)) => Told::Served(began.elapsed()),
            Ok(Ok(429 | 503)) => Told::Rejected,
            Ok(Ok(_)) => Told::Failed,
            Ok(Err(_)) | Err(_) => Told::Nothing,
        }
    }

    async fn exchange(&self, job: &Job) -> io::Result<u16> {
        let kept = self.idle.borrow_mut().pop();
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect(self.scheduler).await?,
        };
        let _ = stream.set_nodelay(true);
        let key = job.key.as_ref().map(|key| format!("\r\nIdempotency-Key: {key}")).unwrap_or_default();
        let first = format!(
            "POST /{}/{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Tenant: {}\r\nX-Deadline-Ms: {}\r\nX-Cost-Hint: {}{key}",
            job.class, job.id, job.id, job.tenant, job.patience.as_millis(), job.hint.as_micros(),
        );
        http::write(&mut stream, &first, job.work.as_micros().to_string().as_bytes()).await?;
        let answer = http::read(&mut stream, &mut Vec::new(), false).await?;
        let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
        if answer.header("connection") != Some("close") {
            self.idle.borrow_mut().push(stream);
        }
        answer.first.0.parse().map_err(|_| io::ErrorKind::InvalidData.into())
    }
}

/// Asks an operators' door.
///
/// # Errors
/// If it does not answer.
pub async fn ask(door: SocketAddr, call: &str) -> io::Result<String> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = TcpStream::connect(door).await?;
    stream.write_all(format!("{call}\n").as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}
