//! Parsing of the platform file and of the endpoint list in it.

mod common;

use chutesaddle::config::endpoint_list::{EndpointEntry, EndpointState};
use chutesaddle::config::Config;
use chutesaddle::scheduling::*;
use common::*;

const PLATFORM_FILE: &str = r#"{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":512},
    "known":{"version":41,"full":true,"servers":[
        {"id":"s-1","addr":"127.0.0.1:1","zone":"b","kind":"m2","cell":3,"state":"active","started_ms":1500},
        {"id":"s-2","addr":"nowhere","zone":"b","kind":"m2","cell":3,"state":"active","started_ms":0},
        {"id":"s-3","addr":"127.0.0.1:3","zone":"b","kind":"m2","cell":3,"state":"leaving","started_ms":0}]},
    "settings":{"areas":["a","b"],"kinds":["m1","m2"],"balancers":3,"index":2,"tick_s":0.005,
        "grades":[{"name":"draw map","effect":"by_key","group":"all","slo_s":0.25,"deadline_s":7.5}],
        "parties":[{"name":"acme","quota_per_s":4.5}],"parties_note":null,
        "allowed":{"probes":true,"may_cancel":true,"connect_timeout_s":0.3,"conn_idle_s":50},
        "contract":{"answer_slack_s":0.04},
        "report":{"how":"answers","fields":["eps","x0"]},
        "specifics":{"report_x0":"free_slots","class_stretch":[2.5,2],"class_kind":[-1,-1]}}}"#;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(&mut text.as_bytes().to_vec()).map_err(|error| error.to_string())
}

#[test]
fn parses_nested_settings() {
    let config = parse(PLATFORM_FILE).unwrap();
    let settings = &config.settings;
    assert_eq!((config.seed, config.limits.descriptors), (0x8c1f_30d2_7a5b_e964, 512));
    assert_eq!(
        (settings.scheduler_count, settings.scheduler_index, settings.event_interval_s),
        (3, 2, 0.005)
    );
    assert_eq!(
        (settings.classes[0].name.as_str(), settings.classes[0].idempotency),
        ("draw_map", Idempotency::WithKey)
    );
    assert_eq!((settings.classes[0].objective_per_work, settings.classes[0].required_kind), (2.5, None));
    assert_eq!(settings.tenants[0].name, "acme");
    assert_eq!(
        (settings.connect_timeout_s, settings.connection_idle_timeout_s, settings.answer_slack_s),
        (0.3, 50.0, 0.04)
    );
    assert_eq!(settings.load_report_fields, [LoadReportField::Other, LoadReportField::FreeSlots]);
    assert_eq!((settings.zones.len(), settings.worker_kinds[1].as_str()), (2, "m2"));
    assert!(settings.capacity_probes_allowed, "capacity probes are permitted in the JSON settings");
}

/// The slice that simd-json 0.15's `get_array` returns is one node short, so that reading the last entry panics.
#[test]
fn parses_the_last_entry_of_the_known_endpoint_list() {
    let known = parse(PLATFORM_FILE).unwrap().known_endpoints;
    assert_eq!((known.version, known.complete_snapshot, known.unreadable_entries), (41, true, 1));
    let entries: Vec<_> =
        known.entries.iter().map(|entry| (entry.name.as_str(), entry.state, entry.started_at_s)).collect();
    assert_eq!(entries, [("s-1", EndpointState::Active, 1.5), ("s-3", EndpointState::Draining, 0.0)]);
}

const GOSSIP_ADDRESSES: &str = r#""peer_listen":"127.0.0.1:7946","peers":["127.0.0.2:1","127.0.0.3:1"],
    "peers_all":"127.0.0.4:1","seed""#;

