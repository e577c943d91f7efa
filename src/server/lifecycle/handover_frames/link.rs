//! The link between the two processes of an upgrade: carries [`HandoverFrame`]s over a Unix socket.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::mpsc;

use super::frame::{HandoverFrame, FRAME_FORMAT_VERSION, STABLE_FRAME_COUNT};
use crate::server::messages::CallbackEvent;

/// Maximum length of a received frame. The largest frame sent is a callback with its result.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Number of unwritten parts of endpoint lists from which the other process counts as not keeping up.
const MAX_UNWRITTEN_LIST_PARTS: usize = 32;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A protocol error of the other process.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    #[error("handover frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    #[error("handover frame has no format version byte")]
    Empty,
    #[error("handover frame was received without its socket")]
    SocketMissing,
    #[error("cannot decode handover frame: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A frame queued for writing, with the socket that it carries.
struct OutgoingFrame {
    frame: HandoverFrame,
    socket: Option<OwnedFd>,
}

/// A received frame, with the socket that it carries.
pub struct ReceivedFrame {
    /// The frame.
    pub frame: HandoverFrame,
    /// The socket. `None` for frames that do not carry one.
    pub socket: Option<OwnedFd>,
}

/// Frames that are queued and not fully written yet.
#[derive(Default)]
struct UnwrittenFrames {
    all: Cell<usize>,
    /// The parts of endpoint lists among them.
    list_parts: Cell<usize>,
    /// Bytes of the callbacks among them.
    callback_bytes: Cell<usize>,
}

impl UnwrittenFrames {
    fn queued(&self, frame: &HandoverFrame) {
        self.all.set(self.all.get() + 1);
        if is_list_part(frame) {
            self.list_parts.set(self.list_parts.get() + 1);
        }
        self.callback_bytes.set(self.callback_bytes.get() + callback_bytes(frame));
    }

    fn written(&self, frame: &HandoverFrame) {
        self.all.set(self.all.get() - 1);
        if is_list_part(frame) {
            self.list_parts.set(self.list_parts.get() - 1);
        }
        self.callback_bytes.set(self.callback_bytes.get() - callback_bytes(frame));
    }
}

fn is_list_part(frame: &HandoverFrame) -> bool {
    matches!(frame, HandoverFrame::EndpointList(_))
}

/// Size of a callback in memory, or 0 for other frames.
fn callback_bytes(frame: &HandoverFrame) -> usize {
    let HandoverFrame::Callback { callback, .. } = frame else { return 0 };
    let result = match &callback.event {
        CallbackEvent::Completed(result) => result.len(),
        CallbackEvent::Started | CallbackEvent::Progress(_) | CallbackEvent::Ended(_) => 0,
    };
    size_of::<HandoverFrame>() + callback.request_name.len() + callback.worker_name.len() + result
}

/// The sending side of a link. A separate task writes the frames in the order in which they were sent.
#[derive(Clone)]
pub struct FrameSender {
    queue: mpsc::UnboundedSender<OutgoingFrame>,
    unwritten: Rc<UnwrittenFrames>,
    same_format: Rc<Cell<bool>>,
}

impl FrameSender {
    /// Queues a frame, with a socket for those that carry one. The frame is dropped if the link has ended, or if the other
    /// process uses another frame format version and the frame is not stable.
    pub fn send(&self, frame: HandoverFrame, socket: Option<OwnedFd>) {
        if !self.has_same_format() && !frame.is_stable() {
            return;
        }
        self.unwritten.queued(&frame);
        if let Err(unsent) = self.queue.send(OutgoingFrame { frame, socket }) {
            self.unwritten.written(&unsent.0.frame);
        }
    }

    /// Size of the callbacks that are not fully written yet, in bytes.
    pub fn unwritten_callback_bytes(&self) -> usize {
        self.unwritten.callback_bytes.get()
    }

    /// Whether the other process reads endpoint lists too slowly for another update to be queued.
    pub fn is_behind_with_lists(&self) -> bool {
        self.unwritten.list_parts.get() >= MAX_UNWRITTEN_LIST_PARTS
    }

    /// Whether the other process can read all frames. True until a frame with another format version is received.
    pub fn has_same_format(&self) -> bool {
        self.same_format.get()
    }

    /// Whether no frame is waiting to be written. Also true once the link has ended.
    pub fn is_flushed(&self) -> bool {
        self.unwritten.all.get() == 0 || self.queue.is_closed()
    }
}

