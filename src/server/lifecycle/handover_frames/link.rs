//! The connection between the two processes of an upgrade: [`HandoverFrame`]s over a Unix socket.

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

use super::frame::{HandoverFrame, FORM, STABLE_FRAMES};

/// The longest frame that is read; a callback with its result is the largest that is sent.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// How much is read from the socket at a time.
const READ_BYTES: usize = 16 * 1024;
/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// How the other process has broken the format of the link.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    #[error("a frame of the handover link is longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    #[error("a frame of the handover link has no form byte")]
    Empty,
    #[error("a frame of the handover link has come without its socket")]
    SocketMissing,
    #[error("a frame of the handover link is not as its form says")]
    Malformed(#[from] postcard::Error),
}

/// A frame that waits to be written, with the socket that it carries.
struct OutgoingFrame {
    frame: HandoverFrame,
    socket: Option<OwnedFd>,
}

/// A frame that was read, with the socket that it carries.
pub struct ReceivedFrame {
    /// The frame.
    pub frame: HandoverFrame,
    /// The socket, of the frames that carry one.
    pub socket: Option<OwnedFd>,
}

/// The sending side. A task of its own writes the frames in their order.
#[derive(Clone)]
pub struct FrameSender {
    queue: mpsc::UnboundedSender<OutgoingFrame>,
    /// Frames that are not written yet.
    unwritten: Rc<Cell<usize>>,
    same_form: Rc<Cell<bool>>,
}

impl FrameSender {
    /// Sends a frame, and a socket with those that carry one. The frame is dropped if the link has ended, or if the
    /// other process has another form and the frame is not stable.
    pub fn send(&self, frame: HandoverFrame, socket: Option<OwnedFd>) {
        if !self.has_same_form() && !frame.is_stable() {
            return;
        }
        if self.queue.send(OutgoingFrame { frame, socket }).is_ok() {
            self.unwritten.set(self.unwritten.get() + 1);
        }
    }

    /// Whether the other process reads all frames, as far as its own frames have shown.
    pub fn has_same_form(&self) -> bool {
        self.same_form.get()
    }

    /// Whether all frames are written, or cannot be.
    pub fn is_flushed(&self) -> bool {
        self.unwritten.get() == 0 || self.queue.is_closed()
    }
}

/// The receiving side.
pub struct FrameReceiver {
    stream: Rc<UnixStream>,
    buffer: BytesMut,
    /// Sockets that have arrived, in the order of the frames that carry them.
    sockets: VecDeque<OwnedFd>,
    same_form: Rc<Cell<bool>>,
}

/// The two sides of a link.
pub fn link(stream: UnixStream) -> (FrameSender, FrameReceiver) {
    let stream = Rc::new(stream);
    let (queue, frames) = mpsc::unbounded_channel();
    let unwritten = Rc::new(Cell::new(0));
    let same_form = Rc::new(Cell::new(true));
    tokio::task::spawn_local(write_frames(Rc::clone(&stream), frames, Rc::clone(&unwritten)));
    let sender = FrameSender { queue, unwritten, same_form: Rc::clone(&same_form) };
    let receiver = FrameReceiver { stream, buffer: BytesMut::new(), sockets: VecDeque::new(), same_form };
    (sender, receiver)
}

/// Writes queued frames until the link ends; the receiving side sees the end as well.
async fn write_frames(
    stream: Rc<UnixStream>,
    mut frames: mpsc::UnboundedReceiver<OutgoingFrame>,
    unwritten: Rc<Cell<usize>>,
) {
    while let Some(OutgoingFrame { frame, socket }) = frames.recv().await {
        if write_frame(&stream, &frame, socket).await.is_err() {
            return;
        }
        unwritten.set(unwritten.get() - 1);
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
        let written =
            stream.async_io(Interest::WRITABLE, || send_part(stream, rest, socket.as_ref())).await?;
        rest = &rest[written..];
        socket = None; // it went with the first byte
    }
    Ok(())
}

/// A frame with its length and its form in front.
fn encode(frame: &HandoverFrame) -> io::Result<Vec<u8>> {
    let body = postcard::to_allocvec(frame).map_err(io::Error::other)?;
    let mut bytes = Vec::from((1 + body.len() as u32).to_be_bytes());
    bytes.push(FORM);
    bytes.extend(body);
    Ok(bytes)
}

/// Writes as much of `bytes` as the socket takes; `socket` goes with the first of them.
fn send_part(stream: &UnixStream, bytes: &[u8], socket: Option<&OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets: Vec<_> = socket.iter().map(AsFd::as_fd).collect();
    if !sockets.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(&sockets));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
}

impl FrameReceiver {
    /// The next frame and the socket that it carries; `None` once the link has ended or broken the format, which are
    /// the same to the caller: nothing more comes from the other process.
    pub async fn next(&mut self) -> Option<ReceivedFrame> {
        loop {
            if let Some(received) = self.take_frame().ok()? {
                return Some(received);
            }
            if self.fill().await.ok()? == 0 {
                return None;
            }
        }
    }

    /// The first readable frame of those that have arrived; frames of another form are skipped unless stable.
    fn take_frame(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        while let Some(bytes) = self.take_encoded()? {
            let (&form, body) = bytes.split_first().ok_or(FrameError::Empty)?;
            if form != FORM {
                self.same_form.set(false);
                if body.first().is_none_or(|kind| *kind >= STABLE_FRAMES) {
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

    /// The bytes of the next frame without their length, once all of them have arrived.
    fn take_encoded(&mut self) -> Result<Option<BytesMut>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length)))
    }

    /// Reads what has arrived, waiting for something if need be; 0 bytes are the end of the link.
    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let stream = Rc::clone(&self.stream);
        let read =
            stream.async_io(Interest::READABLE, || receive_part(&stream, &mut bytes, &mut self.sockets));
        let read = read.await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }
}

/// Reads what the socket has into `bytes`, and adds the sockets that come with it to `sockets`.
fn receive_part(stream: &UnixStream, bytes: &mut [u8], sockets: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
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
