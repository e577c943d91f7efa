//! The value of the register: documents in versions, and who votes; and when a change of it is rejected.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::MemberId;

/// Versions of a document that are kept, and can be rolled back to.
const MOST_VERSIONS: usize = 8;
const MOST_DOCUMENTS: usize = 8;
const MOST_VOTERS: usize = 9;
const MOST_BODY_BYTES: usize = 32 * 1024;
const MOST_NAME_BYTES: usize = 64;
/// The key of the first voters, which have not joined.
const NO_DISK_KEY: u64 = 0;

/// The beginning of the SHA-256 of a body, which tells two bodies apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    fn of(body: &str) -> Self {
        let whole = Sha256::digest(body.as_bytes());
        let mut short = [0; 16];
        let length = short.len();
        short.copy_from_slice(&whole[..length]);
        Digest(short)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Who proposed a version, in that member's own numbers: it knows its own again after a reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The member.
    pub member: MemberId,
    /// Its number, never used twice.
    pub number: u64,
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// One more than the version before; the first is 1.
    pub version: u64,
    /// Of the body.
    pub digest: Digest,
    /// The text, as the operator wrote it.
    pub body: String,
    /// The proposal that made it.
    pub proposal: Proposal,
}

/// Who votes. The voters of one epoch choose those of the next, and nothing else once they have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Electorate {
    /// One more with each change of the voters.
    pub epoch: u64,
    /// The voters, each with the key of the disk that it votes with; 0 for the first voters.
    pub voters: BTreeMap<MemberId, u64>,
    proposal: Option<Proposal>,
}

impl Electorate {
    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// What the register holds: who votes, and the last versions of each document, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// Who votes on the next value.
    pub electorate: Electorate,
    documents: BTreeMap<String, Vec<Document>>,
}

/// A voter that is to be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NewVoter {
    /// The member.
    pub member: MemberId,
    /// The key of its disk.
    pub disk_key: u64,
}

/// What is to become of a document or of the electorate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A new version with this body.
    Put(String),
    /// The body of that version again, as a new version.
    RollBack(u64),
    /// A change of the voters, whose epoch is the parent: one is added, one is removed, or both.
    Voters {
        /// The voter that is added.
        add: Option<NewVoter>,
        /// The voter that is removed.
        remove: Option<MemberId>,
    },
}

/// A change of a document that is of version `parent` (0: not there yet).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The document.
    pub name: String,
    /// The version that the proposer knows.
    pub parent: u64,
    /// The change.
    pub change: Change,
    /// The proposal.
    pub proposal: Proposal,
}

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Another change was first.
    #[error("the document is of version {0} by now")]
    Conflict(u64),
    /// The version is too old, or never was.
    #[error("version {0} is not kept")]
    NotKept(u64),
    /// A limit is exceeded.
    #[error("{0}")]
    LimitExceeded(&'static str),
    /// The electorate would be invalid.
    #[error("{0}")]
    InvalidElectorate(&'static str),
}

impl Value {
    /// The value before anything was chosen.
    pub fn initial(voters: impl IntoIterator<Item = MemberId>) -> Self {
        let voters = voters.into_iter().map(|voter| (voter, NO_DISK_KEY)).collect();
        Value { electorate: Electorate { voters, ..Electorate::default() }, documents: BTreeMap::new() }
    }

    /// The newest version of a document.
    pub fn newest(&self, name: &str) -> Option<&Document> {
        self.documents.get(name)?.last()
    }

    /// The newest versions of all documents, by name.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Document)> {
        self.documents.iter().filter_map(|(name, versions)| Some((name.as_str(), versions.last()?)))
    }

    /// The versions of a document that are kept, the oldest first.
    pub fn history(&self, name: &str) -> &[Document] {
        self.documents.get(name).map_or(&[], Vec::as_slice)
    }

    /// Version numbers of all documents: of two values, one is the other's past in each of them.
    pub fn versions(&self) -> BTreeMap<&str, u64> {
        self.all().map(|(name, document)| (name, document.version)).collect()
    }

    /// Makes a change, and gives the version or epoch that it made. A change that was made before is not made again.
    ///
    /// # Errors
    /// Why it is rejected; nothing has changed.
    pub fn apply(&mut self, command: &Command) -> Result<u64, Rejection> {
        match &command.change {
            Change::Put(body) => self.put(command, |_| Ok(body.clone())),
            Change::RollBack(version) => self.put(command, |history| {
                let kept = history.iter().find(|document| document.version == *version);
                Ok(kept.ok_or(Rejection::NotKept(*version))?.body.clone())
            }),
            Change::Voters { add, remove } => self.change_voters(command, *add, *remove),
        }
    }

    /// Adds a version of a document, with a body that may come from its history.
    fn put(
        &mut self,
        command: &Command,
        body: impl FnOnce(&[Document]) -> Result<String, Rejection>,
    ) -> Result<u64, Rejection> {
        let history = self.history(&command.name);
        if let Some(made) = history.iter().find(|document| document.proposal == command.proposal) {
            return Ok(made.version);
        }
        let current = history.last().map_or(0, |document| document.version);
        if current != command.parent {
            return Err(Rejection::Conflict(current));
        }
        if command.name.is_empty() || command.name.len() > MOST_NAME_BYTES {
            return Err(Rejection::LimitExceeded("a name has 1 to 64 bytes"));
        }
        if current == 0 && self.documents.len() >= MOST_DOCUMENTS {
            return Err(Rejection::LimitExceeded("there are 8 documents already"));
        }
        let body = body(history)?;
        if body.len() > MOST_BODY_BYTES {
            return Err(Rejection::LimitExceeded("a document has 32 KiB at the most"));
        }
        let version = current + 1;
        let digest = Digest::of(&body);
        let versions = self.documents.entry(command.name.clone()).or_default();
        versions.push(Document { version, digest, body, proposal: command.proposal });
        let beyond = versions.len().saturating_sub(MOST_VERSIONS);
        versions.drain(..beyond);
        Ok(version)
    }

    fn change_voters(
        &mut self,
        command: &Command,
        add: Option<NewVoter>,
        remove: Option<MemberId>,
    ) -> Result<u64, Rejection> {
        let current = &self.electorate;
        if current.proposal == Some(command.proposal) {
            return Ok(current.epoch);
        }
        if current.epoch != command.parent {
            return Err(Rejection::Conflict(current.epoch));
        }
        let mut voters = current.voters.clone();
        if let Some(removed) = remove {
            if voters.remove(&removed).is_none() {
                return Err(Rejection::InvalidElectorate("who is to go does not vote"));
            }
        }
        if let Some(added) = add {
            let votes_already = voters.insert(added.member, added.disk_key).is_some();
            if votes_already || added.disk_key == NO_DISK_KEY {
                return Err(Rejection::InvalidElectorate("who is to come votes already, or has no key"));
            }
        }
        let changes_nothing = add.is_none() && remove.is_none();
        if voters.is_empty() || voters.len() > MOST_VOTERS || changes_nothing {
            return Err(Rejection::InvalidElectorate("there are 1 to 9 voters, and one comes or goes"));
        }
        self.electorate = Electorate { epoch: current.epoch + 1, voters, proposal: Some(command.proposal) };
        Ok(self.electorate.epoch)
    }
}

#[cfg(test)]
mod tests;
