//! The dispatcher's timers, and the tags that identify them to the caller.

use crate::scheduling::identifiers::RequestId;

/// The tag of a request's deadline is this value plus the request id.
const DEADLINE_TAG_BASE: u64 = 1 << 32;

/// A timer set by the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The next scheduling round is due.
    Round,
    /// Overdue attempts and ejected workers must be checked.
    OverdueCheck,
    /// Discovery may be polled again.
    DiscoveryRetry,
    /// The next gossip message is due.
    Gossip,
    /// The deadline of a request is near: it is rejected or failed if it is still open.
    Deadline(RequestId),
}

impl Timer {
    /// The tag of this timer in actions and events.
    pub fn tag(self) -> u64 {
        match self {
            Timer::Round => 0,
            Timer::OverdueCheck => 1,
            Timer::DiscoveryRetry => 2,
            Timer::Gossip => 3,
            Timer::Deadline(request) => DEADLINE_TAG_BASE + u64::from(request.0),
        }
    }

    /// The timer with this tag, or `None` if the tag is unknown.
    pub fn from_tag(tag: u64) -> Option<Self> {
        match tag {
            0 => Some(Timer::Round),
            1 => Some(Timer::OverdueCheck),
            2 => Some(Timer::DiscoveryRetry),
            3 => Some(Timer::Gossip),
            tag if tag >= DEADLINE_TAG_BASE => Some(Timer::Deadline(RequestId(tag as u32))),
            _ => None,
        }
    }
}
