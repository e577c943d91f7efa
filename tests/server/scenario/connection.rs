//! TCP connections of clients, workers, discovery and operators, and the messages on them.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::{error_text, poll_until, StepResult, POLL_INTERVAL, STEP_TIMEOUT};

/// The kernel takes no more bytes of a connection if it has taken none for this long.
const FULL_AFTER: Duration = Duration::from_millis(100);
/// Start of an interim response. Clients skip those (RFC 9110, section 15.2).
const INTERIM_RESPONSE: &str = "HTTP/1.1 102";

pub(super) struct Connection {
    stream: TcpStream,
    /// Bytes received but not consumed yet.
    buffer: Vec<u8>,
}

impl Connection {
    pub(super) fn connect(address: &str) -> Result<Self, String> {
        Ok(Connection::new(TcpStream::connect(address).map_err(error_text)?))
    }

    pub(super) fn accept(listener: &TcpListener) -> Result<Self, String> {
        listener.set_nonblocking(true).unwrap();
        let (stream, _) = poll_until(|| listener.accept().ok()).ok_or("no connection arrived in time")?;
        listener.set_nonblocking(false).unwrap();
        stream.set_nonblocking(false).unwrap();
        Ok(Connection::new(stream))
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        Connection { stream, buffer: Vec::new() }
    }

    pub(super) fn send(&mut self, bytes: &[u8]) -> StepResult {
        self.stream.write_all(bytes).map_err(error_text)
    }

    /// Sends pipelined requests with the IDs f0, f1 .. until the kernel takes no more: the receive window of the scheduler
    /// is closed then, and what is sent later, a close included, waits on this side.
    pub(super) fn send_until_full(&mut self) -> StepResult {
        self.stream.set_nonblocking(true).map_err(error_text)?;
        let mut full_since = None;
        let mut unsent = Vec::new();
        for number in 0.. {
            unsent.extend(encode_message(&format!(
                "POST /draw-map/o1 HTTP/1.1|X-Request-Id: f{number}|X-Tenant: acme|X-Pad: {}||map",
                "x".repeat(2000)
            )));
            while !unsent.is_empty() {
                match self.stream.write(&unsent) {
                    Ok(written) => {
                        unsent.drain(..written);
                        full_since = None;
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        let full_since = *full_since.get_or_insert_with(Instant::now);
                        if full_since.elapsed() >= FULL_AFTER {
                            return self.stream.set_nonblocking(false).map_err(error_text);
                        }
                        std::thread::sleep(POLL_INTERVAL);
                    }
                    Err(error) => return Err(error_text(error)),
                }
            }
        }
        Ok(())
    }

    /// Reads available bytes into the buffer. Returns 0 at the end of the stream.
    pub(super) fn fill_buffer(&mut self) -> Result<usize, String> {
        let mut bytes = [0; 4096];
        let read = loop {
            match self.stream.read(&mut bytes) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {} // by the end of a process
                read => break read.map_err(error_text)?,
            }
        };
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Bytes received but not consumed yet.
    pub(super) fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads until the peer closes the connection.
    pub(super) fn read_to_end(&mut self) -> Result<String, String> {
        while self.fill_buffer()? > 0 {}
        Ok(String::from_utf8_lossy(&std::mem::take(&mut self.buffer)).into_owned())
    }

    /// Whether data or a close has arrived.
    pub(super) fn has_input(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).unwrap();
        !self.buffer.is_empty() || !read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Reads the next message, head and body. Skips interim responses.
    pub(super) fn read_message(&mut self) -> Result<String, String> {
        loop {
            let text = String::from_utf8_lossy(&self.buffer).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length = content_length(head);
                if rest.len() >= length {
                    let end = head.len() + 4 + length;
                    let message: Vec<u8> = self.buffer.drain(..end).collect();
                    if head.starts_with(INTERIM_RESPONSE) {
                        continue;
                    }
                    return Ok(String::from_utf8_lossy(&message).into_owned());
                }
            }
            if self.fill_buffer()? == 0 {
                return Err(format!("the connection was closed after {text:?}"));
            }
        }
    }

    /// `fin`: the peer closes the connection without a reset.
    pub(super) fn expect_fin(&mut self) -> StepResult {
        match self.fill_buffer() {
            Ok(0) if self.buffer.is_empty() => Ok(()),
            Ok(_) => Err("data arrived before the close".into()),
            Err(error) => Err(format!("the connection was not closed cleanly: {error}")),
        }
    }

    /// `eof`: the peer closes the connection, with or without a reset.
    pub(super) fn expect_closed(&mut self) -> StepResult {
        let closed = self.fill_buffer().map(|read| read == 0 && self.buffer.is_empty());
        if closed.unwrap_or(true) {
            Ok(())
        } else {
            Err("data arrived before the close".into())
        }
    }
}

fn content_length(head: &str) -> usize {
    let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
    length.unwrap_or(0)
}

/// Encodes a message in which `|` ends a line and `||` ends the head. Adds `Content-Length` unless it is chunked.
pub(super) fn encode_message(text: &str) -> Vec<u8> {
    let (head, body) = text.split_once("||").unwrap_or((text, ""));
    let lines: Vec<&str> = head.split('|').filter(|line| !line.is_empty()).collect();
    let length = format!("\r\nContent-Length: {}", body.len());
    let length = if head.contains("chunked") { "" } else { &length };
    format!("{}{length}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}
