//! The gateway between two sites: which requests are forwarded, how they are answered, and how they survive failures
//! of the site link and of either scheduler.

use rstest::rstest;

use crate::scenario::{run_scenario, TWO_SITES};

/// Both slots of site `a` are in use, and site `b` has granted its two slots.
const SITE_A_FULL: &str = "
    c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send request r2
    m1 expect r2
    m1 send 202
    c8 send callback r1 m1 started
    c9 send callback r2 m1 started
    o1 wait METRICS => svc.gateway.out.limit.b=2
";

/// A request with an idempotency key is forwarded and runs on the worker of site `b`.
const FORWARD_R3: &str = "
    c3 send request r3 publish-map 8000 3
    m2 expect r3 & map of r3 & Idempotency-Key: k3
    m2 send 202
    f9 send callback r3 m2 started
    o2 wait METRICS => svc.gateway.open_out=1
";

/// A request of site `a` runs at site `b` while the link fails, a scheduler stops or dies, or the settings change. It
/// must not be answered twice and must not run a second time at site `a`.
#[rstest]
#[case::is_answered_once(
    "
    f1 send callback r3 m2 done
    f1 expect 200
    c3 expect 200 & drawn
    o3 wait METRICS => svc.gateway.open_out=0
    o4 wait METRICS => svc.gateway.crossed.publish-map=1
    o5 wait METRICS => svc.ok.publish-map=1
    r1 wait METRICS => svc.gateway.taken=1
    r2 wait METRICS => svc.gateway.open_in=0"
)]
#[case::is_cancelled_when_its_client_disconnects(
    "
    c3 close
    m2 expect DELETE /jobs/r3
    m2 send 200
    r1 wait METRICS => svc.gateway.open_in=0
    o3 wait METRICS => svc.gateway.open_out=0"
)]
#[case::survives_a_partition_after_it_was_accepted(
    "
    w send drop
    s expect log site link down site=b
    w send forward
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send callback r3 m2 done
    c3 expect 200 & drawn"
)]
#[case::completed_during_a_partition(
    "
    w send drop
    s expect log site link down site=b
    f1 send callback r3 m2 done
    f1 expect 200
    r1 wait METRICS => svc.ok.publish-map=1
    w send forward
    c3 expect 200 & drawn
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::survives_the_loss_of_the_response(
    "
    w send drop-replies
    f1 send callback r3 m2 done
    f1 expect 200
    s expect log site link down site=b
    w send forward
    c3 expect 200 & drawn"
)]
#[case::survives_a_connection_reset(
    "
    w send reset
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send callback r3 m2 done
    c3 expect 200 & drawn"
)]
#[case::other_scheduler_is_killed(
    "
    t send KILL
    s expect log site link down site=b
    o9 wait METRICS => svc.tries.publish-map=0
    o3 wait METRICS => svc.gateway.out.up.b=0
    c4 send callback r1 m1 done
    c1 expect 200
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::peer_is_removed_from_the_settings(
    "
    s send operator peer \"b\" { => peer \"c\"; /-peer \"b\" {
    s send HUP
    s expect log the configuration is reloaded
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    o3 wait METRICS => svc.gateway.out.up.b=0
    o4 wait METRICS => svc.gateway.unknown=0"
)]
#[case::own_scheduler_is_stopped(
    "
    s send TERM
    s expect log stopping waiting_requests=3
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    c4 send callback r1 m1 done
    c5 send callback r2 m1 done
    c1 expect 200
    c2 expect 200
    s expect exit 0"
)]
#[case::other_scheduler_is_stopped(
    "
    t send TERM
    t expect log stopping
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    t expect exit 0"
)]
#[case::repeat_of_its_key_is_forwarded_too(
    "
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    c4 send callback r1 m1 done
    c1 expect 200
    c5 send callback r2 m1 done
    c2 expect 200
    o3 wait METRICS => svc.active=0
    c6 send request r4 publish-map 8000 3
    m2 expect r4
    m2 send 202
    f2 send callback r4 m2 done
    c6 expect 200
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::repeat_of_its_key_is_rejected_while_the_other_site_is_down(
    "
    t send KILL
    o3 wait METRICS => svc.gateway.out.up.b=0
    c6 send request r4 publish-map 8000 3
    c6 expect HTTP/1.1 503 & Retry-After
    o9 wait METRICS => svc.tries.publish-map=0"
)]
fn forwarded_request_with_idempotency_key(#[case] then: &str) {
    run_scenario(&TWO_SITES, &format!("{SITE_A_FULL}{FORWARD_R3}{then}"));
}

