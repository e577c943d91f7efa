//! The handshake: exchanges identities and protocol versions, and proves that both sides know the shared secret.
//!
//! Each side sends its [`IdentityMessage`] immediately. On receipt of the peer's identity message it sends an HMAC over
//! both messages, keyed with the shared secret. The nonces in the messages prevent replay. The HMAC also covers the
//! role of the sender, so a side's own proof cannot be echoed back to it. A [`Link`] is created only by a handshake.

use bytes::{Bytes, BytesMut};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::frame::{decode_handshake, encode_handshake};
use crate::link::Link;
use crate::{Config, LinkError, Time, VERSION};

const MAGIC: [u8; 8] = *b"chutelnk";
/// Maximum size of a handshake frame. It is small because the peer is not authenticated yet.
const MAX_MESSAGE_BYTES: usize = 512;
/// Maximum length of a site name.
const MAX_SITE_NAME_BYTES: usize = 128;

/// The secret that both sites share.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Minimum length in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a secret. Returns `None` if it is shorter than [`Secret::MIN_BYTES`].
    pub fn new(bytes: impl Into<Vec<u8>>) -> Option<Self> {
        let bytes = bytes.into();
        (bytes.len() >= Self::MIN_BYTES).then_some(Secret(bytes))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// This side of a link.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Name of the site.
    pub site: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Random bytes, different for each handshake.
    pub nonce: [u8; 16],
    /// Whether this side dialled the connection.
    pub dialled: bool,
}

/// The identity of the peer, authenticated by the handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Name of the site.
    pub site: String,
    /// Incarnation of the process.
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
        if self.site.is_empty() || self.site.len() > MAX_SITE_NAME_BYTES {
            return Err(LinkError::MalformedFrame);
        }
        Ok(())
    }
}

#[derive(Serialize, Deserialize)]
struct ProofMessage([u8; 32]);

/// The identity that the peer claims. It is not authenticated until the handshake is complete.
#[derive(Debug)]
struct PeerClaim {
    identity: PeerIdentity,
    /// The encoded identity message, which the proofs cover.
    message: Bytes,
}

/// The result of passing received bytes to a handshake.
#[derive(Debug)]
pub enum HandshakeStep {
    /// The handshake is not complete. Write these bytes, then read more.
    Continue(Bytes),
    /// The handshake is complete. Write these bytes, then use the link.
    Established(Bytes, Box<Link>, PeerIdentity),
}

/// A handshake in progress.
#[derive(Debug)]
pub struct Handshake {
    config: Config,
    secret: Secret,
    dialled: bool,
    own_message: Bytes,
    times_out_at: Time,
    peer: Option<PeerClaim>,
    received: BytesMut,
}

impl Handshake {
    /// Starts a handshake. Returns it with the first bytes to write.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] if the site name does not fit into a handshake frame.
    pub fn begin(
        now: Time,
        config: Config,
        secret: Secret,
        local: LocalIdentity,
    ) -> Result<(Self, Bytes), LinkError> {
        let LocalIdentity { site, incarnation, nonce, dialled } = local;
        let message = IdentityMessage { magic: MAGIC, version: VERSION, site, incarnation, nonce };
        let own_message = encode_handshake(&message, MAX_MESSAGE_BYTES)?;
        let first_bytes = own_message.clone();
        let times_out_at = now + config.handshake_timeout;
        let received = BytesMut::new();
        let handshake =
            Handshake { config, secret, dialled, own_message, times_out_at, peer: None, received };
        Ok((handshake, first_bytes))
    }

    /// The time at which the handshake fails if it is not complete.
    pub fn times_out_at(&self) -> Time {
        self.times_out_at
    }

    /// Processes received bytes.
    ///
    /// # Errors
    /// Returns the reason why the handshake failed. The caller must close the connection.
    pub fn input(&mut self, now: Time, bytes: &[u8]) -> Result<HandshakeStep, LinkError> {
        if now >= self.times_out_at {
            return Err(LinkError::HandshakeTimeout(self.config.handshake_timeout));
        }
        self.received.extend_from_slice(bytes);
        let mut to_write = Bytes::new();
        if self.peer.is_none() {
            let Some(claim) = self.read_identity()? else { return Ok(HandshakeStep::Continue(to_write)) };
            let proof = ProofMessage(self.hmac(self.dialled, &claim.message).finalize().into_bytes().into());
            to_write = encode_handshake(&proof, MAX_MESSAGE_BYTES)?;
            self.peer = Some(claim);
        }
        let proof = decode_handshake::<ProofMessage>(&mut self.received, MAX_MESSAGE_BYTES)?;
        let (Some(proof), Some(claim)) = (proof, &self.peer) else {
            return Ok(HandshakeStep::Continue(to_write));
        };
        // `verify_slice` compares in constant time.
        let expected = self.hmac(!self.dialled, &claim.message);
        expected.verify_slice(&proof.0).map_err(|_| LinkError::WrongSecret)?;
        let peer = claim.identity.clone();
        // Bytes after the handshake belong to the link.
        let link = Link::new(now, self.config.clone(), self.received.split());
        Ok(HandshakeStep::Established(to_write, Box::new(link), peer))
    }

    /// Decodes the peer's identity message. Returns `None` while it is incomplete.
    fn read_identity(&mut self) -> Result<Option<PeerClaim>, LinkError> {
        // Bytes that cannot be decoded are more likely another protocol than a faulty gateway.
        let message = decode_handshake::<IdentityMessage>(&mut self.received, MAX_MESSAGE_BYTES)
            .map_err(|_| LinkError::OtherProtocol)?;
        let Some(message) = message else { return Ok(None) };
        message.check()?;
        let identity = PeerIdentity { site: message.site.clone(), incarnation: message.incarnation };
        Ok(Some(PeerClaim { identity, message: encode_handshake(&message, MAX_MESSAGE_BYTES)? }))
    }

    /// The proof required from one side: an HMAC over its role and both identity messages. `dialled` selects the side.
    fn hmac(&self, dialled: bool, peer_message: &Bytes) -> Hmac<Sha256> {
        let (dialler_message, accepter_message) =
            if self.dialled { (&self.own_message, peer_message) } else { (peer_message, &self.own_message) };
        let role: &[u8] = if dialled { b"dialled" } else { b"accepted" };
        // HMAC accepts keys of any length.
        let mut hmac = Hmac::<Sha256>::new_from_slice(&self.secret.0).unwrap_or_else(|_| unreachable!());
        for part in [role, dialler_message, accepter_message] {
            hmac.update(&(part.len() as u64).to_be_bytes());
            hmac.update(part);
        }
        hmac
    }
}
