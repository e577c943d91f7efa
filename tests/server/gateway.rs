//! The gateway between two sites: what is forwarded, what comes back, and what a cut between them leaves of it.

use rstest::rstest;

use crate::scenario::{play, SITES};

/// Both slots of the site `a` are in use, and the site `b` has granted its two.
const FULL: &str = "
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

/// A request with an idempotency key is forwarded, and the worker of the other site has it.
const FORWARDED: &str = "
    c3 send request r3 publish-map 8000 3
    m2 expect r3 & map of r3 & Idempotency-Key: k3
    m2 send 202
    f9 send callback r3 m2 started
    o2 wait METRICS => svc.gateway.open_out=1
";

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
#[case::survives_a_cut_after_it_was_accepted(
    "
    w send cut
    s expect log site link down site=b
    w send sound
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send callback r3 m2 done
    c3 expect 200 & drawn"
)]
#[case::completed_during_the_cut(
    "
    w send cut
    s expect log site link down site=b
    f1 send callback r3 m2 done
    f1 expect 200
    r1 wait METRICS => svc.ok.publish-map=1
    w send sound
    c3 expect 200 & drawn
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::survives_the_loss_of_the_answer(
    "
    w send back
    f1 send callback r3 m2 done
    f1 expect 200
    s expect log site link down site=b
    w send sound
    c3 expect 200 & drawn"
)]
#[case::survives_a_connection_reset(
    "
    w send reset
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send callback r3 m2 done
    c3 expect 200 & drawn"
)]
#[case::other_process_dies(
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
#[case::own_process_is_stopped(
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
#[case::other_process_is_stopped(
    "
    t send TERM
    t expect log stopping
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    t expect exit 0"
)]
#[case::repeat_of_its_key_follows_it(
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
#[case::repeat_of_its_key_while_the_other_site_is_gone_is_rejected_at_once(
    "
    t send KILL
    o3 wait METRICS => svc.gateway.out.up.b=0
    c6 send request r4 publish-map 8000 3
    c6 expect HTTP/1.1 503 & Retry-After
    o9 wait METRICS => svc.tries.publish-map=0"
)]
fn forwarded_request_with_a_key(#[case] then: &str) {
    play(&SITES, &format!("{FULL}{FORWARDED}{then}"));
}

#[rstest]
#[case::offer_is_lost(
    "
    w send cut
    c3 send request r3 publish-map 8000 3
    o2 wait METRICS => svc.gateway.crossed=1
    s expect log site link down site=b
    w send sound
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
    w send back
    c3 send request r3 publish-map 8000 3
    m2 expect r3
    m2 send 202
    f9 send callback r3 m2 started
    s expect log site link down site=b
    w send sound
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send callback r3 m2 done
    c3 expect 200 & drawn
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::other_site_is_slower_than_the_time_left(
    "
    c3 send request r3 publish-map 700 3
    m2 expect r3
    m2 send 202
    c3 expect HTTP/1.1 502
    m2 expect DELETE /jobs/r3"
)]
#[case::runs_here_when_its_id_is_in_use_there(
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
#[case::silent_peer_gets_nothing(
    "
    t send STOP
    s expect log site link down site=b
    c3 send request r3 publish-map 8000 3
    c4 send callback r1 m1 done
    m1 expect r3
    t send CONT
    o3 wait METRICS => svc.gateway.crossed=0"
)]
#[case::paused_peer_accepts_nothing(
    "
    r1 send raw PAUSE\\n
    r1 expect +OK
    o2 wait METRICS => svc.gateway.out.limit.b=0
    c3 send request r3 publish-map 8000 3
    c4 send callback r1 m1 done
    m1 expect r3
    o3 wait METRICS => svc.gateway.crossed=0"
)]
fn request_that_finds_no_capacity_here(#[case] then: &str) {
    play(&SITES, &format!("{FULL}{then}"));
}

#[test]
fn requests_stay_where_there_is_capacity() {
    play(
        &SITES,
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
#[case::a_long_frame("g1 send raw zzzzzzzzzzzz", "the peer does not speak the site link protocol")]
fn caller_that_is_no_peer_is_rejected_and_nothing_else_is_affected(#[case] call: &str, #[case] why: &str) {
    play(
        &SITES,
        &format!(
            "{call}
            t expect log site link rejected error={why}
            {FULL}{FORWARDED}
            f1 send callback r3 m2 done
            c3 expect 200 & drawn"
        ),
    );
}

#[test]
fn unreadable_secret_changes_nothing() {
    play(
        &SITES,
        &format!(
            "{FULL}
            s send operator secret-file \" => secret-file \"/nowhere
            s send HUP
            s expect log the configuration is not reloaded
            {FORWARDED}
            f1 send callback r3 m2 done
            c3 expect 200 & drawn"
        ),
    );
}

/// The secret of one side changes: no link comes up any more, and requests stay.
#[test]
fn wrong_secret_keeps_the_sites_apart() {
    play(
        &SITES,
        &format!(
            "{FULL}
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

/// The receiver removes its peer from its settings: what it has accepted is answered, and then its link is closed.
#[test]
fn receiver_that_removes_its_peer_answers_what_it_has_accepted() {
    play(
        &SITES,
        &format!(
            "{FULL}{FORWARDED}
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

/// The sender's process is replaced while a request of it is forwarded: the old one waits for its end, the new one has
/// links of its own.
#[test]
fn upgrade_of_the_sender_answers_forwarded_requests() {
    play(
        &SITES,
        &format!(
            "{FULL}{FORWARDED}
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

/// The receiver's process is replaced while it has a request of another site: the old one keeps it to its end, and
/// callbacks that reach the new one are passed on to it.
#[test]
fn upgrade_of_the_receiver_answers_what_it_has_accepted() {
    play(
        &SITES,
        &format!(
            "{FULL}{FORWARDED}
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
