//! Gossip between schedulers, as far as one of them shows it: whose messages it accepts, and that it serves whatever
//! arrives. Several at a time are in the fault-injection tests.

use rstest::rstest;

use crate::scenario::{play, NOTES};

#[rstest]
#[case::from_a_stranger("x send datagram 8")]
#[case::empty("n1 send datagram 0")]
#[case::too_long("n1 send datagram 300")]
#[case::in_another_format("n1 send datagram 8")]
fn ignores_and_counts_a_datagram_that_is_no_gossip_message(#[case] sent: &str) {
    play(
        &NOTES,
        &format!(
            "n1 expect note
            {sent}
            s wait notes_ignored 1
            c1 send request r1
            m1 expect r1
            m1 send 202
            n1 expect note
            c2 send callback r1 m1 done
            c1 expect 200
            s wait notes_sent 2"
        ),
    );
}

/// The settings of one deployment are replaced by those of another and back, while a request is in flight.
#[test]
fn applies_the_settings_of_another_deployment_on_sighup() {
    play(
        &NOTES,
        r#"n1 expect note
        c1 send request r1
        m1 expect r1
        m1 send 202
        s send config "balancers":2 => "balancers":300
        s send config "peer_messages":true,"may_cancel" => "second_copies":false,"may_cancel"
        s send config "fields":["queue","x0"] => "fields":["eps"]
        s send HUP
        s expect log the configuration is reloaded
        c2 send callback r1 m1 done
        c2 expect 200
        c1 expect 200 & drawn
        n1 expect silence
        s send config "balancers":300 => "balancers":2
        s send config "second_copies":false,"may_cancel" => "peer_messages":true,"probes":true,"may_cancel"
        s send config "fields":["eps"] => "fields":["queue","x0"]
        s send HUP
        n1 expect note
        c1 send request r2
        m1 expect r2
        m1 send 202
        c2 send callback r2 m1 done
        c1 expect 200 & drawn
        s send TERM
        s expect exit 0"#,
    );
}