#[test]
fn gossip_requires_permission_and_addresses() {
    let with_addresses = PLATFORM_FILE.replace("\"seed\"", GOSSIP_ADDRESSES);
    let allowed = |text: &str| text.replace("\"probes\":true", "\"probes\":true,\"peer_messages\":true");
    for (text, enabled) in [
        (PLATFORM_FILE, false),
        (&with_addresses, false),
        (&allowed(PLATFORM_FILE), false),
        (&allowed(&with_addresses), true),
    ] {
        let config = parse(text).unwrap();
        assert_eq!((config.settings.gossip_allowed, config.gossip.is_some()), (enabled, enabled));
    }
    let gossip = parse(&allowed(&with_addresses)).unwrap().gossip.unwrap();
    assert_eq!((gossip.peers.len(), gossip.broadcast.port(), gossip.listen.port()), (2, 1, 7946));
    for (from, to, field) in [
        ("127.0.0.3:1", "nowhere", "peers"),
        ("peers_all", "others", "peers_all"),
        ("7946", "", "peer_listen"),
    ] {
        let error = parse(&allowed(&with_addresses).replace(from, to)).unwrap_err();
        assert!(error.contains(field), "{error}");
    }
}

#[test]
fn parse_errors_name_the_invalid_field() {
    for (from, to, field) in [
        ("\"n3\"", "3", "name"),
        ("127.0.0.1:7070", "here", "listen"),
        ("8c1f30d27a5be964", "seed", "seed"),
        ("\"balancers\":3", "\"balancers\":\"x\"", "balancers"),
        ("\"settings\"", "\"other\"", "settings"),
    ] {
        let error = parse(&PLATFORM_FILE.replace(from, to)).unwrap_err();
        assert!(error.contains(field), "{error}");
    }
    assert!(parse("{").unwrap_err().contains("not JSON"));
}

const SETTINGS_LINES: &str = "balancers=3\nindex=2\ntick_s=0.005\nareas=a,b\nkinds=m1,m2\ngrades.count=1\n\
    grades.0.name=draw_map\ngrades.0.effect=by_key\ngrades.0.group=all\ngrades.0.slo_s=0.25\n\
    grades.0.deadline_s=7.5\nparties.count=1\nparties.0.name=acme\nparties.0.quota_per_s=4.5\n\
    allowed.probes=true\nallowed.may_cancel=true\nallowed.connect_timeout_s=0.3\nallowed.conn_idle_s=50\n\
    contract.answer_slack_s=0.04\nreport.how=answers\nreport.fields=eps,x0\nspecifics.report_x0=free_slots\n\
    specifics.class_stretch=2.5,2\nspecifics.class_kind=-1,-1\n";

/// The simulator receives the settings as lines, the server as JSON. If the two formats were parsed
/// differently, simulated decisions would differ from those of the server.
#[test]
fn json_and_line_settings_lead_to_the_same_decisions() {
    for (schedulers, reports, probes) in [1, 4, 5, 6, 20, 100]
        .into_iter()
        .flat_map(|n| [(n, true, true), (n, true, false), (n, false, true), (n, false, false)])
    {
        let (mut text, mut lines) = (PLATFORM_FILE.to_owned(), SETTINGS_LINES.to_owned());
        let mut replace_in_both = |json: &str, new_json: &str, line: &str, new_line: &str| {
            assert!(text.contains(json) && lines.contains(line));
            (text, lines) = (text.replace(json, new_json), lines.replace(line, new_line));
        };
        let balancers = |separator: &str| format!("balancers{separator}{schedulers}");
        replace_in_both("balancers\":3", &balancers("\":"), "balancers=3", &balancers("="));
        replace_in_both(
            "\"probes\":true",
            &format!("\"probes\":{probes}"),
            "probes=true",
            &format!("probes={probes}"),
        );
        if !reports {
            replace_in_both("[\"eps\",\"x0\"]", "[]", "fields=eps,x0", "fields=");
        }
        let (json_settings, line_settings) =
            (parse(&text).unwrap().settings, lines.parse::<Settings>().unwrap());
        assert_eq!(
            json_settings, line_settings,
            "{schedulers} schedulers, reports {reports}, probes {probes}"
        );
        let mut pair = [json_settings, line_settings]
            .map(|settings| TestScheduler::new(settings, (1..=12).map(worker).collect()));
        let probe_reply = Some(LoadReport { free_slots: Some(2.0), ..LoadReport::default() });
        pair.iter_mut().for_each(|scheduler| scheduler.probe_reply = probe_reply);
        let mut sent = 0;
        for id in 0..30 {
            let actions = pair.each_mut().map(|scheduler| {
                let mut actions = scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
                actions.extend(scheduler.run(0.07));
                let outcome =
                    if id % 3 == 0 { AttemptOutcome::RejectedByWorker } else { AttemptOutcome::Succeeded };
                actions.extend(scheduler.end_attempt(id, 0, outcome));
                actions
            });
            assert_eq!(actions[0], actions[1]);
            sent += dispatched(&actions[0]).len();
        }
        assert!(sent > 0, "{schedulers} schedulers sent nothing");
    }
}

