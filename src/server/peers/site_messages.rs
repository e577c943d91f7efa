//! Messages between the site links and the engine. Like [`crate::server::messages`], this module depends on neither the
//! site links nor the engine, which avoids circular module dependencies.

use std::time::Duration;

use chutesaddle_gateway::{Config, LinkId, Origin};
use chutesaddle_site_link::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::server::messages::FinalAnswer;

/// Capacity of the queue from the engine to a link's task, in frames. The link itself limits the bytes queued for writing.
const MAX_QUEUED_FRAMES: usize = 4096;

/// A frame that waits for room in the link's own queue.
#[derive(Debug)]
pub struct QueuedFrame {
    frame: Frame,
    queued_at: Instant,
}

impl QueuedFrame {
    /// Returns the frame to write now. The time left of an offered request is shorter by the wait.
    pub fn into_frame(self) -> Frame {
        let waited_us = self.queued_at.elapsed().as_micros() as u64;
        let mut frame = self.frame;
        if let Frame::Offer { time_left_us, .. } = &mut frame {
            *time_left_us = time_left_us.saturating_sub(waited_us);
        }
        frame
    }
}

/// The engine's side of a link: queues frames for sending. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkOutbox(mpsc::Sender<QueuedFrame>);

/// The link task's side: receives the frames that the engine queued for the peer. The task closes the link when
/// the channel is closed.
pub type OutboxReceiver = mpsc::Receiver<QueuedFrame>;

impl LinkOutbox {
    /// Creates a channel and returns both sides.
    pub fn channel() -> (Self, OutboxReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        (LinkOutbox(sender), receiver)
    }

    /// Queues a frame. Returns false if the queue is full or the link has ended; the link must then be closed.
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(QueuedFrame { frame, queued_at: Instant::now() }).is_ok()
    }
}

/// Events for the engine's site forwarding: changes of the links, received frames, answers to requests from other
/// sites, and changes of the drain state and the settings.
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
    /// This site has answered a request that another site forwarded to it.
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
