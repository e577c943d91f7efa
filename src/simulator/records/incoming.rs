//! Decodes incoming records into the types of [`crate::scheduling`].

use bytes::Buf;

use super::IncomingRecord;
use crate::scheduling::{
    AttemptEnded, AttemptOutcome, Event, LoadReport, LoadReportField, Request, RequestId, WorkerId,
    WorkerInfo, WorkerState,
};
use crate::simulator::error::{too_short, RecordError};

/// Length of one entry of a worker list.
const LIST_ENTRY_BYTES: usize = 24;
/// Highest valid worker list number.
const MAX_LIST_NUMBER: u8 = 15;
/// Option bit of a request: its estimated work is valid.
const OPTION_HAS_ESTIMATE: u16 = 1;

/// A `VIEW` record.
pub(in crate::simulator) enum EndpointListUpdate {
    /// The endpoint list changed. `list` is the number of the worker list with the entries.
    Changed { list: u8, complete: bool, cached: bool },
    /// A request to discovery failed, or the watch was interrupted.
    DiscoveryFailed,
}

/// An `ENLIST` record.
pub(in crate::simulator) struct InstanceStart<'a> {
    pub(in crate::simulator) seed: u64,
    /// Settings, one `path=value` per line.
    pub(in crate::simulator) settings: &'a str,
}

/// Decodes `ON`: the number of the instance to which the following records apply.
pub(in crate::simulator) fn instance_number(fields: &mut &[u8]) -> Result<u16, RecordError> {
    Ok(fields.try_get_u16_le()?)
}

/// Decodes `DEFINE_LIST`: a worker list and its number.
pub(in crate::simulator) fn worker_list(fields: &mut &[u8]) -> Result<(u8, Vec<WorkerInfo>), RecordError> {
    let number = list_number(fields)?;
    let count = fields.try_get_u32_le()?;
    // `count` is not validated yet, so the allocation is bounded by the bytes received.
    let max_entries = fields.remaining() / LIST_ENTRY_BYTES;
    let mut entries = Vec::with_capacity(max_entries.min(count as usize));
    for _ in 0..count {
        entries.push(worker_info(fields)?);
    }
    Ok((number, entries))
}

/// Decodes `ENLIST`: a new instance.
pub(in crate::simulator) fn instance_start<'a>(
    fields: &mut &'a [u8],
) -> Result<InstanceStart<'a>, RecordError> {
    let seed = fields.try_get_u64_le()?;
    let length = fields.try_get_u32_le()? as usize;
    if length > fields.remaining() {
        return Err(too_short(length, fields.remaining()));
    }
    let (settings, rest) = fields.split_at(length);
    *fields = rest;
    let settings = std::str::from_utf8(settings).map_err(RecordError::SettingsNotUtf8)?;
    Ok(InstanceStart { seed, settings })
}

/// Decodes `VIEW`: an endpoint list from discovery, or a failure of discovery.
pub(in crate::simulator) fn endpoint_list_update(
    fields: &mut &[u8],
) -> Result<EndpointListUpdate, RecordError> {
    let form = fields.try_get_u8()?;
    let _version = fields.try_get_u64_le()?;
    let list = list_number(fields)?;
    match form {
        0 => Ok(EndpointListUpdate::Changed { list, complete: false, cached: false }),
        1 => Ok(EndpointListUpdate::Changed { list, complete: true, cached: false }),
        2 => Ok(EndpointListUpdate::Changed { list, complete: true, cached: true }),
        3 => Ok(EndpointListUpdate::DiscoveryFailed),
        other => Err(RecordError::UnknownValue { field: "form", value: other.into() }),
    }
}

/// Converts a record to a scheduling event, or `None` if scheduling does not need it.
///
/// `report_fields` gives the meaning of each value of a load report, by position.
pub(in crate::simulator) fn event(
    record: IncomingRecord,
    fields: &mut &[u8],
    report_fields: &[LoadReportField],
) -> Result<Option<Event>, RecordError> {
    match record {
        IncomingRecord::AttemptNotice => attempt_notice(fields),
        IncomingRecord::ClientDisconnected => Ok(Some(Event::ClientDisconnected(request_id(fields)?))),
        IncomingRecord::ResponseStarted => response_started(fields).map(Some),
        IncomingRecord::AttemptEnded => attempt_ended(fields, report_fields).map(Some),
        IncomingRecord::GossipReceived => gossip_received(fields).map(Some),
        IncomingRecord::RequestReceived => Ok(Some(Event::RequestReceived(request(fields)?))),
        IncomingRecord::TimerExpired => Ok(Some(Event::TimerExpired(fields.try_get_u64_le()?))),
        IncomingRecord::ProbeEnded => probe_ended(fields, report_fields).map(Some),
        IncomingRecord::SelectInstance
        | IncomingRecord::StopInstance
        | IncomingRecord::StartInstance
        | IncomingRecord::EndpointList
        | IncomingRecord::DefineList => Ok(None), // handled by the host
    }
}

/// `HEARTBEAT`: an attempt has started or made progress.
fn attempt_notice(fields: &mut &[u8]) -> Result<Option<Event>, RecordError> {
    let request = request_id(fields)?;
    let attempt = attempt_number(fields)?;
    let fraction = f64::from(fields.try_get_f32_le()?);
    let _worker = worker_id(fields)?;
    match fields.try_get_u8()? {
        1 => Ok(Some(Event::AttemptStarted { request, attempt })),
        2 => Ok(Some(Event::AttemptProgressed { request, attempt, fraction })),
        _ => Ok(None),
    }
}

