//! The simulator's protocol, tested through `Host`: byte-exact replies, and errors for malformed frames.

use std::fmt::Write as _;

use chutesaddle::simulator::Host;

const SETTINGS: &str = "balancers=1\ntick_s=0.004\ngrades.count=1\ngrades.0.effect=repeatable\n\
    grades.0.slo_s=0.5\ngrades.0.deadline_s=5.0\nspecifics.tells_start=true\nallowed.send_cap=2\nkinds=a\n";

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let fields = fields.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = [&(records.len() as u32).to_le_bytes()[..], &now.to_le_bytes(), &records.concat()].concat();
    [&(body.len() as u32).to_le_bytes()[..], &body].concat()
}

fn select_instance(instance: u16) -> Vec<u8> {
    record(3, &[&instance.to_le_bytes()])
}

fn start_instance(settings: &str) -> Vec<u8> {
    record(8, &[&9u64.to_le_bytes(), &(settings.len() as u32).to_le_bytes(), settings.as_bytes()])
}

const WORKER: [u8; 6] = [10, 0, 0, 1, 0x40, 0x1f];

fn worker_list(number: u8) -> Vec<u8> {
    let started_at_s = 0f64.to_le_bytes();
    let weight = 1f32.to_le_bytes();
    let entry: [&[u8]; 7] = [&[1], &[0, 0], &[0, 0], &started_at_s, &weight, &[0], &WORKER];
    record(11, &[&[number], &1u32.to_le_bytes(), &entry.concat()])
}

fn endpoint_list_update(form: u8, list: u8) -> Vec<u8> {
    record(10, &[&[form], &1u64.to_le_bytes(), &[list]])
}

fn request_received(id: u32, deadline: f64) -> Vec<u8> {
    let (slots, memory, estimated_work_s) = (1f32.to_le_bytes(), 0f32.to_le_bytes(), 0.2f64.to_le_bytes());
    let (affinity_key, tenant) = ([0; 8], [0; 4]);
    record(
        9,
        &[
            &id.to_le_bytes(),
            &slots,
            &[1, 0],
            &tenant,
            &affinity_key,
            &deadline.to_le_bytes(),
            &[0],
            &estimated_work_s,
            &memory,
        ],
    )
}

fn timer_expired(tag: u64) -> Vec<u8> {
    record(12, &[&tag.to_le_bytes()])
}

fn valid_frames() -> Vec<Vec<u8>> {
    vec![
        frame(1.0, &[]),
        frame(
            1.0,
            &[select_instance(3), start_instance(SETTINGS), worker_list(2), endpoint_list_update(2, 2)],
        ),
        frame(2.0, &[select_instance(3), request_received(77, 7.0)]),
        frame(2.1, &[select_instance(3), timer_expired(0)]),
    ]
}

