use super::*;

/// Times in milliseconds of all polls up to `until` if `schedulers` schedulers start together and no poll is answered.
fn unanswered_polls(schedulers: usize, until: u128) -> Vec<u128> {
    let mut polls = Vec::new();
    for seed in 0..schedulers as u64 {
        let mut backoff = PollBackoff::new(schedulers, seed);
        let mut at = backoff.initial_delay();
        while at.as_millis() < until {
            polls.push(at.as_millis());
            at += backoff.next_delay();
        }
    }
    polls
}

#[test]
fn spreads_the_polls_of_a_large_group_that_failed_at_once() {
    // With 100 schedulers polling at once, 60 of 100 first polls failed; discovery answered 20 polls per second.
    for second in 1..10 {
        let in_second = |at: &&u128| (second * 1000..second * 1000 + 1000).contains(*at);
        let polls = unanswered_polls(100, 10_000).iter().filter(in_second).count();
        assert!(polls <= 75, "{polls} polls in second {second}");
    }
}

#[test]
fn backoff_of_unanswered_polls_is_bounded() {
    let late = unanswered_polls(100, 120_000).into_iter().filter(|at| *at >= 60_000).count();
    assert!(late <= 60 * 65, "{late} polls in a minute");
    let mut backoff = PollBackoff::new(100_000, 7);
    assert!((0..50).all(|_| backoff.next_delay() <= MAX_SCALED_BACKOFF));
    assert!(
        backoff.initial_delay() <= MAX_INITIAL_DELAY,
        "a drain notified during the delay must be received in time"
    );
}

#[test]
fn small_group_polls_immediately_and_again_within_two_seconds() {
    for schedulers in 1..=4 {
        let mut backoff = PollBackoff::new(schedulers, 3);
        assert_eq!(backoff.initial_delay(), Duration::ZERO);
        assert!(backoff.next_delay() <= INITIAL_BACKOFF);
        assert!((0..50).all(|_| backoff.next_delay() <= MAX_BACKOFF));
        backoff.reset();
        assert!(backoff.next_delay() <= INITIAL_BACKOFF, "a reset restores the initial bound");
    }
}