/// `HEAD_RECEIVED`: the response to an attempt has started.
fn response_started(fields: &mut &[u8]) -> Result<Event, RecordError> {
    let request = request_id(fields)?;
    let _elapsed_s = fields.try_get_f64_le()?;
    let _worker = worker_id(fields)?;
    Ok(Event::ResponseStarted { request, attempt: attempt_number(fields)? })
}

/// `COMPLETED`: an attempt has ended.
fn attempt_ended(fields: &mut &[u8], report_fields: &[LoadReportField]) -> Result<Event, RecordError> {
    let request = request_id(fields)?;
    let attempt = attempt_number(fields)?;
    let _worker = worker_id(fields)?;
    let outcome = outcome(fields)?;
    let _elapsed_s = fields.try_get_f64_le()?;
    let client_answered = fields.try_get_u8()? != 0;
    let _note = fields.try_get_u32_le()?;
    let load = load_report(fields, report_fields)?;
    Ok(Event::AttemptEnded(AttemptEnded { request, attempt, outcome, client_answered, load }))
}

/// `NOTE_FROM`: a gossip message from another scheduler.
fn gossip_received(fields: &mut &[u8]) -> Result<Event, RecordError> {
    let from = fields.try_get_u32_le()? as usize;
    let mut bytes = vec![0; usize::from(fields.try_get_u16_le()?)];
    fields.try_copy_to_slice(&mut bytes)?;
    Ok(Event::GossipReceived { from, bytes })
}

/// `CHECK_RESULT`: the result of a health check.
fn probe_ended(fields: &mut &[u8], report_fields: &[LoadReportField]) -> Result<Event, RecordError> {
    let worker = worker_id(fields)?;
    let outcome = outcome(fields)?;
    let _elapsed_s = fields.try_get_f64_le()?;
    Ok(Event::ProbeEnded { worker, outcome, load: load_report(fields, report_fields)? })
}

/// `ACCEPT`: a request from a client.
fn request(fields: &mut &[u8]) -> Result<Request, RecordError> {
    let id = request_id(fields)?;
    let slots = f64::from(fields.try_get_f32_le()?);
    let has_estimate = fields.try_get_u16_le()? & OPTION_HAS_ESTIMATE != 0;
    let tenant = fields.try_get_u32_le()? as usize;
    let affinity_key = Some(fields.try_get_u64_le()?).filter(|key| *key != 0);
    let deadline = fields.try_get_f64_le()?;
    let class = usize::from(fields.try_get_u8()?);
    let estimated_work_s = fields.try_get_f64_le()?;
    let memory = f64::from(fields.try_get_f32_le()?);
    let estimated_work_s = if has_estimate { Some(estimated_work_s) } else { None };
    Ok(Request { id, class, tenant, deadline, slots, memory, estimated_work_s, affinity_key })
}

/// One entry of a worker list.
fn worker_info(fields: &mut &[u8]) -> Result<WorkerInfo, RecordError> {
    let state = match fields.try_get_u8()? {
        0 => WorkerState::Gone,
        1 => WorkerState::Ready,
        2 => WorkerState::Draining,
        other => return Err(RecordError::UnknownValue { field: "stage_state", value: other.into() }),
    };
    let cell = fields.try_get_u16_le()?;
    let zone = fields.try_get_u16_le()?;
    let started_at_s = fields.try_get_f64_le()?;
    let weight = f64::from(fields.try_get_f32_le()?);
    let kind = usize::from(fields.try_get_u8()?);
    let id = worker_id(fields)?;
    Ok(WorkerInfo { id, stable_id: id.0, state, zone, cell, kind, started_at_s, weight })
}

fn request_id(fields: &mut &[u8]) -> Result<RequestId, RecordError> {
    Ok(RequestId(fields.try_get_u32_le()?))
}

fn attempt_number(fields: &mut &[u8]) -> Result<usize, RecordError> {
    Ok(usize::from(fields.try_get_u8()?))
}

/// Decodes a worker ID: the IPv4 address in network byte order, then the port.
fn worker_id(fields: &mut &[u8]) -> Result<WorkerId, RecordError> {
    let address = fields.try_get_u32()?;
    let port = fields.try_get_u16_le()?;
    Ok(WorkerId(u64::from(address) << 16 | u64::from(port)))
}

fn list_number(fields: &mut &[u8]) -> Result<u8, RecordError> {
    let number = fields.try_get_u8()?;
    if number > MAX_LIST_NUMBER {
        return Err(RecordError::ListNumberTooLarge(number));
    }
    Ok(number)
}

fn outcome(fields: &mut &[u8]) -> Result<AttemptOutcome, RecordError> {
    match fields.try_get_u16_le()? {
        0 => Ok(AttemptOutcome::Succeeded),
        1 => Ok(AttemptOutcome::Failed),
        2 => Ok(AttemptOutcome::RejectedByWorker),
        3 => Ok(AttemptOutcome::TimedOut),
        4 => Ok(AttemptOutcome::ConnectFailed),
        5 => Ok(AttemptOutcome::ConnectionReset),
        6 => Ok(AttemptOutcome::Cancelled),
        7 => Ok(AttemptOutcome::NotSent),
        other => Err(RecordError::UnknownValue { field: "how", value: other.into() }),
    }
}

fn load_report(fields: &mut &[u8], report_fields: &[LoadReportField]) -> Result<LoadReport, RecordError> {
    let mut report = LoadReport::default();
    let count = fields.try_get_u8()?;
    for position in 0..usize::from(count) {
        let value = f64::from(fields.try_get_f32_le()?);
        let field = report_fields.get(position).copied().unwrap_or(LoadReportField::Other);
        report.set(field, value);
    }
    Ok(report)
}
