//! Writes, reads, damages, merges, checks and summarises whole trace files.

use std::io::Cursor;

use chutesaddle_trace::{
    merge, AnswerKind, Checker, ClassObjective, ForwardingStep, Header, MergeInput, Reader, Record, Summary,
    TimedRecord, TraceError, TraceItem, Violation, ViolationKind, Writer,
};
use proptest::prelude::*;

fn header(scheduler: &str, anchor: u64) -> Header {
    let class = |name: &str, latency_objective_us, weight| ClassObjective {
        name: name.into(),
        latency_objective_us,
        stretch: 2.0,
        deadline_us: 8_000_000,
        weight,
    };
    Header {
        scheduler: scheduler.into(),
        site: "khi-1".into(),
        anchor,
        classes: vec![class("draw-map", 250_000, 2.0), class("publish-map", 800_000, 5.0)],
        tenants: vec!["barfani-heights".into(), "chinar-slopes".into()],
        over_quota_weight: 0.05,
        ..Header::default()
    }
}

fn arrival(id: u64, class: u16, tenant: u16, within_quota: bool) -> Record {
    let (hint_us, time_left_us) = (Some(100_000 + id % 7), 8_000_000);
    Record::Arrival {
        id,
        request_id_hash: id.wrapping_mul(31),
        class,
        tenant,
        hint_us,
        time_left_us,
        key_hash: None,
        within_quota,
    }
}

/// Returns the records of `n` requests that arrive 10 ms apart.
fn records_of(n: u64) -> Vec<(u64, Record)> {
    let mut records = vec![(0, Record::Worker { worker: 1, name: "s-1".into() })];
    for id in 0..n {
        let at = 10_000 * id;
        let kind = [AnswerKind::Served, AnswerKind::Served, AnswerKind::Rejected, AnswerKind::Failed]
            [(id % 4) as usize];
        let latency_us = 200_000 + 1000 * (id % 500);
        records.push((at, arrival(id, (id % 2) as u16, (id / 2 % 2) as u16, !id.is_multiple_of(5))));
        records.push((at + 1000, Record::AttemptSent { id, attempt: 0, worker: 1 }));
        records.push((
            at + latency_us,
            Record::AttemptEnded { id, attempt: 0, outcome: 0, free_slots: Some(2), queued: None },
        ));
        records.push((at + latency_us, Record::Answered { id, kind, latency_us }));
    }
    records.sort_by_key(|(at, _)| *at);
    records
}

fn write(header: &Header, records: &[(u64, Record)]) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), header).unwrap();
    records.iter().for_each(|(at, record)| writer.push(*at, record).unwrap());
    writer.finish().unwrap()
}

fn items<R: std::io::Read + std::io::Seek>(reader: &mut Reader<R>) -> Vec<TraceItem> {
    std::iter::from_fn(|| reader.next_item().unwrap()).collect()
}

fn open(bytes: &[u8]) -> Reader<Cursor<&[u8]>> {
    Reader::open(Cursor::new(bytes)).unwrap()
}

fn records(items: &[TraceItem]) -> Vec<(u64, Record)> {
    let record = |item: &TraceItem| match item {
        TraceItem::Record(TimedRecord { at, record, .. }) => Some((*at, record.clone())),
        _ => None,
    };
    items.iter().filter_map(record).collect()
}

#[test]
fn reads_back_all_written_records() {
    let (header, recorded) = (header("n1", 1_700_000_000_000_000), records_of(20_000));
    let bytes = write(&header, &recorded);
    let mut reader = open(&bytes);
    assert_eq!(reader.header(), &header);
    assert!(reader.index().complete && reader.index().entries.len() > 5);
    assert_eq!(records(&items(&mut reader)), recorded);
    assert!(bytes.len() < 12 * recorded.len(), "{} bytes for {} records", bytes.len(), recorded.len());
}

/// Guards against losing intact blocks when a crash truncates the file at an arbitrary byte.
#[test]
fn truncated_file_yields_all_complete_blocks() {
    let recorded = records_of(3000);
    let bytes = write(&header("n1", 0), &recorded);
    let offsets: Vec<u64> = open(&bytes).index().entries.iter().map(|entry| entry.offset).collect();
    let counts: Vec<usize> = open(&bytes).index().entries.iter().map(|entry| entry.count as usize).collect();
    for cut in
        (offsets[0] as usize..bytes.len()).step_by(1499).chain(offsets.iter().map(|offset| *offset as usize))
    {
        let mut reader = open(&bytes[..cut]);
        assert!(!reader.index().complete);
        let whole_blocks = offsets.iter().skip(1).filter(|offset| **offset as usize <= cut).count();
        let read = records(&items(&mut reader));
        let expected_min: usize = counts[..whole_blocks].iter().sum();
        assert!(read.len() >= expected_min && read[..] == recorded[..read.len()], "truncated at byte {cut}");
    }
}