/// Site `a` has no free slot. The request is forwarded, or runs at site `a` later if site `b` did not accept it.
#[rstest]
#[case::offer_is_lost(
    "
    w send drop
    c3 send request r3 publish-map 8000 3
    o2 wait METRICS => svc.gateway.crossed=1
    s expect log site link down site=b
    w send forward
    o3 wait METRICS => svc.gateway.returned=1
    c4 send callback r1 m1 done
    m1 expect r3
    m1 send 202
    c5 send callback r3 m1 done
    c3 expect 200 & drawn
    m2 expect silence"
)]
#[case::acceptance_is_lost(
    "
    w send drop-replies
    c3 send request r3 publish-map 8000 3
    m2 expect r3
    m2 send 202
    f9 send callback r3 m2 started
    s expect log site link down site=b
    w send forward
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::other_site_misses_the_deadline(
    "
    c3 send request r3 publish-map 700 3
    m2 expect r3
    m2 send 202
    c3 expect HTTP/1.1 502
    m2 expect DELETE /jobs/r3"
)]
#[case::runs_locally_if_its_id_is_in_use_at_the_other_site(
    "
    f1 send request r3
    m2 expect r3
    m2 send 202
    f2 send callback r3 m2 started
    r1 wait METRICS => svc.active=1
    c3 send request r3 draw-map 8000
    o3 wait METRICS => svc.gateway.returned=1
    c4 send callback r1 m1 done
    m1 expect r3
    m1 send 202
    c5 send callback r3 m1 done
    c3 expect 200 & drawn"
)]
#[case::silent_peer_gets_no_request(
    "
    t send STOP
    s expect log site link down site=b
    c3 send request r3 publish-map 8000 3
    c4 send callback r1 m1 done
    m1 expect r3
    t send CONT
    o3 wait METRICS => svc.gateway.crossed=0"
)]
#[case::draining_peer_gets_no_request(
    "
    r1 send raw PAUSE\\n
    r1 expect +OK
    o2 wait METRICS => svc.gateway.out.limit.b=0
    c3 send request r3 publish-map 8000 3
    c4 send callback r1 m1 done
    m1 expect r3
    o3 wait METRICS => svc.gateway.crossed=0"
)]
fn request_without_local_capacity(#[case] then: &str) {
    run_scenario(&TWO_SITES, &format!("{SITE_A_FULL}{then}"));
}

#[test]
fn request_with_local_capacity_is_not_forwarded() {
    run_scenario(
        &TWO_SITES,
        "
        o1 wait METRICS => svc.gateway.out.limit.b=2
        c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 done
        c1 expect 200
        o2 wait METRICS => svc.gateway.crossed=0",
    );
}

#[rstest]
#[case::another_protocol(
    "g1 send raw GET / HTTP/1.1\\r\\n\\r\\n",
    "the peer does not speak the site link protocol"
)]
#[case::oversized_frame("g1 send raw zzzzzzzzzzzz", "the peer does not speak the site link protocol")]
fn connection_that_is_not_a_peer_is_rejected_without_effect_on_others(
    #[case] sent: &str,
    #[case] error: &str,
) {
    run_scenario(
        &TWO_SITES,
        &format!(
            "{sent}
            t expect log site link rejected error={error}
            {SITE_A_FULL}{FORWARD_R3}
            f1 send callback r3 m2 done
            c3 expect 200 & drawn"
        ),
    );
}

#[test]
fn reload_with_an_unreadable_secret_changes_nothing() {
    run_scenario(
        &TWO_SITES,
        &format!(
            "{SITE_A_FULL}
            s send operator secret-file \" => secret-file \"/nowhere
            s send HUP
            s expect log the configuration is not reloaded
            {FORWARD_R3}
            f1 send callback r3 m2 done
            c3 expect 200 & drawn"
        ),
    );
}

/// The secret of one site changes. New site links fail the handshake, and requests are not forwarded any more.
#[test]
fn sites_with_different_secrets_do_not_connect() {
    run_scenario(
        &TWO_SITES,
        &format!(
            "{SITE_A_FULL}
            s send operator .secret\" => .kdl\"
            s send HUP
            s expect log the configuration is reloaded
            w send reset
            t expect log site link rejected
            o2 wait METRICS => svc.gateway.out.up.b=0
            c3 send request r3 publish-map 8000 3
            c4 send callback r1 m1 done
            m1 expect r3
            o3 wait METRICS => svc.gateway.crossed=0"
        ),
    );
}

/// Site `b` removes site `a` from its settings. It still answers the requests that it has accepted, then closes the
/// link.
#[test]
fn receiver_answers_accepted_requests_after_it_removes_its_peer() {
    run_scenario(
        &TWO_SITES,
        &format!(
            "{SITE_A_FULL}{FORWARD_R3}
            t send operator peer \"a\" => peer \"c\"
            t send HUP
            t expect log the configuration is reloaded
            o3 wait METRICS => svc.gateway.out.limit.b=1
            f1 send callback r3 m2 done
            c3 expect 200 & drawn
            o4 wait METRICS => svc.gateway.out.up.b=0"
        ),
    );
}

/// The scheduler of site `a` is replaced while one of its requests is forwarded. The predecessor keeps its link until
/// the request is answered, and the successor opens its own.
#[test]
fn upgrade_of_the_sender_answers_forwarded_requests() {
    run_scenario(
        &TWO_SITES,
        &format!(
            "{SITE_A_FULL}{FORWARD_R3}
            s2 send START
            s expect log a successor takes over
            d expect new GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send full m1:active
            p2 wait STATUS => +OK serving
            p3 wait METRICS => svc.gateway.out.up.b=1
            s send TERM
            f1 send callback r3 m2 done
            c3 expect 200 & drawn
            s expect exit 0"
        ),
    );
}

/// The scheduler of site `b` is replaced while it runs a forwarded request. The predecessor keeps the request until
/// it is answered, and callbacks that reach the successor are passed on to the predecessor.
#[test]
fn upgrade_of_the_receiver_answers_accepted_requests() {
    run_scenario(
        &TWO_SITES,
        &format!(
            "{SITE_A_FULL}{FORWARD_R3}
            t2 send START
            t expect log a successor takes over
            e expect new GET /v1/endpoints
            e send 200 Transfer-Encoding: chunked
            e send full m2:active
            u2 wait STATUS => +OK serving
            t send TERM
            f1 send callback r3 m2 done
            c3 expect 200 & drawn
            t expect exit 0
            t2 expect log listening for site links"
        ),
    );
}
