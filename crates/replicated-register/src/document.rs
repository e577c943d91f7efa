//! Documents, their versions, and what the register makes of a change.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::MemberId;

/// Versions of a document that can be rolled back to.
const KEPT: usize = 8;
/// Documents at the most.
const DOCUMENTS: usize = 8;
/// Voters at the most.
const VOTERS: usize = 9;
/// Bytes of a body at the most.
const BODY_BYTES: usize = 32 * 1024;
/// Bytes of a name at the most.
const NAME_BYTES: usize = 64;

/// What tells two bodies apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    fn of(body: &str) -> Self {
        let whole = Sha256::digest(body.as_bytes());
        let mut short = [0; 16];
        short.iter_mut().zip(whole.iter()).for_each(|(to, from)| *to = *from);
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
    /// Where it came from.
    pub by: Proposal,
}

/// Who votes. The voters of one epoch choose those of the next, and nothing else any more once they have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Electorate {
    /// One more with each change of the voters.
    pub epoch: u64,
    /// The voters, each with the key of the disk that it votes with; 0 for those of the founding.
    pub voters: BTreeMap<MemberId, u64>,
    by: Option<Proposal>,
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

/// What is to become of a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// This body.
    Put(String),
    /// The body of that version again, as a new version.
    RollBack(u64),
    /// Not of a document but of the voters, whose epoch is the parent: one comes with the key of its disk, one goes,
    /// or both.
    Voters {
        /// Who comes.
        add: Option<(MemberId, u64)>,
        /// Who goes.
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
    /// Who proposes it.
    pub by: Proposal,
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Somebody else was first.
    #[error("the document is of version {0} by now")]
    Conflict(u64),
    /// It is too old, or never was.
    #[error("version {0} is not kept")]
    NotKept(u64),
    /// A bound is exceeded.
    #[error("{0}")]
    TooMuch(&'static str),
    /// A change of the voters that cannot be.
    #[error("{0}")]
    NoVoters(&'static str),
}

impl Value {
    /// What the register holds before anything was chosen.
    pub fn founded(voters: impl IntoIterator<Item = MemberId>) -> Self {
        let voters = voters.into_iter().map(|voter| (voter, 0)).collect();
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

    /// Makes a change, and says which version it made. A change that was made before is not made again.
    ///
    /// # Errors
    /// Says why not; nothing has changed.
    pub fn apply(&mut self, command: &Command) -> Result<u64, Refusal> {
        if let Change::Voters { add, remove } = &command.change {
            return self.elect(command, *add, *remove);
        }
        if let Some(made) = self.history(&command.name).iter().find(|d| d.by == command.by) {
            return Ok(made.version);
        }
        let is = self.newest(&command.name).map_or(0, |document| document.version);
        if is != command.parent {
            return Err(Refusal::Conflict(is));
        }
        if command.name.is_empty() || command.name.len() > NAME_BYTES {
            return Err(Refusal::TooMuch("a name has 1 to 64 bytes"));
        }
        if is == 0 && self.documents.len() >= DOCUMENTS {
            return Err(Refusal::TooMuch("there are 8 documents already"));
        }
        let body = match &command.change {
            Change::Put(body) => body.clone(),
            Change::RollBack(to) => {
                let kept = self.history(&command.name).iter().find(|d| d.version == *to);
                kept.ok_or(Refusal::NotKept(*to))?.body.clone()
            }
            Change::Voters { .. } => return Err(Refusal::NoVoters("a document is no voter")),
        };
        if body.len() > BODY_BYTES {
            return Err(Refusal::TooMuch("a document has 32 KiB at the most"));
        }
        let (version, digest) = (is + 1, Digest::of(&body));
        let versions = self.documents.entry(command.name.clone()).or_default();
        versions.push(Document { version, digest, body, by: command.by });
        let over = versions.len().saturating_sub(KEPT);
        versions.drain(..over);
        Ok(version)
    }

    fn elect(
        &mut self,
        command: &Command,
        add: Option<(MemberId, u64)>,
        remove: Option<MemberId>,
    ) -> Result<u64, Refusal> {
        let is = &self.electorate;
        if is.by == Some(command.by) {
            return Ok(is.epoch);
        }
        if is.epoch != command.parent {
            return Err(Refusal::Conflict(is.epoch));
        }
        let mut voters = is.voters.clone();
        if remove.is_some_and(|gone| voters.remove(&gone).is_none()) {
            return Err(Refusal::NoVoters("who is to go does not vote"));
        }
        if add.is_some_and(|(new, key)| key == 0 || voters.insert(new, key).is_some()) {
            return Err(Refusal::NoVoters("who is to come votes already, or has no key"));
        }
        if voters.is_empty() || voters.len() > VOTERS || add.is_none() && remove.is_none() {
            return Err(Refusal::NoVoters("there are 1 to 9 voters, and one comes or goes"));
        }
        self.electorate = Electorate { epoch: is.epoch + 1, voters, by: Some(command.by) };
        Ok(self.electorate.epoch)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn command(parent: u64, number: u64, change: Change) -> Command {
        Command { name: "rules".into(), parent, change, by: Proposal { member: MemberId(1), number } }
    }

    fn put(parent: u64, number: u64, body: &str) -> Command {
        command(parent, number, Change::Put(body.into()))
    }

    #[test]
    fn versions_grow_by_one_and_only_from_the_newest() {
        let mut value = Value::default();
        assert_eq!(value.apply(&put(0, 1, "a")), Ok(1));
        assert_eq!(value.apply(&put(0, 2, "b")), Err(Refusal::Conflict(1)));
        assert_eq!(value.apply(&put(1, 3, "b")), Ok(2));
        assert_eq!(value.apply(&put(0, 1, "a")), Ok(1), "made before, not made again");
        assert_eq!(value.apply(&command(2, 4, Change::RollBack(1))), Ok(3));
        let newest = value.newest("rules").unwrap();
        assert_eq!((newest.body.as_str(), newest.digest), ("a", Digest::of("a")));
    }

    #[test]
    fn voters_come_and_go_one_at_a_time_and_each_change_once() {
        let mut value = Value::founded((0..3).map(MemberId));
        let elect = |parent, number, add: Option<u16>, remove: Option<u16>| {
            command(
                parent,
                number,
                Change::Voters { add: add.map(|n| (MemberId(n), 7)), remove: remove.map(MemberId) },
            )
        };
        assert_eq!(value.apply(&elect(0, 1, Some(5), Some(1))), Ok(1));
        assert_eq!(value.apply(&elect(0, 1, Some(5), Some(1))), Ok(1), "made before, not made again");
        assert_eq!(value.apply(&elect(0, 2, Some(6), None)), Err(Refusal::Conflict(1)));
        for wrong in [elect(1, 3, Some(5), None), elect(1, 3, None, Some(1)), elect(1, 3, None, None)] {
            assert!(matches!(value.apply(&wrong), Err(Refusal::NoVoters(_))), "{wrong:?}");
        }
        let voters: Vec<_> = value.electorate.voters.iter().map(|(id, key)| (id.0, *key)).collect();
        assert_eq!((voters, value.electorate.majority()), (vec![(0, 0), (2, 0), (5, 7)], 2));
    }

    #[test]
    fn what_is_kept_and_what_is_taken_has_bounds() {
        let mut value = Value::default();
        for version in 0..40 {
            value.apply(&put(version, version, &version.to_string())).unwrap();
        }
        assert_eq!(value.history("rules").len(), KEPT);
        assert_eq!(value.apply(&command(40, 99, Change::RollBack(3))), Err(Refusal::NotKept(3)));
        let long = "x".repeat(BODY_BYTES + 1);
        assert!(matches!(value.apply(&put(40, 99, &long)), Err(Refusal::TooMuch(_))));
        for n in 1..DOCUMENTS {
            value.apply(&Command { name: n.to_string(), ..put(0, 100 + n as u64, "") }).unwrap();
        }
        let more = Command { name: "more".into(), ..put(0, 999, "") };
        assert!(matches!(value.apply(&more), Err(Refusal::TooMuch(_))));
    }
}
