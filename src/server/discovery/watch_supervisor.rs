//! When discovery is asked, and which of the calls out there is believed. Free of I/O and clock: times are counted
//! from an origin of the caller's.
//!
//! A watch that says nothing may be dead, and what it does not say counts as told all the same. So one that has
//! missed a line is doubted, not dropped: a call is made beside it, and whichever of them speaks first is kept. An
//! early doubt costs one call; a watch that was only late goes on as if nothing had been.
//!
//! The figures are those of `clock.rs`, with two of our own: [`LATE`] and [`MARGIN`].

use std::collections::VecDeque;
use std::time::Duration;

use crate::scheduling::Settings;
use crate::server::discovery::deadlines::{BEAT, CALL, RELOADED, TOLD};
use crate::server::discovery::poll_backoff::PollBackoff;

/// A line may be so late: delays of a network, and of a scheduler that is busy.
const LATE: Duration = Duration::from_millis(400);
/// Reading and acting takes no longer.
const MARGIN: Duration = Duration::from_millis(100);
/// Calls out beside a doubted watch at the most; the oldest makes room for another one.
const MOST_CALLS: usize = 2;
/// An agent's answer is waited for within these, whatever the grace.
const ANSWER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Names a call, and the watch that it becomes once it has spoken.
pub type CallId = u64;

/// The watch of one scheduler and the calls beside it.
#[derive(Debug)]
pub struct WatchSupervisor {
    /// Lists are pushed to an agent on this machine: asking it costs nothing, and it answers at once.
    agent: bool,
    grace: Duration,
    pace: PollBackoff,
    watch: Option<CallId>,
    calls: VecDeque<CallId>,
    made: CallId,
    ask_at: Duration,
}

impl WatchSupervisor {
    /// Begins at `now`. All schedulers may have been started at once: where they share one discovery they come one
    /// after the other.
    pub fn new(settings: &Settings, seed: u64, now: Duration) -> Self {
        let mut pace = PollBackoff::new(settings.scheduler_count, seed);
        let agent = !settings.discovery_polled;
        let wait = if agent { Duration::ZERO } else { pace.start() };
        let grace = Duration::try_from_secs_f64(settings.drain_grace_s).unwrap_or_default();
        WatchSupervisor {
            agent,
            grace,
            pace,
            watch: None,
            calls: VecDeque::new(),
            made: 0,
            ask_at: now + wait,
        }
    }

    /// When the next call is due, unless something is heard before.
    pub fn ask_at(&self) -> Duration {
        self.ask_at
    }

    /// Whether this call, or the watch that it has become, still counts.
    pub fn holds(&self, id: CallId) -> bool {
        self.watch == Some(id) || self.calls.contains(&id)
    }

    /// A call is made.
    pub fn ask(&mut self, now: Duration) -> CallId {
        if self.calls.len() == MOST_CALLS {
            self.calls.pop_front();
        }
        self.made += 1;
        self.calls.push_back(self.made);
        self.ask_at = now + self.answer();
        self.made
    }

    /// It has spoken, whole: it is the watch from now on, and all others are given up.
    pub fn spoke(&mut self, now: Duration, id: CallId) {
        self.watch = Some(id);
        self.calls.clear();
        self.pace.heard();
        self.ask_at = now + self.doubt();
    }

    /// It has ended. With no other call out, the next one follows.
    pub fn ended(&mut self, now: Duration, id: CallId) {
        self.calls.retain(|call| *call != id);
        self.watch = self.watch.filter(|watch| *watch != id);
        if self.calls.is_empty() {
            let wait = if self.agent { self.answer() / 2 } else { self.pace.again() };
            self.ask_at = now + wait;
        }
    }

    /// What was told so far is void, as at another address: asks anew. All schedulers may be told so at once.
    pub fn anew(&mut self, now: Duration) {
        (self.watch, self.pace) = (None, self.pace.anew());
        self.calls.clear();
        self.ask_at = now + self.turn(RELOADED);
    }

    /// How long a watch may say nothing.
    fn doubt(&mut self) -> Duration {
        BEAT + LATE + self.turn(TOLD.saturating_sub(BEAT + LATE))
    }

