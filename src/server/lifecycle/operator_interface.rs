//! The operators' door: a listener of its own, on which each connection carries one line and gets one answer.
//! It has its own few descriptors, so that no crowd at the front can keep an operator out.

use std::collections::VecDeque;
use std::fmt::Write as _;
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

/// Callers served at a time. One more takes the place of the one that has been there for longest: an
/// honest call is over within milliseconds.
const CALLERS: usize = 6;
/// The time that a caller has in all.
const CALL: Duration = Duration::from_secs(2);
/// The longest line.
const LINE_BYTES: usize = 256;
/// Wait after a failed accept.
const RETRY: Duration = Duration::from_millis(10);

/// The door of one scheduler.
pub struct OperatorInterface {
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
}

impl OperatorInterface {
    /// A door to this scheduler.
    pub fn new(lifecycle: Rc<Lifecycle>, counters: Rc<Counters>) -> Self {
        OperatorInterface { lifecycle, counters }
    }

    /// Takes callers for good.
    pub async fn run(self, listener: TcpListener) {
        let this = Rc::new(self);
        let mut callers: VecDeque<AbortHandle> = VecDeque::with_capacity(CALLERS);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // a slower answer is still a good one
                    callers.retain(|caller| !caller.is_finished());
                    if callers.len() >= CALLERS {
                        let _ = callers.pop_front().inspect(AbortHandle::abort);
                    }
                    let this = Rc::clone(&this);
                    let call = async move {
                        // A caller that breaks off or is slow has itself to blame.
                        let _ = timeout(CALL, this.call(stream)).await;
                    };
                    callers.push_back(spawn_local(call).abort_handle());
                }
                Err(error) => {
                    if this.counters.accept_failures.add().is_power_of_two() {
                        tracing::warn!("cannot accept an operator's call: {error}");
                    }
                    sleep(RETRY).await;
                }
            }
        }
    }

    async fn call(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut line = BytesMut::with_capacity(LINE_BYTES);
        let answer = loop {
            if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
                break self.answer(line[..end].trim_ascii_end());
            }
            if line.len() >= LINE_BYTES {
                break "-ERR the line is too long\n".to_owned();
            }
            if stream.read_buf(&mut line).await? == 0 {
                return Ok(());
            }
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        // A close with input unread would be a reset, and could take the answer with it.
        while stream.read(&mut [0; LINE_BYTES]).await? > 0 {}
        Ok(())
    }

    fn answer(&self, line: &[u8]) -> String {
        let changed = |result: Result<(), TransitionRejected>| match result {
            Ok(()) => format!("+OK {}\n", self.lifecycle.phase().name()),
            Err(error) => format!("-ERR {error}\n"),
        };
        match line {
            b"STATUS" if self.lifecycle.is_serving() => "+OK serving\n".to_owned(),
            b"STATUS" => format!("-ERR {}\n", self.lifecycle.phase().name()),
            b"METRICS" => {
                let mut text = String::from("+OK\n");
                let _ = writeln!(text, "{}.", self.counters.figures());
                text
            }
            b"PAUSE" => {
                tracing::info!("an operator says PAUSE");
                changed(self.lifecycle.handle(LifecycleEvent::PauseRequested))
            }
            b"RESUME" => {
                tracing::info!("an operator says RESUME");
                changed(self.lifecycle.handle(LifecycleEvent::ResumeRequested))
            }
            _ => "-ERR no such call: STATUS, METRICS, PAUSE, RESUME\n".to_owned(),
        }
    }
}
