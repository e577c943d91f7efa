//! Messages between the site links and the engine. Like [`crate::server::messages`], this module depends on neither of
//! the two, which avoids circular module dependencies.

use std::time::Duration;

use chutesaddle_gateway::{Config, LinkId, Origin};
use chutesaddle_site_link::Frame;
use tokio::sync::mpsc;

use crate::server::messages::FinalAnswer;

/// Capacity of the queue from the engine to a link's task, in frames. The link itself limits the bytes queued for writing.
const MAX_QUEUED_FRAMES: usize = 4096;

/// The engine's side of a link: queues frames for sending. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkOutbox(mpsc::Sender<Frame>);

/// The link task's side: receives the frames to send. The task closes the link when the channel is closed.
pub type LinkInbox = mpsc::Receiver<Frame>;

impl LinkOutbox {
    /// Creates a channel and returns both sides.
    pub fn channel() -> (Self, LinkInbox) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        (LinkOutbox(sender), receiver)
    }

    /// Queues a frame. Returns false if the queue is full or the link has ended; the link must then be closed.
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// Notifications from the site links to the engine.
#[derive(Debug)]
pub enum SiteLinkEvent {
    /// A link has completed its handshake.
    Up {
        /// ID of the link, unique within the process.
        link: LinkId,
        /// Name of the peer's site.
        site: String,
        /// Incarnation of the peer process.
        incarnation: u64,
        /// Whether this process dialled the link.
        dialled: bool,
        /// Queue of frames to the peer.
        outbox: LinkOutbox,
    },
    /// A link has ended.
    Down(LinkId),
    /// A frame has been received.
    FrameReceived {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// The frame that offers this request has been written completely, so the peer may now run it.
    OfferWritten {
        /// The link.
        link: LinkId,
        /// ID of the forwarded request.
        request: u64,
    },
    /// The round-trip time of a link has changed.
    RoundTripChanged {
        /// The link.
        link: LinkId,
        /// The measured round-trip time.
        round_trip: Duration,
    },
    /// A request forwarded by another site has been answered.
    RequestAnswered {
        /// Origin of the request.
        origin: Origin,
        /// The answer.
        answer: FinalAnswer,
    },
    /// This process has started or stopped draining.
    DrainChanged {
        /// Whether it is draining.
        draining: bool,
    },
    /// The gateway settings in the operator's file have changed.
    SettingsChanged(Box<Config>),
}
