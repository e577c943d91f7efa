//! The operator interface: STATUS, METRICS, PAUSE and RESUME on a dedicated listener.
//!
//! Each connection carries one command line and receives one answer, `+OK` or `-ERR`. `docs/operating.md` lists them.
//! Descriptors are reserved for the interface, so that client connections cannot lock operators out. [`super::Lifecycle`]
//! decides whether a command is accepted, and [`crate::server::metrics`] formats the metrics.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use crate::server::lifecycle::{Lifecycle, LifecycleEvent, TransitionRejected};
use crate::server::metrics::Counters;

/// Maximum number of concurrent connections. A further connection aborts the oldest one: a well-behaved client
/// finishes within milliseconds.
const MAX_CONNECTIONS: usize = 6;
/// Maximum lifetime of a connection, measured from its accept.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a command line.
const MAX_LINE_BYTES: usize = 256;
/// Delay after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The operator interface of one scheduler.
pub struct OperatorInterface {
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
}

impl OperatorInterface {
    /// Creates the interface. Call [`Self::run`] to serve it.
    pub fn new(lifecycle: Rc<Lifecycle>, counters: Rc<Counters>) -> Self {
        OperatorInterface { lifecycle, counters }
    }

    /// Accepts connections until the process exits.
    pub async fn run(self, listener: TcpListener) {
        let interface = Rc::new(self);
        let mut connections = VecDeque::with_capacity(MAX_CONNECTIONS);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => Rc::clone(&interface).spawn_connection(stream, &mut connections),
                Err(error) => {
                    if interface.counters.accept_failures.add().is_power_of_two() {
                        tracing::warn!(%error, "cannot accept an operator's connection");
                    }
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Spawns a task that serves a connection. Aborts the oldest connection at [`MAX_CONNECTIONS`].
    fn spawn_connection(self: Rc<Self>, stream: TcpStream, connections: &mut VecDeque<AbortHandle>) {
        // Best effort: without it the answer is only slower.
        let _ = stream.set_nodelay(true);
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = connections.pop_front() {
                oldest.abort();
            }
        }
        let connection = spawn_local(async move {
            // A client that disconnects or times out sees that itself, so errors are ignored.
            let _ = timeout(CONNECTION_TIMEOUT, self.serve(stream)).await;
        });
        connections.push_back(connection.abort_handle());
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut line = BytesMut::with_capacity(MAX_LINE_BYTES);
        let answer = loop {
            if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
                break self.answer(line[..end].trim_ascii_end());
            }
            if line.len() >= MAX_LINE_BYTES {
                break "-ERR the line is too long\n".to_owned();
            }
            if stream.read_buf(&mut line).await? == 0 {
                return Ok(());
            }
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        // Closing with unread input would send a reset, and the client could lose the answer.
        while stream.read(&mut [0; MAX_LINE_BYTES]).await? > 0 {}
        Ok(())
    }

    /// Executes a command line and returns the answer.
    fn answer(&self, line: &[u8]) -> String {
        match line {
            b"STATUS" => self.status(),
            b"METRICS" => format!("+OK\n{}.\n", self.counters.operator_metrics()),
            b"PAUSE" => {
                tracing::info!("an operator sent PAUSE");
                self.apply(LifecycleEvent::PauseRequested)
            }
            b"RESUME" => {
                tracing::info!("an operator sent RESUME");
                self.apply(LifecycleEvent::ResumeRequested)
            }
            _ => "-ERR no such call: STATUS, METRICS, PAUSE, RESUME\n".to_owned(),
        }
    }

    fn status(&self) -> String {
        let phase = self.lifecycle.phase().name();
        if self.lifecycle.is_serving() {
            format!("+OK {phase}\n")
        } else {
            format!("-ERR {phase}\n")
        }
    }

    fn apply(&self, event: LifecycleEvent) -> String {
        match self.lifecycle.handle(event) {
            Ok(()) => format!("+OK {}\n", self.lifecycle.phase().name()),
            Err(rejected @ TransitionRejected(_)) => format!("-ERR {rejected}\n"),
        }
    }
}
