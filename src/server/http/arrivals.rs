//! Receive times of the bytes in a connection's buffer.
//!
//! A client may send a request while the previous one is still being served (pipelining, RFC 9112, section 9.3.2). The
//! deadline of such a request counts from the arrival of its last byte, not from when it is taken from the buffer.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Reads within this time of the first are merged into one entry with the time of the first, so that bytes arriving
/// one by one use little memory. A deadline can be early by at most this much.
const COALESCE_WINDOW: Duration = Duration::from_millis(20);

/// One read from the socket, or several merged reads.
#[derive(Debug)]
struct Read {
    /// Total bytes received on the connection up to the end of this read.
    end_offset: u64,
    received_at: Instant,
}

/// The reads of a connection whose bytes are still in its buffer.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Total bytes received on the connection.
    received_bytes: u64,
    reads: VecDeque<Read>,
}

impl Arrivals {
    /// Records a read of `bytes` bytes at `now`.
    pub(super) fn record(&mut self, bytes: usize, now: Instant) {
        if bytes == 0 {
            return;
        }
        self.received_bytes += bytes as u64;
        match self.reads.back_mut() {
            Some(last) if now.saturating_duration_since(last.received_at) < COALESCE_WINDOW => {
                last.end_offset = self.received_bytes;
            }
            _ => self.reads.push_back(Read { end_offset: self.received_bytes, received_at: now }),
        }
    }

    /// Returns the receive time of the last byte taken from the buffer, given that `buffered_bytes` remain in it.
    /// Drops the records of earlier reads.
    pub(super) fn last_taken_received_at(&mut self, buffered_bytes: usize) -> Option<Instant> {
        let taken_bytes = self.received_bytes.saturating_sub(buffered_bytes as u64);
        while self.reads.front().is_some_and(|read| read.end_offset < taken_bytes) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.received_at)
    }
}

#[cfg(test)]
mod tests;
