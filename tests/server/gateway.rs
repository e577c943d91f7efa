//! The gateway between two sites: what crosses, what comes back, and what a cut in between leaves of it.

use rstest::rstest;

use crate::scenario::{play, SITES};

/// Both slots of the site `a` are taken, and the site `b` has granted its two.
const FULL: &str = "
    c1 send job r1
    m1 expect r1
    m1 send 202
    c2 send job r2
    m1 expect r2
    m1 send 202
    c8 send call r1 m1 started
    c9 send call r2 m1 started
    o1 wait METRICS => svc.gateway.out.limit.b=2
";

/// A keyed job crosses and is with the member of the other site.
const TAKEN: &str = "
    c3 send job r3 publish-map 8000 3
    m2 expect r3 & map of r3 & Idempotency-Key: k3
    m2 send 202
    f9 send call r3 m2 started
    o2 wait METRICS => svc.gateway.open_out=1
";

#[rstest]
#[case::it_is_answered_once(
    "
    f1 send call r3 m2 done
    f1 expect 200
    c3 expect 200 & drawn
    o3 wait METRICS => svc.gateway.open_out=0
    o4 wait METRICS => svc.gateway.crossed.publish-map=1
    o5 wait METRICS => svc.ok.publish-map=1
    r1 wait METRICS => svc.gateway.taken=1
    r2 wait METRICS => svc.gateway.open_in=0"
)]
#[case::its_client_leaves(
    "
    c3 close
    m2 expect DELETE /jobs/r3
    m2 send 200
    r1 wait METRICS => svc.gateway.open_in=0
    o3 wait METRICS => svc.gateway.open_out=0"
)]
#[case::cut_after_it_was_taken(
    "
    w send cut
    s expect log site link down site=b
    w send sound
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send call r3 m2 done
    c3 expect 200 & drawn"
)]
#[case::done_during_the_cut(
    "
    w send cut
    s expect log site link down site=b
    f1 send call r3 m2 done
    f1 expect 200
    r1 wait METRICS => svc.ok.publish-map=1
    w send sound
    c3 expect 200 & drawn
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::the_answer_is_lost_on_the_way(
    "
    w send back
    f1 send call r3 m2 done
    f1 expect 200
    s expect log site link down site=b
    w send sound
    c3 expect 200 & drawn"
)]
#[case::the_connection_is_reset(
    "
    w send reset
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send call r3 m2 done
    c3 expect 200 & drawn"
)]
#[case::the_other_process_dies(
    "
    t send KILL
    s expect log site link down site=b
    o9 wait METRICS => svc.tries.publish-map=0
    o3 wait METRICS => svc.gateway.out.up.b=0
    c4 send call r1 m1 done
    c1 expect 200
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::the_peer_is_taken_out_of_the_settings(
    "
    s send operator peer \"b\" { => peer \"c\"; /-peer \"b\" {
    s send HUP
    s expect log the configuration is taken up
    f1 send call r3 m2 done
    c3 expect 200 & drawn
    o3 wait METRICS => svc.gateway.out.up.b=0
    o4 wait METRICS => svc.gateway.unknown=0"
)]
#[case::its_own_process_is_stopped(
    "
    s send TERM
    s expect log stopping, 3 requests
    f1 send call r3 m2 done
    c3 expect 200 & drawn
    c4 send call r1 m1 done
    c5 send call r2 m1 done
    c1 expect 200
    c2 expect 200
    s expect exit 0"
)]
#[case::the_other_process_is_stopped(
    "
    t send TERM
    t expect log stopping
    f1 send call r3 m2 done
    c3 expect 200 & drawn
    t expect exit 0"
)]
#[case::a_repeat_of_its_key_follows_it(
    "
    f1 send call r3 m2 done
    c3 expect 200 & drawn
    c4 send call r1 m1 done
    c1 expect 200
    c5 send call r2 m1 done
    c2 expect 200
    o3 wait METRICS => svc.active=0
    c6 send job r4 publish-map 8000 3
    m2 expect r4
    m2 send 202
    f2 send call r4 m2 done
    c6 expect 200
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::a_repeat_of_its_key_while_the_other_site_is_gone_is_rejected_at_once(
    "
    t send KILL
    o3 wait METRICS => svc.gateway.out.up.b=0
    c6 send job r4 publish-map 8000 3
    c6 expect HTTP/1.1 503 & Retry-After
    o9 wait METRICS => svc.tries.publish-map=0"
)]
fn a_keyed_job_that_has_crossed(#[case] then: &str) {
    play(&SITES, &format!("{FULL}{TAKEN}{then}"));
}

