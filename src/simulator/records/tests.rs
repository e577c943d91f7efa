//! Encoding and decoding of each record, with the example bytes of the protocol specification where it has some.

use super::incoming::{self, EndpointListUpdate};
use super::{outgoing, record_name, IncomingRecord};
use crate::scheduling::*;
use crate::simulator::error::RecordError;

const WORKER: WorkerId = WorkerId(0x0a12_4a07_1f43);
const OTHER_WORKER: WorkerId = WorkerId(0x0a90_11f2_1f6c);
const REQUEST: RequestId = RequestId(0x5d3a_91c4);
const REPORT_FIELDS: [LoadReportField; 4] =
    [LoadReportField::Other, LoadReportField::Other, LoadReportField::Queue, LoadReportField::FreeSlots];

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn f64_of(hex: &str) -> f64 {
    f64::from_le_bytes(bytes(hex).try_into().unwrap())
}

fn event(record: IncomingRecord, hex: &str) -> Option<Event> {
    let fields = bytes(hex);
    let mut rest = fields.as_slice();
    let event = incoming::event(record, &mut rest, &REPORT_FIELDS).unwrap();
    assert!(rest.is_empty(), "{record:?}: {} bytes not decoded", rest.len());
    event
}

#[test]
fn maps_codes_to_incoming_records() {
    for (code, name, record) in [
        (1, "HEARTBEAT", IncomingRecord::AttemptNotice),
        (2, "LEFT", IncomingRecord::ClientDisconnected),
        (3, "ON", IncomingRecord::SelectInstance),
        (4, "HEAD_RECEIVED", IncomingRecord::ResponseStarted),
        (5, "COMPLETED", IncomingRecord::AttemptEnded),
        (6, "NOTE_FROM", IncomingRecord::GossipReceived),
        (7, "DESTROY", IncomingRecord::StopInstance),
        (8, "ENLIST", IncomingRecord::StartInstance),
        (9, "ACCEPT", IncomingRecord::RequestReceived),
        (10, "VIEW", IncomingRecord::EndpointList),
        (11, "DEFINE_LIST", IncomingRecord::DefineList),
        (12, "TICK_DUE", IncomingRecord::TimerExpired),
        (13, "CHECK_RESULT", IncomingRecord::ProbeEnded),
    ] {
        assert_eq!((IncomingRecord::from_code(code), record_name(code)), (Some(record), name));
    }
    assert_eq!((IncomingRecord::from_code(14), record_name(14)), (None, "unknown record"));
}

#[test]
fn decodes_every_field_of_an_event() {
    let request = Request {
        id: REQUEST,
        class: 0,
        tenant: 0,
        deadline: f64_of("cba145b6f34d2140"),
        slots: 2.0,
        memory: 0.0,
        estimated_work_s: Some(f64_of("fa7e6abc7493883f")),
        affinity_key: Some(0x91f0_3b7c_55d2_0a64),
    };
    let accept =
        "c4913a5d 00000040 0100 00000000 640ad2557c3bf091 cba145b6f34d2140 00 fa7e6abc7493883f 00000000";
    assert_eq!(event(IncomingRecord::RequestReceived, accept), Some(Event::RequestReceived(request)));
    let started = Event::AttemptStarted { request: REQUEST, attempt: 0 };
    let notice = "c4913a5d 00 0000003f 0a124a07 431f";
    assert_eq!(event(IncomingRecord::AttemptNotice, &format!("{notice} 01")), Some(started));
    let progressed = Event::AttemptProgressed { request: REQUEST, attempt: 0, fraction: 0.5 };
    assert_eq!(event(IncomingRecord::AttemptNotice, &format!("{notice} 02")), Some(progressed));
    assert_eq!(event(IncomingRecord::AttemptNotice, &format!("{notice} 03")), None);
    let head = event(IncomingRecord::ResponseStarted, "c4913a5d 8b6ce7fba9f1823f 0a124a07 431f 02");
    assert_eq!(head, Some(Event::ResponseStarted { request: REQUEST, attempt: 2 }));
    let gossip = event(IncomingRecord::GossipReceived, "02000000 0400 68692037");
    assert_eq!(gossip, Some(Event::GossipReceived { from: 2, bytes: b"hi 7".to_vec() }));
    let left = event(IncomingRecord::ClientDisconnected, "192b6f0e");
    assert_eq!(left, Some(Event::ClientDisconnected(RequestId(0x0e6f_2b19))));
    assert_eq!(event(IncomingRecord::TimerExpired, "4d00000000000000"), Some(Event::TimerExpired(0x4d)));
    let load = LoadReport {
        queue_length: Some(2.25),
        free_slots: Some(f64::from(0.4_f32)),
        ..LoadReport::default()
    };
    let usage = "04 0000003f 00006841 00001040 cdcccc3e";
    let ended = AttemptEnded {
        request: REQUEST,
        attempt: 1,
        outcome: AttemptOutcome::Succeeded,
        client_answered: true,
        load,
    };
    let completed = format!("c4913a5d 01 0a124a07 431f 0000 8b6ce7fba9f1923f 01 00000000 {usage}");
    assert_eq!(event(IncomingRecord::AttemptEnded, &completed), Some(Event::AttemptEnded(ended)));
    let probed = format!("0a9011f2 6c1f 0300 c7bab88d06f0563f {usage}");
    let ended = Event::ProbeEnded { worker: OTHER_WORKER, outcome: AttemptOutcome::TimedOut, load };
    assert_eq!(event(IncomingRecord::ProbeEnded, &probed), Some(ended));
}

