//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, ErrorKind};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A message: the first line's parts, headers in lower case, and the body.
pub(crate) struct Message {
    /// Method and target, or status.
    pub(crate) first: (String, String),
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

const HEADERS: usize = 32;
/// A message is at most this long.
const LONGEST: usize = 256 * 1024;

fn bad(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_owned())
}

fn head(bytes: &[u8], request: bool) -> io::Result<Option<(usize, Message)>> {
    let mut space = [httparse::EMPTY_HEADER; HEADERS];
    let (end, first, headers) = if request {
        let mut head = httparse::Request::new(&mut space);
        let status = head.parse(bytes).map_err(|e| bad(&e.to_string()))?;
        let first = (head.method.unwrap_or_default().to_owned(), head.path.unwrap_or_default().to_owned());
        (status, first, head.headers)
    } else {
        let mut head = httparse::Response::new(&mut space);
        let status = head.parse(bytes).map_err(|e| bad(&e.to_string()))?;
        (status, (head.code.unwrap_or_default().to_string(), String::new()), head.headers)
    };
    let httparse::Status::Complete(end) = end else { return Ok(None) };
    let pair = |h: &httparse::Header| (h.name.to_lowercase(), String::from_utf8_lossy(h.value).into_owned());
    let headers = headers.iter().map(pair).collect();
    Ok(Some((end, Message { first, headers, body: Vec::new() })))
}

/// Reads one message; `None` at the end of the connection.
pub(crate) async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    request: bool,
) -> io::Result<Option<Message>> {
    loop {
        if let Some((end, mut message)) = head(buffer, request)? {
            let length = message.header("content-length").map_or(Ok(0), str::parse::<usize>);
            let length = length.map_err(|_| bad("a length that is none"))?;
            while buffer.len() < end + length {
                if buffer.len() > LONGEST || stream.read_buf(buffer).await? == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = buffer[end..end + length].to_vec();
            buffer.drain(..end + length);
            return Ok(Some(message));
        }
        if buffer.len() > LONGEST {
            return Err(bad("a head without end"));
        }
        if stream.read_buf(buffer).await? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
    }
}

/// Writes one message.
pub(crate) async fn write(stream: &mut TcpStream, first: &str, body: &[u8]) -> io::Result<()> {
    let mut message = format!("{first}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).await
}
