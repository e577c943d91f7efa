//! HTTP/1.1 on one connection: heads parsed in place, bounded bodies, gathered writes. It knows neither
//! transactions nor members.

mod arrivals;

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use arrivals::Arrivals;

/// The longest head, and the most headers in one.
const HEAD_BYTES: usize = 16 * 1024;
const HEADERS: usize = 64;
/// The longest body that the protocol allows.
pub const BODY_BYTES: usize = 64 * 1024;
/// The longest line that frames a chunk, its extensions included.
const CHUNK_LINE_BYTES: usize = 256;
/// How often to look for a close behind bytes that are left unread: no attempt may begin 0.1 s after it.
const LOOK_FOR_CLOSE: Duration = Duration::from_millis(25);
/// Room asked for at a time.
const READ_BYTES: usize = 4096;

/// Why a message cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The other side closed between two messages.
    #[error("the connection is closed")]
    Closed,
    /// The other side closed inside a message.
    #[error("the connection ended inside a message")]
    Truncated,
    /// The head, or the framing of the body, is malformed.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is longer than this side takes.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body is longer than this side takes.
    #[error("the body is too long")]
    BodyTooLong,
    /// The message did not arrive in time.
    #[error("the message did not arrive in time")]
    TooSlow,
}

impl From<httparse::Error> for HttpError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
            _ => HttpError::Malformed("head"),
        }
    }
}

/// Headers as slices of the bytes that arrived.
#[derive(Debug, Default)]
pub struct Headers(Vec<(Bytes, Bytes)>);

impl Headers {
    /// The value of the first header of this name, where it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.raw(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The same as bytes.
    pub fn raw(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|h| h.0.eq_ignore_ascii_case(name.as_bytes())).map(|h| &h.1)
    }

    /// How many headers of this name there are.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(|h| h.0.eq_ignore_ascii_case(name.as_bytes())).map(|h| &h.1)
    }

    /// Whether there is one header of this name, with just this word as its value.
    fn is_only(&self, name: &str, word: &str) -> bool {
        self.count(name) == 1 && self.get(name).is_some_and(|value| value.trim().eq_ignore_ascii_case(word))
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self.all(name).filter_map(|value| std::str::from_utf8(value).ok());
        values.any(|value| value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token)))
    }
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    ToEnd,
}

/// A head that has arrived; its body has not been read.
#[derive(Debug)]
pub struct Head {
    /// Of a request: its method. Empty for a response.
    pub method: Bytes,
    /// Of a request: its target as it was written, path and query.
    pub target: Bytes,
    /// Of a response: its status. 0 for a request.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The other side keeps the connection for a further message.
    pub keep_alive: bool,
    framing: Framing,
}

impl Head {
    /// The client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.has_token("expect", "100-continue")
    }

    /// The head itself says that the body is over [`BODY_BYTES`].
    pub fn is_too_long(&self) -> bool {
        matches!(self.framing, Framing::Length(length) if length > BODY_BYTES)
    }

    fn frame(&mut self, version: u8) -> Result<(), HttpError> {
        self.keep_alive = version == 1 && !self.headers.has_token("connection", "close");
        let response = self.status != 0;
        let mut lengths = self.headers.all("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return Err(HttpError::Malformed("two lengths"));
        }
        let chunked = self.headers.raw("transfer-encoding").is_some();
        self.framing = if chunked {
            // Both framings in one message are how requests are smuggled past a front.
            // So is a coding that one side knows and the other does not, or an old version that has none.
            let plain = length.is_none() && version == 1;
            if !plain || !self.headers.is_only("transfer-encoding", "chunked") {
                return Err(HttpError::Malformed("transfer encoding"));
            }
            Framing::Chunked
        } else if let Some(length) = length {
            let digits = std::str::from_utf8(length).ok().filter(|l| l.bytes().all(|b| b.is_ascii_digit()));
            let length = digits.and_then(|l| l.parse().ok());
            Framing::Length(length.ok_or(HttpError::Malformed("length"))?)
        } else if response && self.status != 204 && self.status != 304 {
            self.keep_alive = false;
            Framing::ToEnd
        } else {
            Framing::Length(0)
        };
        Ok(())
    }
}

/// One connection and what has arrived on it and is not taken yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// When something was last read.
    heard: Rc<Cell<Instant>>,
    arrivals: Arrivals,
    /// How often a head was parsed.
    parses: u32,
}

