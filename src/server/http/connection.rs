//! One connection: the socket, what has arrived on it and is not taken yet, writes, and the ways to close it.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::arrivals::Arrivals;
use super::MAX_HEAD_BYTES;

/// How often to look for a close behind bytes that are left unread: an attempt must not begin 0.1 s after it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Buffer space reserved before each read.
const READ_BYTES: usize = 4096;

/// One connection and what has arrived on it and is not taken yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// What has arrived and is not taken yet.
    pub(super) buffer: BytesMut,
    /// When something was last received.
    last_received: Rc<Cell<Instant>>,
    arrivals: Arrivals,
    /// How often a head was parsed.
    pub(super) head_parses: u32,
}

/// What is left of a connection that another process is to serve.
pub struct ConnectionParts {
    /// Its socket.
    pub socket: OwnedFd,
    /// What was read from it and not taken.
    pub read_ahead: Bytes,
}

impl Connection {
    /// A connection that is up.
    pub fn new(stream: TcpStream) -> Self {
        // Messages are small and waited for, so the system is not to hold them back to fill packets. Where it refuses,
        // the connection is slower and still good.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: BytesMut::new(),
            last_received: Rc::new(Cell::new(Instant::now())),
            arrivals: Arrivals::default(),
            head_parses: 0,
        }
    }

    /// Connects; the caller bounds the wait.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).await.map(Connection::new)
    }

    /// A connection on which another process has read this much.
    pub fn with_read_ahead(stream: TcpStream, read_ahead: &[u8]) -> Self {
        let mut connection = Connection { buffer: BytesMut::from(read_ahead), ..Connection::new(stream) };
        connection.arrivals.record(read_ahead.len(), Instant::now());
        connection
    }

    /// Takes the connection apart, for another process to serve.
    ///
    /// # Errors
    /// As the system reports them.
    pub fn into_parts(self) -> io::Result<ConnectionParts> {
        let socket = self.stream.into_std()?.into();
        Ok(ConnectionParts { socket, read_ahead: self.buffer.freeze() })
    }

    /// When the last byte of the message that was last taken had arrived here. What a client sends ahead waits in the
    /// buffer while its time runs.
    pub fn message_received_at(&mut self) -> Instant {
        self.arrivals.taken_at(self.buffer.len()).unwrap_or_else(|| self.last_received.get())
    }

    /// When something was last received; the cell follows as more arrives.
    pub fn last_received(&self) -> Rc<Cell<Instant>> {
        Rc::clone(&self.last_received)
    }

    /// How often a head was parsed here: it must not depend on the segments in which a head arrives.
    pub fn head_parses(&self) -> u32 {
        self.head_parses
    }

    /// Whether a message has begun to arrive.
    pub fn has_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether nothing at all is there to read: neither bytes nor the other side's end.
    pub fn is_quiet(&self) -> bool {
        if self.has_input() {
            return false;
        }
        let read = self.stream.try_read(&mut [0; 1]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Receives what has arrived, without waiting for more; false if that is nothing.
    pub fn receive_available(&mut self) -> bool {
        self.buffer.reserve(READ_BYTES);
        // An error counts as nothing: it comes back at the next read.
        let read = self.stream.try_read_buf(&mut self.buffer).unwrap_or(0);
        self.arrivals.record(read, Instant::now());
        read > 0
    }

    /// Waits for bytes and receives them; 0 at the other side's end.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn receive(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.last_received.set(Instant::now());
        self.arrivals.record(*read.as_ref().unwrap_or(&0), self.last_received.get());
        read
    }

    /// Ends when the other side has closed or the connection has broken.
    ///
    /// What it sends meanwhile is buffered for later, up to a bound. Beyond it nothing more is read, but a close behind
    /// the unread bytes is seen all the same.
    pub async fn wait_for_close(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if matches!(self.receive().await, Ok(0) | Err(_)) {
                return;
            }
        }
        // The system goes on reporting the unread bytes as readable, so waiting for that would spin.
        while self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Writes all parts in gathered writes. An error means that the last byte did not reach the system.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
        let mut unwritten = slices.as_mut_slice();
        IoSlice::advance_slices(&mut unwritten, 0); // skips leading parts that are empty
        while !unwritten.is_empty() {
            match self.stream.write_vectored(unwritten).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => IoSlice::advance_slices(&mut unwritten, written),
            }
        }
        Ok(())
    }

    /// Closes the sending side, and drops what has arrived.
    pub async fn half_close(&mut self) {
        // Where it fails the connection has broken, and what is read next says so.
        let _ = self.stream.shutdown().await;
        self.buffer = BytesMut::new();
    }

    /// Waits until there is something to read, or the other side's end.
    ///
    /// # Errors
    /// As the system reports them.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads what is there into `scratch` and drops it; false once the other side has ended or the connection broke.
    pub fn discard_received(&self, scratch: &mut [u8]) -> bool {
        match self.stream.try_read(scratch) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
