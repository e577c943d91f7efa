//! The decisions of a gateway between sites: whether a transaction may cross, to which site, and how much room
//! this site grants to others.
//!
//! This crate is not a server: it opens no socket, reads no clock and draws no random number. Begin with
//! [`Gateway`], which takes [`Event`]s with the time at which they happened and gives back [`Action`]s, and
//! with [`Config`], which says what each knob means.
//!
//! Links have a direction. On a link that this site has dialled it sends work away (`out`); on one that it has
//! accepted it takes work in (`in`). Two sites that help each other have one link each way, and nothing of one
//! direction is needed to understand the other, but for the [`Stance`]: a site that sends work away grants none.
//!
//! | file | concern |
//! | --- | --- |
//! | `stance` | hysteresis: does this site shed, take in, or neither |
//! | `credit` | what the other side has granted, and what is used of it |
//! | `room` | what this side has granted to each link, and what is used of that |
//! | `crossing` | the life of one crossing, as its sender knows it |
//! | `keys` | where keyed transactions may have run lately |
//! | `book` | what came in, and how it ended, for as long as somebody may ask |
//!
//! Server, retry and refusal are decided elsewhere, by the module of the site where a transaction is.
#![warn(missing_docs)]

mod book;
mod config;
mod credit;
mod crossing;
mod gateway;
mod keys;
mod room;
mod stance;

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use config::{Config, PeerConfig};
pub use gateway::{Figures, Gateway};
pub use stance::{Pressure, Stance};

/// Time since a start that the caller chooses; it must not run backwards.
pub type Time = Duration;

/// A peer site; its number stays for as long as the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

/// One connection to or from a peer site, never used again after it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A life of a process: whoever restarts has another one, and remembers nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance(pub u64);

/// A crossing, in the numbers of the instance that sends it; they grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrossingId(pub u64);

/// A transaction of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);

/// A crossing as its receiver names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Where it came from.
    pub site: SiteId,
    /// Which life of the process there.
    pub instance: Instance,
    /// Its number there.
    pub crossing: CrossingId,
}

/// What a repeat of a transaction may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Repeatable,
    /// Repeats with this key are dropped by the members of one site for so long.
    Keyed {
        /// The key as the client wrote it.
        key: Bytes,
        /// How long.
        window: Duration,
    },
    /// It must not run twice.
    Once,
}

/// A transaction of this site that would otherwise be refused or late.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The transaction.
    pub job: JobId,
    /// What a repeat of it may do.
    pub effect: Effect,
    /// What crosses first: worth, and whether its tenant is inside its quota.
    pub rank: f64,
    /// Its tenant is inside its quota.
    pub inside: bool,
    /// Slots that it needs.
    pub slots: u32,
    /// Until it must be with a member to be in time.
    pub start_in: Duration,
    /// Until its client gives up.
    pub left: Duration,
    /// The module has refused it: it crosses now or is answered now.
    pub refused: bool,
    /// It came in from another site, or has crossed and come back: it does not cross (again).
    pub travelled: bool,
}

/// How a transaction ended at the site that it crossed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a member's result.
    Served(Bytes),
    /// Refused there, and nothing of it has run.
    Unstarted,
    /// Refused there after something of it may have run.
    Rejected,
    /// Failed there; it may have run.
    Failed,
}

/// The final answer to a transaction of this site that had crossed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result that a member gave.
    Served(Bytes),
    /// Trying again is harmless.
    Rejected,
    /// It may have run.
    Failed,
}

/// What the receiver says of a crossing that it is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Known {
    /// It has not arrived, and cannot any more: it never ran.
    Never,
    /// It is here, and its outcome follows.
    Held,
    /// It was here; its outcome is forgotten.
    Lost,
}

/// Why a crossing is given back unstarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Back {
    /// This site sends work away itself.
    Shedding,
    /// More than was granted, or granted in another life.
    Overdrawn,
    /// This site empties itself, or knows the peer no more.
    Closed,
    /// Too little time is left.
    Late,
    /// The module refused it, or its name is in use here.
    Refused,
}

