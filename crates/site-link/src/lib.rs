//! The wire protocol of a link between two sites: handshake, authentication, frames and heartbeats.
//!
//! This crate is sans-I/O: it opens no sockets, reads no clock and draws no random numbers. Each side starts with a
//! [`Handshake`], which yields a [`Link`] only after the peer has proved that it knows the shared secret. The caller
//! passes received bytes to [`Link::input`], reports the time with [`Link::tick`], writes the bytes of
//! [`Link::pending`] and reports them with [`Link::written`]. The meaning of the frames is defined in `chutesaddle-gateway`. The sockets are in
//! `src/server/peers/site_links.rs`.
//!
//! ```text
//! handshake = both sides: IdentityMessage immediately, ProofMessage once the peer's IdentityMessage has arrived
//! message   = length (u32, big endian) body             body: postcard of IdentityMessage or ProofMessage
//! frame     = length (u32, big endian) checksum body    body: postcard of Frame
//! checksum  = XXH3, 64 bits, big endian, of the body, with the length as the seed
//! ```
//!
//! | state | type | ends with |
//! | --- | --- | --- |
//! | handshake | [`Handshake`] | [`HandshakeStep::Established`], or a [`LinkError`] |
//! | up | [`Link`] | a [`LinkError`]; the connection is closed |
//!
//! A link delivers frames in order and cannot be reused after it has ended. The status of requests that were in flight
//! at its end is queried over the next link. Of what is queued at its end nothing more is written, and nothing at all
//! follows part of a frame, so a request that is reported as not written never runs at the peer. The protocol authenticates both sides but does not encrypt. Encryption can
//! be added between the link and the socket, because a link runs over any byte stream.
#![warn(missing_docs)]

mod config;
mod error;
mod frame;
mod handshake;
mod link;

use std::time::Duration;

pub use config::{Config, ReconnectBackoff};
pub use error::{FrameFault, LinkError};
pub use frame::{Frame, OfferedRequest};
pub use handshake::{Handshake, HandshakeStep, LocalIdentity, PeerIdentity, Secret};
pub use link::Link;

/// Time since an origin chosen by the caller. It must be monotonic.
pub type Time = Duration;

/// Version of the protocol: of the handshake and of all frames. Version 2 added the checksum of frames. A peer with
/// another version is rejected, as its handshake messages can be read.
pub const VERSION: u16 = 2;
