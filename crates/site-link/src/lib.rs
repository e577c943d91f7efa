//! One link between two sites, as the bytes on it: greeting, authentication, frames, heartbeats.
//!
//! This crate opens no socket, reads no clock and draws no random number. Begin with [`Greeting`], which both
//! ends start with and which becomes a [`Link`] only when the other end has proved that it knows the secret.
//! A link is fed with what was read ([`Link::input`]) and with time ([`Link::tick`]), and says what to write
//! ([`Link::transmit`]). It does not know what its frames mean; `chutesaddle-gateway` does.
//!
//! ```text
//! frame    = length (u32, big endian) body        body: postcard of Hello, Proof or Frame
//! greeting = both ends: Hello at once, Proof when the other's Hello is there, then frames
//! ```
//!
//! A link carries frames in order and never again after it has ended: whatever was under way then is asked
//! about on the next one. It authenticates both ends and hides nothing. Encryption goes between it and the
//! socket, which may be any stream of bytes.
#![warn(missing_docs)]

mod frame;
mod greeting;
mod link;

use std::time::Duration;

pub use frame::{Frame, Job};
pub use greeting::{Greeting, Me, Peer, Secret, Step};
pub use link::{Link, Transmit};

/// Time since a start that the caller chooses; it must not run backwards.
pub type Time = Duration;

/// The version of all that is said on a link.
pub const VERSION: u16 = 1;

/// What an operator can set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Gap between two heartbeats of this end. Default 200 ms: short against the least aim of a class, and at half
    /// of it an idle link costs twice the CPU.
    pub heartbeat: Duration,
    /// A link on which nothing came for so long is over. Default 700 ms: three heartbeats lost and a pause.
    pub silence: Duration,
    /// The greeting must be over within this time. Default 2 s.
    pub greeting: Duration,
    /// First and longest wait before a link is dialled again. Default 50 ms and 2 s.
    pub reconnect: (Duration, Duration),
    /// The largest frame, in bytes. Default 256 KiB: a body or result of 64 KiB with its head, four times.
    pub frame: usize,
    /// What may wait to be written, in bytes. Default 1 MiB; nothing crosses while it is full.
    pub queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            heartbeat: Duration::from_millis(200),
            silence: Duration::from_millis(700),
            greeting: Duration::from_secs(2),
            reconnect: (Duration::from_millis(50), Duration::from_secs(2)),
            frame: 256 * 1024,
            queue: 1024 * 1024,
        }
    }
}

/// Why a link ends. Nothing else is hurt by it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The other end speaks something else.
    #[error("the other end is no gateway")]
    Magic,
    /// It speaks another version.
    #[error("the other end speaks version {0} of the link, this one {VERSION}")]
    Version(u16),
    /// It does not know the secret.
    #[error("the other end does not know the secret")]
    Secret,
    /// It names a site that the operator's file does not.
    #[error("the other end calls itself {0:?}, which is no peer of this site")]
    Stranger(String),
    /// A frame is longer than allowed.
    #[error("a frame of {0} bytes is longer than allowed")]
    TooLong(usize),
    /// A frame cannot be read.
    #[error("a frame cannot be read")]
    Malformed,
    /// Nothing came for too long.
    #[error("the other end fell silent")]
    Silent,
    /// The greeting took too long.
    #[error("the greeting took too long")]
    Slow,
    /// More waits to be written than allowed.
    #[error("the other end takes nothing off, and the queue is full")]
    Full,
    /// The other end closed it and said why.
    #[error("the other end closed it: {0}")]
    Bye(String),
}
