//! The simulator's wire: frames of little-endian records, to and from the types of [`crate::scheduling`].
//! Holds the instances of one process; it decides nothing.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};

use bytes::{Buf, BufMut};

use crate::config::settings::SettingsError;
use crate::scheduling::Dispatcher;
use crate::scheduling::{
    Action, AttemptEnded, AttemptOutcome, Event, LoadReport, LoadReportField, Request, RequestId, Settings,
    WorkerId, WorkerInfo, WorkerState,
};

/// Why a frame cannot be read. Offsets count from the first byte after the frame's length.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// The input ends inside a frame.
    #[error("frame {frame}: input ends inside the frame")]
    Truncated {
        /// Number of the frame, from 0.
        frame: u64,
    },
    /// A record, or the header, is malformed.
    #[error("frame {frame}, offset {offset}, {record}: {what}")]
    Malformed {
        /// Number of the frame, from 0.
        frame: u64,
        /// Where the record starts.
        offset: usize,
        /// The record's name.
        record: &'static str,
        /// What is wrong.
        what: String,
    },
}

/// What is wrong with one record.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error("the record is shorter than its fields")]
    Short(#[from] bytes::TryGetError),
    #[error("{0} bytes are left over")]
    Long(usize),
    #[error("{0} has no value {1}")]
    Value(&'static str, u64),
    #[error("list {0} is not defined")]
    List(u8),
    #[error("list number {0} is over 15")]
    ListNumber(u8),
    #[error("no instance is set")]
    NoInstance,
    #[error("instance {0} is not enlisted")]
    NotEnlisted(u16),
    #[error("the options are not UTF-8")]
    Text,
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

struct Instance {
    dispatcher: Dispatcher,
    report: Vec<LoadReportField>,
    actions: Vec<Action>,
}

/// The instances of one process and the lists they share on the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u8, Vec<WorkerInfo>>,
    frames: u64,
}

const ENTRY_BYTES: usize = 24;
const RECORD_HEADER_BYTES: usize = 5;
const BATCH_HEADER_BYTES: usize = 12;

fn record_name(code: u8) -> &'static str {
    const NAMES: [&str; 14] = [
        "record 0",
        "HEARTBEAT",
        "LEFT",
        "ON",
        "HEAD_RECEIVED",
        "COMPLETED",
        "NOTE_FROM",
        "DESTROY",
        "ENLIST",
        "ACCEPT",
        "VIEW",
        "DEFINE_LIST",
        "TICK_DUE",
        "CHECK_RESULT",
    ];
    NAMES.get(usize::from(code)).copied().unwrap_or("unknown record")
}

fn worker_id(buf: &mut &[u8]) -> Result<WorkerId, RecordError> {
    let address = buf.try_get_u32()?;
    let port = buf.try_get_u16_le()?;
    Ok(WorkerId(u64::from(address) << 16 | u64::from(port)))
}

fn outcome(buf: &mut &[u8]) -> Result<AttemptOutcome, RecordError> {
    Ok(match buf.try_get_u16_le()? {
        0 => AttemptOutcome::Succeeded,
        1 => AttemptOutcome::Failed,
        2 => AttemptOutcome::RejectedByWorker,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::ConnectionReset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent,
        other => return Err(RecordError::Value("how", other.into())),
    })
}

fn load(buf: &mut &[u8], report: &[LoadReportField]) -> Result<LoadReport, RecordError> {
    let mut load = LoadReport::default();
    for i in 0..buf.try_get_u8()? {
        let value = f64::from(buf.try_get_f32_le()?);
        load.set(report.get(usize::from(i)).copied().unwrap_or(LoadReportField::Other), value);
    }
    Ok(load)
}

fn list_number(buf: &mut &[u8]) -> Result<u8, RecordError> {
    let number = buf.try_get_u8()?;
    if number > 15 {
        return Err(RecordError::ListNumber(number));
    }
    Ok(number)
}