/// The receiving side of a link.
pub struct FrameReceiver {
    stream: Rc<UnixStream>,
    buffer: BytesMut,
    /// Received sockets, in the order of the frames that carry them.
    sockets: VecDeque<OwnedFd>,
    same_format: Rc<Cell<bool>>,
}

/// Creates a link on a connected stream and returns its two sides.
pub fn link(stream: UnixStream) -> (FrameSender, FrameReceiver) {
    let stream = Rc::new(stream);
    let (queue, frames) = mpsc::unbounded_channel();
    let unwritten = Rc::new(UnwrittenFrames::default());
    let same_format = Rc::new(Cell::new(true));
    tokio::task::spawn_local(write_frames(Rc::clone(&stream), frames, Rc::clone(&unwritten)));
    let sender = FrameSender { queue, unwritten, same_format: Rc::clone(&same_format) };
    let receiver = FrameReceiver { stream, buffer: BytesMut::new(), sockets: VecDeque::new(), same_format };
    (sender, receiver)
}

/// Writes queued frames until the link ends. Errors are not reported here: the receiving side detects the end too.
async fn write_frames(
    stream: Rc<UnixStream>,
    mut frames: mpsc::UnboundedReceiver<OutgoingFrame>,
    unwritten: Rc<UnwrittenFrames>,
) {
    while let Some(OutgoingFrame { frame, socket }) = frames.recv().await {
        if write_frame(&stream, &frame, socket).await.is_err() {
            return;
        }
        unwritten.written(&frame);
    }
}

async fn write_frame(
    stream: &UnixStream,
    frame: &HandoverFrame,
    mut socket: Option<OwnedFd>,
) -> io::Result<()> {
    let bytes = encode(frame)?;
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        let written = stream.async_io(Interest::WRITABLE, || try_send(stream, rest, socket.as_ref())).await?;
        rest = &rest[written..];
        socket = None; // sent with the first byte
    }
    Ok(())
}

/// Encodes a frame with its length prefix and format version.
fn encode(frame: &HandoverFrame) -> io::Result<Vec<u8>> {
    let body = postcard::to_allocvec(frame).map_err(io::Error::other)?;
    let mut bytes = Vec::from((1 + body.len() as u32).to_be_bytes());
    bytes.push(FRAME_FORMAT_VERSION);
    bytes.extend(body);
    Ok(bytes)
}

/// Writes as many of `bytes` as the stream accepts and returns their number. `socket` is sent with the first byte.
fn try_send(stream: &UnixStream, bytes: &[u8], socket: Option<&OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets: Vec<_> = socket.iter().map(AsFd::as_fd).collect();
    if !sockets.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(&sockets));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
}

impl FrameReceiver {
    /// Receives the next frame. Returns `None` once the link has ended or the other process has violated the protocol;
    /// in both cases no further frames can be received.
    pub async fn next(&mut self) -> Option<ReceivedFrame> {
        loop {
            if let Some(received) = self.parse_frame().ok()? {
                return Some(received);
            }
            if self.read_more().await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Parses the next frame in the buffer. Frames of another format version are skipped unless they are stable.
    fn parse_frame(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        while let Some(bytes) = self.take_frame_bytes()? {
            let (&version, body) = bytes.split_first().ok_or(FrameError::Empty)?;
            if version != FRAME_FORMAT_VERSION {
                self.same_format.set(false);
                if body.first().is_none_or(|variant| *variant >= STABLE_FRAME_COUNT) {
                    continue;
                }
            }
            let frame: HandoverFrame = postcard::from_bytes(body)?;
            let socket = match frame.carries_socket() {
                true => Some(self.sockets.pop_front().ok_or(FrameError::SocketMissing)?),
                false => None,
            };
            return Ok(Some(ReceivedFrame { frame, socket }));
        }
        Ok(None)
    }

    /// Takes the bytes of the next frame, without the length prefix. Returns `None` if the frame is incomplete.
    fn take_frame_bytes(&mut self) -> Result<Option<BytesMut>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(length)))
    }

    /// Reads from the stream into the buffer and returns the number of bytes. 0 means that the link has ended.
    async fn read_more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let stream = Rc::clone(&self.stream);
        let read =
            stream.async_io(Interest::READABLE, || try_receive(&stream, &mut bytes, &mut self.sockets));
        let read = read.await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }
}

/// Reads available bytes into `bytes`, appends the received sockets to `sockets`, and returns the number of bytes.
fn try_receive(stream: &UnixStream, bytes: &mut [u8], sockets: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(bytes)];
    let message = recvmsg(stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for carried in control.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = carried {
            sockets.extend(received);
        }
    }
    Ok(message.bytes)
}
