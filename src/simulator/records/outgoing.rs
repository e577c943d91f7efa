//! Encodes scheduling actions as records.

use bytes::BufMut;

use super::OutgoingRecord;
use crate::scheduling::{Action, WorkerId};

/// Size of a length field.
const LENGTH_BYTES: usize = 4;
/// Recipient value that addresses all other schedulers.
const ALL_SCHEDULERS: u32 = u32::MAX;

/// Appends the record that assigns the following actions to this instance.
pub(in crate::simulator) fn put_instance(reply: &mut Vec<u8>, instance: u16) {
    put_record(reply, OutgoingRecord::SelectInstance, |fields| fields.put_u16_le(instance));
}

/// Appends an action.
pub(in crate::simulator) fn put_action(reply: &mut Vec<u8>, action: &Action) {
    match *action {
        Action::Dispatch { request, worker } => put_record(reply, OutgoingRecord::Dispatch, |fields| {
            fields.put_u32_le(request.0);
            put_worker(fields, worker);
            fields.put_f64_le(0.0); // no separate timeout: the request's deadline applies
        }),
        Action::Reject { request, retry_after_s } => put_record(reply, OutgoingRecord::Reject, |fields| {
            fields.put_u32_le(request.0);
            fields.put_f64_le(retry_after_s);
        }),
        Action::Fail(request) => {
            put_record(reply, OutgoingRecord::Fail, |fields| fields.put_u32_le(request.0));
        }
        Action::Cancel { request, attempt } => put_record(reply, OutgoingRecord::Cancel, |fields| {
            fields.put_u32_le(request.0);
            fields.put_u8(attempt as u8);
        }),
        Action::SetTimer { after_s, tag } => put_record(reply, OutgoingRecord::SetTimer, |fields| {
            fields.put_f64_le(after_s);
            fields.put_u64_le(tag);
        }),
        Action::Probe(worker) => {
            put_record(reply, OutgoingRecord::Probe, |fields| put_worker(fields, worker));
        }
        Action::BroadcastGossip(ref bytes) => put_record(reply, OutgoingRecord::BroadcastGossip, |fields| {
            fields.put_u32_le(ALL_SCHEDULERS);
            fields.put_u16_le(bytes.len() as u16);
            fields.put_slice(bytes);
        }),
        Action::WatchEndpointList => {
            put_record(reply, OutgoingRecord::WatchEndpointList, |fields| fields.put_u8(1));
        }
    }
}

/// Appends a record: the code, the length of the fields, the fields.
fn put_record(reply: &mut Vec<u8>, record: OutgoingRecord, put_fields: impl FnOnce(&mut Vec<u8>)) {
    reply.put_u8(record as u8);
    put_with_length(reply, put_fields);
}

/// Appends the bytes that `put` writes, prefixed with their length.
pub(in crate::simulator) fn put_with_length(reply: &mut Vec<u8>, put: impl FnOnce(&mut Vec<u8>)) {
    let start = reply.len();
    reply.put_u32_le(0);
    put(reply);
    let length = (reply.len() - start - LENGTH_BYTES) as u32;
    reply[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// Encodes a worker ID: the IPv4 address in network byte order, then the port.
fn put_worker(fields: &mut Vec<u8>, worker: WorkerId) {
    fields.put_u32((worker.0 >> 16) as u32);
    fields.put_u16_le(worker.0 as u16);
}
