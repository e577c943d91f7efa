//! When the bytes that wait in a connection's buffer arrived.
//!
//! A client may send a request while the one before it is still being served (pipelining, RFC 9112, 9.3.2). Its
//! deadline runs from its own last byte, not from when the request is taken out of the buffer.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Reads within this time of one another count as one, at the time of the first, so that bytes that arrive one by one
/// take little memory. A deadline is at most this much too early.
const COALESCE_WITHIN: Duration = Duration::from_millis(20);

/// One or more reads that count as one.
#[derive(Debug)]
struct Read {
    /// Bytes read on the connection up to its end.
    end: u64,
    at: Instant,
}

/// The reads of a connection that still have bytes in its buffer.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Bytes read so far.
    received_bytes: u64,
    reads: VecDeque<Read>,
}

impl Arrivals {
    /// Records that so many bytes were read now.
    pub(super) fn record(&mut self, bytes: usize, now: Instant) {
        if bytes == 0 {
            return;
        }
        self.received_bytes += bytes as u64;
        match self.reads.back_mut() {
            Some(last) if now.saturating_duration_since(last.at) < COALESCE_WITHIN => {
                last.end = self.received_bytes;
            }
            _ => self.reads.push_back(Read { end: self.received_bytes, at: now }),
        }
    }

    /// When the last byte that has been taken was read, where `buffered_bytes` are left; forgets older reads.
    pub(super) fn taken_at(&mut self, buffered_bytes: usize) -> Option<Instant> {
        let taken_bytes = self.received_bytes.saturating_sub(buffered_bytes as u64);
        while self.reads.front().is_some_and(|read| read.end < taken_bytes) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.at)
    }
}

#[cfg(test)]
mod tests;