impl Connection {
    /// A connection that is up. Answers are small and waited for, so nothing is held back to fill packets.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // a slower connection is still a good one
        Connection {
            stream,
            buffer: BytesMut::new(),
            heard: Rc::new(Cell::new(Instant::now())),
            arrivals: Arrivals::default(),
            parses: 0,
        }
    }

    /// Connects; the caller bounds the wait.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).await.map(Connection::new)
    }

    /// The socket, and what was read from it and not taken.
    ///
    /// # Errors
    /// As the system reports them.
    pub fn into_parts(self) -> io::Result<(OwnedFd, Bytes)> {
        Ok((self.stream.into_std()?.into(), self.buffer.freeze()))
    }

    /// A connection on which so much has been read before.
    pub fn resume(stream: TcpStream, ahead: &[u8]) -> Self {
        let mut connection = Connection { buffer: BytesMut::from(ahead), ..Connection::new(stream) };
        connection.arrivals.read(ahead.len(), Instant::now());
        connection
    }

    /// When the last byte of what was last taken had arrived here: what a client sends ahead waits in the buffer
    /// while its time runs.
    pub fn taken_at(&mut self) -> Instant {
        self.arrivals.taken_at(self.buffer.len()).unwrap_or_else(|| self.heard.get())
    }

    /// Whether nothing at all is there to read: neither bytes nor the other side's end.
    pub fn is_quiet(&self) -> bool {
        let would_block = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.stream.try_read(&mut [0; 1]).is_err_and(would_block)
    }

    /// Takes up what has arrived, without waiting for more; false if that is nothing.
    pub fn arrived(&mut self) -> bool {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.try_read_buf(&mut self.buffer).unwrap_or(0);
        self.arrivals.read(read, Instant::now());
        read > 0
    }

    /// Whether a message has begun to arrive.
    pub fn has_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// When something was last read, also as that goes on.
    pub fn heard(&self) -> Rc<Cell<Instant>> {
        Rc::clone(&self.heard)
    }

    /// How often a head was parsed here: the pieces in which it comes must not tell.
    pub fn parses(&self) -> u32 {
        self.parses
    }

    /// Reads more; 0 at the other side's end.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.heard.set(Instant::now());
        self.arrivals.read(*read.as_ref().unwrap_or(&0), self.heard.get());
        read
    }

    /// Ends when the other side has closed or the connection has broken. What it sends meanwhile is kept for later, up
    /// to a bound; beyond it nothing more is read, but a close behind the unread bytes is seen all the same.
    pub async fn closed(&mut self) {
        while self.buffer.len() < HEAD_BYTES {
            if matches!(self.fill().await, Ok(0) | Err(_)) {
                return;
            }
        }
        // The bytes stay where they are, so that the system goes on saying that there are some: looked at now and then.
        while self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(LOOK_FOR_CLOSE).await;
        }
    }

    async fn more(&mut self) -> Result<(), HttpError> {
        match self.fill().await? {
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// [`HttpError::Closed`] if the other side ended before the first byte of it.
    pub async fn request_head(&mut self) -> Result<Head, HttpError> {
        self.head(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut parsed = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = parsed.parse(bytes)? else { return Ok(None) };
            let start = [parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default()];
            Ok(Some(Parsed::new(bytes, length, start, 0, parsed.version, parsed.headers)))
        })
        .await
    }

    /// Reads the head of a response, passing over interim ones.
    ///
    /// # Errors
    /// [`HttpError::Closed`] if the other side ended before the first byte of it.
    pub async fn response_head(&mut self) -> Result<Head, HttpError> {
        loop {
            let head = self
                .head(|bytes| {
                    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
                    let mut parsed = httparse::Response::new(&mut headers);
                    let httparse::Status::Complete(length) = parsed.parse(bytes)? else { return Ok(None) };
                    let status = parsed.code.unwrap_or_default();
                    Ok(Some(Parsed::new(bytes, length, ["", ""], status, parsed.version, parsed.headers)))
                })
                .await?;
            if !(100..200).contains(&head.status) {
                return Ok(head);
            }
        }
    }

    async fn head(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<Parsed>, HttpError>,
    ) -> Result<Head, HttpError> {
        let mut parsed = 0;
        loop {
            // Only a line that has ended tells anything new: a head that comes byte by byte is not parsed
            // as often as it has bytes.
            if parsed == 0 && !self.buffer.is_empty() || self.buffer[parsed..].contains(&b'\n') {
                parsed = self.buffer.len();
                self.parses += 1;
                if let Some(parsed) = parse(&self.buffer)? {
                    return parsed.cut(&mut self.buffer);
                }
            }
            if self.buffer.len() >= HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return Err(if self.buffer.is_empty() { HttpError::Closed } else { HttpError::Truncated });
            }
        }
    }

    /// Reads the body that belongs to `head`, whole.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLong`] as soon as it is known to be over [`BODY_BYTES`].
    pub async fn body(&mut self, head: &Head) -> Result<Bytes, HttpError> {
        match head.framing {
            Framing::Length(_) if head.is_too_long() => Err(HttpError::BodyTooLong),
            Framing::Length(length) => self.take(length).await,
            Framing::Chunked => {
                let mut body = BytesMut::new();
                while let Some(chunk) = self.chunk(BODY_BYTES - body.len()).await? {
                    body.extend_from_slice(&chunk);
                }
                Ok(body.freeze())
            }
            Framing::ToEnd => {
                while self.fill().await? > 0 {
                    if self.buffer.len() > BODY_BYTES {
                        return Err(HttpError::BodyTooLong);
                    }
                }
                Ok(self.buffer.split().freeze())
            }
        }
    }

    async fn take(&mut self, length: usize) -> Result<Bytes, HttpError> {
        while self.buffer.len() < length {
            self.more().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads the next chunk of a chunked body, of `limit` bytes at most; `None` after the last one.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLong`] for a longer one.
    pub async fn chunk(&mut self, limit: usize) -> Result<Option<Bytes>, HttpError> {
        let (start, length) = loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete(found)) => break found,
                Ok(httparse::Status::Partial) if self.buffer.len() < CHUNK_LINE_BYTES => self.more().await?,
                _ => return Err(HttpError::Malformed("chunk")),
            }
        };
        let length = usize::try_from(length).ok().filter(|&l| l <= limit).ok_or(HttpError::BodyTooLong)?;
        self.buffer.advance(start);
        if length == 0 {
            return self.trailer().await.map(|()| None);
        }
        let chunk = self.take(length).await?;
        match self.take(2).await?.as_ref() {
            b"\r\n" => Ok(Some(chunk)),
            _ => Err(HttpError::Malformed("chunk")),
        }
    }

    /// Passes over the trailer of a chunked body.
    async fn trailer(&mut self) -> Result<(), HttpError> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.buffer[searched..].iter().position(|&b| b == b'\n') {
                let line = self.buffer.split_to(searched + end + 1);
                searched = 0;
                if line.as_ref() == b"\r\n" {
                    return Ok(());
                }
            } else if self.buffer.len() >= HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            } else {
                searched = self.buffer.len();
                self.more().await?;
            }
        }
    }

    /// Writes all parts in gathered writes. An error means that the last byte was not handed over.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
        let mut rest = slices.as_mut_slice();
        IoSlice::advance_slices(&mut rest, 0); // passes over leading parts that are empty
        while !rest.is_empty() {
            match self.stream.write_vectored(rest).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => IoSlice::advance_slices(&mut rest, written),
            }
        }
        Ok(())
    }

    /// Says that nothing more follows from here.
    pub async fn half_close(&mut self) {
        let _ = self.stream.shutdown().await; // what still arrives is passed over either way
        self.buffer = BytesMut::new();
    }

    /// Waits until there is something to read, or the other side's end.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads what is there into `scratch` and passes over it; false at the other side's end.
    pub fn pass_over(&self, scratch: &mut [u8]) -> bool {
        match self.stream.try_read(scratch) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

type Span = (usize, usize);

/// Where the parts of a head lie in the buffer it was parsed in.
struct Parsed {
    length: usize,
    start: [Span; 2],
    status: u16,
    version: u8,
    headers: Vec<(Span, Span)>,
}

impl Parsed {
    fn new(
        bytes: &[u8],
        length: usize,
        start: [&str; 2],
        status: u16,
        version: Option<u8>,
        headers: &[httparse::Header],
    ) -> Self {
        let span = |part: &[u8]| {
            let from = (part.as_ptr() as usize).wrapping_sub(bytes.as_ptr() as usize);
            if part.is_empty() {
                (0, 0)
            } else {
                (from, from + part.len())
            }
        };
        Parsed {
            length,
            start: start.map(|part| span(part.as_bytes())),
            status,
            version: version.unwrap_or_default(),
            headers: headers.iter().map(|h| (span(h.name.as_bytes()), span(h.value))).collect(),
        }
    }

    fn cut(self, buffer: &mut BytesMut) -> Result<Head, HttpError> {
        let bytes = buffer.split_to(self.length).freeze();
        let slice = |span: Span| bytes.slice(span.0..span.1);
        let headers = self.headers.into_iter().map(|h| (slice(h.0), slice(h.1))).collect();
        let mut head = Head {
            method: slice(self.start[0]),
            target: slice(self.start[1]),
            status: self.status,
            headers: Headers(headers),
            keep_alive: false,
            framing: Framing::Length(0),
        };
        head.frame(self.version)?;
        Ok(head)
    }
}
