//! Both sides of a link, without sockets and on a virtual clock.

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
    other[12] = 2; // the version follows the length and the magic
    assert_eq!(a.input(NOW, &other).err(), Some(LinkError::UnsupportedVersion(2)));
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
    while let Some(transmit) = from.transmit() {
        to.input(now, &transmit.bytes, &mut frames)?;
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
fn an_oversized_or_malformed_frame_ends_the_link() {
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    let max = Config::default().max_frame_bytes;
    let length = (max as u32 + 1).to_be_bytes();
    assert_eq!(a.input(NOW, &length, &mut Vec::new()), Err(LinkError::FrameTooLong { length: max + 1, max }));
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    assert_eq!(a.input(NOW, &[0, 0, 0, 2, 0xff, 0xff], &mut Vec::new()), Err(LinkError::MalformedFrame));
    assert_eq!(
        a.send(&Frame::StatusQuery(vec![u64::MAX; max])),
        Err(LinkError::FrameTooLong { length: max * 10 + 4, max })
    );
}

#[test]
fn bounds_the_queue_of_a_peer_that_does_not_read() {
    let ((mut a, _), _) = establish(SECRET, SECRET, 64).unwrap();
    let frame = Frame::StatusQuery(vec![u64::MAX; 20_000]);
    let sent = (0..100).take_while(|_| a.send(&frame).is_ok()).count();
    assert_eq!(sent, Config::default().max_queued_bytes / 200_008);
}

proptest! {
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
        prop_assert!(frames.len() <= chunks.iter().map(Vec::len).sum::<usize>() / 5);
    }

    #[test]
    fn delivers_frames_unchanged_and_in_order(ids in prop::collection::vec(any::<u64>(), 0..50)) {
        let ((mut a, _), (mut b, _)) = establish(SECRET, SECRET, 64).unwrap();
        let sent: Vec<Frame> = ids.iter().map(|id| Frame::Status(*id, RemoteStatus::Received)).collect();
        sent.iter().for_each(|frame| a.send(frame).unwrap());
        prop_assert_eq!(deliver(&mut a, &mut b, NOW).unwrap(), sent);
    }
}
