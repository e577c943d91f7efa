use super::*;

#[test]
fn pipelined_messages_are_timed_by_their_own_last_byte() {
    let (mut arrivals, start) = (Arrivals::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    arrivals.record(100, at(0));
    arrivals.record(50, at(500));
    arrivals.record(0, at(700)); // end of stream
    arrivals.record(30, at(900));
    assert_eq!(arrivals.last_taken_received_at(80), Some(at(0)), "message of 100 bytes, 80 bytes remain");
    assert_eq!(
        arrivals.last_taken_received_at(20),
        Some(at(900)),
        "message of 60 bytes, completed by the last read"
    );
    assert_eq!(arrivals.last_taken_received_at(0), Some(at(900)));
}

#[test]
fn bytes_arriving_one_by_one_are_merged_into_few_reads() {
    let (mut arrivals, start) = (Arrivals::default(), Instant::now());
    for n in 0..10_000 {
        arrivals.record(1, start + Duration::from_millis(n / 4));
    }
    assert!(arrivals.reads.len() <= 2500 / 20 + 1, "{} reads", arrivals.reads.len());
    let late = start + Duration::from_millis(2499);
    assert!(arrivals.last_taken_received_at(0).is_some_and(|at| at <= late && late - at < COALESCE_WINDOW));
}
