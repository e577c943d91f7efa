//! Service per class and tenant: the weight of requests answered in time, divided by the weight of all requests.
//!
//! A request's weight is computed from its hinted work, because the actual work is not recorded. Weights are integers,
//! so adding the summaries of several files gives exactly the summary of the merged file.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;

use crate::{AnswerKind, ForwardingStep, Header, Record, RecordCounts, TimedRecord, TraceItem};

/// Length of the reported window with the lowest service, in seconds.
const WORST_WINDOW_S: u64 = 10;
/// Upper bound of recorded latencies: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;
/// Work assumed for a request without a cost hint.
const DEFAULT_WORK_US: u64 = 1_000_000;
const US_PER_S: u64 = 1_000_000;

/// Total weight of requests, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Weights {
    /// Weight of all requests.
    asked: u64,
    /// Weight of the requests answered in time.
    in_time: u64,
}

impl Weights {
    /// Returns the fraction answered in time, or `None` if there were no requests.
    fn service(self) -> Option<f64> {
        (self.asked > 0).then(|| self.in_time as f64 / self.asked as f64)
    }

    fn add(&mut self, other: Weights) {
        self.asked += other.asked;
        self.in_time += other.in_time;
    }
}

/// Counts and latencies of the requests of one class and tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// Requests that arrived.
    pub asked: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests answered with a result within their latency objective.
    pub in_time: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub client_disconnected: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Requests forwarded to another site.
    pub forwarded: u64,
    /// Time from arrival to answer of the served requests, in microseconds.
    pub latency: Histogram<u64>,
    weights: Weights,
}

impl ServiceRow {
    fn new() -> Self {
        // Cannot fail: the bounds and digits are valid constants.
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!());
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

    /// Weight of all requests, in millionths.
    pub fn weight_asked(&self) -> u64 {
        self.weights.asked
    }

    /// Weight of the requests answered in time, in millionths.
    pub fn weight_in_time(&self) -> u64 {
        self.weights.in_time
    }

    /// Returns the fraction of the weight answered in time, or `None` if there were no requests.
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
        // Cannot fail: all rows use the same histogram bounds.
        let _ = self.latency.add(&other.latency);
    }
}

/// The window with the lowest service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorstWindow {
    /// Start of the window, as Unix time in seconds.
    pub from: u64,
    /// Fraction of the weight answered in time.
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

/// Summarises the records of one or more files.
#[derive(Default)]
pub struct Summary {
    rows: BTreeMap<RowKey, ServiceRow>,
    /// Weights by Unix time of arrival, in seconds.
    weights_per_second: BTreeMap<u64, Weights>,
    open: HashMap<RequestKey, OpenRequest>,
    counts: RecordCounts,
}

impl Summary {
    /// Adds an item of the file with the given header.
    pub fn add_item(&mut self, header: &Header, item: &TraceItem) {
        match item {
            TraceItem::Record(timed) => {
                self.counts.records += 1;
                self.add_record(header, timed);
            }
            TraceItem::Gap(entry) | TraceItem::Damaged(entry) => {
                self.counts.missing += u64::from(entry.count)
            }
        }
    }

