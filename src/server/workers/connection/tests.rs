use super::*;

#[test]
fn reused_connection_records_its_idle_time() {
    let now = Instant::now();
    let pooled = ConnectionState::New.after(ConnectionEvent::ReturnedToPool { now });
    assert_eq!(pooled, ConnectionState::Pooled { pooled_at: now });
    let idle_for = Duration::from_secs(3);
    let reused = pooled.after(ConnectionEvent::TakenFromPool { now: now + idle_for });
    assert_eq!(reused, ConnectionState::Reused { idle_for });
    let later = now + 2 * idle_for;
    let pooled_again = reused.after(ConnectionEvent::ReturnedToPool { now: later });
    assert_eq!(pooled_again, ConnectionState::Pooled { pooled_at: later });
}

#[test]
fn event_without_transition_leaves_the_state_unchanged() {
    let now = Instant::now();
    let taken = ConnectionEvent::TakenFromPool { now };
    let reused = ConnectionState::Reused { idle_for: Duration::ZERO };
    let pooled = ConnectionState::Pooled { pooled_at: now };
    assert_eq!(ConnectionState::New.after(taken), ConnectionState::New);
    assert_eq!(reused.after(taken), reused);
    let later = now + Duration::from_secs(1);
    assert_eq!(pooled.after(ConnectionEvent::ReturnedToPool { now: later }), pooled);
}
