//! Whole files: what is written is read again, whatever befalls the bytes in between.

use std::io::Cursor;

use chutesaddle_trace::{
    merge, AnswerKind, Checker, ClassObjective, ForwardingStep, Header, Item, MergeInput, Reader, Record,
    Summary, TimedRecord, TraceError, Violation, ViolationKind, Writer,
};
use proptest::prelude::*;

fn header(scheduler: &str, anchor: u64) -> Header {
    let terms = |name: &str, latency_objective_us, worth| ClassObjective {
        name: name.into(),
        latency_objective_us,
        stretch: 2.0,
        deadline_us: 8_000_000,
        weight: worth,
    };
    Header {
        scheduler: scheduler.into(),
        site: "khi-1".into(),
        anchor,
        classes: vec![terms("draw-map", 250_000, 2.0), terms("publish-map", 800_000, 5.0)],
        tenants: vec!["barfani-heights".into(), "chinar-slopes".into()],
        over_quota_weight: 0.05,
        ..Header::default()
    }
}

fn arrival(id: u64, class: u16, tenant: u16, inside: bool) -> Record {
    let (hint_us, left_us) = (Some(100_000 + id % 7), 8_000_000);
    Record::Arrival {
        id,
        name_hash: id.wrapping_mul(31),
        class,
        tenant,
        hint_us,
        time_left_us: left_us,
        key_hash: None,
        within_quota: inside,
    }
}

/// The records of `n` requests, ten milliseconds apart.
fn records_of(n: u64) -> Vec<(u64, Record)> {
    let mut records = vec![(0, Record::Worker { worker: 1, name: "s-1".into() })];
    for id in 0..n {
        let at = 10_000 * id;
        let how = [AnswerKind::Served, AnswerKind::Served, AnswerKind::Rejected, AnswerKind::Failed]
            [(id % 4) as usize];
        let took_us = 200_000 + 1000 * (id % 500);
        records.push((at, arrival(id, (id % 2) as u16, (id / 2 % 2) as u16, !id.is_multiple_of(5))));
        records.push((at + 1000, Record::AttemptSent { id, attempt: 0, worker: 1 }));
        records.push((
            at + took_us,
            Record::AttemptEnded { id, attempt: 0, outcome: 0, free_slots: Some(2), queued: None },
        ));
        records.push((at + took_us, Record::Answered { id, kind: how, latency_us: took_us }));
    }
    records.sort_by_key(|(at, _)| *at);
    records
}

fn write(header: &Header, records: &[(u64, Record)]) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), header).unwrap();
    records.iter().for_each(|(at, record)| writer.push(*at, record).unwrap());
    writer.finish().unwrap()
}

fn items<R: std::io::Read + std::io::Seek>(reader: &mut Reader<R>) -> Vec<Item> {
    std::iter::from_fn(|| reader.next_item().unwrap()).collect()
}

fn open(bytes: &[u8]) -> Reader<Cursor<&[u8]>> {
    Reader::open(Cursor::new(bytes)).unwrap()
}

fn records(items: &[Item]) -> Vec<(u64, Record)> {
    let record = |item: &Item| match item {
        Item::Record(TimedRecord { at, record, .. }) => Some((*at, record.clone())),
        _ => None,
    };
    items.iter().filter_map(record).collect()
}

#[test]
fn reads_what_was_written() {
    let (header, recorded) = (header("n1", 1_700_000_000_000_000), records_of(20_000));
    let bytes = write(&header, &recorded);
    let mut reader = open(&bytes);
    assert_eq!(reader.header(), &header);
    assert!(reader.index().complete && reader.index().entries.len() > 5);
    assert_eq!(records(&items(&mut reader)), recorded);
    assert!(bytes.len() < 12 * recorded.len(), "{} bytes for {} records", bytes.len(), recorded.len());
}

/// Whatever the last byte is, all blocks before it are read.
#[test]
fn reads_a_truncated_file_up_to_the_break() {
    let recorded = records_of(3000);
    let bytes = write(&header("n1", 0), &recorded);
    let ends: Vec<u64> = open(&bytes).index().entries.iter().map(|entry| entry.offset).collect();
    let counts: Vec<usize> = open(&bytes).index().entries.iter().map(|entry| entry.count as usize).collect();
    for cut in (ends[0] as usize..bytes.len()).step_by(1499).chain(ends.iter().map(|end| *end as usize)) {
        let mut reader = open(&bytes[..cut]);
        assert!(!reader.index().complete);
        let whole = ends.iter().skip(1).filter(|end| **end as usize <= cut).count();
        let got = records(&items(&mut reader));
        let least: usize = counts[..whole].iter().sum();
        assert!(got.len() >= least && got[..] == recorded[..got.len()], "cut at {cut}");
    }
}