    fn add_record(&mut self, header: &Header, timed: &TimedRecord) {
        let Some(id) = timed.record.request_id() else { return };
        let key = RequestKey { source: timed.source, id };
        match &timed.record {
            Record::Arrival { .. } => self.add_arrival(header, key, timed),
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
            Record::Answered { kind, latency_us, .. } => self.add_answer(key, *kind, *latency_us),
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

    fn add_arrival(&mut self, header: &Header, key: RequestKey, timed: &TimedRecord) {
        let Record::Arrival { class, tenant, hint_us, within_quota, .. } = &timed.record else { return };
        let Some(class) = header.classes.get(usize::from(*class)) else { return };
        let tenant = header.tenants.get(usize::from(*tenant)).cloned().unwrap_or_default();
        let work_us = hint_us.unwrap_or(DEFAULT_WORK_US);
        let quota_factor = if *within_quota { 1.0 } else { header.over_quota_weight };
        let weight = (class.weight * work_us as f64 * quota_factor) as u64;
        let objective_us = class.latency_objective_us as f64 + class.stretch * work_us as f64;
        let latency_objective_us = (objective_us as u64).min(class.deadline_us);
        let row = RowKey { class: class.name.clone(), tenant };
        let totals = self.rows.entry(row.clone()).or_insert_with(ServiceRow::new);
        totals.asked += 1;
        totals.weights.asked += weight;
        let arrived_at = header.anchor + timed.at;
        let request = OpenRequest { row, arrived_at, weight, latency_objective_us };
        self.weights_per_second.entry(request.arrival_second()).or_default().asked += weight;
        self.open.insert(key, request);
    }

    fn add_answer(&mut self, key: RequestKey, kind: AnswerKind, latency_us: u64) {
        let Some(request) = self.open.remove(&key) else { return };
        let Some(row) = self.rows.get_mut(&request.row) else { return };
        let second = request.arrival_second();
        match kind {
            AnswerKind::Served => {
                row.served += 1;
                // Cannot fail: the value is clamped to the bounds of the histogram.
                let _ = row.latency.record(latency_us.clamp(1, MAX_LATENCY_US));
                if latency_us <= request.latency_objective_us {
                    row.in_time += 1;
                    row.weights.in_time += request.weight;
                    self.weights_per_second.entry(second).or_default().in_time += request.weight;
                }
            }
            AnswerKind::Rejected => row.rejected += 1,
            AnswerKind::Failed => row.failed += 1,
            AnswerKind::ClientDisconnected => row.client_disconnected += 1,
            // The successor process records the arrival again, so don't count the request twice.
            AnswerKind::Migrated => {
                row.asked -= 1;
                row.weights.asked -= request.weight;
                self.weights_per_second.entry(second).or_default().asked -= request.weight;
            }
        }
    }

    /// Returns the row of an open request.
    fn row_of(&mut self, key: RequestKey) -> Option<&mut ServiceRow> {
        let request = self.open.get(&key)?;
        self.rows.get_mut(&request.row)
    }

    /// Adds the rows, weights and record counts of another summary. Open requests of `other` are not taken over.
    pub fn merge(&mut self, other: &Summary) {
        for (key, row) in &other.rows {
            self.rows.entry(key.clone()).or_insert_with(ServiceRow::new).add(row);
        }
        for (second, weights) in &other.weights_per_second {
            self.weights_per_second.entry(*second).or_default().add(*weights);
        }
        self.counts.records += other.counts.records;
        self.counts.missing += other.counts.missing;
    }

    /// Iterates over class, tenant and row.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str, &ServiceRow)> {
        self.rows.iter().map(|(key, row)| (key.class.as_str(), key.tenant.as_str(), row))
    }

    /// Returns the sum of all rows.
    pub fn total(&self) -> ServiceRow {
        let mut total = ServiceRow::new();
        for row in self.rows.values() {
            total.add(row);
        }
        total
    }

    /// Returns the 10 s window with the lowest service, or `None` if there were no requests.
    pub fn worst_window(&self) -> Option<WorstWindow> {
        let windows = self.weights_per_second.keys().filter_map(|from| {
            let service = self.window_weights(*from).service()?;
            Some(WorstWindow { from: *from, service })
        });
        windows.min_by(|a, b| a.service.total_cmp(&b.service))
    }

    fn window_weights(&self, from: u64) -> Weights {
        let mut sum = Weights::default();
        for (_, weights) in self.weights_per_second.range(from..from + WORST_WINDOW_S) {
            sum.add(*weights);
        }
        sum
    }

    /// Number of requests without an answer so far.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the numbers of added and missing records.
    pub fn counts(&self) -> RecordCounts {
        self.counts
    }
}