fn entry(buf: &mut &[u8]) -> Result<WorkerInfo, RecordError> {
    let state = match buf.try_get_u8()? {
        0 => WorkerState::Gone,
        1 => WorkerState::Ready,
        2 => WorkerState::Draining,
        other => return Err(RecordError::Value("stage_state", other.into())),
    };
    let cell = buf.try_get_u16_le()?;
    let zone = buf.try_get_u16_le()?;
    let since = buf.try_get_f64_le()?;
    let weight = f64::from(buf.try_get_f32_le()?);
    let kind = usize::from(buf.try_get_u8()?);
    let id = worker_id(buf)?;
    Ok(WorkerInfo { id, stable_id: id.0, state, zone, cell, kind, started_at_s: since, weight })
}

fn request(buf: &mut &[u8]) -> Result<Request, RecordError> {
    let id = RequestId(buf.try_get_u32_le()?);
    let slots = f64::from(buf.try_get_f32_le()?);
    let hinted = buf.try_get_u16_le()? & 1 != 0;
    let tenant = buf.try_get_u32_le()? as usize;
    let object = Some(buf.try_get_u64_le()?).filter(|object| *object != 0);
    let deadline = buf.try_get_f64_le()?;
    let class = usize::from(buf.try_get_u8()?);
    let hint = buf.try_get_f64_le()?;
    let memory = f64::from(buf.try_get_f32_le()?);
    Ok(Request {
        id,
        class,
        tenant,
        deadline,
        slots,
        memory,
        estimated_work_s: hinted.then_some(hint),
        affinity_key: object,
    })
}

/// The event of a record that belongs to an instance; `None` for those that ask for no decision.
fn event(code: u8, buf: &mut &[u8], report: &[LoadReportField]) -> Result<Option<Event>, RecordError> {
    Ok(Some(match code {
        1 => {
            let request = RequestId(buf.try_get_u32_le()?);
            let attempt = usize::from(buf.try_get_u8()?);
            let share = f64::from(buf.try_get_f32_le()?);
            worker_id(buf)?;
            match buf.try_get_u8()? {
                1 => Event::AttemptStarted { request, attempt },
                2 => Event::AttemptProgressed { request, attempt, fraction: share },
                _ => return Ok(None),
            }
        }
        2 => Event::ClientDisconnected(RequestId(buf.try_get_u32_le()?)),
        4 => {
            let request = RequestId(buf.try_get_u32_le()?);
            buf.try_get_f64_le()?;
            worker_id(buf)?;
            Event::ResponseStarted { request, attempt: usize::from(buf.try_get_u8()?) }
        }
        5 => {
            let request = RequestId(buf.try_get_u32_le()?);
            let attempt = usize::from(buf.try_get_u8()?);
            worker_id(buf)?;
            let outcome = outcome(buf)?;
            buf.try_get_f64_le()?;
            let closed = buf.try_get_u8()? != 0;
            buf.try_get_u32_le()?;
            Event::AttemptEnded(AttemptEnded {
                request,
                attempt,
                outcome,
                client_answered: closed,
                load: load(buf, report)?,
            })
        }
        6 => {
            let from = buf.try_get_u32_le()? as usize;
            let mut bytes = vec![0; usize::from(buf.try_get_u16_le()?)];
            buf.try_copy_to_slice(&mut bytes)?;
            Event::GossipReceived { from, bytes }
        }
        9 => Event::RequestReceived(request(buf)?),
        12 => Event::TimerExpired(buf.try_get_u64_le()?),
        13 => {
            let worker = worker_id(buf)?;
            let outcome = outcome(buf)?;
            buf.try_get_f64_le()?;
            Event::ProbeEnded { worker, outcome, load: load(buf, report)? }
        }
        other => return Err(RecordError::Value("the record code", other.into())),
    }))
}

