//! The link between the two processes of an upgrade: frames over a Unix socket, some of which carry a socket
//! along. It knows what is said, not what follows from it.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::mpsc;

use crate::scheduling::{LearnedState, WorkerId};
use crate::server::frontend::connection_eviction::EvictionClass;
use crate::server::messages::{MigratedRequest, WorkerCallback};

/// The longest frame: a call-back with its result is the largest.
const FRAME_BYTES: usize = 256 * 1024;
/// Room asked for at a time.
const READ_BYTES: usize = 16 * 1024;

/// The form of the frames that do not last, one more with each change of any of them. Two builds of other forms
/// tell each other the frames that last, which is enough to take over: the old process then closes idle
/// connections instead of passing them on, and finishes its jobs itself.
const FORM: u8 = 2;
/// Frames before this one in [`HandoverFrame`] last: their bytes stay as they are for good.
const LASTING: u8 = 5;

/// What the processes tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandoverFrame {
    /// From the old one, with the socket on which clients are accepted.
    Listener,
    /// From the new one: it serves, and the old one is to accept no more.
    Serving,
    /// A transaction of this name is open.
    RequestOpened(Bytes),
    /// It is open no more.
    RequestClosed(Bytes),
    /// A call-back for a transaction that is not open where it came in, and how often it was passed on.
    Callback(WorkerCallback, u8),
    /// With a client's connection on which no message has begun.
    IdleConnection {
        /// What it has carried.
        worth: EvictionClass,
        /// It has carried a message before.
        spoke: bool,
    },
    /// From the old one: what it has learnt of the members, with their names.
    LearnedState(Box<LearnedState>, Vec<(WorkerId, String)>),
    /// A transaction, with the connection on which its client waits.
    Request {
        /// The transaction.
        request: Box<MigratedRequest>,
        /// What the client has sent beyond it.
        read_ahead: Bytes,
        /// The client keeps the connection.
        keep_alive: bool,
    },
    /// A job of this class went to the member of this name, with so much work.
    WorkSent(String, usize, f64),
}

impl HandoverFrame {
    fn lasts(&self) -> bool {
        use HandoverFrame::{Callback, Listener, RequestClosed, RequestOpened, Serving};
        matches!(self, Listener | Serving | RequestOpened(_) | RequestClosed(_) | Callback(..))
    }

    fn carries_socket(&self) -> bool {
        matches!(
            self,
            HandoverFrame::Listener | HandoverFrame::IdleConnection { .. } | HandoverFrame::Request { .. }
        )
    }
}

/// The sending side; frames are written in their order by a task of their own.
#[derive(Clone)]
pub struct FrameSender {
    sender: mpsc::UnboundedSender<(HandoverFrame, Option<OwnedFd>)>,
    /// Frames that are not written yet.
    queued: Rc<Cell<usize>>,
    alike: Rc<Cell<bool>>,
}

impl FrameSender {
    /// Sends a frame, and a socket with those that carry one. On a link that has ended it is dropped, and so is
    /// what the other process could not read.
    pub fn send(&self, frame: HandoverFrame, socket: Option<OwnedFd>) {
        if !self.is_alike() && !frame.lasts() {
            return;
        }
        if self.sender.send((frame, socket)).is_ok() {
            self.queued.set(self.queued.get() + 1);
        }
    }

    /// Whether the other process reads all frames, as far as it has spoken.
    pub fn is_alike(&self) -> bool {
        self.alike.get()
    }

    /// Whether all frames are written, or cannot be.
    pub fn is_flushed(&self) -> bool {
        self.queued.get() == 0 || self.sender.is_closed()
    }
}

/// The receiving side.
pub struct FrameReceiver {
    stream: Rc<UnixStream>,
    buffer: BytesMut,
    sockets: VecDeque<OwnedFd>,
    alike: Rc<Cell<bool>>,
}

/// The two sides of a link.
pub fn link(stream: UnixStream) -> (FrameSender, FrameReceiver) {
    let stream = Rc::new(stream);
    let (sender, mut frames) = mpsc::unbounded_channel();
    let (queued, alike) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(true)));
    let (writer, left) = (Rc::clone(&stream), Rc::clone(&queued));
    tokio::task::spawn_local(async move {
        while let Some((frame, socket)) = frames.recv().await {
            if write(&writer, &frame, socket).await.is_err() {
                return; // the reading side sees the end as well
            }
            left.set(left.get() - 1);
        }
    });
    let (buffer, sockets) = (BytesMut::new(), VecDeque::new());
    (
        FrameSender { sender, queued, alike: Rc::clone(&alike) },
        FrameReceiver { stream, buffer, sockets, alike },
    )
}

