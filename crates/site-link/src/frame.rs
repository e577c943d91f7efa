//! The frames of a link, and their encoding.
//!
//! Variants and fields are encoded by position. Adding, removing or reordering one requires a new
//! [`VERSION`](crate::VERSION). `tests/wire_bytes.rs` checks the bytes of each frame type.

use bytes::{Buf, Bytes, BytesMut};
use chutesaddle_gateway::{Outcome, RemoteStatus, ReturnReason};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{FrameFault, LinkError};

/// Size of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;
/// Size of the length prefix and the checksum of a frame on an established link.
pub(crate) const HEAD_BYTES: usize = PREFIX_BYTES + size_of::<u64>();

/// A request offered to another site. Classes and tenants are identified by name, because their numbers differ between
/// sites.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedRequest {
    /// Name of the request class.
    pub class: String,
    /// Name of the tenant.
    pub tenant: String,
    /// Estimated work in seconds, if the client sent an estimate.
    pub estimated_work_s: Option<f64>,
    /// Slots that the request needs.
    pub slots: f64,
    /// Memory that the request needs.
    pub memory: f64,
    /// The `X-Request-Id` header.
    pub request_id: Bytes,
    /// The request target from the request line.
    pub target: Bytes,
    /// The `Idempotency-Key` header.
    pub key: Option<Bytes>,
    /// The `Content-Type` header.
    pub content_type: Option<Bytes>,
    /// The request body.
    pub body: Bytes,
}

/// A message on an established link. Forwarded requests are identified by a number that the dialling site assigns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A heartbeat, with the sender's time in microseconds.
    Ping(u64),
    /// The reply to a heartbeat, with the time from the heartbeat.
    Pong(u64),
    /// The sender closes the link for this reason.
    Bye(String),
    /// To the dialling site: capacity that it may use.
    Grant {
        /// Incarnation of the granting process.
        epoch: u64,
        /// Cumulative number of slots that may be used on this link, counted from its establishment.
        limit: u64,
        /// Validity of the grant, in microseconds.
        term_us: u64,
    },
    /// To the dialling site: the request is accepted.
    Accepted(u64),
    /// To the dialling site: the request is returned without having been started.
    Returned(u64, ReturnReason),
    /// To the dialling site: the outcome of the request.
    Ended(u64, Outcome),
    /// To the dialling site: the status of the request, in reply to [`Frame::StatusQuery`].
    Status(u64, RemoteStatus),
    /// From the dialling site: a request.
    Offer {
        /// Number of the request.
        forwarded: u64,
        /// Incarnation of the process that granted the capacity for the request.
        epoch: u64,
        /// Time until the client's deadline in microseconds, minus the round trip and a margin.
        time_left_us: u64,
        /// How long the outcome must be retained for status queries, in microseconds.
        keep_outcome_us: u64,
        /// The request.
        request: Box<OfferedRequest>,
    },
    /// From the dialling site: the client of the request has disconnected.
    Cancel(u64),
    /// From the dialling site: asks for the status of these requests.
    StatusQuery(Vec<u64>),
    /// From the dialling site: the outcome of the request has been received.
    Acknowledge(u64),
}

/// Encodes a frame of an established link, with its length and checksum.
///
/// # Errors
/// [`LinkError::FrameTooLong`] if the body exceeds `max_bytes`, because the peer would close the link.
pub(crate) fn encode(frame: &Frame, max_bytes: usize) -> Result<Bytes, LinkError> {
    let mut bytes = encode_after(HEAD_BYTES, frame, max_bytes)?;
    let checksum = checksum(&bytes[HEAD_BYTES..]);
    bytes[PREFIX_BYTES..HEAD_BYTES].copy_from_slice(&checksum.to_be_bytes());
    Ok(bytes.into())
}

/// Removes the first frame of an established link from the received bytes and decodes it. Returns `None` while it is
/// incomplete.
///
/// # Errors
/// Returns what is wrong with the frame.
pub(crate) fn decode(received: &mut BytesMut, max_bytes: usize) -> Result<Option<Frame>, FrameFault> {
    let Some(head) = received.first_chunk::<HEAD_BYTES>() else { return Ok(None) };
    let (prefix, expected) = head.split_at(PREFIX_BYTES);
    let length = prefix.iter().fold(0, |length, byte| length << 8 | usize::from(*byte));
    if length > max_bytes {
        return Err(FrameFault::TooLong { length, max: max_bytes });
    }
    if received.len() < HEAD_BYTES + length {
        return Ok(None);
    }
    if expected != checksum(&received[HEAD_BYTES..HEAD_BYTES + length]).to_be_bytes() {
        return Err(FrameFault::ChecksumMismatch { length });
    }
    received.advance(HEAD_BYTES);
    let body = received.split_to(length);
    match postcard::take_from_bytes(&body) {
        Ok((frame, [])) => Ok(Some(frame)),
        Ok((_, [_, ..])) | Err(_) => Err(FrameFault::Undecodable { length }),
    }
}

/// The checksum of a frame: over its body, with the body's length as the seed.
fn checksum(body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, body.len() as u64)
}

/// Encodes a handshake message with its length prefix. It has no checksum, so that every version can read it.
///
/// # Errors
/// [`LinkError::FrameTooLong`] if the message exceeds `max_bytes`.
pub(crate) fn encode_handshake(message: &impl Serialize, max_bytes: usize) -> Result<Bytes, LinkError> {
    Ok(encode_after(PREFIX_BYTES, message, max_bytes)?.into())
}

/// Encodes a message after a head of this size, which begins with the length of the body and is otherwise zero.
fn encode_after(head_bytes: usize, message: &impl Serialize, max_bytes: usize) -> Result<Vec<u8>, LinkError> {
    let mut bytes =
        postcard::to_extend(message, vec![0; head_bytes]).map_err(|_| LinkError::MalformedFrame)?;
    let length = bytes.len() - head_bytes;
    if length > max_bytes {
        return Err(LinkError::FrameTooLong { length, max: max_bytes });
    }
    // Does not truncate: `length` is at most `max_bytes`, which is far below 4 GiB.
    bytes[..PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Removes the first handshake message from the received bytes and decodes it. Returns `None` while it is incomplete.
///
/// # Errors
/// [`LinkError::FrameTooLong`] if the message exceeds `max_bytes`, [`LinkError::MalformedFrame`] if it cannot be decoded
/// or has trailing bytes.
pub(crate) fn decode_handshake<T: for<'a> Deserialize<'a>>(
    received: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<T>, LinkError> {
    let Some(prefix) = received.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > max_bytes {
        return Err(LinkError::FrameTooLong { length, max: max_bytes });
    }
    if received.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    received.advance(PREFIX_BYTES);
    let body = received.split_to(length);
    match postcard::take_from_bytes(&body) {
        Ok((frame, [])) => Ok(Some(frame)),
        Ok((_, [_, ..])) | Err(_) => Err(LinkError::MalformedFrame),
    }
}
