//! Two ends of a link without sockets, by a virtual clock.

use std::time::Duration;

use chutesaddle_gateway::RemoteStatus;
use chutesaddle_site_link::{Config, Frame, Greeting, Link, LinkError, Me, Peer, Secret, Step};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn secret(text: &str) -> Secret {
    Secret::new(text).unwrap()
}

fn begin(site: &str, dialled: bool, word: &str) -> (Greeting, Vec<u8>) {
    let me = Me { site: site.into(), instance: 5, nonce: [u8::from(dialled); 16], dialled };
    let (greeting, hello) = Greeting::begin(NOW, Config::default(), secret(word), me).unwrap();
    (greeting, hello.to_vec())
}

/// Lets two ends greet each other in pieces of this many bytes.
#[allow(clippy::type_complexity)]
fn greet(word_a: &str, word_b: &str, piece: usize) -> Result<((Link, Peer), (Link, Peer)), LinkError> {
    let ((mut a, mut to_b), (mut b, mut to_a)) = (begin("a", true, word_a), begin("b", false, word_b));
    let (mut up_a, mut up_b) = (None, None);
    while up_a.is_none() || up_b.is_none() {
        let feed = |end: &mut Greeting, from: &mut Vec<u8>, to: &mut Vec<u8>, up: &mut Option<_>| {
            let part: Vec<u8> = from.drain(..piece.min(from.len())).collect();
            match end.input(NOW, &part)? {
                Step::More(write) => to.extend(write),
                Step::Up(write, link, peer) => {
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

const WORD: &str = "a secret of enough bytes";

#[test]
fn ends_that_know_the_secret_come_up_whatever_pieces_arrive() {
    for piece in [1, 7, 1000] {
        let ((_, at_a), (_, at_b)) = greet(WORD, WORD, piece).unwrap();
        assert_eq!((at_a.site.as_str(), at_b.site.as_str()), ("b", "a"));
    }
}

#[test]
fn a_wrong_secret_is_told_by_either_end() {
    assert_eq!(greet(WORD, "another secret of bytes", 64).err(), Some(LinkError::Secret));
}

#[test]
fn a_short_secret_is_none() {
    assert!(Secret::new("fifteen bytes..").is_none());
}

/// Whoever only echoes what it is sent knows nothing, and must not pass.
#[test]
fn an_echo_does_not_pass() {
    let (mut a, hello) = begin("a", true, WORD);
    let Ok(Step::More(proof)) = a.input(NOW, &hello) else { panic!("its own hello is well formed") };
    assert_eq!(a.input(NOW, &proof).err(), Some(LinkError::Secret));
}

#[test]
fn other_protocols_and_versions_are_named() {
    let (mut a, hello) = begin("a", true, WORD);
    assert_eq!(a.input(NOW, b"GET / HTTP/1.1\r\n\r\n").err(), Some(LinkError::Magic));
    let (mut a, mut other) = (begin("a", true, WORD).0, hello);
    other[12] = 2; // the version follows the length and the magic
    assert_eq!(a.input(NOW, &other).err(), Some(LinkError::Version(2)));
}

#[test]
fn a_greeting_has_an_end() {
    let (mut a, hello) = begin("a", true, WORD);
    assert_eq!(a.input(a.until(), &hello).err(), Some(LinkError::Slow));
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
fn heartbeats_measure_the_way_and_keep_the_link() {
    let ((mut a, _), (mut b, _)) = greet(WORD, WORD, 64).unwrap();
    a.tick(NOW).unwrap();
    carry(&mut a, &mut b, NOW + Duration::from_millis(8)).unwrap();
    carry(&mut b, &mut a, NOW + Duration::from_millis(16)).unwrap();
    assert_eq!(a.round_trip(), Some(Duration::from_millis(16)));
    let silence = Config::default().silence;
    assert!(a.tick(NOW + silence).is_ok(), "heard 16 ms after the start");
    assert_eq!(a.tick(NOW + silence + Duration::from_millis(16)), Err(LinkError::Silent));
}

#[test]
fn a_frame_that_is_too_long_or_garbled_ends_the_link() {
    let ((mut a, _), _) = greet(WORD, WORD, 64).unwrap();
    let longest = Config::default().frame;
    let length = (longest as u32 + 1).to_be_bytes();
    assert_eq!(a.input(NOW, &length, &mut Vec::new()), Err(LinkError::TooLong(longest + 1)));
    let ((mut a, _), _) = greet(WORD, WORD, 64).unwrap();
    assert_eq!(a.input(NOW, &[0, 0, 0, 2, 0xff, 0xff], &mut Vec::new()), Err(LinkError::Malformed));
    assert_eq!(a.send(&Frame::Ask(vec![u64::MAX; longest])), Err(LinkError::TooLong(longest * 10 + 4)));
}

#[test]
fn a_queue_that_nobody_takes_off_has_a_bound() {
    let ((mut a, _), _) = greet(WORD, WORD, 64).unwrap();
    let frame = Frame::Ask(vec![u64::MAX; 20_000]);
    let sent = (0..100).take_while(|_| a.send(&frame).is_ok()).count();
    assert_eq!(sent, Config::default().queue / 200_008);
}

proptest! {
    /// Whatever bytes come, a link gives frames or an error, and never more than it was sent.
    #[test]
    fn any_bytes_do_no_harm(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..40)) {
        let (mut a, _) = begin("a", false, WORD);
        for piece in &pieces {
            if a.input(NOW, piece).is_err() {
                break;
            }
        }
        let ((mut a, _), _) = greet(WORD, WORD, 64).unwrap();
        let mut frames = Vec::new();
        for piece in &pieces {
            if a.input(NOW, piece, &mut frames).is_err() {
                break;
            }
        }
        prop_assert!(frames.len() <= pieces.iter().map(Vec::len).sum::<usize>() / 5);
    }

    #[test]
    fn frames_arrive_as_they_were_sent(ids in prop::collection::vec(any::<u64>(), 0..50)) {
        let ((mut a, _), (mut b, _)) = greet(WORD, WORD, 64).unwrap();
        let sent: Vec<Frame> = ids.iter().map(|id| Frame::Told(*id, RemoteStatus::Received)).collect();
        sent.iter().for_each(|frame| a.send(frame).unwrap());
        prop_assert_eq!(carry(&mut a, &mut b, NOW).unwrap(), sent);
    }
}
