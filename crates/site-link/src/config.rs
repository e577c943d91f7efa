//! The settings of a link. The operator's names for them are mapped in `crates/operator-config`.

use std::time::Duration;

/// What an operator can set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Gap between two heartbeats of this end. Default 200 ms: short against the least latency objective of a
    /// class, and still cheap on an idle link.
    pub heartbeat: Duration,
    /// A link on which nothing came for this long is over. Default 700 ms: three heartbeats lost and a pause.
    pub silence_timeout: Duration,
    /// The handshake must be over within this time. Default 2 s.
    pub handshake_timeout: Duration,
    /// Pause before a link is dialled again.
    pub reconnect: ReconnectBackoff,
    /// The largest frame, in bytes. Default 256 KiB: a body or result of 64 KiB with its head, four times.
    pub most_frame_bytes: usize,
    /// What may wait to be written, in bytes. Default 1 MiB; nothing is forwarded while it is full.
    pub most_queued_bytes: usize,
}

/// The bounds of the pause before a link is dialled again. It grows from one to the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReconnectBackoff {
    /// The first pause. Default 50 ms.
    pub first: Duration,
    /// The longest pause. Default 2 s.
    pub longest: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            heartbeat: Duration::from_millis(200),
            silence_timeout: Duration::from_millis(700),
            handshake_timeout: Duration::from_secs(2),
            reconnect: ReconnectBackoff { first: Duration::from_millis(50), longest: Duration::from_secs(2) },
            most_frame_bytes: 256 * 1024,
            most_queued_bytes: 1024 * 1024,
        }
    }
}
