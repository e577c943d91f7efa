//! An established link: receives and sends frames, and monitors the peer with heartbeats.
//!
//! The link replies to heartbeats itself and ends if no frame is received for [`Config::silence_timeout`]. All other
//! frames are passed to the caller.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::frame::{decode, encode, Frame};
use crate::{Config, LinkError, Time};

/// Weight of a new measurement in the smoothed round-trip time.
const ROUND_TRIP_WEIGHT: f64 = 0.2;
/// Characters kept of the peer's reason for closing.
const MAX_REASON_CHARS: usize = 200;

/// A frame to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The encoded frame.
    pub bytes: Bytes,
    /// Number of the request that the frame offers, if any. The request may run as soon as the last byte is written.
    pub offered: Option<u64>,
}

/// One side of an established link.
#[derive(Debug)]
pub struct Link {
    config: Config,
    received: BytesMut,
    last_received_at: Time,
    next_ping_at: Time,
    round_trip: Option<Time>,
    queue: VecDeque<Transmit>,
    queued_bytes: usize,
}

impl Link {
    /// Called only by the handshake. `received` are the bytes received after it.
    pub(crate) fn new(now: Time, config: Config, received: BytesMut) -> Self {
        Link {
            config,
            received,
            last_received_at: now,
            next_ping_at: now,
            round_trip: None,
            queue: VecDeque::new(),
            queued_bytes: 0,
        }
    }

    /// Decodes received bytes and appends the frames for the gateway to `frames`. Decoding stops at the first malformed
    /// frame.
    ///
    /// # Errors
    /// Returns the reason why the link ends: an error of the peer, or its reason for closing.
    pub fn input(&mut self, now: Time, bytes: &[u8], frames: &mut Vec<Frame>) -> Result<(), LinkError> {
        self.received.extend_from_slice(bytes);
        while let Some(frame) = decode::<Frame>(&mut self.received, self.config.max_frame_bytes)? {
            self.last_received_at = now;
            match frame {
                Frame::Ping(sent_at_us) => self.send(&Frame::Pong(sent_at_us))?,
                Frame::Pong(sent_at_us) => self.measure_round_trip(now, sent_at_us),
                Frame::Bye(reason) => {
                    let reason = reason.chars().take(MAX_REASON_CHARS).collect();
                    return Err(LinkError::ClosedByPeer(reason));
                }
                frame => frames.push(frame),
            }
        }
        Ok(())
    }

    fn measure_round_trip(&mut self, now: Time, sent_at_us: u64) {
        // This side never sends a time in the future, so such a reply is ignored.
        let Some(measured) = now.checked_sub(Time::from_micros(sent_at_us)) else { return };
        self.round_trip = Some(match self.round_trip {
            None => measured,
            Some(smoothed) => smoothed.mul_f64(1.0 - ROUND_TRIP_WEIGHT) + measured.mul_f64(ROUND_TRIP_WEIGHT),
        });
    }

    /// The smoothed round-trip time, or `None` before the first measurement.
    pub fn round_trip(&self) -> Option<Time> {
        self.round_trip
    }

    /// Queues a frame for writing.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] or [`LinkError::QueueFull`]. Frames must not be dropped, so the link must be closed.
    pub fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let bytes = encode(frame, self.config.max_frame_bytes)?;
        if self.queued_bytes + bytes.len() > self.config.max_queued_bytes {
            return Err(LinkError::QueueFull { max: self.config.max_queued_bytes });
        }
        let offered = match frame {
            Frame::Offer { forwarded, .. } => Some(*forwarded),
            _ => None,
        };
        self.queued_bytes += bytes.len();
        self.queue.push_back(Transmit { bytes, offered });
        Ok(())
    }

    /// Removes the next frame to write from the queue.
    pub fn transmit(&mut self) -> Option<Transmit> {
        let transmit = self.queue.pop_front()?;
        self.queued_bytes -= transmit.bytes.len();
        Some(transmit)
    }

    /// The time at which [`Link::tick`] must be called next.
    pub fn due(&self) -> Time {
        self.next_ping_at.min(self.last_received_at + self.config.silence_timeout)
    }

    /// Checks the silence timeout and queues a heartbeat if one is due.
    ///
    /// # Errors
    /// [`LinkError::SilenceTimeout`] if no frame was received for too long, or an error of [`Link::send`].
    pub fn tick(&mut self, now: Time) -> Result<(), LinkError> {
        if now >= self.last_received_at + self.config.silence_timeout {
            return Err(LinkError::SilenceTimeout(self.config.silence_timeout));
        }
        if now >= self.next_ping_at {
            self.next_ping_at = now + self.config.heartbeat;
            self.send(&Frame::Ping(now.as_micros() as u64))?;
        }
        Ok(())
    }
}
