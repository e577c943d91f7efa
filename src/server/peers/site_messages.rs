//! The words between the gateway's links and the engine. Like [`crate::server::messages`], they lie below both.

use std::time::Duration;

use chutesaddle_gateway::{Config, LinkId, Origin};
use chutesaddle_site_link::Frame;
use tokio::sync::mpsc;

use crate::server::messages::FinalAnswer;

/// Frames that may wait for a link's task. What waits behind it is bounded in bytes by the link.
const FRAMES: usize = 4096;

/// The engine's end of a link. Dropped, it closes the link.
#[derive(Debug)]
pub struct LinkOutbox(mpsc::Sender<Frame>);

/// A link's end of that.
pub type LinkInbox = mpsc::Receiver<Frame>;

impl LinkOutbox {
    /// Both ends.
    pub fn pair() -> (Self, LinkInbox) {
        let (sender, receiver) = mpsc::channel(FRAMES);
        (LinkOutbox(sender), receiver)
    }

    /// Says something; false if the link takes nothing more, and is to be closed.
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// What the engine hears of other sites.
#[derive(Debug)]
pub enum SiteLinkEvent {
    /// A link is up.
    Up {
        /// Its number.
        link: LinkId,
        /// What the other end calls its site.
        site: String,
        /// That life of its process.
        instance: u64,
        /// This end has dialled.
        dialled: bool,
        /// The way there.
        outbox: LinkOutbox,
    },
    /// It has ended.
    Down(LinkId),
    /// Something was said on it.
    SiteLinkSettings(LinkId, Frame),
    /// The last byte of an offer is written.
    Written(LinkId, u64),
    /// The time there and back has been measured.
    RoundTrip(LinkId, Duration),
    /// A transaction that came in has its answer.
    Answered(Origin, FinalAnswer),
    /// Whether this process empties itself.
    Drain(bool),
    /// The operator's settings have changed.
    Configure(Box<Config>),
}