#[test]
fn a_damaged_block_loses_only_its_own_records() {
    let recorded = records_of(5000);
    let bytes = write(&header("n1", 0), &recorded);
    let entries = open(&bytes).index().entries.clone();
    let mut damaged = bytes.clone();
    damaged[entries[1].offset as usize + 60] ^= 0x40;
    // By the index, it is known to be missing.
    let found = items(&mut open(&damaged));
    assert!(found.contains(&Item::Damaged(entries[1])));
    assert_eq!(records(&found).len(), recorded.len() - entries[1].count as usize);
    // By a scan, it is passed over.
    let mut reader = open(&damaged[..damaged.len() - 1]);
    assert!(reader.index().damaged > 0);
    assert_eq!(records(&items(&mut reader)).len(), recorded.len() - entries[1].count as usize);
}

#[test]
fn a_time_range_reads_only_the_blocks_it_needs() {
    let recorded = records_of(20_000);
    let bytes = write(&header("n1", 0), &recorded);
    let mut reader = open(&bytes);
    let (from, to) = (50_000_000, 51_000_000);
    reader.between(from, to);
    let wanted: Vec<_> = recorded.iter().filter(|(at, _)| (from..to).contains(at)).cloned().collect();
    assert_eq!(records(&items(&mut reader)), wanted);
    assert!(reader.blocks_read() <= 2, "{} of {}", reader.blocks_read(), reader.index().entries.len());
}

#[test]
fn rejects_other_files_versions_and_damaged_headers() {
    let bytes = write(&header("n1", 0), &records_of(1));
    let open = |bytes: &[u8]| Reader::open(Cursor::new(bytes.to_vec())).err();
    assert!(matches!(open(b"PK\x03\x04 and so on, for a while"), Some(TraceError::NotATrace)));
    assert!(matches!(open(b""), Some(TraceError::NotATrace)));
    let mut other = bytes.clone();
    other[8] = 2;
    assert!(matches!(open(&other), Some(TraceError::UnsupportedVersion(2))));
    let mut other = bytes;
    other[20] ^= 1;
    assert!(matches!(open(&other), Some(TraceError::DamagedHeader)));
}

#[test]
fn reports_gaps_where_they_are() {
    let mut writer = Writer::new(Vec::new(), &header("n1", 0)).unwrap();
    writer.push(10, &arrival(1, 0, 0, true)).unwrap();
    writer.gap(0, 77, 20, 30).unwrap();
    writer.push(40, &arrival(2, 0, 0, true)).unwrap();
    let found = items(&mut open(&writer.finish().unwrap()));
    assert!(matches!(&found[1], Item::Gap(entry) if (entry.count, entry.first, entry.last) == (77, 20, 30)));
    assert_eq!(records(&found).len(), 2);
}

fn summary(bytes: &[u8]) -> Summary {
    let (mut sums, mut reader) = (Summary::default(), open(bytes));
    let header = reader.header().clone();
    while let Some(item) = reader.next_item().unwrap() {
        sums.add_item(&header, &item);
    }
    sums
}

fn rows(sums: &Summary) -> Vec<(String, String, chutesaddle_trace::ServiceRow)> {
    sums.rows().map(|(class, tenant, row)| (class.to_owned(), tenant.to_owned(), row.clone())).collect()
}

/// Files of two schedulers whose clocks began at other moments, with other numbers for the same names.
#[test]
fn the_summary_of_a_merged_file_is_the_sum_of_its_parts() {
    let mut other = header("n2", 1_700_000_002_500_000);
    other.classes.reverse();
    other.tenants.reverse();
    let parts = [
        write(&header("n1", 1_700_000_000_000_000), &records_of(700)),
        write(&other, &records_of(900)),
        write(&header("n3", 1_699_999_999_000_000), &records_of(5)),
    ];
    let mut files: Vec<_> =
        parts.iter().map(|part| MergeInput { reader: open(part), clock_correction_us: 0 }).collect();
    let mut merged = Vec::new();
    let count = merge(&mut files, &mut merged).unwrap();
    assert_eq!(count, 3 + 4 * (700 + 900 + 5));
    let mut sum = Summary::default();
    parts.iter().for_each(|part| sum.add(&summary(part)));
    let whole = summary(&merged);
    assert_eq!(rows(&whole), rows(&sum));
    assert_eq!(whole.worst(), sum.worst());
    assert!(whole.total().asked == 1605 && whole.open() == 0);
    // And it is sound, as its parts are.
    let (mut checker, mut violations) = (Checker::default(), Vec::new());
    let mut reader = open(&merged);
    items(&mut reader).iter().for_each(|item| checker.check(item, &mut violations));
    checker.finish(&mut violations);
    assert_eq!(violations, []);
}

