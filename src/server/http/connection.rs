//! A connection: the socket, its read buffer, writes and closing.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rustix::io::ioctl_fionread;
use rustix::net::sockopt::socket_recv_buffer_size;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::arrivals::Arrivals;
use super::MAX_HEAD_BYTES;

/// Interval between checks for a close behind unread bytes. It is short because no attempt may start 0.1 s or more
/// after the client has closed its connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Buffer space reserved before each read.
const READ_BYTES: usize = 4096;
/// Interim response that probes for a close (RFC 2518, section 10.1). Clients skip interim responses that they do not expect
/// (RFC 9110, section 15.2).
const PROCESSING: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// The receive window can be closed once unread bytes fill this part of the kernel's receive buffer, given as a divisor. The
/// kernel counts the memory of the segments, which is more than their bytes.
const CLOSED_WINDOW_DIVISOR: usize = 2;

/// A TCP connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes received and not consumed yet.
    pub(super) buffer: BytesMut,
    /// See [`Connection::last_received`].
    last_received: Rc<Cell<Instant>>,
    arrivals: Arrivals,
    /// Rest of an interim response that was written in part.
    unwritten_interim: &'static [u8],
    /// Number of times the head parser has run.
    pub(super) head_parses: u32,
}

/// The state of a connection that is handed over to another process.
pub struct ConnectionParts {
    /// The socket.
    pub socket: OwnedFd,
    /// Bytes received and not consumed yet.
    pub read_ahead: Bytes,
}

