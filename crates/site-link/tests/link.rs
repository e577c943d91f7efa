//! Both sides of a link, without sockets and on a virtual clock.

use std::time::Duration;

use chutesaddle_gateway::RemoteStatus;
use chutesaddle_site_link::{
    Config, Frame, FrameFault, Handshake, HandshakeStep, Link, LinkError, LocalIdentity, OfferedRequest,
    PeerIdentity, Secret,
};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn secret(text: &str) -> Secret {
    Secret::new(text).unwrap()
}

fn begin(site: &str, dialled: bool, secret_text: &str) -> (Handshake, Vec<u8>) {
    let local = LocalIdentity { site: site.into(), incarnation: 5, nonce: [u8::from(dialled); 16], dialled };
    let (handshake, identity) = Handshake::begin(NOW, Config::default(), secret(secret_text), local).unwrap();
    (handshake, identity.to_vec())
}

/// Completes a handshake between two sides. Bytes are delivered in chunks of `chunk` bytes.
#[allow(clippy::type_complexity)]
fn establish(
    secret_a: &str,
    secret_b: &str,
    chunk: usize,
) -> Result<((Link, PeerIdentity), (Link, PeerIdentity)), LinkError> {
    let ((mut a, mut to_b), (mut b, mut to_a)) = (begin("a", true, secret_a), begin("b", false, secret_b));
    let (mut established_a, mut established_b) = (None, None);
    while established_a.is_none() || established_b.is_none() {
        let feed =
            |side: &mut Handshake, from: &mut Vec<u8>, to: &mut Vec<u8>, established: &mut Option<_>| {
                let received: Vec<u8> = from.drain(..chunk.min(from.len())).collect();
                match side.input(NOW, &received)? {
                    HandshakeStep::Continue(bytes) => to.extend(bytes),
                    HandshakeStep::Established(bytes, link, peer) => {
                        to.extend(bytes);
                        *established = Some((*link, peer));
                    }
                }
                Ok(())
            };
        if established_a.is_none() {
            feed(&mut a, &mut to_a, &mut to_b, &mut established_a)?;
        }
        if established_b.is_none() {
            feed(&mut b, &mut to_b, &mut to_a, &mut established_b)?;
        }
    }
    Ok((established_a.unwrap(), established_b.unwrap()))
}

const SECRET: &str = "a secret of enough bytes";

#[test]
fn establishes_a_link_from_chunks_of_any_size() {
    for chunk in [1, 7, 1000] {
        let ((_, at_a), (_, at_b)) = establish(SECRET, SECRET, chunk).unwrap();
        assert_eq!((at_a.site.as_str(), at_b.site.as_str()), ("b", "a"));
    }
}

#[test]
fn rejects_a_wrong_secret() {
    assert_eq!(establish(SECRET, "another secret of bytes", 64).err(), Some(LinkError::WrongSecret));
}

#[test]
fn rejects_a_short_secret() {
    assert!(Secret::new("fifteen bytes..").is_none());
}

/// A peer that does not know the secret must not authenticate by echoing the messages it receives.
#[test]
fn rejects_an_echo_of_its_own_proof() {
    let (mut a, identity) = begin("a", true, SECRET);
    let Ok(HandshakeStep::Continue(proof)) = a.input(NOW, &identity) else {
        panic!("the echoed identity was not accepted")
    };
    assert_eq!(a.input(NOW, &proof).err(), Some(LinkError::WrongSecret));
}

#[test]
fn rejects_other_protocols_and_versions() {
    let (mut a, identity) = begin("a", true, SECRET);
    assert_eq!(a.input(NOW, b"GET / HTTP/1.1\r\n\r\n").err(), Some(LinkError::OtherProtocol));
    let (mut a, mut other) = (begin("a", true, SECRET).0, identity);
    for version in [1, 3] {
        other[12] = version; // the version follows the length and the magic
        let error = a.input(NOW, &other).err();
        assert_eq!(error, Some(LinkError::UnsupportedVersion(u16::from(version))));
        a = begin("a", true, SECRET).0;
    }
}

#[test]
fn times_out_the_handshake() {
    let (mut a, identity) = begin("a", true, SECRET);
    assert_eq!(
        a.input(a.times_out_at(), &identity).err(),
        Some(LinkError::HandshakeTimeout(Config::default().handshake_timeout))
    );
}

