//! The wire protocol of a link between two sites: handshake, authentication, frames and heartbeats.
//!
//! This crate is sans-I/O: it opens no sockets, reads no clock and draws no random numbers. Each side starts with a
//! [`Handshake`], which yields a [`Link`] only after the peer has proved that it knows the shared secret. The caller
//! passes received bytes to [`Link::input`], reports the time with [`Link::tick`] and writes the bytes returned by
//! [`Link::transmit`]. The meaning of the frames is defined in `chutesaddle-gateway`. The sockets are in
//! `src/server/peers/site_links.rs`.
//!
//! ```text
//! frame     = length (u32, big endian) body        body: postcard of IdentityMessage, ProofMessage or Frame
//! handshake = both sides: IdentityMessage immediately, ProofMessage once the peer's IdentityMessage has arrived
//! ```
//!
//! | state | type | ends with |
//! | --- | --- | --- |
//! | handshake | [`Handshake`] | [`HandshakeStep::Established`], or a [`LinkError`] |
//! | up | [`Link`] | a [`LinkError`]; the connection is closed |
//!
//! A link delivers frames in order and cannot be reused after it has ended. The status of requests that were in flight
//! at its end is queried over the next link. The protocol authenticates both sides but does not encrypt. Encryption can
//! be added between the link and the socket, because a link runs over any byte stream.
#![warn(missing_docs)]

mod config;
mod error;
mod frame;
mod handshake;
mod link;

use std::time::Duration;

pub use config::{Config, ReconnectBackoff};
pub use error::LinkError;
pub use frame::{Frame, OfferedRequest};
pub use handshake::{Handshake, HandshakeStep, LocalIdentity, PeerIdentity, Secret};
pub use link::{Link, Transmit};

/// Time since an origin chosen by the caller. It must be monotonic.
pub type Time = Duration;

/// Version of the protocol: of the handshake and of all frames.
pub const VERSION: u16 = 1;
