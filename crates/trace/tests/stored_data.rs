//! A trace file written by revision 84881d9 must stay readable, whatever the types are called now.

use std::io::Cursor;
use std::path::Path;

use chutesaddle_trace::{Answered, Change, ClassTerms, Header, Item, Reader, Record, Stage, Timed, Way};

fn header() -> Header {
    Header {
        scheduler: "n1".into(),
        site: "khi-1".into(),
        anchor: 1_700_000_000_000_000,
        digest: 0x0123_4567_89ab_cdef,
        classes: vec![ClassTerms {
            name: "draw-map".into(),
            aim_us: 250_000,
            stretch: 2.0,
            deadline_us: 8_000_000,
            worth: 1.5,
        }],
        tenants: vec!["barfani-heights".into()],
        over_share: 0.05,
        follows: Some("n1-before.trace".into()),
        secret: Some(77),
    }
}

/// A record of each kind, and each value of the enums in them.
fn records() -> Vec<Record> {
    let mut records = vec![
        Record::Member { member: 3, name: "s-3".into() },
        Record::Pool { member: 3, state: 1 },
        Record::Arrival {
            id: 1,
            name: 31,
            class: 0,
            tenant: 0,
            hint_us: Some(100_000),
            left_us: 8_000_000,
            key: Some(5),
            inside: true,
        },
        Record::Route { id: 1, attempt: 0, member: 3 },
        Record::News { id: 1, attempt: 0, stage: Stage::Started },
        Record::News { id: 1, attempt: 0, stage: Stage::Progress(250) },
        Record::Ended { id: 1, attempt: 0, end: 6, free: Some(2), queue: None },
        Record::Refused { id: 1, hold_off_us: 1_000_000 },
    ];
    for way in [Way::Out, Way::Back, Way::In] {
        records.push(Record::Crossing { id: 1, way, crossing: 9, instance: 11 });
    }
    for how in [Answered::Served, Answered::Rejected, Answered::Failed, Answered::Left, Answered::Moved] {
        records.push(Record::Answer { id: 1, how, took_us: 300_000 });
    }
    for change in [
        Change::Serving,
        Change::Paused,
        Change::Resumed,
        Change::Reloaded,
        Change::Replaced,
        Change::Stopping,
    ] {
        records.push(Record::Life(change));
    }
    records
}

#[test]
fn reads_trace_file_written_by_84881d9() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/84881d9.trace");
    let bytes = std::fs::read(&path).expect("the fixture is there");
    let mut reader = Reader::open(Cursor::new(bytes)).expect("the file is read");
    assert_eq!(reader.header(), &header());
    assert!(reader.index().complete);
    let mut read = Vec::new();
    let mut gaps = 0;
    while let Some(item) = reader.next_item().expect("each block is read") {
        match item {
            Item::Record(timed) => read.push(timed),
            _ => gaps += 1,
        }
    }
    let own = records().into_iter().zip(1u64..).map(|(record, n)| Timed { at: 1000 * n, source: 0, record });
    let mut expected: Vec<_> = own.collect();
    let source = Record::Source { number: 2, scheduler: "n2".into(), site: "lhe-1".into() };
    expected.push(Timed { at: 700_000, source: 2, record: source });
    assert_eq!(read, expected);
    assert_eq!(gaps, 1);
}