async fn write(stream: &UnixStream, frame: &HandoverFrame, mut socket: Option<OwnedFd>) -> io::Result<()> {
    let body = postcard::to_allocvec(frame).map_err(io::Error::other)?;
    let mut bytes = Vec::from((1 + body.len() as u32).to_be_bytes());
    bytes.push(FORM);
    bytes.extend(body);
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        let written = stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let sockets: Vec<_> = socket.iter().map(AsFd::as_fd).collect();
            if !sockets.is_empty() {
                control.push(SendAncillaryMessage::ScmRights(&sockets));
            }
            Ok(sendmsg(stream, &[IoSlice::new(rest)], &mut control, SendFlags::NOSIGNAL)?)
        });
        rest = &rest[written.await?..];
        socket = None; // it went along with the first byte
    }
    Ok(())
}

impl FrameReceiver {
    /// The next frame and the socket that it carries; `None` at the end of the link, in whatever way.
    pub async fn next(&mut self) -> Option<(HandoverFrame, Option<OwnedFd>)> {
        loop {
            if let Some(length) = self.buffer.get(..4) {
                let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
                if length > FRAME_BYTES {
                    return None;
                }
                if self.buffer.len() >= 4 + length {
                    self.buffer.advance(4);
                    let bytes = self.buffer.split_to(length);
                    let (&form, body) = bytes.split_first()?;
                    if form != FORM {
                        self.alike.set(false);
                        if body.first().is_none_or(|kind| *kind >= LASTING) {
                            continue; // who knows what it says
                        }
                    }
                    let frame: HandoverFrame = postcard::from_bytes(body).ok()?;
                    let socket = if frame.carries_socket() { Some(self.sockets.pop_front()?) } else { None };
                    return Some((frame, socket));
                }
            }
            if self.fill().await.ok()? == 0 {
                return None;
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let stream = Rc::clone(&self.stream);
        let read = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut bytes)];
                let message = recvmsg(&*stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                for carried in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(sockets) = carried {
                        self.sockets.extend(sockets);
                    }
                }
                Ok(message.bytes)
            })
            .await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::server::messages::CallbackEvent;

    /// Other builds read these bytes: what is written here may be added to and never changed.
    #[test]
    fn frames_that_last_keep_their_bytes() {
        let name = || Bytes::from_static(b"r1");
        let call_back = |news| WorkerCallback {
            request_name: name(),
            worker_name: "m".to_owned(),
            event: news,
            load_report: Vec::new(),
        };
        let frames: [(HandoverFrame, &[u8]); 7] = [
            (HandoverFrame::Listener, &[0]),
            (HandoverFrame::Serving, &[1]),
            (HandoverFrame::RequestOpened(name()), b"\x02\x02r1"),
            (HandoverFrame::RequestClosed(name()), b"\x03\x02r1"),
            (HandoverFrame::Callback(call_back(CallbackEvent::Started), 1), b"\x04\x02r1\x01m\0\0\x01"),
            (
                HandoverFrame::Callback(call_back(CallbackEvent::Progress(0.5)), 1),
                b"\x04\x02r1\x01m\x01\0\0\0\0\0\0\xe0\x3f\0\x01",
            ),
            (
                HandoverFrame::Callback(call_back(CallbackEvent::Completed(name())), 2),
                b"\x04\x02r1\x01m\x02\x02r1\0\x02",
            ),
        ];
        for (frame, bytes) in frames {
            assert!(frame.lasts() && bytes[0] < LASTING);
            assert_eq!(postcard::to_allocvec(&frame).unwrap(), bytes, "{frame:?}");
            let read: HandoverFrame = postcard::from_bytes(bytes).unwrap();
            assert_eq!(postcard::to_allocvec(&read).unwrap(), bytes, "{read:?}");
        }
        let passing = HandoverFrame::IdleConnection { worth: EvictionClass::NeverUsed, spoke: false };
        assert!(!passing.lasts() && postcard::to_allocvec(&passing).unwrap()[0] == LASTING);
    }
}