#[test]
fn decodes_every_outcome() {
    for (code, outcome) in [
        (0, AttemptOutcome::Succeeded),
        (1, AttemptOutcome::Failed),
        (2, AttemptOutcome::RejectedByWorker),
        (3, AttemptOutcome::TimedOut),
        (4, AttemptOutcome::ConnectFailed),
        (5, AttemptOutcome::ConnectionReset),
        (6, AttemptOutcome::Cancelled),
        (7, AttemptOutcome::NotSent),
    ] {
        let probed =
            event(IncomingRecord::ProbeEnded, &format!("0a124a07 431f {code:02x}00 0000000000000000 00"));
        let ended = Event::ProbeEnded { worker: WORKER, outcome, load: LoadReport::default() };
        assert_eq!(probed, Some(ended));
    }
}

#[test]
fn decodes_every_field_of_a_worker_list() {
    let fields = bytes(
        "07 03000000
         01 0000 0000 0000000000000000 0000803f 00 0a124a07 431f
         02 0500 0100 6666666666661840 0000c03f 02 0a9011f2 6c1f
         00 0000 0000 0000000000000000 0000803f 00 0a124a07 431f",
    );
    let mut rest = fields.as_slice();
    let (number, entries) = incoming::worker_list(&mut rest).unwrap();
    assert!(rest.is_empty());
    let first = WorkerInfo {
        id: WORKER,
        stable_id: WORKER.0,
        state: WorkerState::Ready,
        zone: 0,
        cell: 0,
        kind: 0,
        started_at_s: 0.0,
        weight: 1.0,
    };
    let second = WorkerInfo {
        id: OTHER_WORKER,
        stable_id: OTHER_WORKER.0,
        state: WorkerState::Draining,
        zone: 1,
        cell: 5,
        kind: 2,
        started_at_s: 6.1,
        weight: 1.5,
    };
    let third = WorkerInfo { state: WorkerState::Gone, ..first.clone() };
    assert_eq!((number, entries), (7, vec![first, second, third]));
}

#[test]
fn decodes_every_form_of_an_endpoint_list_update() {
    let decode = |form: u8| {
        let fields = bytes(&format!("{form:02x} 2900000000000000 04"));
        match incoming::endpoint_list_update(&mut fields.as_slice()) {
            Ok(EndpointListUpdate::Changed { list, complete, cached }) => Ok((list, complete, cached)),
            Ok(EndpointListUpdate::DiscoveryFailed) => Err(None),
            Err(RecordError::UnknownValue { field, value }) => Err(Some((field, value))),
            Err(other) => panic!("{other}"),
        }
    };
    assert_eq!(decode(0), Ok((4, false, false)), "a change");
    assert_eq!(decode(1), Ok((4, true, false)), "a complete snapshot");
    assert_eq!(decode(2), Ok((4, true, true)), "a cached complete snapshot");
    assert_eq!(decode(3), Err(None), "discovery failed");
    assert_eq!(decode(4), Err(Some(("form", 4))));
}

#[test]
fn decodes_the_seed_and_settings_of_a_new_instance() {
    let fields = bytes("0900000000000000 03000000 613d62");
    let mut rest = fields.as_slice();
    let start = incoming::instance_start(&mut rest).unwrap();
    assert_eq!((start.seed, start.settings, rest.len()), (9, "a=b", 0));
}

#[test]
fn encodes_every_action() {
    let actions = [
        (
            Action::Dispatch { request: REQUEST, worker: WORKER },
            "01 12000000 c4913a5d 0a124a07 431f 0000000000000000",
        ),
        (Action::Reject { request: REQUEST, retry_after_s: 0.5 }, "02 0c000000 c4913a5d 000000000000e03f"),
        (Action::Fail(REQUEST), "03 04000000 c4913a5d"),
        (Action::Cancel { request: REQUEST, attempt: 1 }, "04 05000000 c4913a5d 01"),
        (Action::SetTimer { after_s: 0.5, tag: 0x4d }, "05 10000000 000000000000e03f 4d00000000000000"),
        (Action::Probe(OTHER_WORKER), "06 06000000 0a9011f2 6c1f"),
        (Action::BroadcastGossip(b"hi 7".to_vec()), "08 0a000000 ffffffff 0400 68692037"),
        (Action::WatchEndpointList, "0b 01000000 01"),
    ];
    for (action, expected) in actions {
        let mut reply = Vec::new();
        outgoing::put_action(&mut reply, &action);
        assert_eq!(reply, bytes(expected), "{action:?}");
    }
    let mut reply = Vec::new();
    outgoing::put_instance(&mut reply, 3);
    assert_eq!(reply, bytes("0d 02000000 0300"));
}
