//! One link between two sites, as the bytes on it: handshake, authentication, frames, heartbeats.
//!
//! This crate is sans-I/O: it opens no socket, reads no clock and draws no random number. Both ends begin with a
//! [`Handshake`], which becomes a [`Link`] only when the other end has proved that it knows the secret. A link is
//! fed with what was read ([`Link::input`]) and with time ([`Link::tick`]), and says what to write
//! ([`Link::transmit`]). It does not know what its frames mean; `chutesaddle-gateway` does. The sockets are in
//! `src/server/peers/site_links.rs`.
//!
//! ```text
//! frame     = length (u32, big endian) body        body: postcard of IdentityMessage, ProofMessage or Frame
//! handshake = both ends: IdentityMessage at once, ProofMessage when the other's IdentityMessage is there
//! ```
//!
//! | state | type | ends with |
//! | --- | --- | --- |
//! | handshake | [`Handshake`] | [`HandshakeStep::Established`], or a [`LinkError`] |
//! | up | [`Link`] | a [`LinkError`]; the connection is closed |
//!
//! A link carries frames in order and is never up again after it has ended: what was under way then is asked about
//! on the next one. It authenticates both ends and hides nothing. Encryption goes between it and the socket, which
//! may be any stream of bytes.
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

/// Time since a start that the caller chooses; it must not run backwards.
pub type Time = Duration;

/// The version of all that is sent on a link.
pub const VERSION: u16 = 1;