    /// A wait of its own for each of many that have to ask at once, which leaves a call its time before `due`; two
    /// calls, where a small fleet's service has time for them.
    fn turn(&mut self, due: Duration) -> Duration {
        let two_calls = self.answer() + self.pace.fleet();
        let calls = if two_calls < due { two_calls } else { CALL };
        let most = (due + self.grace).saturating_sub(MARGIN + calls);
        if self.agent {
            Duration::ZERO
        } else {
            self.pace.turn(most)
        }
    }

    /// How long a call may be without an answer before another is made beside it. At a discovery that is asked there
    /// is time for two before what a silent watch missed counts as told; but the fleet's calls take turns there, and
    /// none of them waits longer than [`CALL`]. While one may wait for its turn no other is made: discovery would
    /// refuse it where many wait, and end the first with it.
    fn answer(&self) -> Duration {
        if self.agent {
            // What an agent gets when it comes back counts at once: two calls within the grace.
            return (self.grace / 2).clamp(ANSWER.0, ANSWER.1);
        }
        let half = (TOLD + self.grace).saturating_sub(BEAT + LATE + MARGIN) / 2;
        half.max(self.pace.fleet()).min(CALL + LATE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Duration = Duration::from_millis(250);
    const NEVER: Duration = Duration::from_secs(3600);

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn settings(asked: bool, dispatchers: usize) -> Settings {
        Settings {
            discovery_polled: asked,
            scheduler_count: dispatchers,
            drain_grace_s: GRACE.as_secs_f64(),
            ..Settings::default()
        }
    }

    /// When a scheduler hears for the first time from `from` on, and how many calls it has made by then. A call made
    /// at `t` is answered after `answer(t)`, or never.
    fn hears(
        vigil: &mut WatchSupervisor,
        from: Duration,
        answer: impl Fn(Duration) -> Duration,
    ) -> (Duration, usize) {
        let (mut out, mut calls): (Vec<(Duration, CallId)>, usize) = (Vec::new(), 0);
        loop {
            out.retain(|(_, id)| vigil.holds(*id));
            let next = out.iter().filter(|(at, _)| *at >= from).min().copied();
            match next.filter(|(at, _)| *at <= vigil.ask_at()) {
                Some((at, id)) => {
                    vigil.spoke(at, id);
                    return (at, calls);
                }
                None => {
                    let now = vigil.ask_at();
                    assert!(now < NEVER, "it is never heard");
                    calls += 1;
                    let id = vigil.ask(now);
                    out.push((now + answer(now), id));
                }
            }
        }
    }

    /// Each fleet, with the last word of a watch at 10 s.
    fn fleets(asked: bool) -> impl Iterator<Item = WatchSupervisor> {
        [1, 4, 6, 40, 300].into_iter().flat_map(move |dispatchers| {
            (0..60).map(move |seed| {
                let mut vigil = WatchSupervisor::new(&settings(asked, dispatchers), seed, Duration::ZERO);
                let first = vigil.ask(Duration::ZERO);
                vigil.spoke(ms(10_000), first);
                vigil
            })
        })
    }

    #[test]
    fn a_silent_watch_is_replaced_before_what_it_missed_counts_as_told() {
        for (asked, waits) in [(false, 0), (true, 0), (true, 1500), (true, 3000)] {
            for mut vigil in fleets(asked) {
                let (at, calls) = hears(&mut vigil, ms(10_000), |_| ms(waits));
                assert!(at <= ms(10_000) + TOLD + GRACE - MARGIN, "{asked} {waits}: heard at {at:?}");
                assert!(calls <= 2, "{calls} calls");
            }
        }
    }

    /// A small fleet's first call may fall silent too: the second one still comes within the same clock.
    #[test]
    fn a_call_that_falls_silent_is_not_waited_for() {
        for dispatchers in [1, 4, 6] {
            for seed in 0..60 {
                let mut vigil = WatchSupervisor::new(&settings(true, dispatchers), seed, Duration::ZERO);
                let first = vigil.ask(Duration::ZERO);
                vigil.spoke(ms(10_000), first);
                let silent_until = vigil.ask_at() + ms(1);
                let answer = |at| if at < silent_until { NEVER } else { ms(1_500) };
                let (at, _) = hears(&mut vigil, ms(10_000), answer);
                assert!(at <= ms(10_000) + TOLD + GRACE, "{dispatchers}: heard at {at:?}");
            }
        }
    }

    /// Whether the calls that an agent has swallowed are answered at its return or not.
    #[test]
    fn what_an_agent_gets_at_its_return_is_heard_within_the_grace() {
        let back = ms(20_000);
        for mut vigil in fleets(false) {
            let (at, _) = hears(&mut vigil, back, |at| if at < back { NEVER } else { Duration::ZERO });
            assert!(at <= back + GRACE - MARGIN, "heard at {at:?}");
        }
        let mut vigil = WatchSupervisor::new(&settings(false, 300), 7, Duration::ZERO);
        let refused = std::iter::from_fn(|| {
            let now = vigil.ask_at();
            let id = vigil.ask(now);
            vigil.ended(now, id);
            Some(now)
        });
        assert_eq!(refused.take_while(|at| *at < ms(1_000)).count(), 16, "a refused call is made again soon");
    }

    #[test]
    fn another_address_is_heard_within_its_clock() {
        for (asked, waits) in [(false, 0), (true, 3000)] {
            for mut vigil in fleets(asked) {
                vigil.anew(ms(11_000));
                let (at, _) = hears(&mut vigil, ms(11_000), |_| ms(waits));
                assert!(at <= ms(11_000) + RELOADED + GRACE - MARGIN, "{asked}: heard at {at:?}");
            }
        }
    }

    #[test]
    fn a_watch_whose_lines_are_late_is_not_doubted() {
        for asked in [false, true] {
            for mut vigil in fleets(asked) {
                for line in 1..50 {
                    let at = ms(10_000) + (BEAT + LATE / 2) * line;
                    assert!(vigil.ask_at() > at);
                    vigil.spoke(at, 1);
                }
            }
        }
    }

    #[test]
    fn a_doubted_watch_that_speaks_first_stays_and_the_calls_go() {
        let mut vigil = WatchSupervisor::new(&settings(true, 4), 3, Duration::ZERO);
        let watch = vigil.ask(Duration::ZERO);
        vigil.spoke(Duration::ZERO, watch);
        let calls: Vec<_> = (0..3).map(|_| vigil.ask(vigil.ask_at())).collect();
        assert!(vigil.holds(watch) && !vigil.holds(calls[0]), "the oldest call makes room");
        assert!(vigil.holds(calls[1]) && vigil.holds(calls[2]));
        vigil.spoke(ms(9_000), watch);
        assert!(vigil.holds(watch) && calls.iter().all(|call| !vigil.holds(*call)));
        assert!(vigil.ask_at() >= ms(9_000) + BEAT);
    }

    /// Discovery serves the calls of a fleet in turn: one that waits for its turn is not given up for another, which
    /// would be refused and end it. 32 schedulers: half of all accepted calls were lost so.
    #[test]
    fn no_call_is_made_beside_one_that_may_still_wait_for_its_turn() {
        for (dispatchers, served) in [(4, ms(1_000)), (6, ms(1_500)), (32, CALL), (300, CALL)] {
            for seed in 0..60 {
                let mut vigil = WatchSupervisor::new(&settings(true, dispatchers), seed, Duration::ZERO);
                let asked = vigil.ask_at();
                vigil.ask(asked);
                assert!(
                    vigil.ask_at() >= asked + served,
                    "{dispatchers}: again at {:?}",
                    vigil.ask_at() - asked
                );
            }
        }
    }

    /// All watches of a fleet fall silent at once: their calls come one after the other.
    #[test]
    fn a_fleet_whose_watches_fell_silent_does_not_ask_at_once() {
        let at = fleets(true).skip(240).map(|vigil| vigil.ask_at());
        let (first, last) = at.fold((NEVER, Duration::ZERO), |(low, high), at| (low.min(at), high.max(at)));
        assert!(last - first > ms(600), "within {:?}", last - first);
    }
}
