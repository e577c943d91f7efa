//! The handshake: who is at the other end, in which version, and proof that both ends know the secret.
//!
//! Each end sends its [`IdentityMessage`] at once. When it has the other's, it sends an HMAC over both, made with
//! the shared secret. The HMAC also covers the role, so that neither a recording nor an echo of an end's own proof
//! passes. A [`Link`] can be had in no other way.

use bytes::{Bytes, BytesMut};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::frame::{decode, encode};
use crate::link::Link;
use crate::{Config, LinkError, Time, VERSION};

const MAGIC: [u8; 8] = *b"chutelnk";
/// The longest frame of a handshake. It is short, as the other end has not proved anything yet.
const MOST_MESSAGE_BYTES: usize = 512;
/// The longest name of a site.
const MOST_NAME_BYTES: usize = 128;

/// The secret that both ends know.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// The least length in bytes.
    pub const LEAST_BYTES: usize = 16;

    /// A secret; `None` if it is shorter than [`Secret::LEAST_BYTES`].
    pub fn new(bytes: impl Into<Vec<u8>>) -> Option<Self> {
        let bytes = bytes.into();
        (bytes.len() >= Self::LEAST_BYTES).then_some(Secret(bytes))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// This end.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// The name of its site.
    pub site: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Random bytes, never used before.
    pub nonce: [u8; 16],
    /// Whether it has dialled.
    pub dialled: bool,
}

/// The other end, once it has proved that it knows the secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The name of its site.
    pub site: String,
    /// The incarnation of its process.
    pub incarnation: u64,
}

#[derive(Clone, Serialize, Deserialize)]
struct IdentityMessage {
    magic: [u8; 8],
    version: u16,
    site: String,
    incarnation: u64,
    nonce: [u8; 16],
}

impl IdentityMessage {
    fn check(&self) -> Result<(), LinkError> {
        if self.magic != MAGIC {
            return Err(LinkError::OtherProtocol);
        }
        if self.version != VERSION {
            return Err(LinkError::UnsupportedVersion(self.version));
        }
        if self.site.is_empty() || self.site.len() > MOST_NAME_BYTES {
            return Err(LinkError::MalformedFrame);
        }
        Ok(())
    }
}

#[derive(Serialize, Deserialize)]
struct ProofMessage([u8; 32]);

/// The other end's identity message, as claimed: it is proved when the handshake is over.
#[derive(Debug)]
struct PeerClaim {
    identity: PeerIdentity,
    /// The message as it is covered by the proofs.
    message: Bytes,
}

/// What follows from what was read.
#[derive(Debug)]
pub enum HandshakeStep {
    /// The handshake goes on; write this first.
    Continue(Bytes),
    /// It is over: write this, then use the link.
    Established(Bytes, Box<Link>, PeerIdentity),
}

/// A handshake under way.
#[derive(Debug)]
pub struct Handshake {
    config: Config,
    secret: Secret,
    dialled: bool,
    own_message: Bytes,
    times_out_at: Time,
    peer: Option<PeerClaim>,
    read: BytesMut,
}

impl Handshake {
    /// Begins, and gives the first bytes to write.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] if the site's name is too long.
    pub fn begin(
        now: Time,
        config: Config,
        secret: Secret,
        local: LocalIdentity,
    ) -> Result<(Self, Bytes), LinkError> {
        let LocalIdentity { site, incarnation, nonce, dialled } = local;
        let message = IdentityMessage { magic: MAGIC, version: VERSION, site, incarnation, nonce };
        let own_message = encode(&message, MOST_MESSAGE_BYTES)?;
        let first_bytes = own_message.clone();
        let times_out_at = now + config.handshake_timeout;
        let read = BytesMut::new();
        let handshake = Handshake { config, secret, dialled, own_message, times_out_at, peer: None, read };
        Ok((handshake, first_bytes))
    }

    /// When the handshake has taken too long.
    pub fn times_out_at(&self) -> Time {
        self.times_out_at
    }

    /// Takes what was read.
    ///
    /// # Errors
    /// What the other end did wrong; the connection is to be closed.
    pub fn input(&mut self, now: Time, bytes: &[u8]) -> Result<HandshakeStep, LinkError> {
        if now >= self.times_out_at {
            return Err(LinkError::HandshakeTimeout);
        }
        self.read.extend_from_slice(bytes);
        let mut write = Bytes::new();
        if self.peer.is_none() {
            let Some(claim) = self.read_identity()? else { return Ok(HandshakeStep::Continue(write)) };
            let proof = ProofMessage(self.hmac(self.dialled, &claim.message).finalize().into_bytes().into());
            write = encode(&proof, MOST_MESSAGE_BYTES)?;
            self.peer = Some(claim);
        }
        let proof = decode::<ProofMessage>(&mut self.read, MOST_MESSAGE_BYTES)?;
        let (Some(proof), Some(claim)) = (proof, &self.peer) else {
            return Ok(HandshakeStep::Continue(write));
        };
        // `verify_slice` compares in constant time.
        let expected = self.hmac(!self.dialled, &claim.message);
        expected.verify_slice(&proof.0).map_err(|_| LinkError::WrongSecret)?;
        let peer = claim.identity.clone();
        // What was read beyond the handshake belongs to the link.
        let link = Link::new(now, self.config.clone(), self.read.split());
        Ok(HandshakeStep::Established(write, Box::new(link), peer))
    }

    /// Reads the other end's identity message; `None` while it is not there whole.
    fn read_identity(&mut self) -> Result<Option<PeerClaim>, LinkError> {
        // Bytes that do not decode come from another protocol rather than from a broken gateway.
        let message = decode::<IdentityMessage>(&mut self.read, MOST_MESSAGE_BYTES)
            .map_err(|_| LinkError::OtherProtocol)?;
        let Some(message) = message else { return Ok(None) };
        message.check()?;
        let identity = PeerIdentity { site: message.site.clone(), incarnation: message.incarnation };
        Ok(Some(PeerClaim { identity, message: encode(&message, MOST_MESSAGE_BYTES)? }))
    }

    /// What the end in that role must show, over both identity messages.
    fn hmac(&self, dialled: bool, peer_message: &Bytes) -> Hmac<Sha256> {
        let (dialler_message, accepter_message) =
            if self.dialled { (&self.own_message, peer_message) } else { (peer_message, &self.own_message) };
        let role: &[u8] = if dialled { b"dialled" } else { b"accepted" };
        // HMAC takes a key of any length.
        let mut hmac = Hmac::<Sha256>::new_from_slice(&self.secret.0).unwrap_or_else(|_| unreachable!());
        for part in [role, dialler_message, accepter_message] {
            hmac.update(&(part.len() as u64).to_be_bytes());
            hmac.update(part);
        }
        hmac
    }
}
