//! Settings of a link. `crates/operator-config` maps the keys of the operator's file to them.

use std::time::Duration;

/// Settings of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Interval between heartbeats. Default 200 ms: short compared to the lowest latency objective of a request class,
    /// and still cheap on an idle link.
    pub heartbeat: Duration,
    /// A link ends if no frame is received, or nothing can be written, for this time. Default 700 ms: three heartbeat intervals,
    /// plus 100 ms for a pause.
    pub silence_timeout: Duration,
    /// Maximum duration of the handshake. Default 2 s.
    pub handshake_timeout: Duration,
    /// Delay before a lost link is redialled.
    pub reconnect: ReconnectBackoff,
    /// Maximum frame size in bytes. Default 256 KiB: four times the 64 KiB limit of a body or result, to leave room
    /// for its headers.
    pub max_frame_bytes: usize,
    /// Maximum number of bytes queued for writing. Default 1 MiB. Frames are kept back while the queue has no room.
    pub max_queued_bytes: usize,
}

/// Bounds of the exponential backoff before a lost link is redialled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReconnectBackoff {
    /// Initial delay. Default 50 ms.
    pub first: Duration,
    /// Maximum delay. Default 2 s.
    pub longest: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            heartbeat: Duration::from_millis(200),
            silence_timeout: Duration::from_millis(700),
            handshake_timeout: Duration::from_secs(2),
            reconnect: ReconnectBackoff { first: Duration::from_millis(50), longest: Duration::from_secs(2) },
            max_frame_bytes: 256 * 1024,
            max_queued_bytes: 1024 * 1024,
        }
    }
}
