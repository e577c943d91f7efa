//! The frames of a link, and how one is written and read.
//!
//! Frames are encoded by the position of their variants and fields. Adding, dropping or reordering one needs a new
//! [`VERSION`](crate::VERSION); `tests/wire_bytes.rs` compares each kind with its bytes.

use bytes::{Buf, Bytes, BytesMut};
use chutesaddle_gateway::{Outcome, RemoteStatus, ReturnReason};
use serde::{Deserialize, Serialize};

use crate::LinkError;

/// Bytes of the length before each frame.
const PREFIX_BYTES: usize = 4;

/// What a request needs at the other site. Classes and tenants go by name, as their numbers differ between sites.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedRequest {
    /// The class.
    pub class: String,
    /// The tenant.
    pub tenant: String,
    /// Its estimated work in seconds, if its client gave a hint.
    pub estimated_work_s: Option<f64>,
    /// Slots that it needs.
    pub slots: f64,
    /// Memory that it needs.
    pub memory: f64,
    /// `X-Request-Id`.
    pub request_id: Bytes,
    /// The target of the request line.
    pub target: Bytes,
    /// `Idempotency-Key`.
    pub key: Option<Bytes>,
    /// `Content-Type`.
    pub content_type: Option<Bytes>,
    /// The body.
    pub body: Bytes,
}

/// What the two ends send. A forwarded request goes by the number that the dialling end gave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Heartbeat, with the sender's own time in microseconds.
    Ping(u64),
    /// The answer to a heartbeat; the time is given back unchanged.
    Pong(u64),
    /// The end of the link, and why.
    Bye(String),
    /// To the dialling end: capacity that it may use.
    Grant {
        /// The incarnation of the granting process.
        epoch: u64,
        /// Slots that may have been used on this link, counted since it came up.
        limit: u64,
        /// How long the grant holds, in microseconds.
        term_us: u64,
    },
    /// To the dialling end: the request is accepted.
    Accepted(u64),
    /// To the dialling end: the request is returned unstarted.
    Returned(u64, ReturnReason),
    /// To the dialling end: how the request ended.
    Ended(u64, Outcome),
    /// To the dialling end: what is known of the request.
    Status(u64, RemoteStatus),
    /// From the dialling end: a request.
    Offer {
        /// Its number.
        forwarded: u64,
        /// The incarnation that granted the capacity it uses.
        epoch: u64,
        /// Time until its client gives up, in microseconds, less the round trip and a margin.
        time_left_us: u64,
        /// How long its outcome may be asked for, in microseconds.
        keep_outcome_us: u64,
        /// The request.
        request: Box<OfferedRequest>,
    },
    /// From the dialling end: the client of the request has disconnected.
    Cancel(u64),
    /// From the dialling end: what is known of these?
    StatusQuery(Vec<u64>),
    /// From the dialling end: the outcome has arrived.
    Acknowledge(u64),
}

/// Writes one frame.
///
/// # Errors
/// [`LinkError::FrameTooLong`] if it has more than `most_bytes`: the other end would close the link over it.
pub(crate) fn encode(frame: &impl Serialize, most_bytes: usize) -> Result<Bytes, LinkError> {
    let mut bytes =
        postcard::to_extend(frame, vec![0; PREFIX_BYTES]).map_err(|_| LinkError::MalformedFrame)?;
    let length = bytes.len() - PREFIX_BYTES;
    if length > most_bytes {
        return Err(LinkError::FrameTooLong(length));
    }
    // At most `most_bytes`, which is far below 4 GiB.
    bytes[..PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes.into())
}

/// Takes one frame off the front of what was read; `None` while it is not there whole.
///
/// # Errors
/// [`LinkError::FrameTooLong`] if it has more than `most_bytes`, [`LinkError::MalformedFrame`] if it cannot be
/// decoded or something follows within it.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(
    read: &mut BytesMut,
    most_bytes: usize,
) -> Result<Option<T>, LinkError> {
    let Some(prefix) = read.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > most_bytes {
        return Err(LinkError::FrameTooLong(length));
    }
    if read.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    read.advance(PREFIX_BYTES);
    let body = read.split_to(length);
    match postcard::take_from_bytes(&body) {
        Ok((frame, [])) => Ok(Some(frame)),
        Ok((_, [_, ..])) | Err(_) => Err(LinkError::MalformedFrame),
    }
}
