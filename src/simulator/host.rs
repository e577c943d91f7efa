//! Runs the schedulers of one process: passes each record to its scheduler and collects the resulting actions.

use std::collections::BTreeMap;
use std::io::{Read, Write};

use super::error::{RecordError, WireError};
use super::frame::{read_frame, FrameError, FrameReader};
use super::records::incoming::{self, EndpointListUpdate};
use super::records::{outgoing, IncomingRecord};
use crate::scheduling::Dispatcher;
use crate::scheduling::{Action, Event, LoadReportField, Settings, WorkerInfo};

/// One scheduler.
struct Instance {
    dispatcher: Dispatcher,
    /// The meaning of each value of a load report, by position.
    report_fields: Vec<LoadReportField>,
    /// Actions emitted in the current frame.
    actions: Vec<Action>,
}

/// All instances of the process, and the worker lists that the simulator defines once for all of them. The instances
/// share nothing else.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    worker_lists: BTreeMap<u8, Vec<WorkerInfo>>,
    frames_answered: u64,
}

/// State of the frame being handled.
#[derive(Default)]
struct Batch {
    /// Time of all events in the frame, in seconds.
    now_s: f64,
    /// The instance to which the following records apply.
    selected: Option<u16>,
    /// Instances that may have emitted actions, in the order of their first event.
    touched: Vec<u16>,
}

impl Batch {
    fn touch(&mut self, index: u16) {
        if !self.touched.contains(&index) {
            self.touched.push(index);
        }
    }
}

impl Host {
    /// Reads frames from `input` and writes a reply to each to `output`, until the input ends.
    ///
    /// # Errors
    /// Stops at the first malformed frame, without writing any part of its reply.
    pub fn run(&mut self, mut input: impl Read, mut output: impl Write) -> Result<(), WireError> {
        let (mut frame, mut reply) = (Vec::new(), Vec::new());
        while read_frame(&mut input, &mut frame, self.frames_answered)? {
            let actions = self.handle_frame(&frame).map_err(|error| error.in_frame(self.frames_answered))?;
            reply.clear();
            outgoing::put_with_length(&mut reply, |reply| reply.extend_from_slice(&actions));
            output.write_all(&reply)?;
            output.flush()?;
            self.frames_answered += 1;
        }
        Ok(())
    }

    /// Handles the records of one frame (without its length prefix). Returns the resulting actions as records.
    fn handle_frame(&mut self, frame: &[u8]) -> Result<Vec<u8>, FrameError> {
        let mut records = FrameReader::new(frame)?;
        let mut batch = Batch { now_s: records.now_s, ..Batch::default() };
        while let Some(record) = records.next_record()? {
            let mut fields = record.fields;
            let handled = self.handle_record(record.code, &mut fields, &mut batch);
            handled.map_err(|error| record.error(error))?;
            if !fields.is_empty() {
                return Err(record.error(RecordError::TooLong(fields.len())));
            }
        }
        Ok(self.take_actions(&batch.touched))
    }

    /// Removes the actions of these instances and encodes them as records.
    fn take_actions(&mut self, touched: &[u16]) -> Vec<u8> {
        let mut reply = Vec::new();
        for index in touched {
            let Some(instance) = self.instances.get_mut(index) else { continue };
            if instance.actions.is_empty() {
                continue;
            }
            outgoing::put_instance(&mut reply, *index);
            for action in instance.actions.drain(..) {
                outgoing::put_action(&mut reply, &action);
            }
        }
        reply
    }

    /// Handles one record. Checks first for records that apply to the whole process, then for those that start an
    /// instance. All others need a running instance.
    fn handle_record(&mut self, code: u8, fields: &mut &[u8], batch: &mut Batch) -> Result<(), RecordError> {
        let record = IncomingRecord::from_code(code);
        if record == Some(IncomingRecord::SelectInstance) {
            batch.selected = Some(incoming::instance_number(fields)?);
            return Ok(());
        }
        if record == Some(IncomingRecord::DefineList) {
            let (number, entries) = incoming::worker_list(fields)?;
            self.worker_lists.insert(number, entries);
            return Ok(());
        }
        let index = batch.selected.ok_or(RecordError::NoInstanceSelected)?;
        if record == Some(IncomingRecord::StartInstance) {
            self.start_instance(index, fields)?;
            batch.touch(index);
            return Ok(());
        }
        if !self.instances.contains_key(&index) {
            return Err(RecordError::InstanceNotRunning(index));
        }
        let Some(record) = record else {
            return Err(RecordError::UnknownValue { field: "the record code", value: code.into() });
        };
        if record == IncomingRecord::StopInstance {
            self.instances.remove(&index);
            return Ok(());
        }
        let event = self.event(record, index, fields)?;
        batch.touch(index);
        if let (Some(instance), Some(event)) = (self.instances.get_mut(&index), event) {
            instance.dispatcher.handle(batch.now_s, event, &mut instance.actions);
        }
        Ok(())
    }

    /// Starts an instance, replacing any instance with the same number.
    fn start_instance(&mut self, index: u16, fields: &mut &[u8]) -> Result<(), RecordError> {
        let start = incoming::instance_start(fields)?;
        let settings: Settings = start.settings.parse()?;
        let report_fields = settings.load_report_fields.clone();
        let dispatcher = Dispatcher::new(settings, start.seed);
        self.instances.insert(index, Instance { dispatcher, report_fields, actions: Vec::new() });
        Ok(())
    }

    /// Converts a record for a running instance to an event, or `None` if scheduling does not need it.
    fn event(
        &self,
        record: IncomingRecord,
        index: u16,
        fields: &mut &[u8],
    ) -> Result<Option<Event>, RecordError> {
        if record == IncomingRecord::EndpointList {
            return match incoming::endpoint_list_update(fields)? {
                EndpointListUpdate::DiscoveryFailed => Ok(Some(Event::DiscoveryFailed)),
                EndpointListUpdate::Changed { list, complete, cached } => {
                    let entries = self.worker_lists.get(&list).ok_or(RecordError::UndefinedList(list))?;
                    Ok(Some(Event::WorkersListed {
                        complete_snapshot: complete,
                        from_cache: cached,
                        entries: entries.clone(),
                    }))
                }
            };
        }
        let instance = self.instances.get(&index).ok_or(RecordError::InstanceNotRunning(index))?;
        incoming::event(record, fields, &instance.report_fields)
    }
}
