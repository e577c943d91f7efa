//! The greeting: who is there, in which version, and proof that both know the secret. A [`Link`] can be had in
//! no other way.

use bytes::{Bytes, BytesMut};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::frame::{decode, encode};
use crate::link::Link;
use crate::{Config, LinkError, Time, VERSION};

const MAGIC: [u8; 8] = *b"chutelnk";
/// The longest frame of a greeting: nobody has proved anything yet.
const LONGEST: usize = 512;
/// The longest name of a site.
const NAME: usize = 128;

/// What both ends know.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// The least length in bytes.
    pub const LEAST: usize = 16;

    /// A secret; `None` if it is too short to be one.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Option<Self> {
        Some(bytes.into()).filter(|bytes| bytes.len() >= Self::LEAST).map(Secret)
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// This end.
#[derive(Clone, Debug)]
pub struct Me {
    /// The name of its site.
    pub site: String,
    /// This life of its process.
    pub instance: u64,
    /// Never used before.
    pub nonce: [u8; 16],
    /// Whether it has dialled.
    pub dialled: bool,
}

/// The other end, once it has proved that it knows the secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name of its site.
    pub site: String,
    /// That life of its process.
    pub instance: u64,
}

#[derive(Clone, Serialize, Deserialize)]
struct Hello {
    magic: [u8; 8],
    version: u16,
    site: String,
    instance: u64,
    nonce: [u8; 16],
}

#[derive(Serialize, Deserialize)]
struct Proof([u8; 32]);

/// What follows from what was read.
#[derive(Debug)]
pub enum Step {
    /// The greeting goes on; write this first.
    More(Bytes),
    /// It is over: write this, then use the link.
    Up(Bytes, Box<Link>, Peer),
}

/// A greeting under way.
#[derive(Debug)]
pub struct Greeting {
    config: Config,
    secret: Secret,
    dialled: bool,
    own: Bytes,
    until: Time,
    other: Option<(Peer, Bytes)>,
    read: BytesMut,
}

impl Greeting {
    /// Begins, and gives the first bytes to write.
    ///
    /// # Errors
    /// If the site's name is too long.
    pub fn begin(now: Time, config: Config, secret: Secret, me: Me) -> Result<(Self, Bytes), LinkError> {
        let Me { site, instance, nonce, dialled } = me;
        let own = encode(&Hello { magic: MAGIC, version: VERSION, site, instance, nonce }, LONGEST)?;
        let until = now + config.greeting;
        let read = BytesMut::new();
        Ok((Greeting { config, secret, dialled, own: own.clone(), until, other: None, read }, own))
    }

    /// When the greeting has taken too long.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Takes what was read.
    ///
    /// # Errors
    /// Says what the other end did; the connection is to be closed.
    pub fn input(&mut self, now: Time, bytes: &[u8]) -> Result<Step, LinkError> {
        if now >= self.until {
            return Err(LinkError::Slow);
        }
        self.read.extend_from_slice(bytes);
        let mut write = BytesMut::new();
        if self.other.is_none() {
            // What does not even begin like a greeting is no longer frame, but another protocol.
            let Some(hello) = decode::<Hello>(&mut self.read, LONGEST).map_err(|_| LinkError::Magic)? else {
                return Ok(Step::More(Bytes::new()));
            };
            if hello.magic != MAGIC {
                return Err(LinkError::Magic);
            }
            if hello.version != VERSION {
                return Err(LinkError::Version(hello.version));
            }
            if hello.site.is_empty() || hello.site.len() > NAME {
                return Err(LinkError::Malformed);
            }
            let peer = Peer { site: hello.site.clone(), instance: hello.instance };
            let theirs = encode(&hello, LONGEST)?;
            let proof = Proof(self.mac(self.dialled, &theirs).finalize().into_bytes().into());
            write.extend_from_slice(&encode(&proof, LONGEST)?);
            self.other = Some((peer, theirs));
        }
        let proof = decode::<Proof>(&mut self.read, LONGEST)?;
        match (proof, &self.other) {
            (Some(proof), Some((peer, theirs))) => {
                // In constant time, by the library.
                let mac = self.mac(!self.dialled, theirs);
                mac.verify_slice(&proof.0).map_err(|_| LinkError::Secret)?;
                let link = Link::new(now, self.config.clone(), self.read.split());
                Ok(Step::Up(write.freeze(), Box::new(link), peer.clone()))
            }
            _ => Ok(Step::More(write.freeze())),
        }
    }

    /// What the end in that role must show: it is bound to both greetings, and differs by role, so that neither
    /// a recording nor an echo of the own proof passes.
    fn mac(&self, dialled: bool, theirs: &Bytes) -> Hmac<Sha256> {
        let (first, second) = if self.dialled { (&self.own, theirs) } else { (theirs, &self.own) };
        let role: &[u8] = if dialled { b"dialled" } else { b"accepted" };
        // A key of any length does for HMAC.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret.0).unwrap_or_else(|_| unreachable!());
        for part in [role, first, second] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}
