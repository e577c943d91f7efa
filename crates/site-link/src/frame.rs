//! What is said on a link, and how it is written.

use bytes::{Buf, Bytes, BytesMut};
use chutesaddle_gateway::{Outcome, RemoteStatus, ReturnReason};
use serde::{Deserialize, Serialize};

use crate::LinkError;

/// Bytes of the length before each frame.
const PREFIX: usize = 4;

/// What a transaction needs at the other site. Classes and tenants go by name: numbers are each site's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The class.
    pub class: String,
    /// The tenant.
    pub tenant: String,
    /// Its expected work in seconds, if its client gave a hint.
    pub hint: Option<f64>,
    /// Slots that it needs.
    pub slots: f64,
    /// Memory that it needs.
    pub memory: f64,
    /// `X-Request-Id`.
    pub name: Bytes,
    /// The target of the request line.
    pub target: Bytes,
    /// `Idempotency-Key`.
    pub key: Option<Bytes>,
    /// `Content-Type`.
    pub content_type: Option<Bytes>,
    /// The body.
    pub body: Bytes,
}

/// What the ends tell each other. Crossings go by the numbers of the end that dialled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Are you there? With the sender's own time in microseconds.
    Ping(u64),
    /// Yes; the time is given back unchanged.
    Pong(u64),
    /// The end of the link, and why.
    Bye(String),
    /// To the dialler: room that it may use.
    Grant {
        /// Which life of the granting process counts here.
        epoch: u64,
        /// Slots in all that may be sent on this link.
        limit: u64,
        /// For so long, in microseconds.
        term_us: u64,
    },
    /// To the dialler: the crossing is taken.
    Taken(u64),
    /// To the dialler: it is given back unstarted.
    GivenBack(u64, ReturnReason),
    /// To the dialler: how it ended.
    Ended(u64, Outcome),
    /// To the dialler: what is known of it.
    Told(u64, RemoteStatus),
    /// From the dialler: a transaction.
    Offer {
        /// Its number.
        crossing: u64,
        /// Which life of the granting process had granted the room for it.
        epoch: u64,
        /// Until its client gives up, in microseconds, less the way there and back.
        left_us: u64,
        /// How long its outcome may be asked for, in microseconds.
        keep_us: u64,
        /// The transaction.
        job: Box<Job>,
    },
    /// From the dialler: its client has left.
    Withdraw(u64),
    /// From the dialler: what is known of these?
    Ask(Vec<u64>),
    /// From the dialler: its outcome has arrived.
    Acknowledge(u64),
}

/// Writes one frame.
///
/// # Errors
/// If it is longer than allowed: the other end would close the link over it.
pub(crate) fn encode(frame: &impl Serialize, longest: usize) -> Result<Bytes, LinkError> {
    let bytes = postcard::to_extend(frame, vec![0; PREFIX]).map_err(|_| LinkError::Malformed)?;
    let length = bytes.len() - PREFIX;
    if length > longest {
        return Err(LinkError::TooLong(length));
    }
    let mut bytes = bytes;
    // At most `longest`, which is far below 4 GiB.
    bytes[..PREFIX].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes.into())
}

/// Takes one frame off the front of what was read, if it is there whole.
///
/// # Errors
/// If it is longer than allowed or cannot be read, or something follows within it.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(
    read: &mut BytesMut,
    longest: usize,
) -> Result<Option<T>, LinkError> {
    let Some(prefix) = read.first_chunk::<PREFIX>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > longest {
        return Err(LinkError::TooLong(length));
    }
    if read.len() < PREFIX + length {
        return Ok(None);
    }
    read.advance(PREFIX);
    let body = read.split_to(length);
    match postcard::take_from_bytes(&body) {
        Ok((frame, [])) => Ok(Some(frame)),
        _ => Err(LinkError::Malformed),
    }
}
