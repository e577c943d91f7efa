//! A connection of a client, a worker, discovery or an operator, and the messages on it.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

use super::{text_of, until, Step, PATIENCE};

pub(super) struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Connection {
    pub(super) fn connect(address: &str) -> Result<Self, String> {
        Ok(Connection::new(TcpStream::connect(address).map_err(text_of)?))
    }

    pub(super) fn accept(listener: &TcpListener) -> Result<Self, String> {
        listener.set_nonblocking(true).unwrap();
        let (stream, _) = until(|| listener.accept().ok()).ok_or("nobody connects")?;
        listener.set_nonblocking(false).unwrap();
        stream.set_nonblocking(false).unwrap();
        Ok(Connection::new(stream))
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Connection { stream, read: Vec::new() }
    }

    pub(super) fn send(&mut self, bytes: &[u8]) -> Step {
        self.stream.write_all(bytes).map_err(text_of)
    }

    /// Reads what comes next; 0 bytes are the end.
    pub(super) fn more(&mut self) -> Result<usize, String> {
        let mut bytes = [0; 4096];
        let read = self.stream.read(&mut bytes).map_err(text_of)?;
        self.read.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// What has been read and not been looked at.
    pub(super) fn unread(&self) -> &[u8] {
        &self.read
    }

    /// All that comes until the other side's end.
    pub(super) fn rest(&mut self) -> Result<String, String> {
        while self.more()? > 0 {}
        Ok(String::from_utf8_lossy(&std::mem::take(&mut self.read)).into_owned())
    }

    pub(super) fn has_input(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).unwrap();
        !self.read.is_empty() || !read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// The next message, head and body.
    pub(super) fn message(&mut self) -> Result<String, String> {
        loop {
            let text = String::from_utf8_lossy(&self.read).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length = content_length(head);
                if rest.len() >= length {
                    let end = head.len() + 4 + length;
                    let message: Vec<u8> = self.read.drain(..end).collect();
                    return Ok(String::from_utf8_lossy(&message).into_owned());
                }
            }
            if self.more()? == 0 {
                return Err(format!("the connection ends after {text:?}"));
            }
        }
    }

    /// `fin`: the other side has closed without a reset.
    pub(super) fn expect_fin(&mut self) -> Step {
        match self.more() {
            Ok(0) if self.read.is_empty() => Ok(()),
            Ok(_) => Err("there is something".into()),
            Err(error) => Err(format!("it was reset: {error}")),
        }
    }

    /// `eof`: the other side has closed, in whatever way.
    pub(super) fn expect_end(&mut self) -> Step {
        let closed = self.more().map(|read| read == 0 && self.read.is_empty());
        if closed.unwrap_or(true) {
            Ok(())
        } else {
            Err("there is something".into())
        }
    }
}

fn content_length(head: &str) -> usize {
    let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
    length.unwrap_or(0)
}

/// The bytes of a message whose lines end with `|`, and its head with `||`.
pub(super) fn head_and_body(text: &str) -> Vec<u8> {
    let (head, body) = text.split_once("||").unwrap_or((text, ""));
    let lines: Vec<&str> = head.split('|').filter(|line| !line.is_empty()).collect();
    let length = format!("\r\nContent-Length: {}", body.len());
    let length = if head.contains("chunked") { "" } else { &length };
    format!("{}{length}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}
