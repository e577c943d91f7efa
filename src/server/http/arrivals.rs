//! When the bytes that wait in a connection's buffer arrived.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Reads so soon after one another count as one, at the time of the first: bytes that come one by one are to cost no
/// more than a few. It makes a deadline this much too early at the most.
const TOGETHER: Duration = Duration::from_millis(20);

/// The reads of a connection that still have bytes in its buffer.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Bytes read so far.
    read: u64,
    /// Bytes that had been read after each read, and when the first of them came.
    reads: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    /// So many bytes were read now.
    pub(super) fn read(&mut self, bytes: usize, now: Instant) {
        if bytes == 0 {
            return;
        }
        self.read += bytes as u64;
        match self.reads.back_mut() {
            Some((end, at)) if now.saturating_duration_since(*at) < TOGETHER => *end = self.read,
            _ => self.reads.push_back((self.read, now)),
        }
    }

    /// When the last byte that has been taken was read, where so many are left; forgets what is older.
    pub(super) fn taken_at(&mut self, left: usize) -> Option<Instant> {
        let taken = self.read.saturating_sub(left as u64);
        while self.reads.front().is_some_and(|(end, _)| *end < taken) {
            self.reads.pop_front();
        }
        self.reads.front().map(|(_, at)| *at)
    }
}

#[cfg(test)]
mod tests;