#[test]
fn a_damaged_block_loses_only_its_own_records() {
    let recorded = records_of(5000);
    let bytes = write(&header("n1", 0), &recorded);
    let entries = open(&bytes).index().entries.clone();
    let mut damaged = bytes.clone();
    damaged[entries[1].offset as usize + 60] ^= 0x40;
    // With an index, the block is reported as damaged.
    let found = items(&mut open(&damaged));
    assert!(found.contains(&TraceItem::Damaged(entries[1])));
    assert_eq!(records(&found).len(), recorded.len() - entries[1].count as usize);
    // Without an index, the scan skips the block.
    let mut reader = open(&damaged[..damaged.len() - 1]);
    assert!(reader.index().damaged_bytes > 0);
    assert_eq!(records(&items(&mut reader)).len(), recorded.len() - entries[1].count as usize);
}

#[test]
fn time_range_reads_only_overlapping_blocks() {
    let recorded = records_of(20_000);
    let bytes = write(&header("n1", 0), &recorded);
    let mut reader = open(&bytes);
    let (from, to) = (50_000_000, 51_000_000);
    reader.set_time_range(from, to);
    let expected: Vec<_> = recorded.iter().filter(|(at, _)| (from..to).contains(at)).cloned().collect();
    assert_eq!(records(&items(&mut reader)), expected);
    assert!(
        reader.blocks_read() <= 2,
        "{} of {} blocks read",
        reader.blocks_read(),
        reader.index().entries.len()
    );
}

#[test]
fn rejects_other_file_types_unsupported_versions_and_damaged_headers() {
    let bytes = write(&header("n1", 0), &records_of(1));
    let open = |bytes: &[u8]| Reader::open(Cursor::new(bytes.to_vec())).err();
    assert!(matches!(open(b"PK\x03\x04 and so on, for a while"), Some(TraceError::NotATrace(_))));
    assert!(matches!(open(b""), Some(TraceError::NotATrace(_))));
    let mut other = bytes.clone();
    other[8] = 2;
    assert!(matches!(open(&other), Some(TraceError::UnsupportedVersion(2))));
    let mut other = bytes;
    other[20] ^= 1;
    assert!(matches!(open(&other), Some(TraceError::DamagedHeader)));
}

#[test]
fn reports_gaps_in_file_order() {
    let mut writer = Writer::new(Vec::new(), &header("n1", 0)).unwrap();
    writer.push(10, &arrival(1, 0, 0, true)).unwrap();
    writer.push_gap(0, 77, 20, 30).unwrap();
    writer.push(40, &arrival(2, 0, 0, true)).unwrap();
    let found = items(&mut open(&writer.finish().unwrap()));
    assert!(
        matches!(&found[1], TraceItem::Gap(entry) if (entry.count, entry.min_time, entry.max_time) == (77, 20, 30))
    );
    assert_eq!(records(&found).len(), 2);
}

fn summary(bytes: &[u8]) -> Summary {
    let (mut summary, mut reader) = (Summary::default(), open(bytes));
    let header = reader.header().clone();
    while let Some(item) = reader.next_item().unwrap() {
        summary.add_item(&header, &item);
    }
    summary
}

fn rows(summary: &Summary) -> Vec<(String, String, chutesaddle_trace::ServiceRow)> {
    summary.rows().map(|(class, tenant, row)| (class.to_owned(), tenant.to_owned(), row.clone())).collect()
}

/// Guards against mixed-up renumbering in a merge: the files have different anchors, and two of them number the same
/// classes and tenants differently.
#[test]
fn summary_of_merged_file_equals_sum_of_input_summaries() {
    let mut other = header("n2", 1_700_000_002_500_000);
    other.classes.reverse();
    other.tenants.reverse();
    let inputs = [
        write(&header("n1", 1_700_000_000_000_000), &records_of(700)),
        write(&other, &records_of(900)),
        write(&header("n3", 1_699_999_999_000_000), &records_of(5)),
    ];
    let mut files: Vec<_> =
        inputs.iter().map(|input| MergeInput { reader: open(input), clock_correction_us: 0 }).collect();
    let mut merged = Vec::new();
    let count = merge(&mut files, &mut merged).unwrap();
    assert_eq!(count, 3 + 4 * (700 + 900 + 5));
    let mut sum = Summary::default();
    inputs.iter().for_each(|input| sum.merge(&summary(input)));
    let merged_summary = summary(&merged);
    assert_eq!(rows(&merged_summary), rows(&sum));
    assert_eq!(merged_summary.worst_window(), sum.worst_window());
    assert!(merged_summary.total().asked == 1605 && merged_summary.open_requests() == 0);
    // Like the input files, the merged file has no violations.
    let (mut checker, mut violations) = (Checker::default(), Vec::new());
    let mut reader = open(&merged);
    items(&mut reader).iter().for_each(|item| checker.check(item, &mut violations));
    checker.finish(&mut violations);
    assert_eq!(violations, []);
}

