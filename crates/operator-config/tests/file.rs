//! Files as operators write them, right and wrong.

use std::time::Duration;

use chutesaddle_operator_config::{read, OperatorConfig};

const WHOLE: &str = r#"
gateway {
    site "khi-1"
    listen "127.0.0.1:7400"
    secret-file "/run/secrets/gateway"
    peer "lhe-1" {
        connect "127.0.0.1:7401"
        shares-keys #true
        most-open 12
    }
    peer "isb-1"
    room { open-at "30%"; close-at "5%"; reserve "0%"; term "500ms"; settle "1s"; }
    crossing { starve "5ms"; hold "2s"; margin "10ms"; over-share #true; kept-bytes "1MiB"; }
    link { heartbeat "50ms"; silence "200ms"; frame "64KiB"; queue "128KiB"; }
}
"#;

#[test]
fn reads_every_setting() {
    let gateway = read("a.kdl", WHOLE).unwrap().gateway.unwrap();
    assert_eq!(gateway.site, "khi-1");
    assert_eq!(gateway.listen, Some("127.0.0.1:7400".parse().unwrap()));
    assert_eq!(gateway.peers[0].connect, Some("127.0.0.1:7401".parse().unwrap()));
    assert_eq!((gateway.peers[1].name.as_str(), gateway.peers[1].connect), ("isb-1", None));
    let config = &gateway.decisions;
    assert!(config.peers[0].shares_keys && !config.peers[1].shares_keys && config.forward_over_quota);
    assert_eq!((config.peers[0].max_open_requests, config.max_stored_bytes), (12, 1024 * 1024));
    assert_eq!((config.open_at, config.close_at, config.reserved_fraction), (0.3, 0.05, 0.0));
    assert_eq!(config.shedding_hold, Duration::from_secs(2));
    assert_eq!(
        (gateway.link.silence_timeout, gateway.link.most_frame_bytes),
        (Duration::from_millis(200), 65_536)
    );
}

#[test]
fn reads_an_empty_file_as_nothing_switched_on() {
    assert_eq!(read("a.kdl", "// nothing\n").unwrap(), OperatorConfig::default());
}

#[test]
fn reports_each_error_with_its_place_and_what_was_expected() {
    let cases = [
        ("site \"khi-1\"", "site \"\"", "4:10: expected a site's name"),
        ("listen \"127.0.0.1:7400\"", "listen 7400", "5:12: expected an address such as"),
        ("term \"500ms\"", "term 500", "expected a duration such as"),
        ("open-at \"30%\"", "open-at \"30\"", "expected a share such as"),
        ("frame \"64KiB\"", "frame \"64KB\"", "expected a size such as"),
        ("over-share #true", "over-share \"yes\"", "expected #true or #false"),
        ("most-open 12", "most-open -1", "expected a whole number from 0 to 4096, found -1"),
        ("hold", "holds", "expected one of starve, hold, margin"),
        ("close-at \"5%\"", "close-at \"30%\"", "expected a close-at below open-at"),
        ("silence \"200ms\"", "silence \"60ms\"", "expected a silence of two heartbeats"),
        ("peer \"isb-1\"", "peer \"lhe-1\"", "expected each peer once"),
        ("peer \"isb-1\"", "peer \"khi-1\"", "expected the name of another site"),
        ("secret-file \"/run/secrets/gateway\"", "", "3:1: expected \"secret-file\" in it"),
        ("site \"khi-1\"", "site \"khi-1\" \"khi-2\"", "expected one value"),
        ("site \"khi-1\"", "site \"khi-1\"\n    site \"khi-2\"", "expected \"site\" once"),
    ];
    for (right, wrong, report) in cases {
        let text = format!("\n{}", WHOLE.replacen(right, wrong, 1));
        let errors = read("a.kdl", &text).expect_err(wrong);
        let lines = errors.to_string();
        assert!(lines.contains(report) && lines.starts_with("a.kdl:"), "{wrong}: {lines}");
        assert_eq!(errors.count(), 1, "{wrong}: {lines}");
    }
}

#[test]
fn reports_all_errors_at_once_in_their_order() {
    let text = WHOLE.replace("\"5ms\"", "5").replace("peer \"lhe-1\"", "peers \"lhe-1\"");
    let errors = read("a.kdl", &text).unwrap_err();
    let lines: Vec<String> = errors.to_string().lines().map(str::to_owned).collect();
    assert!(lines[0].starts_with("a.kdl:6:5: expected one of site, listen"), "{lines:?}");
    assert!(lines[1].starts_with("a.kdl:13:"), "{lines:?}");
    assert!(errors.render().contains("peers \"lhe-1\""));
}

#[test]
fn reports_the_place_of_malformed_kdl() {
    let errors = read("a.kdl", "gateway {\n    site \"khi-1\n}\n").unwrap_err().to_string();
    assert!(errors.starts_with("a.kdl:2:") && errors.contains("well-formed KDL"), "{errors}");
}

/// What the example in `deploy/` says is what holds without it: its comments are true.
#[test]
fn the_example_shows_the_defaults() {
    let text = include_str!("../../../deploy/gateway.kdl");
    let gateway = read("gateway.kdl", text).unwrap().gateway.unwrap();
    let peers = gateway.decisions.peers.clone();
    assert_eq!(peers, [chutesaddle_gateway::PeerConfig::new("lhe-1")]);
    assert_eq!(gateway.decisions, chutesaddle_gateway::Config { peers, ..Default::default() });
    assert_eq!(gateway.link, chutesaddle_site_link::Config::default());
}