impl Host {
    /// Answers frames from `input` on `output` until the input ends.
    ///
    /// # Errors
    /// Stops at the first frame that cannot be read, before any part of its reply is written.
    pub fn run(&mut self, mut input: impl Read, mut output: impl Write) -> Result<(), WireError> {
        let (mut frame, mut reply) = (Vec::new(), Vec::new());
        loop {
            let mut length = [0; 4];
            let mut got = 0;
            while got < length.len() {
                match input.read(&mut length[got..]) {
                    Ok(0) if got == 0 => return Ok(()),
                    Ok(0) => return Err(WireError::Truncated { frame: self.frames }),
                    Ok(n) => got += n,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) => return Err(e.into()),
                }
            }
            let length = u32::from_le_bytes(length);
            frame.clear();
            if input.by_ref().take(length.into()).read_to_end(&mut frame)? < length as usize {
                return Err(WireError::Truncated { frame: self.frames });
            }
            reply.clear();
            reply.put_u32_le(0);
            self.batch(&frame, &mut reply)?;
            let bytes = (reply.len() - 4) as u32;
            reply[..4].copy_from_slice(&bytes.to_le_bytes());
            output.write_all(&reply)?;
            output.flush()?;
            self.frames += 1;
        }
    }

    /// Hands the records of one frame (without its length) to the instances and appends their actions.
    fn batch(&mut self, frame: &[u8], reply: &mut Vec<u8>) -> Result<(), WireError> {
        let number = self.frames;
        let fail = |offset, record, what: RecordError| WireError::Malformed {
            frame: number,
            offset,
            record,
            what: what.to_string(),
        };
        let mut rest = frame;
        if rest.len() < BATCH_HEADER_BYTES {
            let short = bytes::TryGetError { requested: BATCH_HEADER_BYTES, available: rest.len() };
            return Err(fail(0, "header", short.into()));
        }
        let count = rest.get_u32_le();
        let now = rest.get_f64_le();
        let mut current = None;
        let mut touched = Vec::new();
        for _ in 0..count {
            let offset = frame.len() - rest.len();
            if rest.len() < RECORD_HEADER_BYTES {
                let short = bytes::TryGetError { requested: RECORD_HEADER_BYTES, available: rest.len() };
                return Err(fail(offset, "record header", short.into()));
            }
            let code = rest.get_u8();
            let bytes = rest.get_u32_le() as usize;
            if bytes > rest.len() {
                let short = bytes::TryGetError { requested: bytes, available: rest.len() };
                return Err(fail(offset, record_name(code), short.into()));
            }
            let (mut fields, after) = rest.split_at(bytes);
            rest = after;
            self.record(code, &mut fields, now, &mut current, &mut touched)
                .map_err(|what| fail(offset, record_name(code), what))?;
            if !fields.is_empty() {
                return Err(fail(offset, record_name(code), RecordError::Long(fields.len())));
            }
        }
        if !rest.is_empty() {
            let left = RecordError::Long(rest.len());
            return Err(fail(frame.len() - rest.len(), "end of the frame", left));
        }
        for index in touched {
            if let Some(instance) = self.instances.get_mut(&index) {
                if instance.actions.is_empty() {
                    continue;
                }
                put_record(reply, 13, |r| r.put_u16_le(index));
                instance.actions.drain(..).for_each(|action| put_action(reply, &action));
            }
        }
        Ok(())
    }

    fn record(
        &mut self,
        code: u8,
        buf: &mut &[u8],
        now: f64,
        current: &mut Option<u16>,
        touched: &mut Vec<u16>,
    ) -> Result<(), RecordError> {
        if code == 3 {
            *current = Some(buf.try_get_u16_le()?);
            return Ok(());
        }
        if code == 11 {
            let number = list_number(buf)?;
            let count = buf.try_get_u32_le()?;
            let room = buf.remaining() / ENTRY_BYTES;
            let mut entries = Vec::with_capacity(room.min(count as usize));
            for _ in 0..count {
                entries.push(entry(buf)?);
            }
            self.lists.insert(number, entries);
            return Ok(());
        }
        let index = current.ok_or(RecordError::NoInstance)?;
        if code == 8 {
            let seed = buf.try_get_u64_le()?;
            let bytes = buf.try_get_u32_le()? as usize;
            if bytes > buf.remaining() {
                return Err(RecordError::Short(bytes::TryGetError {
                    requested: bytes,
                    available: buf.remaining(),
                }));
            }
            let (text, after) = buf.split_at(bytes);
            *buf = after;
            let settings: Settings = std::str::from_utf8(text).map_err(|_| RecordError::Text)?.parse()?;
            let report = settings.load_report_fields.clone();
            let dispatcher = Dispatcher::new(settings, seed);
            self.instances.insert(index, Instance { dispatcher, report, actions: Vec::new() });
            if !touched.contains(&index) {
                touched.push(index);
            }
            return Ok(());
        }
        let instance = self.instances.get_mut(&index).ok_or(RecordError::NotEnlisted(index))?;
        let event = match code {
            7 => {
                self.instances.remove(&index);
                return Ok(());
            }
            10 => {
                let form = buf.try_get_u8()?;
                buf.try_get_u64_le()?;
                let page = list_number(buf)?;
                match form {
                    0..=2 => {
                        let entries = self.lists.get(&page).ok_or(RecordError::List(page))?.clone();
                        Some(Event::WorkersListed {
                            complete_snapshot: form != 0,
                            from_cache: form == 2,
                            entries,
                        })
                    }
                    3 => Some(Event::DiscoveryFailed),
                    other => return Err(RecordError::Value("form", other.into())),
                }
            }
            _ => event(code, buf, &instance.report)?,
        };
        if !touched.contains(&index) {
            touched.push(index);
        }
        if let Some(event) = event {
            instance.dispatcher.handle(now, event, &mut instance.actions);
        }
        Ok(())
    }
}

