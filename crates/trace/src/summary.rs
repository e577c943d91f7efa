//! Service as the operators count it: weight answered in time over weight asked for.
//!
//! Weight counts by the hinted work, as a file does not know the true one. Sums of parts equal the sum of the whole,
//! so files can be added.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;

use crate::{AnswerKind, ForwardingStep, Header, Item, Record, RecordCounts, TimedRecord};

/// Length of the stretch with the least service that is reported, in seconds.
const WORST_STRETCH_S: u64 = 10;
/// Latencies are kept in microseconds up to an hour.
const MOST_LATENCY_US: u64 = 3_600_000_000;
const LATENCY_DIGITS: u8 = 3;
/// A request without a hint counts as this much work.
const DEFAULT_WORK_US: u64 = 1_000_000;
const US_PER_S: u64 = 1_000_000;

/// Weight asked for and weight answered in time, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Weights {
    asked: u64,
    in_time: u64,
}

impl Weights {
    /// In time over asked for; `None` if none was asked for.
    fn service(self) -> Option<f64> {
        (self.asked > 0).then(|| self.in_time as f64 / self.asked as f64)
    }

    fn add(&mut self, other: Weights) {
        self.asked += other.asked;
        self.in_time += other.in_time;
    }
}

/// What became of the requests of one class and tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// Arrivals.
    pub asked: u64,
    /// Answered with a result.
    pub served: u64,
    /// Of these, in time.
    pub in_time: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Their clients disconnected before the answer.
    pub client_disconnected: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Forwarded to another site.
    pub forwarded: u64,
    /// Microseconds from arrival to answer, of those served.
    pub latency: Histogram<u64>,
    weights: Weights,
}

impl ServiceRow {
    fn new() -> Self {
        // The bounds and digits are constants that the library accepts.
        let latency =
            Histogram::new_with_bounds(1, MOST_LATENCY_US, LATENCY_DIGITS).unwrap_or_else(|_| unreachable!());
        ServiceRow {
            asked: 0,
            served: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            client_disconnected: 0,
            attempts: 0,
            forwarded: 0,
            latency,
            weights: Weights::default(),
        }
    }

    /// Weight asked for, in millionths.
    pub fn weight_asked(&self) -> u64 {
        self.weights.asked
    }

    /// Weight answered in time, in millionths.
    pub fn weight_in_time(&self) -> u64 {
        self.weights.in_time
    }

    /// Weight answered in time over weight asked for; `None` if none was asked for.
    pub fn service(&self) -> Option<f64> {
        self.weights.service()
    }

    fn add(&mut self, other: &ServiceRow) {
        self.asked += other.asked;
        self.served += other.served;
        self.in_time += other.in_time;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.client_disconnected += other.client_disconnected;
        self.attempts += other.attempts;
        self.forwarded += other.forwarded;
        self.weights.add(other.weights);
        // It fails only for other bounds, and all rows have the same.
        let _ = self.latency.add(&other.latency);
    }
}

/// A stretch of time and its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorstStretch {
    /// Its first second, as Unix time.
    pub from: u64,
    /// Weight answered in time over weight asked for.
    pub service: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    class: String,
    tenant: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RequestKey {
    source: u16,
    id: u64,
}

struct OpenRequest {
    row: RowKey,
    /// Unix time in microseconds.
    arrived_at: u64,
    weight: u64,
    latency_objective_us: u64,
}

impl OpenRequest {
    fn arrival_second(&self) -> u64 {
        self.arrived_at / US_PER_S
    }
}

/// Adds up what happened.
#[derive(Default)]
pub struct Summary {
    rows: BTreeMap<RowKey, ServiceRow>,
    /// By second of the wall clock at arrival.
    seconds: BTreeMap<u64, Weights>,
    open: HashMap<RequestKey, OpenRequest>,
    counts: RecordCounts,
}

impl Summary {
    /// Adds one item of a file with this header.
    pub fn add_item(&mut self, header: &Header, item: &Item) {
        match item {
            Item::Record(timed) => {
                self.counts.records += 1;
                self.add_record(header, timed);
            }
            Item::Gap(entry) | Item::Damaged(entry) => self.counts.missing += u64::from(entry.count),
        }
    }