/// Delivers all queued frames of one side to the other.
fn deliver(from: &mut Link, to: &mut Link, now: Duration) -> Result<Vec<Frame>, LinkError> {
    let mut frames = Vec::new();
    while !from.pending().is_empty() {
        let bytes = from.pending().to_vec();
        from.written(bytes.len());
        to.input(now, &bytes, &mut frames)?;
    }
    Ok(frames)
}

#[test]
fn heartbeats_measure_the_round_trip_and_keep_the_link_up() {
    let ((mut a, _), (mut b, _)) = establish(SECRET, SECRET, 64).unwrap();
    a.tick(NOW).unwrap();
    deliver(&mut a, &mut b, NOW + Duration::from_millis(8)).unwrap();
    deliver(&mut b, &mut a, NOW + Duration::from_millis(16)).unwrap();
    assert_eq!(a.round_trip(), Some(Duration::from_millis(16)));
    let silence = Config::default().silence_timeout;
    assert!(a.tick(NOW + silence).is_ok(), "a frame was received 16 ms after the start");
    assert_eq!(a.tick(NOW + silence + Duration::from_millis(16)), Err(LinkError::SilenceTimeout(silence)));
}

#[test]
fn an_invalid_frame_ends_the_link() {
    let max = Config::default().max_frame_bytes;
    let too_long = [&(max as u32 + 1).to_be_bytes()[..], &[0; 8]].concat();
    let undecodable = frame_bytes(&[0xff, 0xff]);
    let trailing_byte = frame_bytes(&[9, 6, 0]);
    let mut spoilt = frame_bytes(&[9, 6]);
    spoilt[13] ^= 1;
    for (bytes, fault) in [
        (too_long, FrameFault::TooLong { length: max + 1, max }),
        (undecodable, FrameFault::Undecodable { length: 2 }),
        (trailing_byte, FrameFault::Undecodable { length: 3 }),
        (spoilt, FrameFault::ChecksumMismatch { length: 2 }),
    ] {
        let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
        let mut frames = Vec::new();
        assert_eq!(a.input(NOW, &frame_bytes(&[9, 6]), &mut frames), Ok(()));
        assert_eq!(a.input(NOW, &bytes, &mut frames), Err(LinkError::InvalidFrame { number: 2, fault }));
        assert_eq!(frames, [Frame::Cancel(6)]);
    }
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    assert_eq!(
        a.send(&Frame::StatusQuery(vec![u64::MAX; max])),
        Err(LinkError::FrameTooLong { length: max * 10 + 4, max })
    );
}

/// A frame with this body.
fn frame_bytes(body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let checksum = xxhash_rust::xxh3::xxh3_64_with_seed(body, length as u64);
    [&(length as u32).to_be_bytes()[..], &checksum.to_be_bytes(), body].concat()
}

#[test]
fn a_stream_that_ends_within_a_frame_is_an_error() {
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    assert_eq!(a.end_of_input(), None);
    let frame = frame_bytes(&[9, 6]);
    a.input(NOW, &frame[..13], &mut Vec::new()).unwrap();
    let fault = FrameFault::CutOff { received: 13 };
    assert_eq!(a.end_of_input(), Some(LinkError::InvalidFrame { number: 1, fault }));
    a.input(NOW, &frame[13..], &mut Vec::new()).unwrap();
    assert_eq!(a.end_of_input(), None);
}

/// A peer that sends heartbeats but reads nothing must not keep queued requests until their deadlines.
#[test]
fn a_link_on_which_nothing_can_be_written_ends() {
    let ((mut a, _), (mut b, _)) = establish(SECRET, SECRET, 64).unwrap();
    let silence = Config::default().silence_timeout;
    a.send(&Frame::Cancel(1)).unwrap();
    a.tick(NOW).unwrap();
    for (number, wait) in [silence / 2, silence].into_iter().enumerate() {
        let now = NOW + wait;
        b.tick(now).unwrap_or(());
        deliver(&mut b, &mut a, now).unwrap();
        let expected = if number == 0 { Ok(()) } else { Err(LinkError::WriteStalled(silence)) };
        assert_eq!(a.tick(now), expected);
    }
    a.written(1);
    assert_eq!(a.tick(NOW + silence), Ok(()), "a byte was written");
}

/// Frames of the caller are kept back while the queue is full, and heartbeats still find room.
#[test]
fn heartbeats_find_room_in_a_queue_that_takes_no_more_frames() {
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    let frame = Frame::StatusQuery(vec![u64::MAX; 20_000]);
    let mut queued = 0;
    while a.has_room() {
        a.send(&frame).unwrap();
        queued += 1;
    }
    assert!(queued >= 3, "{queued}");
    while a.send(&frame).is_ok() {}
    while a.send(&Frame::Cancel(1)).is_ok() {}
    assert_eq!(a.tick(NOW), Ok(()));
}