fn run(frames: &[Vec<u8>]) -> (Vec<u8>, Option<String>) {
    let mut out = Vec::new();
    let error = Host::default().run(frames.concat().as_slice(), &mut out).err();
    (out, error.map(|e| e.to_string()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

#[test]
fn routes_a_request_with_byte_exact_replies() {
    let (out, error) = run(&valid_frames());
    assert_eq!(error, None);
    let select = "0d02000000".to_owned() + "0300";
    let timer =
        |wait: f64, tag: u64| format!("0510000000{}{}", hex(&wait.to_le_bytes()), hex(&tag.to_le_bytes()));
    let accepted =
        [select.clone(), timer(4.992, (1 << 32) + 77), timer(0.06 * 0.5, 0), timer(0.1, 1)].concat();
    let route =
        [select, "0112000000".into(), "4d000000".into(), hex(&WORKER), "0000000000000000".into()].concat();
    let framed = |body: &str| format!("{}{body}", hex(&(body.len() as u32 / 2).to_le_bytes()));
    assert_eq!(hex(&out), ["00000000", "00000000", &framed(&accepted), &framed(&route)].concat());
}

#[test]
fn accepts_all_other_records() {
    let zero = [0u8; 8];
    let progress = record(1, &[&77u32.to_le_bytes(), &[0], &0.5f32.to_le_bytes(), &WORKER, &[2]]);
    let response_started = record(4, &[&77u32.to_le_bytes(), &zero, &WORKER, &[0]]);
    let ended =
        record(5, &[&77u32.to_le_bytes(), &[0], &WORKER, &[0, 0], &zero, &[1], &[0; 4], &[1, 0, 0, 0, 0]]);
    let gossip = record(6, &[&[0; 4], &[2, 0], b"hi"]);
    let probed = record(13, &[&WORKER, &[0, 0], &zero, &[0]]);
    let disconnected = record(2, &[&77u32.to_le_bytes()]);
    let stop = record(7, &[]);
    let mut frames = valid_frames();
    frames.push(frame(
        3.0,
        &[
            select_instance(3),
            progress,
            response_started,
            ended,
            gossip,
            probed,
            disconnected,
            endpoint_list_update(3, 0),
            stop,
        ],
    ));
    assert_eq!(run(&frames).1, None);
}

#[test]
fn reports_frame_offset_and_record_of_malformed_input() {
    let mut overlong = timer_expired(5);
    overlong[1] += 1;
    overlong.push(0);
    let cases = [
        (frame(1.0, &[timer_expired(0)]), "TICK_DUE: no instance selected by an earlier ON record"),
        (frame(1.0, &[select_instance(4), timer_expired(0)]), "TICK_DUE: instance 4 is not running"),
        (frame(1.0, &[select_instance(3), endpoint_list_update(1, 9)]), "VIEW: worker list 9 is not defined"),
        (
            frame(1.0, &[select_instance(3), worker_list(16)]),
            "DEFINE_LIST: worker list number 16 exceeds the maximum of 15",
        ),
        (frame(1.0, &[select_instance(3), endpoint_list_update(8, 2)]), "VIEW: unknown value 8 of form"),
        (
            frame(1.0, &[select_instance(3), record(99, &[])]),
            "offset 19, unknown record: unknown value 99 of the record code",
        ),
        (frame(1.0, &[select_instance(3), overlong]), "TICK_DUE: 1 unexpected trailing bytes"),
        (frame(1.0, &[select_instance(3), record(12, &[&[1, 2]])]), "TICK_DUE: 8 bytes expected, 2 left"),
        (
            frame(1.0, &[select_instance(5), start_instance("tick_s=soon")]),
            "ENLIST: option tick_s: cannot read value \"soon\"",
        ),
        (vec![3, 0, 0, 0, 1, 2, 3], "offset 0, header: 12 bytes expected, 3 left"),
        (frame(1.0, &[select_instance(3)])[..15].to_vec(), "frame 4: input ends in the middle of the frame"),
        (vec![9, 0], "frame 4: input ends in the middle of the frame"),
    ];
    let valid_replies = run(&valid_frames()).0;
    for (malformed, expected) in cases {
        let mut frames = valid_frames();
        frames.push(malformed);
        let (out, error) = run(&frames);
        let error = error.expect(expected);
        assert!(error.contains(expected), "{error} does not contain {expected}");
        assert_eq!(out, valid_replies, "part of a reply to the malformed frame was written");
    }
}

#[test]
fn replies_or_reports_an_error_for_mutated_frames() {
    let mut rng = fastrand::Rng::with_seed(42);
    let (mut replies, mut errors) = (0, 0);
    for _ in 0..20_000 {
        let mut frames = valid_frames();
        let frame = &mut frames[rng.usize(1..4)];
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(4..frame.len());
            match rng.u8(0..3) {
                0 => frame[at] = rng.u8(..),
                1 => frame[at] ^= 1 << rng.u8(0..8),
                _ => frame.truncate(at.max(5)),
            }
        }
        match run(&frames).1 {
            None => replies += 1,
            Some(error) => {
                assert!(error.contains("frame"), "{error}");
                errors += 1;
            }
        }
    }
    assert!(replies > 1000 && errors > 1000, "{replies} replies, {errors} errors");
}
