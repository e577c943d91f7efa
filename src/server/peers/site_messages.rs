//! The messages between the links to other sites and the engine. Like [`crate::server::messages`] they know neither
//! of the two, so that no module depends on itself in a circle.

use std::time::Duration;

use chutesaddle_gateway::{Config, LinkId, Origin};
use chutesaddle_site_link::Frame;
use tokio::sync::mpsc;

use crate::server::messages::FinalAnswer;

/// Frames that may wait for a link's task. Those that wait to be written are bounded in bytes by the link.
const MAX_WAITING_FRAMES: usize = 4096;

/// The engine's end of a link. Dropped, it closes the link.
#[derive(Debug)]
pub struct LinkOutbox(mpsc::Sender<Frame>);

/// The link's end: brings the frames to send. Closed, the link is to close.
pub type LinkInbox = mpsc::Receiver<Frame>;

impl LinkOutbox {
    /// Both ends.
    pub fn pair() -> (Self, LinkInbox) {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_FRAMES);
        (LinkOutbox(sender), receiver)
    }

    /// Queues a frame; false if the link takes nothing more, and is to be closed.
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// What the links notify the engine of.
#[derive(Debug)]
pub enum SiteLinkEvent {
    /// A link is up: its handshake is over.
    Up {
        /// Its number, unique within the process.
        link: LinkId,
        /// The name of the other end's site.
        site: String,
        /// The incarnation of the other end's process.
        incarnation: u64,
        /// Whether this end has dialled.
        dialled: bool,
        /// Takes frames for the other end.
        outbox: LinkOutbox,
    },
    /// A link has ended.
    Down(LinkId),
    /// A frame has been received.
    FrameReceived {
        /// On which link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// The last byte of the frame that offers this request is written: it may run from now on.
    OfferWritten {
        /// On which link.
        link: LinkId,
        /// The number of the forwarded request.
        request: u64,
    },
    /// The round-trip time has changed.
    RoundTripChanged {
        /// On which link.
        link: LinkId,
        /// The measured time.
        round_trip: Duration,
    },
    /// A request that another site has forwarded has its answer.
    RequestAnswered {
        /// Where the request came from.
        origin: Origin,
        /// Its answer.
        answer: FinalAnswer,
    },
    /// This process has begun or ended to drain.
    DrainChanged {
        /// Whether it is draining now.
        draining: bool,
    },
    /// The operator's settings of the gateway have changed.
    SettingsChanged(Box<Config>),
}
