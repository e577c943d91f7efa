use super::*;

const GRACE: Duration = Duration::from_millis(250);
const NEVER: Duration = Duration::from_secs(3600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings(polled: bool, schedulers: usize) -> Settings {
    Settings {
        discovery_polled: polled,
        scheduler_count: schedulers,
        drain_grace_s: GRACE.as_secs_f64(),
        ..Settings::default()
    }
}

/// Returns the time of the first data received at or after `from`, and the number of polls opened until then. A poll
/// opened at `t` is answered at `t + answer(t)`, where `NEVER` stands for no answer.
fn first_data(
    supervisor: &mut WatchSupervisor,
    from: Duration,
    answer: impl Fn(Duration) -> Duration,
) -> (Duration, usize) {
    let (mut open, mut polls): (Vec<(Duration, PollId)>, usize) = (Vec::new(), 0);
    loop {
        open.retain(|(_, id)| supervisor.is_open(*id));
        let next = open.iter().filter(|(at, _)| *at >= from).min().copied();
        match next.filter(|(at, _)| *at <= supervisor.next_poll_at()) {
            Some((at, id)) => {
                supervisor.data_received(at, id);
                return (at, polls);
            }
            None => {
                let now = supervisor.next_poll_at();
                assert!(now < NEVER, "no data is ever received");
                polls += 1;
                let id = supervisor.poll_opened(now);
                open.push((now + answer(now), id));
            }
        }
    }
}

/// Supervisors in groups of several sizes, with a watch that received its last data at 10 s.
fn groups(polled: bool) -> impl Iterator<Item = WatchSupervisor> {
    [1, 4, 6, 40, 300].into_iter().flat_map(move |schedulers| {
        (0..60).map(move |seed| {
            let mut supervisor = WatchSupervisor::new(&settings(polled, schedulers), seed, Duration::ZERO);
            let first = supervisor.poll_opened(Duration::ZERO);
            supervisor.data_received(ms(10_000), first);
            supervisor
        })
    })
}

#[test]
fn replaces_a_silent_watch_before_the_changes_it_missed_count_as_notified() {
    for (polled, answer_ms) in [(false, 0), (true, 0), (true, 1500), (true, 3000)] {
        for mut supervisor in groups(polled) {
            let (at, polls) = first_data(&mut supervisor, ms(10_000), |_| ms(answer_ms));
            assert!(
                at <= ms(10_000) + NOTIFIED_AFTER + GRACE - PROCESSING_TIME,
                "polled {polled}, answered after {answer_ms} ms: received at {at:?}"
            );
            assert!(polls <= 2, "{polls} polls instead of at most 2");
        }
    }
}

/// In a small group, the second poll is answered in time even if the first stays unanswered.
#[test]
fn small_group_polls_again_when_a_poll_stays_unanswered() {
    for schedulers in [1, 4, 6] {
        for seed in 0..60 {
            let mut supervisor = WatchSupervisor::new(&settings(true, schedulers), seed, Duration::ZERO);
            let first = supervisor.poll_opened(Duration::ZERO);
            supervisor.data_received(ms(10_000), first);
            let silent_until = supervisor.next_poll_at() + ms(1);
            let answer = |at| if at < silent_until { NEVER } else { ms(1_500) };
            let (at, _) = first_data(&mut supervisor, ms(10_000), answer);
            assert!(at <= ms(10_000) + NOTIFIED_AFTER + GRACE, "{schedulers} schedulers: received at {at:?}");
        }
    }
}

/// An agent that is down leaves polls unanswered or rejects them. In both cases it must be polled often enough that its
/// list is received within the drain grace once it is back.
#[test]
fn receives_the_list_of_a_returning_agent_within_the_grace() {
    let back = ms(20_000);
    for mut supervisor in groups(false) {
        let (at, _) = first_data(&mut supervisor, back, |at| if at < back { NEVER } else { Duration::ZERO });
        assert!(at <= back + GRACE - PROCESSING_TIME, "received at {at:?}");
    }
    let mut supervisor = WatchSupervisor::new(&settings(false, 300), 7, Duration::ZERO);
    let rejected = std::iter::from_fn(|| {
        let now = supervisor.next_poll_at();
        let id = supervisor.poll_opened(now);
        supervisor.stream_ended(now, id);
        Some(now)
    });
    assert_eq!(
        rejected.take_while(|at| *at < ms(1_000)).count(),
        16,
        "rejected polls are repeated after a short, fixed delay"
    );
}

#[test]
fn receives_the_list_of_a_new_address_in_time() {
    for (polled, answer_ms) in [(false, 0), (true, 3000)] {
        for mut supervisor in groups(polled) {
            supervisor.reset(ms(11_000));
            let (at, _) = first_data(&mut supervisor, ms(11_000), |_| ms(answer_ms));
            assert!(
                at <= ms(11_000) + NOTIFIED_AFTER_RELOAD + GRACE - PROCESSING_TIME,
                "polled {polled}: received at {at:?}"
            );
        }
    }
}

#[test]
fn tolerates_late_keep_alive_lines() {
    for polled in [false, true] {
        for mut supervisor in groups(polled) {
            for line in 1..50 {
                let at = ms(10_000) + (KEEP_ALIVE_INTERVAL + KEEP_ALIVE_TOLERANCE / 2) * line;
                assert!(supervisor.next_poll_at() > at);
                supervisor.data_received(at, 1);
            }
        }
    }
}

#[test]
fn keeps_a_suspected_watch_that_receives_data_before_the_polls() {
    let mut supervisor = WatchSupervisor::new(&settings(true, 4), 3, Duration::ZERO);
    let watch = supervisor.poll_opened(Duration::ZERO);
    supervisor.data_received(Duration::ZERO, watch);
    let polls: Vec<_> = (0..3).map(|_| supervisor.poll_opened(supervisor.next_poll_at())).collect();
    assert!(supervisor.is_open(watch) && !supervisor.is_open(polls[0]), "the third poll replaces the oldest");
    assert!(supervisor.is_open(polls[1]) && supervisor.is_open(polls[2]));
    supervisor.data_received(ms(9_000), watch);
    assert!(supervisor.is_open(watch) && polls.iter().all(|poll| !supervisor.is_open(*poll)));
    assert!(supervisor.next_poll_at() >= ms(9_000) + KEEP_ALIVE_INTERVAL);
}

/// Discovery answers the polls of a group one at a time. If a scheduler opens a second poll while its first is still in
/// that queue, discovery rejects the second and ends the first.
#[test]
fn opens_no_second_poll_while_the_first_may_be_queued_at_discovery() {
    for (schedulers, min_wait) in [(4, ms(1_000)), (6, ms(1_500)), (32, POLL_TIMEOUT), (300, POLL_TIMEOUT)] {
        for seed in 0..60 {
            let mut supervisor = WatchSupervisor::new(&settings(true, schedulers), seed, Duration::ZERO);
            let polled_at = supervisor.next_poll_at();
            supervisor.poll_opened(polled_at);
            assert!(
                supervisor.next_poll_at() >= polled_at + min_wait,
                "{schedulers} schedulers: polled again after {:?}",
                supervisor.next_poll_at() - polled_at
            );
        }
    }
}

/// If all watches of a group fall silent at once, simultaneous polls would overload discovery.
#[test]
fn spreads_the_polls_of_a_group_whose_watches_fell_silent_at_once() {
    let at = groups(true).skip(240).map(|supervisor| supervisor.next_poll_at());
    let (first, last) = at.fold((NEVER, Duration::ZERO), |(low, high), at| (low.min(at), high.max(at)));
    assert!(last - first > ms(600), "all polls within {:?}", last - first);
}
