//! The bytes of the protocol. The two sides of a link may run different revisions that share a protocol version, so types
//! must keep this encoding when they are renamed. Bodies and handshakes are as revision 84881d9 wrote them, but for the
//! version in the handshake; version 2 has a checksum between the length and the body of a frame.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use chutesaddle_gateway::{Outcome, RemoteStatus, ReturnReason};
use chutesaddle_site_link::{
    Config, Frame, Handshake, HandshakeStep, Link, LinkError, LocalIdentity, OfferedRequest, Secret,
};

const NOW: Duration = Duration::from_secs(1);

/// Each frame type, with each variant of its payload, and its length and body in hexadecimal.
fn frames() -> Vec<(Frame, &'static str)> {
    let result = Outcome::Served(Bytes::from_static(b"map"));
    vec![
        (Frame::Ping(1_000_000), "0000000400c0843d"),
        (Frame::Pong(1_000_000), "0000000401c0843d"),
        (Frame::Bye("closing".into()), "000000090207636c6f73696e67"),
        (Frame::Grant { epoch: 300, limit: 7, term_us: 400_000 }, "0000000703ac020780b518"),
        (Frame::Accepted(1), "000000020401"),
        (Frame::Returned(2, ReturnReason::Shedding), "00000003050200"),
        (Frame::Returned(2, ReturnReason::ExceedsGrant), "00000003050201"),
        (Frame::Returned(2, ReturnReason::NotAccepting), "00000003050202"),
        (Frame::Returned(2, ReturnReason::TooLate), "00000003050203"),
        (Frame::Returned(2, ReturnReason::Rejected), "00000003050204"),
        (Frame::Ended(3, result), "00000007060300036d6170"),
        (Frame::Ended(3, Outcome::Unstarted), "00000003060301"),
        (Frame::Ended(3, Outcome::Rejected), "00000003060302"),
        (Frame::Ended(3, Outcome::Failed), "00000003060303"),
        (Frame::Status(4, RemoteStatus::NeverReceived), "00000003070400"),
        (Frame::Status(4, RemoteStatus::Received), "00000003070401"),
        (Frame::Status(4, RemoteStatus::OutcomeForgotten), "00000003070402"),
        (Frame::Offer { forwarded: 5, epoch: 300, time_left_us: 900, keep_outcome_us: 40_000, request: Box::new(request_with_optional_fields()) }, "0000004b0805ac028407c0b8020672656e6465720461636d6501000000000000e03f0000000000000040000000000000f83f03722d31042f6d617001016b010a746578742f706c61696e04626f6479"),
        (Frame::Offer { forwarded: 5, epoch: 300, time_left_us: 900, keep_outcome_us: 40_000, request: Box::new(request_without_optional_fields()) }, "000000360805ac028407c0b8020672656e6465720461636d65000000000000000040000000000000f83f03722d31042f6d6170000004626f6479"),
        (Frame::Cancel(6), "000000020906"),
        (Frame::StatusQuery(vec![7, 8, 300]), "000000060a030708ac02"),
        (Frame::Acknowledge(9), "000000020b09"),
    ]
}

fn request_with_optional_fields() -> OfferedRequest {
    OfferedRequest {
        class: "render".into(),
        tenant: "acme".into(),
        estimated_work_s: Some(0.5),
        slots: 2.0,
        memory: 1.5,
        request_id: Bytes::from_static(b"r-1"),
        target: Bytes::from_static(b"/map"),
        key: Some(Bytes::from_static(b"k")),
        content_type: Some(Bytes::from_static(b"text/plain")),
        body: Bytes::from_static(b"body"),
    }
}

fn request_without_optional_fields() -> OfferedRequest {
    OfferedRequest { estimated_work_s: None, key: None, content_type: None, ..request_with_optional_fields() }
}

/// Adds the checksum to the length and the body of a frame.
fn with_checksum(length_and_body: &[u8]) -> Vec<u8> {
    let (length, body) = length_and_body.split_at(4);
    let checksum = xxhash_rust::xxh3::xxh3_64_with_seed(body, body.len() as u64);
    [length, &checksum.to_be_bytes(), body].concat()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

fn begin(site: &str, dialled: bool) -> (Handshake, Bytes) {
    let local = LocalIdentity { site: site.into(), incarnation: 5, nonce: [u8::from(dialled); 16], dialled };
    Handshake::begin(NOW, Config::default(), Secret::new("a secret of enough bytes").unwrap(), local).unwrap()
}

/// An established link on the dialling side, and the proofs that the dialling and the accepting side sent.
fn link() -> (Link, Bytes, Bytes) {
    let ((mut dialler, hello), (mut accepter, answer)) = (begin("a", true), begin("b", false));
    let HandshakeStep::Continue(dialler_proof) = dialler.input(NOW, &answer).unwrap() else {
        panic!("no proof was sent")
    };
    let HandshakeStep::Continue(accepter_proof) = accepter.input(NOW, &hello).unwrap() else {
        panic!("no proof was sent")
    };
    let HandshakeStep::Established(_, link, _) = dialler.input(NOW, &accepter_proof).unwrap() else {
        panic!("the handshake is not complete")
    };
    (*link, dialler_proof, accepter_proof)
}

#[test]
fn encodes_frames_as_before() {
    let (mut link, ..) = link();
    for (frame, expected) in frames() {
        link.send(&frame).unwrap();
        assert_eq!(hex(link.pending()), hex(&with_checksum(&from_hex(expected))), "{frame:?}");
        let length = link.pending().len();
        link.written(length);
    }
}

/// Guards the checksum itself, whose value the other tests compute in the same way as the product.
#[test]
fn checksum_has_its_bytes() {
    let (mut link, ..) = link();
    link.send(&Frame::Cancel(6)).unwrap();
    assert_eq!(hex(link.pending()), "0000000297bf10513bdcd29f0906");
}

#[test]
fn decodes_frames_as_before() {
    for (frame, bytes) in frames() {
        let written = with_checksum(&from_hex(bytes));
        let (mut link, ..) = link();
        let mut read = Vec::new();
        let result = link.input(NOW, &written, &mut read);
        match frame {
            Frame::Ping(_) => assert!(result.is_ok() && !link.pending().is_empty(), "no pong was queued"),
            Frame::Pong(_) => {
                assert!(result.is_ok() && link.round_trip().is_some(), "no round trip was measured")
            }
            Frame::Bye(reason) => assert_eq!(result, Err(LinkError::ClosedByPeer(reason))),
            frame => assert_eq!((result, read), (Ok(()), vec![frame])),
        }
    }
}

#[test]
fn encodes_handshakes_as_before() {
    let (_, dialler_proof, accepter_proof) = link();
    assert_eq!(hex(&begin("a", true).1), "0000001c63687574656c6e6b0201610501010101010101010101010101010101");
    assert_eq!(
        hex(&dialler_proof),
        "000000200539ccb5166fe15ad75a09cb8584783c7f344fd9c9378fc4a76a57d1c669b97f"
    );
    assert_eq!(
        hex(&accepter_proof),
        "0000002041ac714f69a3528be2034dcf6b91b5fa614a4d6f516e020e1e55899075e131fd"
    );
}
