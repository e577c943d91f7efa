//! A link that is up.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::frame::{decode, encode, Frame};
use crate::{Config, LinkError, Time};

/// Weight of a new measurement of the way there and back.
const FRESH: f64 = 0.2;

/// Something to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The bytes of one frame.
    pub bytes: Bytes,
    /// The crossing that they offer: it matters when the last of them is written.
    pub offers: Option<u64>,
}

/// One end of a link.
#[derive(Debug)]
pub struct Link {
    config: Config,
    read: BytesMut,
    heard: Time,
    ping_at: Time,
    round_trip: Option<Time>,
    queue: VecDeque<Transmit>,
    queued: usize,
}

impl Link {
    /// Only a greeting makes one; `read` is what came behind it.
    pub(crate) fn new(now: Time, config: Config, read: BytesMut) -> Self {
        let (queue, queued) = (VecDeque::new(), 0);
        Link { config, read, heard: now, ping_at: now, round_trip: None, queue, queued }
    }

    /// Takes what was read, and gives the frames that the gateway is to see. Those that come after a bad one
    /// are not seen.
    ///
    /// # Errors
    /// Says what the other end did; the link is over.
    pub fn input(&mut self, now: Time, bytes: &[u8], frames: &mut Vec<Frame>) -> Result<(), LinkError> {
        self.read.extend_from_slice(bytes);
        while let Some(frame) = decode::<Frame>(&mut self.read, self.config.frame)? {
            self.heard = now;
            match frame {
                Frame::Ping(at) => self.send(&Frame::Pong(at))?,
                Frame::Pong(at) => self.measured(now, at),
                Frame::Bye(why) => return Err(LinkError::Bye(why.chars().take(200).collect())),
                frame => frames.push(frame),
            }
        }
        Ok(())
    }

    fn measured(&mut self, now: Time, at_us: u64) {
        // A time that was never sent is nobody's measurement.
        let Some(took) = now.checked_sub(Time::from_micros(at_us)) else { return };
        self.round_trip = Some(match self.round_trip {
            None => took,
            Some(known) => known.mul_f64(1.0 - FRESH) + took.mul_f64(FRESH),
        });
    }

    /// The time there and back, once it has been measured.
    pub fn round_trip(&self) -> Option<Time> {
        self.round_trip
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// If it is too long, or too much waits: what is not an offer cannot be left out, so the link is over.
    pub fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let bytes = encode(frame, self.config.frame)?;
        if self.queued + bytes.len() > self.config.queue {
            return Err(LinkError::Full);
        }
        let offers = match frame {
            Frame::Offer { crossing, .. } => Some(*crossing),
            _ => None,
        };
        self.queued += bytes.len();
        self.queue.push_back(Transmit { bytes, offers });
        Ok(())
    }

    /// What to write next. Once asked for, it counts as on its way.
    pub fn transmit(&mut self) -> Option<Transmit> {
        let transmit = self.queue.pop_front()?;
        self.queued -= transmit.bytes.len();
        Some(transmit)
    }

    /// When [`Link::tick`] is due.
    pub fn due(&self) -> Time {
        self.ping_at.min(self.heard + self.config.silence)
    }

    /// Lets time pass: says "are you there?" when that is due.
    ///
    /// # Errors
    /// If the other end has said nothing for too long.
    pub fn tick(&mut self, now: Time) -> Result<(), LinkError> {
        if now >= self.heard + self.config.silence {
            return Err(LinkError::Silent);
        }
        if now >= self.ping_at {
            self.ping_at = now + self.config.heartbeat;
            self.send(&Frame::Ping(now.as_micros() as u64))?;
        }
        Ok(())
    }
}
