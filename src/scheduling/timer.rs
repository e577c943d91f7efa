//! The timers that the decisions set, and the tags by which the caller gives them back.

use crate::scheduling::identifiers::RequestId;

/// Tags of request deadlines are this number plus the request's.
const DEADLINE_TAG: u64 = 1 << 32;

/// A timer of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The next scheduling round is due.
    Round,
    /// Attempts and ejected workers are to be looked over.
    OverdueCheck,
    /// Discovery may be polled again.
    DiscoveryRetry,
    /// The next gossip message is due.
    Gossip,
    /// A request must have its final answer.
    Deadline(RequestId),
}

impl Timer {
    /// The tag that stands for this timer outside.
    pub fn tag(self) -> u64 {
        match self {
            Timer::Round => 0,
            Timer::OverdueCheck => 1,
            Timer::DiscoveryRetry => 2,
            Timer::Gossip => 3,
            Timer::Deadline(request) => DEADLINE_TAG + u64::from(request.0),
        }
    }

    /// The timer of a tag; `None` if no timer has it.
    pub fn from_tag(tag: u64) -> Option<Self> {
        match tag {
            0 => Some(Timer::Round),
            1 => Some(Timer::OverdueCheck),
            2 => Some(Timer::DiscoveryRetry),
            3 => Some(Timer::Gossip),
            tag if tag >= DEADLINE_TAG => Some(Timer::Deadline(RequestId(tag as u32))),
            _ => None,
        }
    }
}
