use std::rc::Rc;
use std::time::Duration;

use super::{Counters, Gauge};
use crate::server::attempt_end::AttemptEnd;

/// The names and order printed by revision 84881d9. Programs of the platform and of operators parse them.
const COUNTERS: &str = "\
connections_accepted 0
connections_adopted 0
connections_passed_on 0
connections_shed 0
accept_failures 0
transactions_taken 0
transactions_moved 0
transactions_adopted 0
answered_served 0
answered_rejected 0
answered_failed 0
clients_left 0
rejected_at_door 0
messages_rejected 0
duplicate_ids 0
callbacks 0
callbacks_malformed 0
callbacks_unmatched 0
callbacks_passed_on 0
flows 0
member_connects 0
member_reuses 0
deletes 0
probes 0
notes_sent 0
notes_unsent 0
notes_heard 0
notes_ignored 0
pool_updates 0
pool_malformed 0
pool_reconnects 0
flows_ended_done 0
flows_ended_failed 0
flows_ended_returned 0
flows_ended_lost 0
flows_ended_connect_refused 0
flows_ended_connect_timed_out 0
flows_ended_no_descriptor 0
flows_ended_broke_sending 0
flows_ended_broke_waiting 0
flows_ended_stale 0
flows_ended_garbled 0
flows_ended_deadline_passed 0
flows_ended_withdrawn_unsent 0
flows_ended_withdrawn 0
flows_ended_member_inactive 0
";

/// The names added since, which follow the others.
const ADDED_COUNTERS: &str = "\
callbacks_ambiguous 0
connections_delayed 0
pool_unknown_names 0
repeated_ids 0
rejected_for_memory 0
";

const OPERATOR_METRICS: &str = "\
svc.ok.draw=2
svc.shed.draw=1
svc.errors.draw=0
svc.tries.draw=0
svc.active=1
svc.pool_size=3
svc.pool_ejected=0
";

const GATEWAY_METRICS: &str = "\
svc.gateway.crossed.draw=1
svc.gateway.crossed=0
svc.gateway.returned=0
svc.gateway.resumed=0
svc.gateway.unknown=0
svc.gateway.taken=0
svc.gateway.given_back=0
svc.gateway.duplicates_dropped=0
svc.gateway.open_out=0
svc.gateway.open_in=0
svc.gateway.room_granted=0
svc.gateway.stance=neutral
svc.gateway.in.up.b=0
svc.gateway.out.up.b=1
svc.gateway.out.transit_us.b=1500
svc.gateway.out.limit.b=7
";

/// The metrics added since, which follow the others.
const ADDED_METRICS: &str = "\
svc.descriptors.frontend=0
svc.descriptors.frontend.limit=0
svc.descriptors.workers=0
svc.descriptors.workers.limit=0
svc.pool_version=0
svc.engine_queue=0
svc.memory.messages=0
svc.memory.messages.limit=0
";

#[test]
fn counters_keep_their_names_and_order() {
    assert_eq!(Counters::default().to_string(), format!("{COUNTERS}{ADDED_COUNTERS}"));
}

#[test]
fn each_attempt_end_has_its_counter() {
    let counters = Counters::default();
    for end in AttemptEnd::ALL {
        counters.attempt_ended(end);
        assert!(counters.to_string().contains(&format!("flows_ended_{} 1\n", end.name())), "{end:?}");
    }
}

#[test]
fn operator_metrics_keep_their_names_and_order() {
    let counters = Counters::default();
    counters.configure(["draw"].into_iter());
    let class = counters.class(0);
    class.ok.add();
    class.ok.add();
    class.shed.add();
    class.crossed.add();
    counters.pool_size.set(3);
    let active = Gauge::count(&counters.active);
    let expected = format!("{OPERATOR_METRICS}{ADDED_METRICS}");
    assert_eq!(counters.operator_metrics().to_string(), expected);
    counters.gateway.enable();
    counters.gateway.link("b", false, |_| {});
    counters.gateway.link("b", true, |link| {
        link.up = true;
        link.round_trip = Duration::from_millis(3);
        link.slot_limit = 7;
    });
    let expected = format!("{OPERATOR_METRICS}{GATEWAY_METRICS}{ADDED_METRICS}");
    assert_eq!(counters.operator_metrics().to_string(), expected);
    drop(active);
    assert!(counters.operator_metrics().to_string().contains("svc.active=0\n"));
}

#[test]
fn classes_keep_their_counters_through_a_reload() {
    let counters = Counters::default();
    counters.configure(["draw"].into_iter());
    let before = counters.class(0);
    counters.configure(["draw", "publish"].into_iter());
    assert!(Rc::ptr_eq(&before, &counters.class(0)));
    assert!(counters.operator_metrics().to_string().contains("svc.ok.publish=0\n"));
}