    fn add_record(&mut self, header: &Header, timed: &TimedRecord) {
        let Some(id) = timed.record.request_id() else { return };
        let key = RequestKey { source: timed.source, id };
        match &timed.record {
            Record::Arrival { .. } => self.arrived(header, key, timed),
            Record::AttemptSent { .. } => {
                if let Some(row) = self.row_of(key) {
                    row.attempts += 1;
                }
            }
            Record::Forwarding { step: ForwardingStep::Forwarded, .. } => {
                if let Some(row) = self.row_of(key) {
                    row.forwarded += 1;
                }
            }
            Record::Answered { kind, latency_us, .. } => self.answered(key, *kind, *latency_us),
            Record::Forwarding { step: ForwardingStep::Returned | ForwardingStep::Received, .. }
            | Record::AttemptProgressed { .. }
            | Record::AttemptEnded { .. }
            | Record::Rejected { .. }
            | Record::Source { .. }
            | Record::Worker { .. }
            | Record::EndpointState { .. }
            | Record::Lifecycle(_) => {}
        }
    }

    fn arrived(&mut self, header: &Header, key: RequestKey, timed: &TimedRecord) {
        let Record::Arrival { class, tenant, hint_us, within_quota, .. } = &timed.record else { return };
        let Some(class) = header.classes.get(usize::from(*class)) else { return };
        let tenant = header.tenants.get(usize::from(*tenant)).cloned().unwrap_or_default();
        let work_us = hint_us.unwrap_or(DEFAULT_WORK_US);
        let quota_factor = if *within_quota { 1.0 } else { header.over_quota_weight };
        let weight = (class.weight * work_us as f64 * quota_factor) as u64;
        let objective_us = class.latency_objective_us as f64 + class.stretch * work_us as f64;
        let latency_objective_us = (objective_us as u64).min(class.deadline_us);
        let row = RowKey { class: class.name.clone(), tenant };
        let sums = self.rows.entry(row.clone()).or_insert_with(ServiceRow::new);
        sums.asked += 1;
        sums.weights.asked += weight;
        let arrived_at = header.anchor + timed.at;
        let request = OpenRequest { row, arrived_at, weight, latency_objective_us };
        self.seconds.entry(request.arrival_second()).or_default().asked += weight;
        self.open.insert(key, request);
    }

    fn answered(&mut self, key: RequestKey, kind: AnswerKind, latency_us: u64) {
        let Some(request) = self.open.remove(&key) else { return };
        let Some(row) = self.rows.get_mut(&request.row) else { return };
        let second = request.arrival_second();
        match kind {
            AnswerKind::Served => {
                row.served += 1;
                // Within the bounds of the histogram, so it is always counted.
                let _ = row.latency.record(latency_us.clamp(1, MOST_LATENCY_US));
                if latency_us <= request.latency_objective_us {
                    row.in_time += 1;
                    row.weights.in_time += request.weight;
                    self.seconds.entry(second).or_default().in_time += request.weight;
                }
            }
            AnswerKind::Rejected => row.rejected += 1,
            AnswerKind::Failed => row.failed += 1,
            AnswerKind::ClientDisconnected => row.client_disconnected += 1,
            // The process that has taken over counts it, arrival and all.
            AnswerKind::Migrated => {
                row.asked -= 1;
                row.weights.asked -= request.weight;
                self.seconds.entry(second).or_default().asked -= request.weight;
            }
        }
    }

    /// The row of an open request.
    fn row_of(&mut self, key: RequestKey) -> Option<&mut ServiceRow> {
        let request = self.open.get(&key)?;
        self.rows.get_mut(&request.row)
    }

    /// Adds another summary to this one. What is open in either stays out of both.
    pub fn add(&mut self, other: &Summary) {
        for (key, row) in &other.rows {
            self.rows.entry(key.clone()).or_insert_with(ServiceRow::new).add(row);
        }
        for (second, weights) in &other.seconds {
            self.seconds.entry(*second).or_default().add(*weights);
        }
        self.counts.records += other.counts.records;
        self.counts.missing += other.counts.missing;
    }

    /// The rows, each with its class and tenant.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str, &ServiceRow)> {
        self.rows.iter().map(|(key, row)| (key.class.as_str(), key.tenant.as_str(), row))
    }

    /// All rows together.
    pub fn total(&self) -> ServiceRow {
        let mut total = ServiceRow::new();
        for row in self.rows.values() {
            total.add(row);
        }
        total
    }

    /// The 10 s with the least service; `None` if nothing was asked for.
    pub fn worst(&self) -> Option<WorstStretch> {
        let stretches = self.seconds.keys().filter_map(|from| {
            let service = self.weights_of_stretch(*from).service()?;
            Some(WorstStretch { from: *from, service })
        });
        stretches.min_by(|a, b| a.service.total_cmp(&b.service))
    }

    fn weights_of_stretch(&self, from: u64) -> Weights {
        let mut sum = Weights::default();
        for (_, weights) in self.seconds.range(from..from + WORST_STRETCH_S) {
            sum.add(*weights);
        }
        sum
    }

    /// Requests without an answer so far.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Records added, and records that are missing.
    pub fn counts(&self) -> RecordCounts {
        self.counts
    }
}
