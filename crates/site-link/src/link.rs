//! An established link: receives and sends frames, and monitors the peer with heartbeats.
//!
//! The link replies to heartbeats itself and ends if no frame is received, or nothing can be written, for
//! [`Config::silence_timeout`]. All other frames are passed to the caller.
//!
//! | event | what happens to queued frames |
//! | --- | --- |
//! | [`Link::written`] | they are written in order; an offer counts as written with its last byte |
//! | [`Link::end`] | those that are not written completely are discarded and never written |

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::frame::{decode, encode, Frame, HEAD_BYTES};
use crate::{Config, FrameFault, LinkError, Time};

/// Weight of a new measurement in the smoothed round-trip time.
const ROUND_TRIP_WEIGHT: f64 = 0.2;
/// Characters kept of the peer's reason for closing.
const MAX_REASON_CHARS: usize = 200;
/// Bytes by which heartbeats may exceed the limit of the queue.
const HEARTBEAT_RESERVE_BYTES: usize = 1024;

/// A frame to write.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Bytes,
    /// Number of the request that the frame offers, if any.
    offered: Option<u64>,
}

/// One side of an established link.
#[derive(Debug)]
pub struct Link {
    config: Config,
    received: BytesMut,
    received_frames: u64,
    last_received_at: Time,
    next_ping_at: Time,
    round_trip: Option<Time>,
    queue: VecDeque<QueuedFrame>,
    /// Length of all queued frames, including what is written of the first.
    queued_bytes: usize,
    /// Number of bytes written of the first queued frame.
    written_bytes: usize,
    /// Since when bytes have been queued and none written, as far as [`Link::tick`] has noticed.
    stalled_since: Option<Time>,
}

impl Link {
    /// Called only by the handshake. `received` are the bytes received after it.
    pub(crate) fn new(now: Time, config: Config, received: BytesMut) -> Self {
        Link {
            config,
            received,
            received_frames: 0,
            last_received_at: now,
            next_ping_at: now,
            round_trip: None,
            queue: VecDeque::new(),
            queued_bytes: 0,
            written_bytes: 0,
            stalled_since: None,
        }
    }

    /// Decodes received bytes and appends the frames for the gateway to `frames`. Decoding stops at the first invalid
    /// frame.
    ///
    /// # Errors
    /// Returns the reason why the link ends: an error of the peer, or its reason for closing.
    pub fn input(&mut self, now: Time, bytes: &[u8], frames: &mut Vec<Frame>) -> Result<(), LinkError> {
        self.received.extend_from_slice(bytes);
        while let Some(frame) = self.next_frame()? {
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

    fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        let frame = decode(&mut self.received, self.config.max_frame_bytes)
            .map_err(|fault| LinkError::InvalidFrame { number: self.received_frames + 1, fault })?;
        self.received_frames += u64::from(frame.is_some());
        Ok(frame)
    }

    /// Handles the end of the received stream. Returns the reason why the link ends if the stream ended within a frame.
    pub fn end_of_input(&self) -> Option<LinkError> {
        if self.received.is_empty() {
            return None;
        }
        let fault = FrameFault::CutOff { received: self.received.len() };
        Some(LinkError::InvalidFrame { number: self.received_frames + 1, fault })
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

    /// Returns whether a frame of any size can be queued. The caller keeps its frames back while it cannot.
    pub fn has_room(&self) -> bool {
        let largest_frame = HEAD_BYTES + self.config.max_frame_bytes;
        self.queue.is_empty() || self.queued_bytes + largest_frame <= self.config.max_queued_bytes
    }

    /// Queues a frame for writing.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] or [`LinkError::QueueFull`]. Frames must not be dropped, so the link must be closed.
    pub fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let bytes = encode(frame, self.config.max_frame_bytes)?;
        let max = self.config.max_queued_bytes;
        let is_heartbeat = matches!(frame, Frame::Ping(_) | Frame::Pong(_));
        let reserve = if is_heartbeat { HEARTBEAT_RESERVE_BYTES } else { 0 };
        // An empty queue takes any frame.
        if !self.queue.is_empty() && self.queued_bytes + bytes.len() > max + reserve {
            return Err(LinkError::QueueFull { max });
        }
        let offered = match frame {
            Frame::Offer { forwarded, .. } => Some(*forwarded),
            _ => None,
        };
        self.queued_bytes += bytes.len();
        self.queue.push_back(QueuedFrame { bytes, offered });
        Ok(())
    }

    /// The bytes to write next: the rest of the first queued frame. Empty if none is queued.
    pub fn pending(&self) -> &[u8] {
        self.queue.front().map_or(&[], |frame| &frame.bytes[self.written_bytes..])
    }

    /// Records that the first `count` bytes of [`Link::pending`] are written. Returns the number of a request whose offer
    /// is now written completely: the peer may run it from now on.
    pub fn written(&mut self, count: usize) -> Option<u64> {
        self.stalled_since = None;
        self.written_bytes += count;
        let first = self.queue.front()?;
        if self.written_bytes < first.bytes.len() {
            return None;
        }
        let first = self.queue.pop_front()?;
        self.queued_bytes -= first.bytes.len();
        self.written_bytes = 0;
        first.offered
    }

    /// Ends the link. Frames that are not written completely are discarded, so the requests that they offer never reach
    /// the peer. Returns the last bytes to write, which tell the peer the reason; none if part of a frame is written,
    /// because the peer would take them for the rest of that frame.
    pub fn end(&mut self, reason: Option<String>) -> Option<Bytes> {
        let is_within_frame = self.written_bytes > 0;
        self.queue.clear();
        (self.queued_bytes, self.written_bytes) = (0, 0);
        if is_within_frame {
            return None;
        }
        encode(&Frame::Bye(reason?), self.config.max_frame_bytes).ok()
    }

    /// The time at which [`Link::tick`] must be called next.
    pub fn due(&self) -> Time {
        let quiet_since =
            self.stalled_since.map_or(self.last_received_at, |at| at.min(self.last_received_at));
        self.next_ping_at.min(quiet_since + self.config.silence_timeout)
    }

    /// Checks the timeouts and queues a heartbeat if one is due.
    ///
    /// # Errors
    /// [`LinkError::SilenceTimeout`] if no frame was received for too long, [`LinkError::WriteStalled`] if nothing could
    /// be written for that long, or an error of [`Link::send`].
    pub fn tick(&mut self, now: Time) -> Result<(), LinkError> {
        let timeout = self.config.silence_timeout;
        if now >= self.last_received_at + timeout {
            return Err(LinkError::SilenceTimeout(timeout));
        }
        if self.stalled_since.is_some_and(|since| now >= since + timeout) {
            return Err(LinkError::WriteStalled(timeout));
        }
        if !self.queue.is_empty() {
            self.stalled_since.get_or_insert(now);
        }
        if now >= self.next_ping_at {
            self.next_ping_at = now + self.config.heartbeat;
            self.send(&Frame::Ping(now.as_micros() as u64))?;
        }
        Ok(())
    }
}
