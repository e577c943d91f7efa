//! `trace summary`: prints the service by class and tenant as a table, CSV or JSON.

use std::io::{self, Write};
use std::path::PathBuf;

use chutesaddle_trace::{RecordCounts, ServiceRow, Summary, WorstStretch};
use simd_json::prelude::Writable;

use super::{for_each_item, open, SummaryFormat, TraceCommandError, TraceStatus};

/// Names of the CSV columns, which are also the keys of the JSON objects.
const CSV_HEADER: &str =
    "class,tenant,asked,served,in_time,rejected,failed,left,attempts,crossed,service,p50_ms,p95_ms";

pub(super) fn print(files: &[PathBuf], format: SummaryFormat) -> Result<TraceStatus, TraceCommandError> {
    let mut total = Summary::default();
    for file in files {
        let mut reader = open(file)?;
        let header = reader.header().clone();
        let mut summary = Summary::default();
        for_each_item(file, &mut reader, |item| summary.add_item(&header, item))?;
        total.add(&summary);
    }
    let mut out = io::stdout().lock();
    write_header(&mut out, format)?;
    for (class, tenant, row) in total.rows() {
        OutputRow { class, tenant, row }.write(&mut out, format)?;
    }
    OutputRow { class: "all", tenant: "all", row: &total.total() }.write(&mut out, format)?;
    if format == SummaryFormat::Table {
        write_worst_stretch(&mut out, &total)?;
    }
    Ok(TraceStatus::Intact)
}

fn write_header(out: &mut impl Write, format: SummaryFormat) -> io::Result<()> {
    match format {
        SummaryFormat::Table => writeln!(
            out,
            "{:<16}{:<18}{:>8}{:>8}{:>9}{:>10}{:>8}{:>6}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "class",
            "tenant",
            "asked",
            "served",
            "in time",
            "rejected",
            "failed",
            "left",
            "attempts",
            "crossed",
            "service",
            "p50 ms",
            "p95 ms"
        ),
        SummaryFormat::Csv => writeln!(out, "{CSV_HEADER}"),
        SummaryFormat::Json => Ok(()),
    }
}

/// Prints the ten seconds with the lowest service.
fn write_worst_stretch(out: &mut impl Write, total: &Summary) -> io::Result<()> {
    let Some(WorstStretch { from, service }) = total.worst() else { return Ok(()) };
    let RecordCounts { records, missing } = total.counts();
    writeln!(
        out,
        "worst 10 s: service {service:.3}, from {from} (Unix time); {records} records, {missing} missing"
    )
}

/// The service of one class and tenant.
struct OutputRow<'a> {
    class: &'a str,
    tenant: &'a str,
    row: &'a ServiceRow,
}

impl OutputRow<'_> {
    fn write(&self, out: &mut impl Write, format: SummaryFormat) -> io::Result<()> {
        match format {
            SummaryFormat::Table => self.write_table(out),
            SummaryFormat::Csv => self.write_csv(out),
            SummaryFormat::Json => self.write_json(out),
        }
    }

    /// Service with six decimal places, or `fallback` if no work was requested.
    fn service(&self, fallback: &str) -> String {
        self.row.service().map_or(fallback.to_owned(), |service| format!("{service:.6}"))
    }

    fn latency_ms(&self, quantile: f64) -> u64 {
        self.row.latency.value_at_quantile(quantile) / 1000
    }

    fn write_table(&self, out: &mut impl Write) -> io::Result<()> {
        let OutputRow { class, tenant, row } = self;
        let ServiceRow {
            asked,
            served,
            in_time,
            rejected,
            failed,
            client_disconnected: left,
            attempts,
            forwarded: crossed,
            ..
        } = row;
        let service = row.service().map_or("-".to_owned(), |service| format!("{service:.3}"));
        let (p50, p95) = (self.latency_ms(0.5), self.latency_ms(0.95));
        write!(out, "{class:<16}{tenant:<18}{asked:>8}{served:>8}{in_time:>9}{rejected:>10}{failed:>8}")?;
        writeln!(out, "{left:>6}{attempts:>9}{crossed:>9}{service:>9}{p50:>9}{p95:>9}")
    }

    fn write_csv(&self, out: &mut impl Write) -> io::Result<()> {
        let ServiceRow {
            asked,
            served,
            in_time,
            rejected,
            failed,
            client_disconnected: left,
            attempts,
            forwarded: crossed,
            ..
        } = self.row;
        let (class, tenant) = (csv_quoted(self.class), csv_quoted(self.tenant));
        let (p50, p95) = (self.latency_ms(0.5), self.latency_ms(0.95));
        write!(out, "{class},{tenant},{asked},{served},{in_time},{rejected},{failed},{left},{attempts},")?;
        writeln!(out, "{crossed},{},{p50},{p95}", self.service(""))
    }

    fn write_json(&self, out: &mut impl Write) -> io::Result<()> {
        let ServiceRow {
            asked,
            served,
            in_time,
            rejected,
            failed,
            client_disconnected: left,
            attempts,
            forwarded: crossed,
            ..
        } = self.row;
        let (class, tenant) = (json_quoted(self.class), json_quoted(self.tenant));
        let (p50, p95, service) = (self.latency_ms(0.5), self.latency_ms(0.95), self.service("null"));
        write!(out, "{{\"class\":{class},\"tenant\":{tenant},\"asked\":{asked},\"served\":{served},")?;
        write!(out, "\"in_time\":{in_time},\"rejected\":{rejected},\"failed\":{failed},\"left\":{left},")?;
        write!(out, "\"attempts\":{attempts},\"crossed\":{crossed},\"service\":{service},")?;
        writeln!(out, "\"p50_ms\":{p50},\"p95_ms\":{p95}}}")
    }
}

fn csv_quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('"', "\"\""))
}

fn json_quoted(text: &str) -> String {
    simd_json::OwnedValue::from(text).encode()
}
