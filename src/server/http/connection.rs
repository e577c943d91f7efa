//! A connection: the socket, its read buffer, writes and closing.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use rustix::io::ioctl_fionread;
use rustix::net::sockopt::socket_recv_buffer_size;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::arrivals::Arrivals;
use super::{HttpError, MAX_HEAD_BYTES};
use crate::server::memory_budget::{
    HeldMemory, MemoryBudget, MemoryCharge, MemoryExhausted, UNCHARGED_BYTES,
};

/// Interval between checks for a close behind unread bytes. It is short because no attempt may start 0.1 s or more
/// after the client has closed its connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Buffer space reserved before each read.
const READ_BYTES: usize = 4096;
/// A read into less room than this is not worth its system call.
const MIN_READ_BYTES: usize = 1024;
/// Maximum growth of the buffer of an accepted connection in one step.
const MAX_GROWTH_BYTES: usize = 16 * 1024;
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
    /// Charges the buffer, and the body that is being assembled; `None` on connections to other servers.
    memory: Option<MemoryCharge>,
    /// Size of the allocation that the buffer is in, in bytes. Messages taken from the buffer share it.
    allocated: usize,
    /// Whether the message that is received shares the allocation of the buffer.
    shares_allocation: bool,
    /// Size of the body that is assembled outside of the buffer, in bytes.
    assembled: usize,
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
            memory: None,
            allocated: 0,
            shares_allocation: false,
            assembled: 0,
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

    /// Wraps an accepted connection, whose memory is charged to `budget`.
    pub fn accepted(stream: TcpStream, budget: &Rc<MemoryBudget>) -> Self {
        Connection { memory: Some(budget.charge()), ..Connection::new(stream) }
    }

    /// Wraps an accepted connection from which another process has already received `read_ahead`. These bytes count as
    /// received now, because their receive times are not handed over.
    pub fn with_read_ahead(stream: TcpStream, read_ahead: &[u8], budget: &Rc<MemoryBudget>) -> Self {
        let buffer = BytesMut::from(read_ahead);
        let mut connection = Connection { buffer, ..Connection::accepted(stream, budget) };
        connection.arrivals.record(read_ahead.len(), Instant::now());
        connection.allocated = read_ahead.len();
        connection.charge_allocated();
        connection
    }

    /// The charged bytes. The cell shows later changes too, but not after the charge was moved to a message.
    pub fn charged_bytes(&self) -> Rc<Cell<usize>> {
        self.memory.as_ref().map(MemoryCharge::bytes).unwrap_or_default()
    }

    /// Moves the charge to the message that was received last.
    ///
    /// # Errors
    /// Returns an error if received messages hold too much memory already.
    pub fn move_charge_to_message(&mut self) -> Result<HeldMemory, MemoryExhausted> {
        let is_charged = self.shares_allocation || self.assembled > 0;
        let Some(memory) = self.memory.as_mut().filter(|_| is_charged) else {
            return Ok(HeldMemory::default());
        };
        let held = memory.move_to_message()?;
        self.shares_allocation = false;
        self.assembled = 0;
        Ok(held)
    }

    /// Takes the next `length` bytes from the buffer. On an accepted connection, a small part of a large allocation is
    /// copied, so that it does not keep the whole of it.
    pub(super) fn take(&mut self, length: usize) -> Bytes {
        let is_large = self.memory.is_some() && self.allocated > UNCHARGED_BYTES;
        if is_large && length <= UNCHARGED_BYTES {
            let taken = Bytes::copy_from_slice(&self.buffer[..length]);
            self.buffer.advance(length);
            return taken;
        }
        self.shares_allocation |= is_large;
        self.buffer.split_to(length).freeze()
    }

    /// Gives up the allocation that the buffer shares with earlier messages, if it is large.
    pub fn release_allocation(&mut self) {
        if self.allocated <= UNCHARGED_BYTES {
            return;
        }
        self.buffer = BytesMut::from(&self.buffer[..]);
        self.allocated = self.buffer.capacity();
        self.charge_allocated();
    }

    /// Drops the input that was received and not handled, and its charge.
    pub fn drop_input(&mut self) {
        self.buffer = BytesMut::new();
        self.allocated = 0;
        self.shares_allocation = false;
        self.assembled = 0;
        self.charge_allocated();
    }

    /// Charges what is allocated, also beyond the limit of the budget.
    fn charge_allocated(&mut self) {
        if let Some(memory) = &mut self.memory {
            memory.set((self.allocated + self.assembled).saturating_sub(UNCHARGED_BYTES));
        }
    }

    /// Charges a body of `assembled` bytes outside of the buffer.
    pub(super) fn charge_assembled(&mut self, assembled: usize) -> Result<(), MemoryExhausted> {
        if let Some(memory) = &mut self.memory {
            memory.try_set((self.allocated + assembled).saturating_sub(UNCHARGED_BYTES))?;
        }
        self.assembled = assembled;
        Ok(())
    }

    /// Makes room in the buffer for another read. On an accepted connection the buffer grows in small steps, each of which is
    /// charged first.
    fn reserve(&mut self) -> Result<(), MemoryExhausted> {
        let Some(memory) = &mut self.memory else {
            self.buffer.reserve(READ_BYTES);
            return Ok(());
        };
        let has_room = self.buffer.capacity() - self.buffer.len() >= MIN_READ_BYTES;
        if has_room || self.buffer.try_reclaim(MIN_READ_BYTES) {
            return Ok(());
        }
        let length = self.buffer.len();
        let allocated = length + length.clamp(READ_BYTES, MAX_GROWTH_BYTES);
        // The allocation of before is shared with messages that hold their own charge, or freed below.
        memory.try_set((allocated + self.assembled).saturating_sub(UNCHARGED_BYTES))?;
        let mut grown = BytesMut::with_capacity(allocated);
        grown.extend_from_slice(&self.buffer);
        self.buffer = grown;
        self.allocated = allocated;
        Ok(())
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
        if self.reserve().is_err() {
            return false;
        }
        // An error counts as no data. The kernel reports a pending socket error only once, so it is lost here.
        let read = self.stream.try_read_buf(&mut self.buffer).unwrap_or(0);
        self.arrivals.record(read, Instant::now());
        read > 0
    }

    /// Waits for bytes and receives them into the buffer. Returns 0 once the peer has closed its side.
    ///
    /// # Errors
    /// Returns any I/O error of the read, or an error if there is no memory for a larger buffer.
    pub async fn receive(&mut self) -> Result<usize, HttpError> {
        self.reserve()?;
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.last_received.set(Instant::now());
        self.arrivals.record(*read.as_ref().unwrap_or(&0), self.last_received.get());
        Ok(read?)
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
            match self.receive().await {
                Err(HttpError::MemoryExhausted(_)) => break,
                Ok(0) | Err(_) => return,
                Ok(_) => {}
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
        self.drop_input();
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
