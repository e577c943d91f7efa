//! The command line: exit codes and output streams.

use std::process::{Command, Output};

fn chutesaddle(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chutesaddle"));
    command.env_remove("NODE_CONFIG").env_remove("NODE_OPERATOR").env_remove("NODE_OPS");
    command.args(arguments).output().unwrap()
}

fn write_file(name: &str, text: &str) -> String {
    let path = format!("{}/cli-{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn missing_configuration_is_reported_on_standard_error() {
    for arguments in [&[][..], &["serve"], &["serve", "--log", "json"]] {
        let output = chutesaddle(arguments);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        assert!(output.stdout.is_empty());
        assert!(String::from_utf8_lossy(&output.stderr).contains("NODE_CONFIG is not set"), "{output:?}");
    }
}

#[test]
fn invalid_arguments_exit_with_code_2_and_an_error() {
    for arguments in [&["serv"][..], &["--lgo"], &["check"], &["--ops", "nowhere"], &["--log-level", "loud"]]
    {
        let output = chutesaddle(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(String::from_utf8_lossy(&output.stderr).starts_with("error:"), "{output:?}");
    }
}

#[test]
fn help_version_and_completions_are_printed_to_standard_output() {
    let cases = [
        (&["--help"][..], "Examples:"),
        (&["--version"], "chutesaddle 0."),
        (&["completions", "bash"], "complete"),
    ];
    for (arguments, expected) in cases {
        let output = chutesaddle(arguments);
        assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stdout).contains(expected), "{arguments:?}");
    }
}

#[test]
fn check_reads_every_file_and_reports_each_error_with_its_position() {
    let good = write_file("good.kdl", "gateway { site \"a\"; secret-file \"s\"; peer \"b\"; }\n");
    let bad = write_file("bad.kdl", "gateway {\n  sight \"a\"\n  secret-file \"s\"\n  peer 7\n}\n");
    let output = chutesaddle(&["check", &bad, "/nowhere.kdl", &good]);
    let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(1));
    assert!(out.contains("good.kdl: a gateway of \"a\" to 1 peers"), "{out}");
    for expected in
        ["bad.kdl:2:3: expected one of site", "bad.kdl:4:8: expected a site's name", "/nowhere.kdl: No such"]
    {
        assert!(err.contains(expected), "{expected:?} is not in {err}");
    }
}

#[test]
fn json_log_has_one_object_per_line() {
    let output = chutesaddle(&["--log", "json", "--config", "/nowhere.json"]);
    let line = String::from_utf8_lossy(&output.stderr).trim().to_owned();
    assert!(
        line.starts_with('{') && line.ends_with('}') && line.contains("cannot read /nowhere.json"),
        "{line}"
    );
    assert!(line.contains("\"level\":"), "{line}");
}

#[test]
fn demo_runs_without_configuration_and_prints_a_table_of_all_requests() {
    let output = chutesaddle(&["demo"]);
    let out = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    let served = |class: &str| {
        let line = out.lines().find(|line| line.starts_with(class)).unwrap_or_default();
        line.split_whitespace().skip(1).take(3).filter_map(|n| n.parse::<usize>().ok()).sum::<usize>()
    };
    assert_eq!((served("draw-map"), served("publish-map")), (40, 20), "{out}");
}

/// Writes a trace file of the named scheduler with two served requests, ten seconds apart. Unless `complete`, its
/// last five bytes are missing.
fn write_trace(scheduler: &str, complete: bool) -> String {
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
            name_hash: id,
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
    let path = write_file(&format!("{scheduler}.trace"), "");
    std::fs::write(&path, bytes).unwrap();
    path
}

fn stdout_of(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn trace_commands_inspect_cut_and_merge_files() {
    let (first, second) = (write_trace("n1", true), write_trace("n2", true));
    let (cut, merged) = (write_file("cut.trace", ""), write_file("merged.trace", ""));
    assert!(stdout_of(&chutesaddle(&["trace", "info", &first])).contains("4 records in 2 blocks, 0 dropped"));
    assert!(stdout_of(&chutesaddle(&["trace", "verify", &first, &second]))
        .contains("complete, 4 records, 0 missing"));
    stdout_of(&chutesaddle(&["trace", "cut", &first, "--from", "5s", "-o", &cut]));
    assert!(stdout_of(&chutesaddle(&["trace", "info", &cut])).contains("2 records in 1 blocks"));
    stdout_of(&chutesaddle(&["trace", "merge", &first, &second, "-o", &merged]));
    let summary =
        |files: &[&str]| stdout_of(&chutesaddle(&[&["trace", "summary", "--form", "json"], files].concat()));
    assert_eq!(summary(&[&merged]), summary(&[&first, &second]));
    let line =
        "{\"class\":\"draw-map\",\"tenant\":\"caf\u{e9} \\\"n\\\"\",\"asked\":4,\"served\":4,\"in_time\":4";
    assert!(summary(&[&merged]).starts_with(line), "{}", summary(&[&merged]));
    assert!(stdout_of(&chutesaddle(&["trace", "summary", &merged])).contains("worst 10 s: service 1.000"));
}

#[test]
fn trace_commands_fail_on_broken_files_and_never_overwrite_their_input() {
    let truncated = write_trace("n3", false);
    let output = chutesaddle(&["trace", "verify", &truncated]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("cut off, 4 records"), "{output:?}");
    let before = std::fs::read(&truncated).unwrap();
    let output = chutesaddle(&["trace", "merge", &truncated, "-o", &truncated]);
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("is both an input and the output"),
        "{output:?}"
    );
    assert_eq!(std::fs::read(&truncated).unwrap(), before);
    let output = chutesaddle(&["trace", "info", &write_file("no.trace", "something else altogether")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no trace file"), "{output:?}");
}
