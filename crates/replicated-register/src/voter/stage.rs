//! Whether a voter may vote.
//!
//! A voter whose disk is gone has forgotten what it promised, and must not vote as who it was. It is told from one that
//! begins by this: the first voters vote once all have seen all others begin, and have that on disk.
//!
//! | stage | becomes | when |
//! | --- | --- | --- |
//! | blank | ready | all others are blank or ready |
//! | ready | active | all others are ready or active |
//! | blank | lost | another is active, or a new epoch names it with some key |
//! | ready | lost | a new epoch names it with some key |
//! | active | lost | a new epoch names it with another key |
//! | blank, lost | joining | it is to join |
//! | joining | active | a new epoch names it with its key |

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::register::Vote;
use crate::{MemberId, Time};

use super::{Output, Voter};

/// Whether a voter may vote. The order is that in which a first voter passes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterStage {
    /// Nothing is on its disk.
    #[default]
    Blank,
    /// It has seen that all others are blank, or that far.
    Ready,
    /// It has seen that all others are ready: it votes.
    Active,
    /// The others vote already: its disk is gone, and it votes no more until it joins with a new key.
    Lost,
    /// It has a key on its disk, and votes once that is in the electorate.
    Joining,
}

/// What changes a stage.
enum StageEvent<'a> {
    /// What the other first voters have reported; `None` for those that have not.
    Reported(&'a [Option<VoterStage>]),
    JoinRequested,
    /// A new epoch begins, whose electorate has this key for the voter.
    EpochBegan {
        listed_key: Option<u64>,
        own_key: u64,
    },
}

impl VoterStage {
    /// The stage after an event.
    fn after(self, event: &StageEvent<'_>) -> Self {
        match event {
            StageEvent::Reported(stages) => self.after_reports(stages),
            StageEvent::JoinRequested => match self {
                VoterStage::Blank | VoterStage::Lost => VoterStage::Joining,
                VoterStage::Ready | VoterStage::Active | VoterStage::Joining => self,
            },
            StageEvent::EpochBegan { listed_key: Some(listed), own_key } => {
                let is_own_key = listed == own_key;
                match self {
                    VoterStage::Joining if is_own_key => VoterStage::Active,
                    // The electorate means another disk of this member.
                    VoterStage::Blank | VoterStage::Ready => VoterStage::Lost,
                    VoterStage::Active if !is_own_key => VoterStage::Lost,
                    VoterStage::Active | VoterStage::Lost | VoterStage::Joining => self,
                }
            }
            StageEvent::EpochBegan { listed_key: None, .. } => self,
        }
    }

    fn after_reports(self, stages: &[Option<VoterStage>]) -> Self {
        let all_in = |wanted: [VoterStage; 2]| {
            stages.iter().all(|stage| stage.is_some_and(|stage| wanted.contains(&stage)))
        };
        match self {
            VoterStage::Blank if stages.contains(&Some(VoterStage::Active)) => VoterStage::Lost,
            VoterStage::Blank if all_in([VoterStage::Blank, VoterStage::Ready]) => VoterStage::Ready,
            VoterStage::Ready if all_in([VoterStage::Ready, VoterStage::Active]) => VoterStage::Active,
            VoterStage::Blank
            | VoterStage::Ready
            | VoterStage::Active
            | VoterStage::Lost
            | VoterStage::Joining => self,
        }
    }
}

impl Voter {
    /// Whether it is one of the first voters and does not vote yet.
    pub(super) fn is_beginning(&self) -> bool {
        self.config.voters.contains(&self.id) && self.state.stage < VoterStage::Active
    }

    /// Takes another first voter's report, which answers a question of this incarnation.
    pub(super) fn stage_reported(
        &mut self,
        now: Time,
        from: MemberId,
        stage: VoterStage,
        outputs: &mut Vec<Output>,
    ) {
        if !self.config.voters.contains(&from) {
            return;
        }
        self.reported_stages.insert(from, stage);
        self.advance_stage(outputs);
        self.begin_next(now, outputs);
    }

    /// Takes this voter as far as the others' reports allow.
    pub(super) fn advance_stage(&mut self, outputs: &mut Vec<Output>) {
        loop {
            let reported: Vec<Option<VoterStage>> =
                self.others().map(|voter| self.reported_stages.get(&voter).copied()).collect();
            let next = self.state.stage.after(&StageEvent::Reported(&reported));
            if next == self.state.stage {
                return;
            }
            self.state.stage = next;
            self.persist(outputs);
        }
    }

    /// Makes a member that does not vote ready to: with the key that this gives it can be added to the voters.
    ///
    /// Its disk keeps the key, so that a later incarnation on another disk cannot pass for it. Asked again it gives the
    /// same one, as the change that names it may be on its way. `None` if it votes or begins to.
    pub fn join(&mut self, outputs: &mut Vec<Output>) -> Option<u64> {
        let next = self.state.stage.after(&StageEvent::JoinRequested);
        if next != VoterStage::Joining {
            return None;
        }
        if self.state.stage != VoterStage::Joining {
            self.state.stage = next;
            self.state.disk_key = self.random.random_range(1..u64::MAX);
            // The numbers of its proposals before are forgotten with the disk: a random start avoids them.
            self.state.last_proposal = self.random.random::<u64>() >> 1;
            self.persist(outputs);
        }
        Some(self.state.disk_key)
    }

    /// Goes on with the voters of the next epoch, whom this value, chosen by those before, names.
    pub(super) fn begin_epoch(&mut self, now: Time, chosen: Vote, outputs: &mut Vec<Output>) {
        let electorate = &chosen.value.electorate;
        if electorate.epoch <= self.electorate().epoch {
            return;
        }
        let listed_key = electorate.voters.get(&self.id).copied();
        let event = StageEvent::EpochBegan { listed_key, own_key: self.state.disk_key };
        self.state.stage = self.state.stage.after(&event);
        self.state.epoch_base = Some(chosen);
        self.persist(outputs);
        if let Some(operation) = self.operation.as_mut() {
            operation.attempt = None;
            operation.query = None;
            operation.retry_at = now;
        }
    }
}
