//! The simulator's wire through its host: byte-exact replies, and errors for malformed frames.

use std::fmt::Write as _;

use chutesaddle::simulator::Host;

const OPTIONS: &str = "balancers=1\ntick_s=0.004\ngrades.count=1\ngrades.0.effect=repeatable\n\
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

fn start_instance(options: &str) -> Vec<u8> {
    record(8, &[&9u64.to_le_bytes(), &(options.len() as u32).to_le_bytes(), options.as_bytes()])
}

const WORKER: [u8; 6] = [10, 0, 0, 1, 0x40, 0x1f];

fn worker_list(page: u8) -> Vec<u8> {
    let since = 0f64.to_le_bytes();
    let size = 1f32.to_le_bytes();
    let entry: [&[u8]; 7] = [&[1], &[0, 0], &[0, 0], &since, &size, &[0], &WORKER];
    record(11, &[&[page], &1u32.to_le_bytes(), &entry.concat()])
}

fn list_notice(form: u8, page: u8) -> Vec<u8> {
    record(10, &[&[form], &1u64.to_le_bytes(), &[page]])
}

fn request_received(id: u32, deadline: f64) -> Vec<u8> {
    let (slots, memory, hint) = (1f32.to_le_bytes(), 0f32.to_le_bytes(), 0.2f64.to_le_bytes());
    let (key, account) = ([0; 8], [0; 4]);
    record(
        9,
        &[&id.to_le_bytes(), &slots, &[1, 0], &account, &key, &deadline.to_le_bytes(), &[0], &hint, &memory],
    )
}

fn timer_expired(tag: u64) -> Vec<u8> {
    record(12, &[&tag.to_le_bytes()])
}

fn valid_frames() -> Vec<Vec<u8>> {
    vec![
        frame(1.0, &[]),
        frame(1.0, &[select_instance(3), start_instance(OPTIONS), worker_list(2), list_notice(2, 2)]),
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
fn a_request_becomes_a_route_byte_for_byte() {
    let (out, error) = run(&valid_frames());
    assert_eq!(error, None);
    let at = "0d02000000".to_owned() + "0300";
    let timer =
        |wait: f64, tag: u64| format!("0510000000{}{}", hex(&wait.to_le_bytes()), hex(&tag.to_le_bytes()));
    let accepted = [at.clone(), timer(4.992, (1 << 32) + 77), timer(0.06 * 0.5, 0), timer(0.1, 1)].concat();
    let route =
        [at, "0112000000".into(), "4d000000".into(), hex(&WORKER), "0000000000000000".into()].concat();
    let framed = |body: &str| format!("{}{body}", hex(&(body.len() as u32 / 2).to_le_bytes()));
    assert_eq!(hex(&out), ["00000000", "00000000", &framed(&accepted), &framed(&route)].concat());
}

#[test]
fn all_other_records_are_read() {
    let none = [0u8; 8];
    let note = record(1, &[&77u32.to_le_bytes(), &[0], &0.5f32.to_le_bytes(), &WORKER, &[2]]);
    let head = record(4, &[&77u32.to_le_bytes(), &none, &WORKER, &[0]]);
    let ended =
        record(5, &[&77u32.to_le_bytes(), &[0], &WORKER, &[0, 0], &none, &[1], &[0; 4], &[1, 0, 0, 0, 0]]);
    let peer = record(6, &[&[0; 4], &[2, 0], b"hi"]);
    let probed = record(13, &[&WORKER, &[0, 0], &none, &[0]]);
    let left = record(2, &[&77u32.to_le_bytes()]);
    let gone = record(7, &[]);
    let mut frames = valid_frames();
    frames.push(frame(
        3.0,
        &[select_instance(3), note, head, ended, peer, probed, left, list_notice(3, 0), gone],
    ));
    assert_eq!(run(&frames).1, None);
}

#[test]
fn malformed_frames_name_what_and_where() {
    let mut long = timer_expired(5);
    long[1] += 1;
    long.push(0);
    let cases = [
        (frame(1.0, &[timer_expired(0)]), "TICK_DUE: no instance is set"),
        (frame(1.0, &[select_instance(4), timer_expired(0)]), "TICK_DUE: instance 4 is not enlisted"),
        (frame(1.0, &[select_instance(3), list_notice(1, 9)]), "VIEW: list 9 is not defined"),
        (frame(1.0, &[select_instance(3), worker_list(16)]), "DEFINE_LIST: list number 16 is over 15"),
        (frame(1.0, &[select_instance(3), list_notice(8, 2)]), "VIEW: form has no value 8"),
        (
            frame(1.0, &[select_instance(3), record(99, &[])]),
            "offset 19, unknown record: the record code has no value 99",
        ),
        (frame(1.0, &[select_instance(3), long]), "TICK_DUE: 1 bytes are left over"),
        (
            frame(1.0, &[select_instance(3), record(12, &[&[1, 2]])]),
            "TICK_DUE: the record is shorter than its fields",
        ),
        (
            frame(1.0, &[select_instance(5), start_instance("tick_s=soon")]),
            "ENLIST: option tick_s: cannot read value \"soon\"",
        ),
        (vec![3, 0, 0, 0, 1, 2, 3], "offset 0, header: the record is shorter"),
        (frame(1.0, &[select_instance(3)])[..15].to_vec(), "frame 4: input ends inside the frame"),
        (vec![9, 0], "frame 4: input ends inside the frame"),
    ];
    let whole = run(&valid_frames()).0;
    for (bad, expected) in cases {
        let mut frames = valid_frames();
        frames.push(bad);
        let (out, error) = run(&frames);
        let error = error.expect(expected);
        assert!(error.contains(expected), "{error} does not contain {expected}");
        assert_eq!(out, whole, "no part of a reply to the bad frame");
    }
}

#[test]
fn mutated_frames_give_a_reply_or_a_plain_error() {
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