#[test]
fn maps_each_field_of_the_platform_file() {
    let text = PLATFORM_FILE
        .replace("\"seed\"", GOSSIP_ADDRESSES)
        .replace("\"listen\"", "\"ops\":\"127.0.0.1:7071\",\"listen\"");
    let text = text.replace("\"probes\":true", "\"peer_messages\":true");
    let config = parse(&text).unwrap();
    assert_eq!(config.name, "n3");
    assert_eq!(config.listen, "127.0.0.1:7070".parse().unwrap());
    assert_eq!(config.operator_listen, Some("127.0.0.1:7071".parse().unwrap()));
    assert_eq!(config.discovery, "127.0.0.1:8500".parse().unwrap());
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(config.limits.descriptors, 512);
    let gossip = config.gossip.unwrap();
    assert_eq!(gossip.listen, "127.0.0.1:7946".parse().unwrap());
    assert_eq!(gossip.peers, ["127.0.0.2:1".parse().unwrap(), "127.0.0.3:1".parse().unwrap()]);
    assert_eq!(gossip.broadcast, "127.0.0.4:1".parse().unwrap());
    assert_eq!((config.settings.scheduler_count, config.known_endpoints.version), (3, 41));
    let without_limit = parse(&text.replace("\"sockets\"", "\"others\"")).unwrap();
    assert_eq!(
        (without_limit.limits.descriptors, parse(PLATFORM_FILE).unwrap().operator_listen),
        (1024, None)
    );
}

#[test]
fn maps_each_field_of_the_endpoint_list() {
    let entries = r#"{"id":"s-1","addr":"10.1.0.18:7070","zone":"a","kind":"m2","cell":3,"state":"active",
        "weight":1.5,"started_ms":2500},{"id":"s-2","state":"left"},{"id":"s-3","addr":"10.1.0.19:7070",
        "state":"leaving"},{"id":"s-4","addr":"10.1.0.20:7070","state":"elsewhere"},{"id":"s-5","state":"active"}"#;
    let known = format!(r#""known":{{"version":43,"full":false,"servers":[{entries}]}},"unused":{{"#);
    let known = parse(&PLATFORM_FILE.replace("\"known\":{", &known)).unwrap().known_endpoints;
    let active = EndpointEntry {
        name: "s-1".into(),
        address: Some("10.1.0.18:7070".parse().unwrap()),
        zone: "a".into(),
        kind: "m2".into(),
        cell: Some(3),
        state: EndpointState::Active,
        started_at_s: 2.5,
        weight: 1.5,
    };
    let removed = EndpointEntry {
        name: "s-2".into(),
        address: None,
        zone: String::new(),
        kind: String::new(),
        cell: None,
        state: EndpointState::Removed,
        started_at_s: 0.0,
        weight: 0.0,
    };
    let draining = EndpointEntry {
        name: "s-3".into(),
        address: Some("10.1.0.19:7070".parse().unwrap()),
        state: EndpointState::Draining,
        ..removed.clone()
    };
    assert_eq!((known.version, known.complete_snapshot, known.unreadable_entries), (43, false, 2));
    assert_eq!(known.entries, [active, removed, draining]);
}
