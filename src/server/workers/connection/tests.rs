use super::*;

#[test]
fn a_reused_connection_tells_how_long_it_was_idle() {
    let now = Instant::now();
    let pooled = ConnectionState::New.after(ConnectionEvent::IntoPool { now });
    assert_eq!(pooled, ConnectionState::Pooled { since: now });
    let idle_for = Duration::from_secs(3);
    let reused = pooled.after(ConnectionEvent::OutOfPool { now: now + idle_for });
    assert_eq!(reused, ConnectionState::Reused { idle_for });
    let later = now + 2 * idle_for;
    let pooled_again = reused.after(ConnectionEvent::IntoPool { now: later });
    assert_eq!(pooled_again, ConnectionState::Pooled { since: later });
}

#[test]
fn an_event_that_does_not_fit_changes_nothing() {
    let now = Instant::now();
    let out_of_pool = ConnectionEvent::OutOfPool { now };
    let reused = ConnectionState::Reused { idle_for: Duration::ZERO };
    let pooled = ConnectionState::Pooled { since: now };
    assert_eq!(ConnectionState::New.after(out_of_pool), ConnectionState::New);
    assert_eq!(reused.after(out_of_pool), reused);
    let later = now + Duration::from_secs(1);
    assert_eq!(pooled.after(ConnectionEvent::IntoPool { now: later }), pooled);
}