#[test]
fn bounds_the_queue_of_a_peer_that_does_not_read() {
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    let frame = Frame::StatusQuery(vec![u64::MAX; 20_000]);
    let sent = (0..100).take_while(|_| a.send(&frame).is_ok()).count();
    assert_eq!(sent, Config::default().max_queued_bytes / 200_016);
}

/// Why a link ends in the property test below.
#[derive(Clone, Copy, Debug)]
enum LinkEnd {
    /// This side closes the link and tells the peer why.
    ClosedWithReason,
    /// The connection has failed, or the peer has closed it.
    ClosedWithoutReason,
}

/// The offer of a request whose body is filled with its number.
fn offer(forwarded: u64, body_bytes: usize) -> Frame {
    let request = OfferedRequest {
        class: "draw".into(),
        tenant: String::new(),
        estimated_work_s: None,
        slots: 1.0,
        memory: 0.0,
        request_id: forwarded.to_string().into(),
        target: "/draw".into(),
        key: None,
        content_type: None,
        body: vec![forwarded as u8; body_bytes].into(),
    };
    let request = Box::new(request);
    Frame::Offer { forwarded, epoch: 1, time_left_us: 1, keep_outcome_us: 1, request }
}

proptest! {
    /// The link ends after any number of bytes. What the sender reports as written is what the receiver gets, unchanged:
    /// an offer that is reported as not written never arrives, and nothing else arrives in its place.
    #[test]
    fn offers_reported_as_not_written_never_arrive(
        bodies in prop::collection::vec(0..300usize, 1..20),
        writes in prop::collection::vec(1..400usize, 0..20),
        end in prop_oneof![Just(LinkEnd::ClosedWithReason), Just(LinkEnd::ClosedWithoutReason)],
    ) {
        let ((mut sender, _), (mut receiver, _)) = establish(SECRET, SECRET, 64).unwrap();
        let offers: Vec<Frame> =
            bodies.iter().enumerate().map(|(number, bytes)| offer(number as u64, *bytes)).collect();
        offers.iter().for_each(|offer| sender.send(offer).unwrap());
        let (mut wire, mut reported) = (Vec::new(), 0);
        for count in writes {
            let count = count.min(sender.pending().len());
            wire.extend_from_slice(&sender.pending()[..count]);
            if let Some(forwarded) = sender.written(count) {
                prop_assert_eq!(forwarded, reported);
                reported += 1;
            }
        }
        let reason = match end {
            LinkEnd::ClosedWithReason => Some("closing".to_owned()),
            LinkEnd::ClosedWithoutReason => None,
        };
        wire.extend(sender.end(reason).unwrap_or_default());
        prop_assert!(sender.pending().is_empty(), "nothing is written after the end");
        let mut received = Vec::new();
        let result = receiver.input(NOW, &wire, &mut received);
        prop_assert!(matches!(result, Ok(()) | Err(LinkError::ClosedByPeer(_))), "{:?}", result);
        prop_assert_eq!(&received[..], &offers[..reported as usize]);
    }

    /// For any bytes received, a link returns frames or an error, and no more frames than the bytes can contain.
    #[test]
    fn does_not_panic_on_arbitrary_bytes(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..40)) {
        let (mut a, _) = begin("a", false, SECRET);
        for chunk in &chunks {
            if a.input(NOW, chunk).is_err() {
                break;
            }
        }
        let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
        let mut frames = Vec::new();
        for chunk in &chunks {
            if a.input(NOW, chunk, &mut frames).is_err() {
                break;
            }
        }
        // The shortest frame has a length, a checksum and a body of one byte.
        prop_assert!(frames.len() <= chunks.iter().map(Vec::len).sum::<usize>() / 13);
    }

    #[test]
    fn delivers_frames_unchanged_and_in_order(ids in prop::collection::vec(any::<u64>(), 0..50)) {
        let ((mut a, _), (mut b, _)) = establish(SECRET, SECRET, 64).unwrap();
        let sent: Vec<Frame> = ids.iter().map(|id| Frame::Status(*id, RemoteStatus::Received)).collect();
        sent.iter().for_each(|frame| a.send(frame).unwrap());
        prop_assert_eq!(deliver(&mut a, &mut b, NOW).unwrap(), sent);
    }
}