/// Why a transaction does not cross.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stay {
    /// This site has room, or has lacked it for too short a time.
    RoomHere,
    /// It can wait here for longer.
    Early,
    /// No peer has granted room.
    NoRoom,
    /// Too little time is left.
    Late,
    /// It has crossed before.
    Crossed,
    /// Its tenant is beyond its quota.
    OverShare,
    /// Its key may have run here, or at a site that is not to be had.
    Key,
    /// This site empties itself.
    Draining,
    /// It must not run twice, and this cannot be known across sites.
    Once,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// How this site stands.
    Pressure(Pressure),
    /// Transactions that would otherwise be refused or late. Each gets one [`Action::Cross`] or
    /// [`Action::Stay`].
    Candidates(Vec<Candidate>),
    /// A keyed transaction is sent to a member of this site.
    RanHere {
        /// Its key.
        key: Bytes,
        /// How long repeats are dropped.
        window: Duration,
    },
    /// The client of a transaction has left.
    ClientDisconnected(JobId),
    /// Whether this site empties itself: it sends nothing away and takes nothing in.
    Drain(bool),
    /// Other settings.
    Configure(Config),
    /// Time has passed; see [`Gateway::due`].
    Tick,

    /// A link to a peer is up, on which work may be sent away.
    Up {
        /// The link.
        link: LinkId,
        /// To which site.
        site: SiteId,
        /// Which life of the process there.
        instance: Instance,
    },
    /// It is down, in whatever way.
    Down(LinkId),
    /// The measured time there and back.
    RoundTrip(LinkId, Duration),
    /// Room is granted.
    Granted {
        /// The link.
        link: LinkId,
        /// By which life of the process there.
        epoch: Instance,
        /// Slots in all that may have been sent on this link.
        limit: u64,
        /// From now on.
        term: Duration,
    },
    /// The last byte of a crossing is written.
    Written(LinkId, CrossingId),
    /// The other side has taken it.
    Taken(LinkId, CrossingId),
    /// The other side gives it back unstarted.
    Returned(LinkId, CrossingId),
    /// It has ended there.
    AttemptEnded(LinkId, CrossingId, Outcome),
    /// What the other side knows of it.
    Told(LinkId, CrossingId, Known),

    /// A peer has dialled this site.
    Joined {
        /// The link.
        link: LinkId,
        /// From which site.
        site: SiteId,
        /// Which life of the process there.
        instance: Instance,
    },
    /// That link is down.
    Parted(LinkId),
    /// A crossing comes in.
    Offered {
        /// The link.
        link: LinkId,
        /// Its number.
        crossing: CrossingId,
        /// Which life of this process has granted the room that it uses.
        epoch: Instance,
        /// Slots that it needs.
        slots: u32,
        /// Until its client gives up, when it was sent.
        left: Duration,
        /// How long somebody may ask for its outcome.
        keep: Duration,
    },
    /// Its client has left.
    Withdrawn(LinkId, CrossingId),
    /// What is known of these?
    Asked(LinkId, Vec<CrossingId>),
    /// The other side has the outcome.
    Acknowledged(LinkId, CrossingId),
    /// A transaction that came in has ended here.
    Finished(Origin, Outcome),
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the transaction away; nothing of it stays with the module here.
    Cross {
        /// The transaction.
        job: JobId,
        /// On this link.
        link: LinkId,
        /// Under this number.
        crossing: CrossingId,
        /// With the room that this life has granted.
        epoch: Instance,
        /// Time left for it at the other site: what the client still waits, less the way there and back.
        left: Duration,
    },
    /// It does not cross.
    Stay(JobId, Stay),
    /// It never ran elsewhere: it goes back to the module here.
    Return(JobId),
    /// Its final answer.
    Answer(JobId, Answer),
    /// Tell the other side that the client has left.
    Withdraw(LinkId, CrossingId),
    /// Ask the other side about these.
    Ask(LinkId, Vec<CrossingId>),
    /// Tell the other side that the outcome has arrived.
    Acknowledge(LinkId, CrossingId),

    /// Tell the other side how much room it has: slots in all that it may send on this link.
    Grant {
        /// The link.
        link: LinkId,
        /// The limit.
        limit: u64,
        /// For how long.
        term: Duration,
    },
    /// A crossing is taken: hand it to the module, with this time left.
    Take {
        /// The link.
        link: LinkId,
        /// Its name here.
        origin: Origin,
        /// Until its client gives up.
        left: Duration,
    },
    /// A crossing is given back unstarted.
    GiveBack(LinkId, CrossingId, Back),
    /// Tell its outcome.
    Tell(LinkId, CrossingId, Outcome),
    /// Tell what is known of it.
    Say(LinkId, CrossingId, Known),
    /// The client of one that was taken has left: the module is to give it up.
    Drop(Origin),
    /// Close a link that is not needed any more.
    Close(LinkId),
}