#[test]
fn merge_rejects_files_with_different_class_objectives() {
    let mut other = header("n2", 0);
    other.classes[0].weight = 3.0;
    let inputs = [write(&header("n1", 0), &records_of(1)), write(&other, &records_of(1))];
    let mut files: Vec<_> =
        inputs.iter().map(|input| MergeInput { reader: open(input), clock_correction_us: 0 }).collect();
    let error = merge(&mut files, Vec::new()).unwrap_err().to_string();
    assert!(error.contains("they define the class \"draw-map\" differently"), "{error}");
}

#[test]
fn checker_reports_duplicate_missing_and_unmatched_records() {
    let answer = |id| Record::Answered { id, kind: AnswerKind::Served, latency_us: 1 };
    let attempt_sent = |attempt| Record::AttemptSent { id: 3, attempt, worker: 1 };
    let forwarding =
        Record::Forwarding { id: 9, step: ForwardingStep::Forwarded, origin_id: 1, incarnation: 1 };
    let recorded = [
        (1, arrival(1, 0, 0, true)),
        (2, arrival(1, 0, 0, true)),
        (3, answer(1)),
        (4, answer(1)),
        (5, arrival(2, 0, 0, true)),
        (6, arrival(3, 0, 0, true)),
        (7, attempt_sent(0)),
        (8, attempt_sent(1)),
        (9, answer(3)),
        (10, Record::AttemptEnded { id: 3, attempt: 1, outcome: 0, free_slots: None, queued: None }),
        (11, forwarding),
    ];
    let (mut checker, mut violations) = (Checker::default(), Vec::new());
    items(&mut open(&write(&header("n1", 0), &recorded)))
        .iter()
        .for_each(|item| checker.check(item, &mut violations));
    checker.finish(&mut violations);
    let violation = |kind, subject| Violation { source: 0, kind, subject };
    let expected = [
        violation(ViolationKind::DuplicateArrival, 1),
        violation(ViolationKind::NotOpen, 1),
        violation(ViolationKind::ConcurrentAttempts, 3),
        violation(ViolationKind::Unanswered, 2),
    ];
    assert_eq!(violations, expected);
}

#[test]
fn service_weighs_in_time_answers_and_discounts_requests_over_quota() {
    let answer = |id, latency_us| Record::Answered { id, kind: AnswerKind::Served, latency_us };
    let hinted = |id, within_quota| match arrival(id, 0, 0, within_quota) {
        Record::Arrival { request_id_hash, class, tenant, time_left_us, key_hash, .. } => Record::Arrival {
            id,
            request_id_hash,
            class,
            tenant,
            hint_us: Some(100_000),
            time_left_us,
            key_hash,
            within_quota,
        },
        other => other,
    };
    // The objective is 0.25 s plus twice the work of 0.1 s. The weight is 0.2 within quota and 0.01 over quota.
    let recorded = [
        (0, hinted(1, true)),
        (0, hinted(2, true)),
        (0, hinted(3, false)),
        (450_000, answer(1, 450_000)),
        (450_001, answer(2, 450_001)),
        (460_000, answer(3, 100)),
    ];
    let total = summary(&write(&header("n1", 0), &recorded)).total();
    assert_eq!((total.served, total.in_time), (3, 2));
    assert_eq!((total.weight_asked(), total.weight_in_time()), (410_000, 210_000));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// Records with any times, in any order, are read back unchanged.
    #[test]
    fn reads_back_records_in_any_time_order(recorded in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u16>()), 0..300)) {
        let recorded: Vec<(u64, Record)> =
            recorded.into_iter().map(|(at, id, class)| (at, arrival(id / 2, class, class, true))).collect();
        let bytes = write(&header("n1", 0), &recorded);
        prop_assert_eq!(records(&items(&mut open(&bytes))), recorded);
    }

    /// Bytes changed anywhere lead to an error or fewer records, never to a panic or records that were not written.
    #[test]
    fn damaged_bytes_never_cause_panics_or_invented_records(changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8), cut in any::<prop::sample::Index>()) {
        let recorded = records_of(400);
        let mut bytes = write(&header("n1", 0), &recorded);
        for (position, value) in changes {
            let at = position.index(bytes.len());
            bytes[at] = value;
        }
        bytes.truncate(cut.index(bytes.len()).max(bytes.len() / 2));
        if let Ok(mut reader) = Reader::open(Cursor::new(bytes)) {
            let found = records(&items(&mut reader));
            prop_assert!(found.iter().all(|record| recorded.contains(record)));
        }
    }
}