#[rstest]
#[case::the_offer_is_lost(
    "
    w send cut
    c3 send job r3 publish-map 8000 3
    o2 wait METRICS => svc.gateway.crossed=1
    s expect log site link down site=b
    w send sound
    o3 wait METRICS => svc.gateway.returned=1
    c4 send call r1 m1 done
    m1 expect r3
    m1 send 202
    c5 send call r3 m1 done
    c3 expect 200 & drawn
    m2 expect silence"
)]
#[case::taken_but_the_word_of_it_is_lost(
    "
    w send back
    c3 send job r3 publish-map 8000 3
    m2 expect r3
    m2 send 202
    f9 send call r3 m2 started
    s expect log site link down site=b
    w send sound
    o3 wait METRICS => svc.gateway.resumed=1
    f1 send call r3 m2 done
    c3 expect 200 & drawn
    o9 wait METRICS => svc.tries.publish-map=0"
)]
#[case::the_other_site_is_slower_than_the_time_left(
    "
    c3 send job r3 publish-map 700 3
    m2 expect r3
    m2 send 202
    c3 expect HTTP/1.1 502
    m2 expect DELETE /jobs/r3"
)]
#[case::its_name_is_in_use_there_so_it_runs_here(
    "
    f1 send job r3
    m2 expect r3
    m2 send 202
    f2 send call r3 m2 started
    r1 wait METRICS => svc.active=1
    c3 send job r3 draw-map 8000
    o3 wait METRICS => svc.gateway.returned=1
    c4 send call r1 m1 done
    m1 expect r3
    m1 send 202
    c5 send call r3 m1 done
    c3 expect 200 & drawn"
)]
#[case::a_peer_that_fell_silent_gets_nothing(
    "
    t send STOP
    s expect log site link down site=b
    c3 send job r3 publish-map 8000 3
    c4 send call r1 m1 done
    m1 expect r3
    t send CONT
    o3 wait METRICS => svc.gateway.crossed=0"
)]
#[case::a_paused_peer_takes_nothing(
    "
    r1 send raw PAUSE\\n
    r1 expect +OK
    o2 wait METRICS => svc.gateway.out.limit.b=0
    c3 send job r3 publish-map 8000 3
    c4 send call r1 m1 done
    m1 expect r3
    o3 wait METRICS => svc.gateway.crossed=0"
)]
fn a_job_that_finds_no_room_here(#[case] then: &str) {
    play(&SITES, &format!("{FULL}{then}"));
}

#[test]
fn work_stays_where_there_is_room() {
    play(
        &SITES,
        "
        o1 wait METRICS => svc.gateway.out.limit.b=2
        c1 send job r1
        m1 expect r1
        m1 send 202
        c2 send call r1 m1 done
        c1 expect 200
        o2 wait METRICS => svc.gateway.crossed=0",
    );
}

#[rstest]
#[case::another_protocol("g1 send raw GET / HTTP/1.1\\r\\n\\r\\n", "the other end is no gateway")]
#[case::a_long_frame("g1 send raw zzzzzzzzzzzz", "the other end is no gateway")]
fn a_caller_that_is_no_peer_is_turned_down_and_nothing_else_is_hurt(#[case] call: &str, #[case] why: &str) {
    play(
        &SITES,
        &format!(
            "{call}
            t expect log site link rejected error={why}
            {FULL}{TAKEN}
            f1 send call r3 m2 done
            c3 expect 200 & drawn"
        ),
    );
}

#[test]
fn a_secret_that_cannot_be_read_changes_nothing() {
    play(
        &SITES,
        &format!(
            "{FULL}
            s send operator secret-file \" => secret-file \"/nowhere
            s send HUP
            s expect log the configuration stays as it is
            {TAKEN}
            f1 send call r3 m2 done
            c3 expect 200 & drawn"
        ),
    );
}

/// The secret of one side changes: no link comes up any more, and work stays.
#[test]
fn a_wrong_secret_keeps_the_sites_apart() {
    play(
        &SITES,
        &format!(
            "{FULL}
            s send operator .secret\" => .kdl\"
            s send HUP
            s expect log the configuration is taken up
            w send reset
            t expect log site link rejected
            o2 wait METRICS => svc.gateway.out.up.b=0
            c3 send job r3 publish-map 8000 3
            c4 send call r1 m1 done
            m1 expect r3
            o3 wait METRICS => svc.gateway.crossed=0"
        ),
    );
}

/// The receiver takes its peer out of its settings: what it has is answered, and its link goes after that.
#[test]
fn a_receiver_that_takes_its_peer_out_answers_what_it_has() {
    play(
        &SITES,
        &format!(
            "{FULL}{TAKEN}
            t send operator peer \"a\" => peer \"c\"
            t send HUP
            t expect log the configuration is taken up
            o3 wait METRICS => svc.gateway.out.limit.b=1
            f1 send call r3 m2 done
            c3 expect 200 & drawn
            o4 wait METRICS => svc.gateway.out.up.b=0"
        ),
    );
}

/// The sender's process is replaced while its job is away: the old one sees it to its end, the new one has links
/// of its own.
#[test]
fn an_upgrade_of_the_sender_answers_what_is_away() {
    play(
        &SITES,
        &format!(
            "{FULL}{TAKEN}
            s2 send START
            s expect log a successor takes over
            d expect new GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send full m1:active
            p2 wait STATUS => +OK serving
            p3 wait METRICS => svc.gateway.out.up.b=1
            s send TERM
            f1 send call r3 m2 done
            c3 expect 200 & drawn
            s expect exit 0"
        ),
    );
}

/// The receiver's process is replaced while it has a job of another site: the old one keeps it to its end, and
/// call-backs that reach the new one find it.
#[test]
fn an_upgrade_of_the_receiver_answers_what_it_has() {
    play(
        &SITES,
        &format!(
            "{FULL}{TAKEN}
            t2 send START
            t expect log a successor takes over
            e expect new GET /v1/endpoints
            e send 200 Transfer-Encoding: chunked
            e send full m2:active
            u2 wait STATUS => +OK serving
            t send TERM
            f1 send call r3 m2 done
            c3 expect 200 & drawn
            t expect exit 0
            t2 expect log listening for site links"
        ),
    );
}
