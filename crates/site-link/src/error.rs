//! Why a link ends. The text of an error is also sent to the other end, in a [`Frame::Bye`](crate::Frame::Bye).

use crate::VERSION;

/// Why a link ends. Nothing but the link is affected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The other end speaks another protocol.
    #[error("the other end is no gateway")]
    OtherProtocol,
    /// It speaks another version.
    #[error("the other end speaks version {0} of the link, this one {VERSION}")]
    UnsupportedVersion(u16),
    /// It does not know the secret.
    #[error("the other end does not know the secret")]
    WrongSecret,
    /// It names a site that the operator's file does not list.
    #[error("the other end calls itself {0:?}, which is no peer of this site")]
    UnknownPeer(String),
    /// A frame has more bytes than allowed.
    #[error("a frame of {0} bytes is longer than allowed")]
    FrameTooLong(usize),
    /// A frame cannot be read.
    #[error("a frame cannot be read")]
    MalformedFrame,
    /// Nothing came for too long.
    #[error("the other end fell silent")]
    SilenceTimeout,
    /// The handshake took too long.
    #[error("the greeting took too long")]
    HandshakeTimeout,
    /// More bytes wait to be written than allowed.
    #[error("the other end takes nothing off, and the queue is full")]
    QueueFull,
    /// The other end closed the link and said why.
    #[error("the other end closed it: {0}")]
    ClosedByPeer(String),
}
