//! Reads the fields of incoming records into the decisions' types.

use bytes::Buf;

use super::IncomingRecord;
use crate::scheduling::{
    AttemptEnded, AttemptOutcome, Event, LoadReport, LoadReportField, Request, RequestId, WorkerId,
    WorkerInfo, WorkerState,
};
use crate::simulator::error::{too_short, RecordError};

/// Bytes of one entry of a worker list.
const LIST_ENTRY_BYTES: usize = 24;
/// The highest number that a worker list may have.
const MAX_LIST_NUMBER: u8 = 15;
/// The bit of a request's options that says that its estimate of work is valid.
const OPTION_HAS_ESTIMATE: u16 = 1;

/// What a `VIEW` says.
pub(in crate::simulator) enum ListNotice {
    /// The list changed; the entries are those of the list of this number.
    Update { list: u8, complete: bool, cached: bool },
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed,
}

/// What an `ENLIST` says.
pub(in crate::simulator) struct InstanceStart<'a> {
    pub(in crate::simulator) seed: u64,
    /// Lines of `path=value`.
    pub(in crate::simulator) settings: &'a str,
}

/// The number of the instance that the next records are for: `ON`.
pub(in crate::simulator) fn instance_number(fields: &mut &[u8]) -> Result<u16, RecordError> {
    Ok(fields.try_get_u16_le()?)
}

/// A worker list and its number: `DEFINE_LIST`.
pub(in crate::simulator) fn worker_list(fields: &mut &[u8]) -> Result<(u8, Vec<WorkerInfo>), RecordError> {
    let number = list_number(fields)?;
    let count = fields.try_get_u32_le()?;
    // The count is checked by reading; it alone must not make this side allocate.
    let most_entries = fields.remaining() / LIST_ENTRY_BYTES;
    let mut entries = Vec::with_capacity(most_entries.min(count as usize));
    for _ in 0..count {
        entries.push(worker_info(fields)?);
    }
    Ok((number, entries))
}

/// A new instance: `ENLIST`.
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

/// What discovery says: `VIEW`.
pub(in crate::simulator) fn list_notice(fields: &mut &[u8]) -> Result<ListNotice, RecordError> {
    let form = fields.try_get_u8()?;
    let _version = fields.try_get_u64_le()?;
    let list = list_number(fields)?;
    match form {
        0 => Ok(ListNotice::Update { list, complete: false, cached: false }),
        1 => Ok(ListNotice::Update { list, complete: true, cached: false }),
        2 => Ok(ListNotice::Update { list, complete: true, cached: true }),
        3 => Ok(ListNotice::DiscoveryFailed),
        other => Err(RecordError::UnknownValue { field: "form", value: other.into() }),
    }
}

/// The event of a record that is for the decisions alone; `None` where it asks for no decision.
///
/// `report_fields` says what the values of a load report mean, in their order.
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
        | IncomingRecord::DefineList => Ok(None), // the host's own
    }
}

/// `HEARTBEAT`: an attempt has begun to run, or how far it is.
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

/// `HEAD_RECEIVED`: the response to an attempt has begun.
fn response_started(fields: &mut &[u8]) -> Result<Event, RecordError> {
    let request = request_id(fields)?;
    let _since_sent_s = fields.try_get_f64_le()?;
    let _worker = worker_id(fields)?;
    Ok(Event::ResponseStarted { request, attempt: attempt_number(fields)? })
}

/// `COMPLETED`: how an attempt ended.
fn attempt_ended(fields: &mut &[u8], report_fields: &[LoadReportField]) -> Result<Event, RecordError> {
    let request = request_id(fields)?;
    let attempt = attempt_number(fields)?;
    let _worker = worker_id(fields)?;
    let outcome = outcome(fields)?;
    let _since_sent_s = fields.try_get_f64_le()?;
    let client_answered = fields.try_get_u8()? != 0;
    let _note = fields.try_get_u32_le()?;
    let load = load_report(fields, report_fields)?;
    Ok(Event::AttemptEnded(AttemptEnded { request, attempt, outcome, client_answered, load }))
}

/// `NOTE_FROM`: a gossip message of another scheduler.
fn gossip_received(fields: &mut &[u8]) -> Result<Event, RecordError> {
    let from = fields.try_get_u32_le()? as usize;
    let mut bytes = vec![0; usize::from(fields.try_get_u16_le()?)];
    fields.try_copy_to_slice(&mut bytes)?;
    Ok(Event::GossipReceived { from, bytes })
}

/// `CHECK_RESULT`: the answer to a probe.
fn probe_ended(fields: &mut &[u8], report_fields: &[LoadReportField]) -> Result<Event, RecordError> {
    let worker = worker_id(fields)?;
    let outcome = outcome(fields)?;
    let _since_sent_s = fields.try_get_f64_le()?;
    Ok(Event::ProbeEnded { worker, outcome, load: load_report(fields, report_fields)? })
}

/// `ACCEPT`: a client's request.
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

/// A worker is its address, first byte first, and its port.
fn worker_id(fields: &mut &[u8]) -> Result<WorkerId, RecordError> {
    let address = fields.try_get_u32()?;
    let port = fields.try_get_u16_le()?;
    Ok(WorkerId(u64::from(address) << 16 | u64::from(port)))
}

fn list_number(fields: &mut &[u8]) -> Result<u8, RecordError> {
    let number = fields.try_get_u8()?;
    if number > MAX_LIST_NUMBER {
        return Err(RecordError::ListNumber(number));
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