fn put_record(reply: &mut Vec<u8>, code: u8, fields: impl FnOnce(&mut Vec<u8>)) {
    reply.put_u8(code);
    let at = reply.len();
    reply.put_u32_le(0);
    fields(reply);
    let bytes = (reply.len() - at - 4) as u32;
    reply[at..at + 4].copy_from_slice(&bytes.to_le_bytes());
}

fn put_worker(reply: &mut Vec<u8>, worker: WorkerId) {
    reply.put_u32((worker.0 >> 16) as u32);
    reply.put_u16_le(worker.0 as u16);
}

fn put_action(reply: &mut Vec<u8>, action: &Action) {
    match *action {
        Action::Dispatch { request, worker } => put_record(reply, 1, |r| {
            r.put_u32_le(request.0);
            put_worker(r, worker);
            r.put_f64_le(0.0);
        }),
        Action::Reject { request, retry_after_s: hold_off_s } => put_record(reply, 2, |r| {
            r.put_u32_le(request.0);
            r.put_f64_le(hold_off_s);
        }),
        Action::Fail(request) => put_record(reply, 3, |r| r.put_u32_le(request.0)),
        Action::Cancel { request, attempt } => put_record(reply, 4, |r| {
            r.put_u32_le(request.0);
            r.put_u8(attempt as u8);
        }),
        Action::SetTimer { after_s, tag } => put_record(reply, 5, |r| {
            r.put_f64_le(after_s);
            r.put_u64_le(tag);
        }),
        Action::Probe(worker) => put_record(reply, 6, |r| put_worker(r, worker)),
        Action::BroadcastGossip(ref bytes) => put_record(reply, 8, |r| {
            r.put_u32_le(u32::MAX);
            r.put_u16_le(bytes.len() as u16);
            r.put_slice(bytes);
        }),
        Action::WatchEndpointList => put_record(reply, 11, |r| r.put_u8(1)),
    }
}
