//! Decides whether a voter may vote.
//!
//! A voter that has lost its disk has lost its promises and must not vote under its old identity. To distinguish it
//! from a voter that starts for the first time, the initial voters vote only once each has seen all others start, and
//! has recorded that on disk.
//!
//! | stage | next | event |
//! | --- | --- | --- |
//! | blank | ready | all other initial voters are blank or ready |
//! | ready | active | all other initial voters are ready or active |
//! | blank | lost | another voter is active, or a new epoch lists this member with any key |
//! | ready | lost | a new epoch lists this member with any key |
//! | active | lost | a new epoch lists this member with a different key |
//! | blank, lost | joining | joining is requested |
//! | joining | active | a new epoch lists this member with its key |

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::register::Vote;
use crate::{MemberId, Time};

use super::{Output, Voter};

/// Whether a voter may vote. An initial voter passes through the first three stages in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterStage {
    /// The disk is empty. The voter does not vote.
    #[default]
    Blank,
    /// All other initial voters were at least blank. The voter does not vote yet.
    Ready,
    /// All other initial voters were at least ready, or the voter has joined: it votes.
    Active,
    /// The other voters already vote, so this one has lost its disk. It does not vote until it joins with a new key.
    Lost,
    /// The voter has a key on its disk, and votes once the electorate contains that key.
    Joining,
}

/// An event that can change the stage.
enum StageEvent<'a> {
    /// Stages reported by the other initial voters; `None` for those that have not replied.
    Reported(&'a [Option<VoterStage>]),
    JoinRequested,
    /// A new epoch has begun.
    EpochBegan {
        /// This voter's key in the new electorate, if it is listed.
        listed_key: Option<u64>,
        own_key: u64,
    },
}

impl VoterStage {
    /// Returns the stage after an event.
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
                    // The electorate lists a different disk of this member.
                    VoterStage::Blank | VoterStage::Ready => VoterStage::Lost,
                    VoterStage::Active if !is_own_key => VoterStage::Lost,
                    VoterStage::Active | VoterStage::Lost | VoterStage::Joining => self,
                }
            }
            StageEvent::EpochBegan { listed_key: None, .. } => self,
        }
    }

    fn after_reports(self, stages: &[Option<VoterStage>]) -> Self {
        let all_in = |allowed: [VoterStage; 2]| {
            stages.iter().all(|stage| stage.is_some_and(|stage| allowed.contains(&stage)))
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
    /// Whether this is an initial voter that does not vote yet.
    pub(super) fn is_initializing(&self) -> bool {
        self.config.voters.contains(&self.id) && self.state.stage < VoterStage::Active
    }

    /// Handles the stage of another initial voter, reported to this incarnation.
    pub(super) fn handle_stage_report(
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
        self.start_next_operation(now, outputs);
    }

    /// Advances the stage as far as the reports of the other voters allow.
    pub(super) fn advance_stage(&mut self, outputs: &mut Vec<Output>) {
        loop {
            let reported: Vec<Option<VoterStage>> =
                self.other_voters().map(|voter| self.reported_stages.get(&voter).copied()).collect();
            let next = self.state.stage.after(&StageEvent::Reported(&reported));
            if next == self.state.stage {
                return;
            }
            self.state.stage = next;
            self.persist(outputs);
        }
    }

    /// Prepares a member that does not vote for joining, and returns the key with which it can be added to the voters.
    /// Returns `None` if the member votes or is an initial voter that is about to.
    ///
    /// The key is stored on disk, so that a later incarnation with a different disk cannot vote in its place. Repeated
    /// calls return the same key, because a change that contains it may already be in progress.
    pub fn join(&mut self, outputs: &mut Vec<Output>) -> Option<u64> {
        let next = self.state.stage.after(&StageEvent::JoinRequested);
        if next != VoterStage::Joining {
            return None;
        }
        if self.state.stage != VoterStage::Joining {
            self.state.stage = next;
            self.state.disk_key = self.random.random_range(1..u64::MAX);
            // Earlier proposal numbers were lost with the disk. Start at a random number to avoid reusing them.
            self.state.last_proposal = self.random.random::<u64>() >> 1;
            self.persist(outputs);
        }
        Some(self.state.disk_key)
    }

    /// Enters the epoch started by this value, which the voters of an earlier epoch have chosen. Ignores old epochs.
    pub(super) fn enter_epoch(&mut self, now: Time, chosen: Vote, outputs: &mut Vec<Output>) {
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
