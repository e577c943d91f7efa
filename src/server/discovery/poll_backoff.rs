//! How fast one of many schedulers may ask discovery, which answers all of them in turn. Free of I/O and clock.
//!
//! A call that waits too long there fails, and what it cost is lost. When all schedulers asked again within the
//! same two seconds, calls failed faster than they were served: after a release, 87 of 100 were never told the
//! pool again. So waits grow with the number of schedulers, and each is drawn anew from nothing up to its bound
//! (full jitter), by the scheduler's seed.

use std::time::Duration;

use crate::scheduling::random::uniform_draw;

/// Longest first and longest later wait where there are few schedulers.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// So many schedulers are few.
const FEW: f64 = 4.0;
/// Time that discovery needs for a few at once: 250 ms for each. No setting tells it; this is what a service takes that
/// answers four calls a second, the slowest that was seen. With 25 ms a second call was made beside one that still
/// waited for its turn; it was refused and the first one with it, so that half of the service's time was lost and some
/// of 32 schedulers were first heard 25 s after their start.
const TURN: Duration = Duration::from_secs(1);
/// The first call is never later: whoever has just started counts as told of drains as if it had asked at once, and
/// may send for half a second more.
const LATEST_START: Duration = Duration::from_millis(250);
/// No later wait is longer, however many schedulers there are. By the clock alone it could be [`TOLD`] less [`CALL`],
/// half a second shorter; but 100 schedulers with nothing heard then make more calls than such a discovery serves.
///
/// [`TOLD`]: super::clock::TOLD
/// [`CALL`]: super::clock::CALL
const LONGEST: Duration = Duration::from_millis(3500);

/// The waits of one scheduler.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    seed: u64,
    /// Schedulers in units of a few.
    share: f64,
    drawn: u64,
    next: Duration,
}

impl PollBackoff {
    /// For one of so many schedulers.
    pub fn new(schedulers: usize, seed: u64) -> Self {
        let mut pace =
            PollBackoff { seed, share: (schedulers as f64 / FEW).max(1.0), drawn: 0, next: Duration::ZERO };
        pace.heard();
        pace
    }

    /// How long to wait at the start: all may have been started at once. Among few, not at all.
    pub fn start(&mut self) -> Duration {
        self.turn(LATEST_START)
    }

    /// How long to wait where all may have to ask at once, up to `most`. Among few, not at all.
    pub fn turn(&mut self, most: Duration) -> Duration {
        self.draw((self.fleet() - TURN).min(most))
    }

    /// How long discovery needs for a call of each scheduler.
    pub fn fleet(&self) -> Duration {
        TURN.mul_f64(self.share)
    }

    /// The same scheduler's, with waits that begin anew.
    #[must_use]
    pub fn anew(&self) -> Self {
        let mut pace = self.clone();
        pace.heard();
        pace
    }

    /// How long to wait before the next try; longer with each.
    pub fn again(&mut self) -> Duration {
        let wait = self.draw(self.next);
        self.next = (self.next * 2).min(WAITS.1.mul_f64(self.share)).min(LONGEST);
        wait
    }

    /// Discovery has spoken: waits begin anew.
    pub fn heard(&mut self) {
        self.next = WAITS.0.mul_f64(self.share).min(LONGEST);
    }

    fn draw(&mut self, most: Duration) -> Duration {
        self.drawn += 1;
        most.mul_f64(uniform_draw(self.seed ^ self.drawn.wrapping_mul(0x9E37_79B9_7F4A_7C15)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All calls of so many schedulers that are never heard, in milliseconds from a common start.
    fn calls(schedulers: usize, until: u128) -> Vec<u128> {
        let mut calls = Vec::new();
        for seed in 0..schedulers as u64 {
            let mut pace = PollBackoff::new(schedulers, seed);
            let mut at = pace.start();
            while at.as_millis() < until {
                calls.push(at.as_millis());
                at += pace.again();
            }
        }
        calls
    }

    #[test]
    fn many_that_failed_at_once_ask_one_after_the_other() {
        // Large fleet: 60 of 100 first calls failed when all came at once; what got through was 20 a second.
        for second in 1..10 {
            let of = |at: &&u128| (second * 1000..second * 1000 + 1000).contains(*at);
            let n = calls(100, 10_000).iter().filter(of).count();
            assert!(n <= 75, "{n} calls in second {second}");
        }
    }

    #[test]
    fn those_that_are_never_heard_ask_ever_more_slowly_up_to_a_bound() {
        let late = calls(100, 120_000).into_iter().filter(|at| *at >= 60_000).count();
        assert!(late <= 60 * 65, "{late} calls in a minute");
        let mut pace = PollBackoff::new(100_000, 7);
        assert!((0..50).all(|_| pace.again() <= LONGEST));
        assert!(pace.start() <= LATEST_START, "a drain told meanwhile must be heard of in time");
    }

    #[test]
    fn few_ask_at_once_and_within_two_seconds_again() {
        for schedulers in 1..=4 {
            let mut pace = PollBackoff::new(schedulers, 3);
            assert_eq!(pace.start(), Duration::ZERO);
            assert!(pace.again() <= WAITS.0);
            assert!((0..50).all(|_| pace.again() <= WAITS.1));
            pace.heard();
            assert!(pace.again() <= WAITS.0, "begins anew");
        }
    }
}
