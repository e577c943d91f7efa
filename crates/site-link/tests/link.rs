//! Two ends of a link without sockets, by a virtual clock.

use std::time::Duration;

use chutesaddle_gateway::RemoteStatus;
use chutesaddle_site_link::{
    Config, Frame, Handshake, HandshakeStep, Link, LinkError, LocalIdentity, PeerIdentity, Secret,
};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn secret(text: &str) -> Secret {
    Secret::new(text).unwrap()
}

fn begin(site: &str, dialled: bool, secret_text: &str) -> (Handshake, Vec<u8>) {
    let me = LocalIdentity { site: site.into(), incarnation: 5, nonce: [u8::from(dialled); 16], dialled };
    let (handshake, identity) = Handshake::begin(NOW, Config::default(), secret(secret_text), me).unwrap();
    (handshake, identity.to_vec())
}

/// Lets two ends complete their handshake in pieces of this many bytes.
#[allow(clippy::type_complexity)]
fn shake_hands(
    secret_a: &str,
    secret_b: &str,
    piece: usize,
) -> Result<((Link, PeerIdentity), (Link, PeerIdentity)), LinkError> {
    let ((mut a, mut to_b), (mut b, mut to_a)) = (begin("a", true, secret_a), begin("b", false, secret_b));
    let (mut up_a, mut up_b) = (None, None);
    while up_a.is_none() || up_b.is_none() {
        let feed = |end: &mut Handshake, from: &mut Vec<u8>, to: &mut Vec<u8>, up: &mut Option<_>| {
            let part: Vec<u8> = from.drain(..piece.min(from.len())).collect();
            match end.input(NOW, &part)? {
                HandshakeStep::Continue(write) => to.extend(write),
                HandshakeStep::Established(write, link, peer) => {
                    to.extend(write);
                    *up = Some((*link, peer));
                }
            }
            Ok(())
        };
        if up_a.is_none() {
            feed(&mut a, &mut to_a, &mut to_b, &mut up_a)?;
        }
        if up_b.is_none() {
            feed(&mut b, &mut to_b, &mut to_a, &mut up_b)?;
        }
    }
    Ok((up_a.unwrap(), up_b.unwrap()))
}

const SECRET: &str = "a secret of enough bytes";

#[test]
fn establishes_a_link_whatever_pieces_arrive() {
    for piece in [1, 7, 1000] {
        let ((_, at_a), (_, at_b)) = shake_hands(SECRET, SECRET, piece).unwrap();
        assert_eq!((at_a.site.as_str(), at_b.site.as_str()), ("b", "a"));
    }
}

#[test]
fn rejects_a_wrong_secret() {
    assert_eq!(shake_hands(SECRET, "another secret of bytes", 64).err(), Some(LinkError::WrongSecret));
}

#[test]
fn rejects_a_short_secret() {
    assert!(Secret::new("fifteen bytes..").is_none());
}

/// Whoever only echoes what it is sent knows nothing, and must not pass.
#[test]
fn rejects_an_echo_of_its_own_proof() {
    let (mut a, identity) = begin("a", true, SECRET);
    let Ok(HandshakeStep::Continue(proof)) = a.input(NOW, &identity) else {
        panic!("its own identity is well formed")
    };
    assert_eq!(a.input(NOW, &proof).err(), Some(LinkError::WrongSecret));
}

#[test]
fn names_other_protocols_and_versions() {
    let (mut a, identity) = begin("a", true, SECRET);
    assert_eq!(a.input(NOW, b"GET / HTTP/1.1\r\n\r\n").err(), Some(LinkError::OtherProtocol));
    let (mut a, mut other) = (begin("a", true, SECRET).0, identity);
    other[12] = 2; // the version follows the length and the magic
    assert_eq!(a.input(NOW, &other).err(), Some(LinkError::UnsupportedVersion(2)));
}

#[test]
fn times_out_the_handshake() {
    let (mut a, identity) = begin("a", true, SECRET);
    assert_eq!(a.input(a.times_out_at(), &identity).err(), Some(LinkError::HandshakeTimeout));
}

/// Writes all that one end has to say into the other.
fn carry(from: &mut Link, to: &mut Link, now: Duration) -> Result<Vec<Frame>, LinkError> {
    let mut frames = Vec::new();
    while let Some(transmit) = from.transmit() {
        to.input(now, &transmit.bytes, &mut frames)?;
    }
    Ok(frames)
}

#[test]
fn heartbeats_measure_the_round_trip_and_keep_the_link() {
    let ((mut a, _), (mut b, _)) = shake_hands(SECRET, SECRET, 64).unwrap();
    a.tick(NOW).unwrap();
    carry(&mut a, &mut b, NOW + Duration::from_millis(8)).unwrap();
    carry(&mut b, &mut a, NOW + Duration::from_millis(16)).unwrap();
    assert_eq!(a.round_trip(), Some(Duration::from_millis(16)));
    let silence = Config::default().silence_timeout;
    assert!(a.tick(NOW + silence).is_ok(), "heard 16 ms after the start");
    assert_eq!(a.tick(NOW + silence + Duration::from_millis(16)), Err(LinkError::SilenceTimeout));
}

#[test]
fn a_long_or_malformed_frame_ends_the_link() {
    let ((mut a, _), _) = shake_hands(SECRET, SECRET, 64).unwrap();
    let longest = Config::default().most_frame_bytes;
    let length = (longest as u32 + 1).to_be_bytes();
    assert_eq!(a.input(NOW, &length, &mut Vec::new()), Err(LinkError::FrameTooLong(longest + 1)));
    let ((mut a, _), _) = shake_hands(SECRET, SECRET, 64).unwrap();
    assert_eq!(a.input(NOW, &[0, 0, 0, 2, 0xff, 0xff], &mut Vec::new()), Err(LinkError::MalformedFrame));
    assert_eq!(
        a.send(&Frame::StatusQuery(vec![u64::MAX; longest])),
        Err(LinkError::FrameTooLong(longest * 10 + 4))
    );
}

#[test]
fn bounds_the_queue_of_a_peer_that_does_not_read() {
    let ((mut a, _), _) = shake_hands(SECRET, SECRET, 64).unwrap();
    let frame = Frame::StatusQuery(vec![u64::MAX; 20_000]);
    let sent = (0..100).take_while(|_| a.send(&frame).is_ok()).count();
    assert_eq!(sent, Config::default().most_queued_bytes / 200_008);
}

proptest! {
    /// Whatever bytes come, a link gives frames or an error, and never more than it was sent.
    #[test]
    fn accepts_any_bytes_without_panic(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..40)) {
        let (mut a, _) = begin("a", false, SECRET);
        for piece in &pieces {
            if a.input(NOW, piece).is_err() {
                break;
            }
        }
        let ((mut a, _), _) = shake_hands(SECRET, SECRET, 64).unwrap();
        let mut frames = Vec::new();
        for piece in &pieces {
            if a.input(NOW, piece, &mut frames).is_err() {
                break;
            }
        }
        prop_assert!(frames.len() <= pieces.iter().map(Vec::len).sum::<usize>() / 5);
    }

    #[test]
    fn delivers_frames_as_they_were_sent(ids in prop::collection::vec(any::<u64>(), 0..50)) {
        let ((mut a, _), (mut b, _)) = shake_hands(SECRET, SECRET, 64).unwrap();
        let sent: Vec<Frame> = ids.iter().map(|id| Frame::Status(*id, RemoteStatus::Received)).collect();
        sent.iter().for_each(|frame| a.send(frame).unwrap());
        prop_assert_eq!(carry(&mut a, &mut b, NOW).unwrap(), sent);
    }
}
