//! Stored data compatibility: a trace file written by revision 84881d9 must stay readable, even after types are
//! renamed.

use std::io::Cursor;
use std::path::Path;

use chutesaddle_trace::{
    AnswerKind, AttemptStage, ClassObjective, ForwardingStep, Header, LifecycleChange, Reader, Record,
    TimedRecord, TraceItem,
};

fn header() -> Header {
    Header {
        scheduler: "n1".into(),
        site: "khi-1".into(),
        anchor: 1_700_000_000_000_000,
        settings_digest: 0x0123_4567_89ab_cdef,
        classes: vec![ClassObjective {
            name: "draw-map".into(),
            latency_objective_us: 250_000,
            stretch: 2.0,
            deadline_us: 8_000_000,
            weight: 1.5,
        }],
        tenants: vec!["barfani-heights".into()],
        over_quota_weight: 0.05,
        previous_file: Some("n1-before.trace".into()),
        secret_fingerprint: Some(77),
    }
}

/// Returns records that cover every kind in the file and every value of their enums.
fn records() -> Vec<Record> {
    let mut records = vec![
        Record::Worker { worker: 3, name: "s-3".into() },
        Record::EndpointState { worker: 3, state: 1 },
        Record::Arrival {
            id: 1,
            request_id_hash: 31,
            class: 0,
            tenant: 0,
            hint_us: Some(100_000),
            time_left_us: 8_000_000,
            key_hash: Some(5),
            within_quota: true,
        },
        Record::AttemptSent { id: 1, attempt: 0, worker: 3 },
        Record::AttemptProgressed { id: 1, attempt: 0, stage: AttemptStage::Started },
        Record::AttemptProgressed { id: 1, attempt: 0, stage: AttemptStage::Progress(250) },
        Record::AttemptEnded { id: 1, attempt: 0, outcome: 6, free_slots: Some(2), queued: None },
        Record::Rejected { id: 1, retry_after_us: 1_000_000 },
    ];
    for step in [ForwardingStep::Forwarded, ForwardingStep::Returned, ForwardingStep::Received] {
        records.push(Record::Forwarding { id: 1, step, origin_id: 9, incarnation: 11 });
    }
    for kind in [
        AnswerKind::Served,
        AnswerKind::Rejected,
        AnswerKind::Failed,
        AnswerKind::ClientDisconnected,
        AnswerKind::Migrated,
    ] {
        records.push(Record::Answered { id: 1, kind, latency_us: 300_000 });
    }
    for change in [
        LifecycleChange::Serving,
        LifecycleChange::Paused,
        LifecycleChange::Resumed,
        LifecycleChange::Reloaded,
        LifecycleChange::Replaced,
        LifecycleChange::Stopping,
    ] {
        records.push(Record::Lifecycle(change));
    }
    records
}

#[test]
fn reads_trace_file_written_by_84881d9() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/84881d9.trace");
    let bytes = std::fs::read(&path).expect("the fixture must be readable");
    let mut reader = Reader::open(Cursor::new(bytes)).expect("the file must open");
    assert_eq!(reader.header(), &header());
    assert!(reader.index().complete);
    let mut read = Vec::new();
    let mut gaps = 0;
    while let Some(item) = reader.next_item().expect("reading the next item must succeed") {
        match item {
            TraceItem::Record(timed) => read.push(timed),
            _ => gaps += 1,
        }
    }
    let own_records =
        records().into_iter().zip(1u64..).map(|(record, n)| TimedRecord { at: 1000 * n, source: 0, record });
    let mut expected: Vec<_> = own_records.collect();
    let source = Record::Source { number: 2, scheduler: "n2".into(), site: "lhe-1".into() };
    expected.push(TimedRecord { at: 700_000, source: 2, record: source });
    assert_eq!(read, expected);
    assert_eq!(gaps, 1);
}
