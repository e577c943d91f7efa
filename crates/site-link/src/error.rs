//! Errors that end a link. The error text is also sent to the peer, in a [`Frame::Bye`](crate::Frame::Bye).

use std::time::Duration;

use crate::VERSION;

/// An error that ends a link. Only the link is affected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The peer speaks another protocol.
    #[error("the peer does not speak the site link protocol")]
    OtherProtocol,
    /// The peer speaks another version of the protocol.
    #[error("the peer speaks version {0} of the site link protocol, this site version {VERSION}")]
    UnsupportedVersion(u16),
    /// The peer's proof does not match the shared secret.
    #[error("authentication failed: the peer's secret differs from this site's")]
    WrongSecret,
    /// The peer belongs to another site than the one dialled, or to a site that the operator's file does not list.
    #[error("the peer identifies itself as site {0:?}, which is not configured for this link")]
    UnknownPeer(String),
    /// A frame exceeds the maximum size.
    #[error("frame of {length} bytes exceeds the maximum of {max} bytes")]
    FrameTooLong {
        /// Length of the frame in bytes.
        length: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// A frame cannot be encoded or decoded.
    #[error("malformed frame")]
    MalformedFrame,
    /// A received frame is invalid. Frames are counted from 1.
    #[error("received frame {number} is invalid: {fault}")]
    InvalidFrame {
        /// Number of the frame since the handshake.
        number: u64,
        /// What is wrong with it.
        fault: FrameFault,
    },
    /// No frame was received within [`Config::silence_timeout`](crate::Config::silence_timeout).
    #[error("no frame received from the peer for {0:?}")]
    SilenceTimeout(Duration),
    /// The handshake took longer than [`Config::handshake_timeout`](crate::Config::handshake_timeout).
    #[error("handshake not completed within {0:?}")]
    HandshakeTimeout(Duration),
    /// The queue of bytes to write is full, because the peer reads too slowly.
    #[error("send queue of {max} bytes is full: the peer is not reading")]
    QueueFull {
        /// Maximum length of the queue in bytes.
        max: usize,
    },
    /// Nothing could be written within [`Config::silence_timeout`](crate::Config::silence_timeout).
    #[error("the peer has read nothing for {0:?}")]
    WriteStalled(Duration),
    /// The peer closed the link and gave this reason.
    #[error("closed by the peer: {0}")]
    ClosedByPeer(String),
}

/// What is wrong with a received frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameFault {
    /// The frame exceeds the maximum size.
    #[error("{length} bytes exceed the maximum of {max} bytes")]
    TooLong {
        /// Length of the body in bytes.
        length: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// The checksum differs from that of the received bytes.
    #[error("the checksum does not match the {length} bytes received")]
    ChecksumMismatch {
        /// Length of the body in bytes.
        length: usize,
    },
    /// The body cannot be decoded or has trailing bytes.
    #[error("the body of {length} bytes cannot be decoded")]
    Undecodable {
        /// Length of the body in bytes.
        length: usize,
    },
    /// The connection ended within the frame.
    #[error("the connection ended after {received} bytes of it")]
    CutOff {
        /// Number of bytes received.
        received: usize,
    },
}
