//! What a voter answers to other proposers. A member that does not vote answers nothing.

use crate::document::Value;
use crate::message::Message;
use crate::register::Ballot;
use crate::MemberId;

use super::{Output, Voter, VoterStage};

impl Voter {
    fn votes(&self) -> bool {
        self.state.stage == VoterStage::Active
    }

    pub(super) fn prepare_requested(&mut self, from: MemberId, ballot: Ballot, outputs: &mut Vec<Output>) {
        if !self.votes() {
            return;
        }
        let reply = match self.state.acceptor.prepare(ballot) {
            Ok(promise) => {
                self.persist(outputs);
                Message::Promise(promise)
            }
            Err(seen) => self.nack(from, ballot, seen, outputs),
        };
        outputs.push(Output::Send(from, reply));
    }

    pub(super) fn accept_requested(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        value: Value,
        outputs: &mut Vec<Output>,
    ) {
        if !self.votes() {
            return;
        }
        let reply = match self.state.acceptor.accept(ballot, value) {
            Ok(()) => {
                self.persist(outputs);
                Message::Accepted(ballot)
            }
            Err(seen) => self.nack(from, ballot, seen, outputs),
        };
        outputs.push(Output::Send(from, reply));
    }

    pub(super) fn vote_queried(&mut self, from: MemberId, number: u64, outputs: &mut Vec<Output>) {
        if !self.votes() {
            return;
        }
        let vote = self.state.acceptor.accepted().cloned();
        outputs.push(Output::Send(from, Message::VoteReply(number, vote)));
    }

    /// Rejects a ballot. A proposer that does not know yet who votes now is told that first.
    fn nack(&self, from: MemberId, ballot: Ballot, seen: Ballot, outputs: &mut Vec<Output>) -> Message {
        if let Some(base) = &self.state.epoch_base {
            if base.value.electorate.epoch > ballot.epoch {
                outputs.push(Output::Send(from, Message::Chosen(base.clone())));
            }
        }
        Message::Nack { ballot, seen }
    }
}