impl Connection {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Self {
        // Messages are small and latency matters, so Nagle's algorithm is turned off. If that fails, the connection is
        // slower but still usable.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: BytesMut::new(),
            last_received: Rc::new(Cell::new(Instant::now())),
            arrivals: Arrivals::default(),
            unwritten_interim: &[],
            head_parses: 0,
        }
    }

    /// Connects to `address`, without a timeout of its own.
    ///
    /// # Errors
    /// Returns any I/O error of the connect.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).await.map(Connection::new)
    }

    /// Wraps a connection from which another process has already received `read_ahead`. These bytes count as received
    /// now, because their receive times are not handed over.
    pub fn with_read_ahead(stream: TcpStream, read_ahead: &[u8]) -> Self {
        let mut connection = Connection { buffer: BytesMut::from(read_ahead), ..Connection::new(stream) };
        connection.arrivals.record(read_ahead.len(), Instant::now());
        connection
    }

    /// Splits the connection into its socket and buffered bytes, to hand it over to another process.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be deregistered from the runtime, or if an interim response was written in
    /// part: the other process could not write the rest.
    pub fn into_parts(self) -> io::Result<ConnectionParts> {
        if !self.unwritten_interim.is_empty() {
            return Err(io::ErrorKind::WriteZero.into());
        }
        let socket = self.stream.into_std()?.into();
        Ok(ConnectionParts { socket, read_ahead: self.buffer.freeze() })
    }

    /// When the last byte of the most recently read message was received, which is the last byte taken from the buffer.
    /// This can be long before the message was read: pipelined messages wait in the buffer while their deadlines run.
    pub fn message_received_at(&mut self) -> Instant {
        self.arrivals.last_taken_received_at(self.buffer.len()).unwrap_or_else(|| self.last_received.get())
    }

    /// When [`Connection::receive`] last returned, with or without bytes; initially when the connection was wrapped.
    ///
    /// The cell is shared, so that connection eviction sees later receives while a task reads from the connection.
    /// [`Connection::receive_available`] does not update it.
    pub fn last_received(&self) -> Rc<Cell<Instant>> {
        Rc::clone(&self.last_received)
    }

    /// Number of times the head parser has run on this connection. It must not grow with the number of segments that a
    /// head arrives in.
    pub fn head_parses(&self) -> u32 {
        self.head_parses
    }

    /// Whether received bytes are waiting in the buffer.
    pub fn has_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the connection is open and has nothing to read: neither bytes, nor the peer's close, nor an error.
    ///
    /// The check reads from the socket and loses a byte that has arrived, so the caller must drop the connection if it
    /// returns false.
    pub fn is_open_and_idle(&self) -> bool {
        if self.has_input() {
            return false;
        }
        let read = self.stream.try_read(&mut [0; 1]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Receives bytes that are already available, without waiting. Returns false if it received none, which includes
    /// the end of the stream and errors.
    pub fn receive_available(&mut self) -> bool {
        self.buffer.reserve(READ_BYTES);
        // An error counts as no data. The kernel reports a pending socket error only once, so it is lost here.
        let read = self.stream.try_read_buf(&mut self.buffer).unwrap_or(0);
        self.arrivals.record(read, Instant::now());
        read > 0
    }

    /// Waits for bytes and receives them into the buffer. Returns 0 once the peer has closed its side.
    ///
    /// # Errors
    /// Returns any I/O error of the read.
    pub async fn receive(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.last_received.set(Instant::now());
        self.arrivals.record(*read.as_ref().unwrap_or(&0), self.last_received.get());
        read
    }

    /// Waits until the peer closes its side or the connection fails.
    ///
    /// Bytes received meanwhile are buffered, up to `MAX_HEAD_BYTES`. After that nothing more is read, but a close
    /// behind the unread bytes is still detected.
    ///
    /// A peer that has sent more than the receive window takes cannot tell of its close: the end of its stream waits
    /// behind its unsent bytes. It is then sent an interim response, which a kernel answers with a reset if the
    /// connection was closed. The peer must be a client that waits for the response to an HTTP/1.1 request.
    pub async fn wait_for_close(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if matches!(self.receive().await, Ok(0) | Err(_)) {
                return;
            }
        }
        let mut unread_before = None;
        // Unread bytes keep the socket readable, so waiting for readiness alone would spin.
        while self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(CLOSE_CHECK_INTERVAL).await;
            let unread = self.unread_behind_closed_window();
            if unread.is_some() && unread == unread_before {
                self.probe_for_close();
                unread_before = None;
            } else {
                unread_before = unread;
            }
        }
    }

    /// Number of unread bytes in the kernel if these may have closed the receive window.
    fn unread_behind_closed_window(&self) -> Option<usize> {
        // Neither call fails on a socket. Without them no probe is sent.
        let unread = usize::try_from(ioctl_fionread(&self.stream).ok()?).ok()?;
        let capacity = socket_recv_buffer_size(&self.stream).ok()?;
        (unread >= capacity / CLOSED_WINDOW_DIVISOR).then_some(unread)
    }

    /// Sends an interim response. Skipped while the peer does not read the earlier ones.
    fn probe_for_close(&mut self) {
        if self.unwritten_interim.is_empty() {
            self.unwritten_interim = PROCESSING;
        }
        // An error shows in the readiness of the socket as well.
        let written = self.stream.try_write(self.unwritten_interim).unwrap_or(0);
        let is_untouched = written == 0 && self.unwritten_interim.len() == PROCESSING.len();
        self.unwritten_interim = if is_untouched { &[] } else { &self.unwritten_interim[written..] };
    }

    /// Writes all parts with vectored writes.
    ///
    /// # Errors
    /// Returns the I/O error of a failed write. The kernel has not accepted the last byte in that case, so the peer
    /// cannot receive all of the parts.
    pub async fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let rest_of_interim = std::mem::take(&mut self.unwritten_interim);
        let all_parts = std::iter::once(&rest_of_interim).chain(parts);
        let mut slices: Vec<IoSlice> = all_parts.map(|part| IoSlice::new(part)).collect();
        let mut unwritten = slices.as_mut_slice();
        IoSlice::advance_slices(&mut unwritten, 0); // skips empty leading parts
        while !unwritten.is_empty() {
            match self.stream.write_vectored(unwritten).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => IoSlice::advance_slices(&mut unwritten, written),
            }
        }
        Ok(())
    }

    /// Shuts down the write side and drops the buffered input. The caller reads no more messages from the connection.
    pub async fn half_close(&mut self) {
        // If this fails, the connection is broken and the next read returns the error.
        let _ = self.stream.shutdown().await;
        self.buffer = BytesMut::new();
    }

    /// Waits until there are bytes to read or the peer has closed its side.
    ///
    /// # Errors
    /// Returns any I/O error of the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads available bytes from the socket once, up to the length of `scratch`, and drops them. `scratch` must not be
    /// empty. Returns false once the peer has closed its side or the connection has failed.
    pub fn discard_received(&self, scratch: &mut [u8]) -> bool {
        match self.stream.try_read(scratch) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