#[test]
fn does_not_merge_files_with_different_objectives() {
    let mut other = header("n2", 0);
    other.classes[0].weight = 3.0;
    let parts = [write(&header("n1", 0), &records_of(1)), write(&other, &records_of(1))];
    let mut files: Vec<_> =
        parts.iter().map(|part| MergeInput { reader: open(part), clock_correction_us: 0 }).collect();
    let error = merge(&mut files, Vec::new()).unwrap_err().to_string();
    assert!(error.contains("\"draw-map\" has other terms"), "{error}");
}

#[test]
fn checker_reports_each_arrival_without_exactly_one_answer() {
    let answer = |id| Record::Answered { id, kind: AnswerKind::Served, latency_us: 1 };
    let route = |attempt| Record::AttemptSent { id: 3, attempt, worker: 1 };
    let forwarding =
        Record::Forwarding { id: 9, step: ForwardingStep::Forwarded, forwarded: 1, incarnation: 1 };
    let told = [
        (1, arrival(1, 0, 0, true)),
        (2, arrival(1, 0, 0, true)),
        (3, answer(1)),
        (4, answer(1)),
        (5, arrival(2, 0, 0, true)),
        (6, arrival(3, 0, 0, true)),
        (7, route(0)),
        (8, route(1)),
        (9, answer(3)),
        (10, Record::AttemptEnded { id: 3, attempt: 1, outcome: 0, free_slots: None, queued: None }),
        (11, forwarding),
    ];
    let (mut checker, mut violations) = (Checker::default(), Vec::new());
    items(&mut open(&write(&header("n1", 0), &told)))
        .iter()
        .for_each(|item| checker.check(item, &mut violations));
    checker.finish(&mut violations);
    let violation = |kind, subject| Violation { source: 0, kind, subject };
    let wanted = [
        violation(ViolationKind::ArrivedTwice, 1),
        violation(ViolationKind::NotOpen, 1),
        violation(ViolationKind::TwoAttempts, 3),
        violation(ViolationKind::Unanswered, 2),
    ];
    assert_eq!(violations, wanted);
}

#[test]
fn service_counts_weight_in_time_and_less_beyond_the_quota() {
    let answer = |id, took_us| Record::Answered { id, kind: AnswerKind::Served, latency_us: took_us };
    let hinted = |id, inside| match arrival(id, 0, 0, inside) {
        Record::Arrival { name_hash, class, tenant, time_left_us, key_hash, .. } => Record::Arrival {
            id,
            name_hash,
            class,
            tenant,
            hint_us: Some(100_000),
            time_left_us,
            key_hash,
            within_quota: inside,
        },
        other => other,
    };
    // The aim is 0.25 s and twice 0.1 s. Worth: 0.2 each inside the share, 0.01 beyond it.
    let told = [
        (0, hinted(1, true)),
        (0, hinted(2, true)),
        (0, hinted(3, false)),
        (450_000, answer(1, 450_000)),
        (450_001, answer(2, 450_001)),
        (460_000, answer(3, 100)),
    ];
    let total = summary(&write(&header("n1", 0), &told)).total();
    assert_eq!((total.served, total.in_time), (3, 2));
    assert_eq!((total.weight_asked(), total.weight_in_time()), (410_000, 210_000));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// Times in any order and any values come back as they were.
    #[test]
    fn reads_any_records_back(told in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u16>()), 0..300)) {
        let told: Vec<(u64, Record)> =
            told.into_iter().map(|(at, id, class)| (at, arrival(id / 2, class, class, true))).collect();
        let bytes = write(&header("n1", 0), &told);
        prop_assert_eq!(records(&items(&mut open(&bytes))), told);
    }

    /// Bytes that were changed anywhere make an error or fewer records, never a panic or records that were not there.
    #[test]
    fn damage_never_panics_or_invents_records(places in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8), cut in any::<prop::sample::Index>()) {
        let recorded = records_of(400);
        let mut bytes = write(&header("n1", 0), &recorded);
        for (place, value) in places {
            let at = place.index(bytes.len());
            bytes[at] = value;
        }
        bytes.truncate(cut.index(bytes.len()).max(bytes.len() / 2));
        if let Ok(mut reader) = Reader::open(Cursor::new(bytes)) {
            let found = records(&items(&mut reader));
            prop_assert!(found.iter().all(|record| recorded.contains(record)));
        }
    }
}
