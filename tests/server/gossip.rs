//! Gossip as seen by one scheduler: which datagrams it accepts, and that it serves requests whatever arrives. The
//! fault-injection tests run several schedulers.

use rstest::rstest;

use crate::scenario::{run_scenario, GOSSIP};

/// Datagrams from unknown senders, of invalid length or in an unknown format reach the gossip socket. They must
/// neither be applied nor stop the gossip.
#[rstest]
#[case::from_an_unknown_sender("x send datagram 8")]
#[case::empty("n1 send datagram 0")]
#[case::oversized("n1 send datagram 300")]
#[case::in_an_unknown_format("n1 send datagram 8")]
fn invalid_datagram_is_ignored_and_counted(#[case] sent: &str) {
    run_scenario(
        &GOSSIP,
        &format!(
            "n1 expect gossip
            {sent}
            s wait notes_ignored 1
            c1 send request r1
            m1 expect r1
            m1 send 202
            n1 expect gossip
            c2 send callback r1 m1 done
            c1 expect 200
            s wait notes_sent 2"
        ),
    );
}

/// A reload replaces the settings of one deployment by those of another and back while a request is in flight. The
/// request must be answered, and gossip must stop and resume with the settings.
#[test]
fn applies_the_settings_of_another_deployment_on_sighup() {
    run_scenario(
        &GOSSIP,
        r#"n1 expect gossip
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
        n1 expect gossip
        c1 send request r2
        m1 expect r2
        m1 send 202
        c2 send callback r2 m1 done
        c1 expect 200 & drawn
        s send TERM
        s expect exit 0"#,
    );
}
