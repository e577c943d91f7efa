//! The command line: exit codes, and what goes to which stream.

use std::process::{Command, Output};

fn chutesaddle(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chutesaddle"));
    command.env_remove("NODE_CONFIG").env_remove("NODE_OPERATOR").env_remove("NODE_OPS");
    command.args(arguments).output().unwrap()
}

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/cli-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn without_a_configuration_it_fails_and_says_so_on_standard_error() {
    for arguments in [&[][..], &["serve"], &["serve", "--log", "json"]] {
        let output = chutesaddle(arguments);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        assert!(output.stdout.is_empty());
        assert!(String::from_utf8_lossy(&output.stderr).contains("NODE_CONFIG is not set"), "{output:?}");
    }
}

#[test]
fn what_is_not_understood_ends_with_2_and_a_hint() {
    for arguments in [&["serv"][..], &["--lgo"], &["check"], &["--ops", "nowhere"], &["--log-level", "loud"]]
    {
        let output = chutesaddle(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(String::from_utf8_lossy(&output.stderr).starts_with("error:"), "{output:?}");
    }
}

#[test]
fn help_version_and_completions_go_to_standard_output() {
    let cases = [
        (&["--help"][..], "Examples:"),
        (&["--version"], "chutesaddle 0."),
        (&["completions", "bash"], "complete"),
    ];
    for (arguments, part) in cases {
        let output = chutesaddle(arguments);
        assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stdout).contains(part), "{arguments:?}");
    }
}

#[test]
fn check_reads_every_file_and_reports_each_mistake_with_its_place() {
    let good = file("good.kdl", "gateway { site \"a\"; secret-file \"s\"; peer \"b\"; }\n");
    let bad = file("bad.kdl", "gateway {\n  sight \"a\"\n  secret-file \"s\"\n  peer 7\n}\n");
    let output = chutesaddle(&["check", &bad, "/nowhere.kdl", &good]);
    let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(1));
    assert!(out.contains("good.kdl: a gateway of \"a\" to 1 peers"), "{out}");
    for part in
        ["bad.kdl:2:3: expected one of site", "bad.kdl:4:8: expected a site's name", "/nowhere.kdl: No such"]
    {
        assert!(err.contains(part), "{part:?} is not in {err}");
    }
}

#[test]
fn a_log_in_json_is_an_object_to_a_line() {
    let output = chutesaddle(&["--log", "json", "--config", "/nowhere.json"]);
    let line = String::from_utf8_lossy(&output.stderr).trim().to_owned();
    assert!(
        line.starts_with('{') && line.ends_with('}') && line.contains("cannot read /nowhere.json"),
        "{line}"
    );
    assert!(line.contains("\"level\":"), "{line}");
}

#[test]
fn the_demo_needs_nothing_and_ends_with_a_table_of_every_job() {
    let output = chutesaddle(&["demo"]);
    let out = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    let served = |class: &str| {
        let line = out.lines().find(|line| line.starts_with(class)).unwrap_or_default();
        line.split_whitespace().skip(1).take(3).filter_map(|n| n.parse::<usize>().ok()).sum::<usize>()
    };
    assert_eq!((served("draw-map"), served("publish-map")), (40, 20), "{out}");
}

/// A file with two served jobs, ten seconds apart, under this scheduler's name.
fn trace(scheduler: &str, complete: bool) -> String {
    use chutesaddle_trace::{AnswerKind, ClassObjective, Header, Record, Writer};
    let class = ClassObjective {
        name: "draw-map".into(),
        latency_objective_us: 250_000,
        deadline_us: 8_000_000,
        weight: 2.0,
        ..Default::default()
    };
    let header = Header {
        scheduler: scheduler.into(),
        anchor: 1_700_000_000_000_000,
        classes: vec![class],
        tenants: vec!["caf\u{e9} \"n\"".into()],
        ..Header::default()
    };
    let mut writer = Writer::new(Vec::new(), &header).unwrap();
    for id in 0..2 {
        let at = 10_000_000 * id;
        let (class, tenant, hint_us, left_us, key) = (0, 0, Some(100_000), 8_000_000, None);
        let arrival = Record::Arrival {
            id,
            request_id_hash: id,
            class,
            tenant,
            hint_us,
            time_left_us: left_us,
            key_hash: key,
            within_quota: true,
        };
        writer.push(at, &arrival).unwrap();
        writer.push(at + 1, &Record::Answered { id, kind: AnswerKind::Served, latency_us: 200_000 }).unwrap();
        writer.flush().unwrap();
    }
    let mut bytes = writer.finish().unwrap();
    bytes.truncate(if complete { bytes.len() } else { bytes.len() - 5 });
    let path = file(&format!("{scheduler}.trace"), "");
    std::fs::write(&path, bytes).unwrap();
    path
}

fn text(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn trace_tools_tell_cut_and_merge() {
    let (one, two) = (trace("n1", true), trace("n2", true));
    let (cut, merged) = (file("cut.trace", ""), file("merged.trace", ""));
    assert!(text(&chutesaddle(&["trace", "info", &one])).contains("4 records in 2 blocks, 0 dropped"));
    assert!(text(&chutesaddle(&["trace", "verify", &one, &two])).contains("complete, 4 records, 0 missing"));
    text(&chutesaddle(&["trace", "cut", &one, "--from", "5s", "-o", &cut]));
    assert!(text(&chutesaddle(&["trace", "info", &cut])).contains("2 records in 1 blocks"));
    text(&chutesaddle(&["trace", "merge", &one, &two, "-o", &merged]));
    let summary =
        |files: &[&str]| text(&chutesaddle(&[&["trace", "summary", "--form", "json"], files].concat()));
    assert_eq!(summary(&[&merged]), summary(&[&one, &two]));
    let line =
        "{\"class\":\"draw-map\",\"tenant\":\"caf\u{e9} \\\"n\\\"\",\"asked\":4,\"served\":4,\"in_time\":4";
    assert!(summary(&[&merged]).starts_with(line), "{}", summary(&[&merged]));
    assert!(text(&chutesaddle(&["trace", "summary", &merged])).contains("worst 10 s: service 1.000"));
}

#[test]
fn trace_tools_fail_on_what_is_broken_and_never_write_over_what_they_read() {
    let cut_off = trace("n3", false);
    let output = chutesaddle(&["trace", "verify", &cut_off]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("cut off, 4 records"), "{output:?}");
    let before = std::fs::read(&cut_off).unwrap();
    let output = chutesaddle(&["trace", "merge", &cut_off, "-o", &cut_off]);
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("is to be read and to be written"),
        "{output:?}"
    );
    assert_eq!(std::fs::read(&cut_off).unwrap(), before);
    let output = chutesaddle(&["trace", "info", &file("no.trace", "something else altogether")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&output.stderr)
            .contains("not a trace file: it starts with \"somethin\" instead"),
        "{output:?}"
    );
}
