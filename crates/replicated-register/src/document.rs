//! The value of the register: versioned documents and the electorate, and the checks of changes to them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::MemberId;

/// Number of versions retained per document. Only these can be rolled back to.
const MAX_VERSIONS: usize = 8;
const MAX_DOCUMENTS: usize = 8;
const MAX_VOTERS: usize = 9;
const MAX_BODY_BYTES: usize = 32 * 1024;
const MAX_NAME_BYTES: usize = 64;
/// Disk key of the initial voters, which have not joined.
const NO_DISK_KEY: u64 = 0;

/// The first 16 bytes of the SHA-256 digest of a body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    fn of(body: &str) -> Self {
        let full = Sha256::digest(body.as_bytes());
        let mut truncated = [0; 16];
        let length = truncated.len();
        truncated.copy_from_slice(&full[..length]);
        Digest(truncated)
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

/// Identifies a proposal. A member recognises its own proposal in the value even if the reply to it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposing member.
    pub member: MemberId,
    /// Number chosen by the member, never used twice.
    pub number: u64,
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Version number, starting at 1 and increasing by 1.
    pub version: u64,
    /// Digest of the body.
    pub digest: Digest,
    /// The text as written by the operator.
    pub body: String,
    /// The proposal that created the version.
    pub proposal: Proposal,
}

/// The voters of an epoch. Choosing the voters of the next epoch is the last decision they make.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Electorate {
    /// Increases by 1 with each change of the voters.
    pub epoch: u64,
    /// The voters, each with the key of the disk it votes with; 0 for the initial voters.
    pub voters: BTreeMap<MemberId, u64>,
    proposal: Option<Proposal>,
}

impl Electorate {
    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// The value of the register: the electorate and the retained versions of each document, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// The voters that choose the next value.
    pub electorate: Electorate,
    documents: BTreeMap<String, Vec<Document>>,
}

/// A voter to be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NewVoter {
    /// The member.
    pub member: MemberId,
    /// Key of its disk.
    pub disk_key: u64,
}

/// A change of a document or of the electorate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Creates a new version with this body.
    Put(String),
    /// Creates a new version with the body of this earlier version.
    RollBack(u64),
    /// Adds a voter, removes one, or both. The parent of the command is the current epoch.
    Voters {
        /// The voter to add.
        add: Option<NewVoter>,
        /// The voter to remove.
        remove: Option<MemberId>,
    },
}

/// A compare-and-set command: applies a change if the current version is `parent`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Name of the document.
    pub name: String,
    /// The expected current version, 0 for a new document; the expected epoch for a change of the voters.
    pub parent: u64,
    /// The change.
    pub change: Change,
    /// Identifies the proposal.
    pub proposal: Proposal,
}

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The parent is not the current version or epoch, which is this one.
    #[error("conflicting change: the current version or epoch is {0}")]
    Conflict(u64),
    /// The version to roll back to is too old or has never existed.
    #[error("version {0} is not retained")]
    VersionNotRetained(u64),
    /// A limit is exceeded.
    #[error("limit exceeded: {0}")]
    LimitExceeded(String),
    /// The resulting electorate would be invalid.
    #[error("invalid change of the voters: {0}")]
    InvalidElectorate(String),
}

impl Value {
    /// Creates the value that holds before any value is chosen.
    pub fn initial(voters: impl IntoIterator<Item = MemberId>) -> Self {
        let voters = voters.into_iter().map(|voter| (voter, NO_DISK_KEY)).collect();
        Value { electorate: Electorate { voters, ..Electorate::default() }, documents: BTreeMap::new() }
    }

    /// Returns the newest version of a document.
    pub fn newest(&self, name: &str) -> Option<&Document> {
        self.documents.get(name)?.last()
    }

    /// Iterates over the newest versions of all documents, by name.
    pub fn newest_documents(&self) -> impl Iterator<Item = (&str, &Document)> {
        self.documents.iter().filter_map(|(name, versions)| Some((name.as_str(), versions.last()?)))
    }

    /// Returns the retained versions of a document, oldest first.
    pub fn history(&self, name: &str) -> &[Document] {
        self.documents.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest version number of each document. Of two chosen values, one is at least as new as the other in
    /// every document.
    pub fn versions(&self) -> BTreeMap<&str, u64> {
        self.newest_documents().map(|(name, document)| (name, document.version)).collect()
    }

    /// Applies a change and returns the resulting version or epoch. Idempotent: a proposal that has already been
    /// applied is not applied again.
    ///
    /// # Errors
    /// If the change is rejected. The value is unchanged then.
    pub fn apply(&mut self, command: &Command) -> Result<u64, Rejection> {
        match &command.change {
            Change::Put(body) => self.put(command, |_| Ok(body.clone())),
            Change::RollBack(version) => self.put(command, |history| {
                let retained = history.iter().find(|document| document.version == *version);
                Ok(retained.ok_or(Rejection::VersionNotRetained(*version))?.body.clone())
            }),
            Change::Voters { add, remove } => self.change_voters(command, *add, *remove),
        }
    }

    /// Adds a version of a document. `body` returns its body, given the retained versions.
    fn put(
        &mut self,
        command: &Command,
        body: impl FnOnce(&[Document]) -> Result<String, Rejection>,
    ) -> Result<u64, Rejection> {
        let history = self.history(&command.name);
        if let Some(applied) = history.iter().find(|document| document.proposal == command.proposal) {
            return Ok(applied.version);
        }
        let current = history.last().map_or(0, |document| document.version);
        if current != command.parent {
            return Err(Rejection::Conflict(current));
        }
        if command.name.is_empty() || command.name.len() > MAX_NAME_BYTES {
            let length = command.name.len();
            return Err(Rejection::LimitExceeded(format!(
                "the name has {length} bytes, not 1 to {MAX_NAME_BYTES}"
            )));
        }
        if current == 0 && self.documents.len() >= MAX_DOCUMENTS {
            return Err(Rejection::LimitExceeded(format!("there are already {MAX_DOCUMENTS} documents")));
        }
        let body = body(history)?;
        if body.len() > MAX_BODY_BYTES {
            let length = body.len();
            return Err(Rejection::LimitExceeded(format!(
                "the body has {length} bytes, at most {MAX_BODY_BYTES} are allowed"
            )));
        }
        let version = current + 1;
        let digest = Digest::of(&body);
        let versions = self.documents.entry(command.name.clone()).or_default();
        versions.push(Document { version, digest, body, proposal: command.proposal });
        let excess = versions.len().saturating_sub(MAX_VERSIONS);
        versions.drain(..excess);
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
                let MemberId(member) = removed;
                return Err(Rejection::InvalidElectorate(format!("member {member} is not a voter")));
            }
        }
        if let Some(added) = add {
            let is_already_voter = voters.insert(added.member, added.disk_key).is_some();
            if is_already_voter || added.disk_key == NO_DISK_KEY {
                let MemberId(member) = added.member;
                return Err(Rejection::InvalidElectorate(format!(
                    "member {member} is already a voter or has no disk key"
                )));
            }
        }
        let changes_nothing = add.is_none() && remove.is_none();
        if voters.is_empty() || voters.len() > MAX_VOTERS || changes_nothing {
            let count = voters.len();
            return Err(Rejection::InvalidElectorate(format!(
                "it must add or remove a voter and leave 1 to {MAX_VOTERS} voters, not {count}"
            )));
        }
        self.electorate = Electorate { epoch: current.epoch + 1, voters, proposal: Some(command.proposal) };
        Ok(self.electorate.epoch)
    }
}

#[cfg(test)]
mod tests;
