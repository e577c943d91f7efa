use super::*;

#[test]
fn each_message_has_the_time_of_its_own_last_byte() {
    let (mut arrivals, start) = (Arrivals::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    arrivals.record(100, at(0));
    arrivals.record(50, at(500));
    arrivals.record(0, at(700)); // the other side's end
    arrivals.record(30, at(900));
    assert_eq!(arrivals.taken_at(80), Some(at(0)), "a message of 100 bytes, 80 are left");
    assert_eq!(arrivals.taken_at(20), Some(at(900)), "one of 60: its last bytes came with the third read");
    assert_eq!(arrivals.taken_at(0), Some(at(900)));
}

#[test]
fn bytes_that_come_one_by_one_are_recorded_in_few_reads() {
    let (mut arrivals, start) = (Arrivals::default(), Instant::now());
    for n in 0..10_000 {
        arrivals.record(1, start + Duration::from_millis(n / 4));
    }
    assert!(arrivals.reads.len() <= 2500 / 20 + 1, "{} reads", arrivals.reads.len());
    let late = start + Duration::from_millis(2499);
    assert!(arrivals.taken_at(0).is_some_and(|at| at <= late && late - at < COALESCE_WITHIN));
}
