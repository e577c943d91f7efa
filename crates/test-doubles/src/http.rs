//! Minimal HTTP/1.1 for the test doubles: messages of bounded size with a `Content-Length`.

use std::io::{self, ErrorKind};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEADERS: usize = 32;
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FirstLine {
    Request { method: String, target: String },
    Response { status: String },
}

#[derive(Clone, Copy)]
enum MessageKind {
    Request,
    Response,
}

/// An HTTP message with header names in lower case.
pub(crate) struct Message {
    first_line: FirstLine,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request; empty for a response.
    pub(crate) fn method(&self) -> &str {
        match &self.first_line {
            FirstLine::Request { method, .. } => method,
            FirstLine::Response { .. } => "",
        }
    }

    /// The target of a request; empty for a response.
    pub(crate) fn target(&self) -> &str {
        match &self.first_line {
            FirstLine::Request { target, .. } => target,
            FirstLine::Response { .. } => "",
        }
    }

    /// The status of a response.
    ///
    /// # Errors
    /// If the status is not a number or the message is a request.
    pub(crate) fn status(&self) -> io::Result<u16> {
        match &self.first_line {
            FirstLine::Response { status } => status.parse().map_err(|_| ErrorKind::InvalidData.into()),
            FirstLine::Request { .. } => Err(ErrorKind::InvalidData.into()),
        }
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, reason.to_owned())
}

/// A message without its body, and the length of its head in bytes.
struct Head {
    length: usize,
    message: Message,
}

/// Parses the head of a message. Returns `None` if it is incomplete.
fn parse_head(bytes: &[u8], kind: MessageKind) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (status, first_line, headers) = match kind {
        MessageKind::Request => {
            let mut head = httparse::Request::new(&mut headers);
            let status = head.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
            let method = head.method.unwrap_or_default().to_owned();
            let target = head.path.unwrap_or_default().to_owned();
            (status, FirstLine::Request { method, target }, head.headers)
        }
        MessageKind::Response => {
            let mut head = httparse::Response::new(&mut headers);
            let status = head.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
            let code = head.code.unwrap_or_default().to_string();
            (status, FirstLine::Response { status: code }, head.headers)
        }
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    let pair = |h: &httparse::Header| (h.name.to_lowercase(), String::from_utf8_lossy(h.value).into_owned());
    let headers = headers.iter().map(pair).collect();
    Ok(Some(Head { length, message: Message { first_line, headers, body: Vec::new() } }))
}

/// Reads one request, or `None` if the connection was closed.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    read(stream, buffer, MessageKind::Request).await
}

/// Reads one response, or `None` if the connection was closed.
pub(crate) async fn read_response(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    read(stream, buffer, MessageKind::Response).await
}

async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    kind: MessageKind,
) -> io::Result<Option<Message>> {
    loop {
        if let Some(head) = parse_head(buffer, kind)? {
            return read_body(stream, buffer, head).await.map(Some);
        }
        if buffer.len() > MAX_MESSAGE_BYTES {
            return Err(invalid(&format!("message head is longer than {MAX_MESSAGE_BYTES} bytes")));
        }
        if stream.read_buf(buffer).await? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
    }
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: Head) -> io::Result<Message> {
    let Head { length: head_length, mut message } = head;
    let body_length = message.header("content-length").map_or(Ok(0), str::parse::<usize>);
    let end =
        head_length + body_length.map_err(|error| invalid(&format!("invalid Content-Length: {error}")))?;
    while buffer.len() < end {
        if buffer.len() > MAX_MESSAGE_BYTES || stream.read_buf(buffer).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer[head_length..end].to_vec();
    buffer.drain(..end);
    Ok(message)
}

/// Writes one message with this first line, which may be followed by header lines.
pub(crate) async fn write(stream: &mut TcpStream, first_line: &str, body: &[u8]) -> io::Result<()> {
    let mut message = format!("{first_line}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).await
}
