//! A link that is up: frames in, frames out, heartbeats.
//!
//! It answers heartbeats itself and ends when nothing has come for [`Config::silence_timeout`]. What the other
//! frames mean is decided elsewhere.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::frame::{decode, encode, Frame};
use crate::{Config, LinkError, Time};

/// Weight of a new measurement in the smoothed round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.2;
/// The part of the other end's reason for closing that is kept, in characters.
const MOST_REASON_CHARS: usize = 200;

/// Something to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The bytes of one frame.
    pub bytes: Bytes,
    /// The request that they offer, if any: it may run as soon as the last byte is written.
    pub offered: Option<u64>,
}

/// One end of a link.
#[derive(Debug)]
pub struct Link {
    config: Config,
    read: BytesMut,
    last_received_at: Time,
    next_ping_at: Time,
    round_trip: Option<Time>,
    queue: VecDeque<Transmit>,
    queued_bytes: usize,
}

impl Link {
    /// Only a handshake makes one; `read` is what came behind it.
    pub(crate) fn new(now: Time, config: Config, read: BytesMut) -> Self {
        Link {
            config,
            read,
            last_received_at: now,
            next_ping_at: now,
            round_trip: None,
            queue: VecDeque::new(),
            queued_bytes: 0,
        }
    }

    /// Takes what was read, and appends the frames that the gateway is to see. Those after a bad one are not
    /// decoded.
    ///
    /// # Errors
    /// What the other end did wrong, or its reason for closing; the link is over.
    pub fn input(&mut self, now: Time, bytes: &[u8], frames: &mut Vec<Frame>) -> Result<(), LinkError> {
        self.read.extend_from_slice(bytes);
        while let Some(frame) = decode::<Frame>(&mut self.read, self.config.most_frame_bytes)? {
            self.last_received_at = now;
            match frame {
                Frame::Ping(sent_at_us) => self.send(&Frame::Pong(sent_at_us))?,
                Frame::Pong(sent_at_us) => self.measure_round_trip(now, sent_at_us),
                Frame::Bye(reason) => {
                    let reason = reason.chars().take(MOST_REASON_CHARS).collect();
                    return Err(LinkError::ClosedByPeer(reason));
                }
                frame => frames.push(frame),
            }
        }
        Ok(())
    }

    fn measure_round_trip(&mut self, now: Time, sent_at_us: u64) {
        // A time in the future was never sent by this end.
        let Some(measured) = now.checked_sub(Time::from_micros(sent_at_us)) else { return };
        self.round_trip = Some(match self.round_trip {
            None => measured,
            Some(smoothed) => smoothed.mul_f64(1.0 - ROUND_TRIP_WEIGHT) + measured.mul_f64(ROUND_TRIP_WEIGHT),
        });
    }

    /// The smoothed round trip, once it has been measured.
    pub fn round_trip(&self) -> Option<Time> {
        self.round_trip
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] or [`LinkError::QueueFull`]. A frame cannot be left out, so the link is over.
    pub fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let bytes = encode(frame, self.config.most_frame_bytes)?;
        if self.queued_bytes + bytes.len() > self.config.most_queued_bytes {
            return Err(LinkError::QueueFull);
        }
        let offered = match frame {
            Frame::Offer { forwarded, .. } => Some(*forwarded),
            _ => None,
        };
        self.queued_bytes += bytes.len();
        self.queue.push_back(Transmit { bytes, offered });
        Ok(())
    }

    /// Takes what to write next off the queue.
    pub fn transmit(&mut self) -> Option<Transmit> {
        let transmit = self.queue.pop_front()?;
        self.queued_bytes -= transmit.bytes.len();
        Some(transmit)
    }

    /// When [`Link::tick`] is due.
    pub fn due(&self) -> Time {
        self.next_ping_at.min(self.last_received_at + self.config.silence_timeout)
    }

    /// Lets time pass: queues a heartbeat when one is due.
    ///
    /// # Errors
    /// [`LinkError::SilenceTimeout`] if nothing has come for too long, or as [`Link::send`].
    pub fn tick(&mut self, now: Time) -> Result<(), LinkError> {
        if now >= self.last_received_at + self.config.silence_timeout {
            return Err(LinkError::SilenceTimeout);
        }
        if now >= self.next_ping_at {
            self.next_ping_at = now + self.config.heartbeat;
            self.send(&Frame::Ping(now.as_micros() as u64))?;
        }
        Ok(())
    }
}
