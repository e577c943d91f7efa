//! Replies to other proposers. A member that may not vote does not reply.

use crate::document::Value;
use crate::message::Message;
use crate::register::Ballot;
use crate::MemberId;

use super::{Output, Voter, VoterStage};

impl Voter {
    fn may_vote(&self) -> bool {
        self.state.stage == VoterStage::Active
    }

    pub(super) fn handle_prepare(&mut self, from: MemberId, ballot: Ballot, outputs: &mut Vec<Output>) {
        if !self.may_vote() {
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

    pub(super) fn handle_accept(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        value: Value,
        outputs: &mut Vec<Output>,
    ) {
        if !self.may_vote() {
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

    pub(super) fn handle_vote_query(&mut self, from: MemberId, number: u64, outputs: &mut Vec<Output>) {
        if !self.may_vote() {
            return;
        }
        let vote = self.state.acceptor.accepted().cloned();
        outputs.push(Output::Send(from, Message::VoteReply(number, vote)));
    }

    /// Rejects a ballot. If the proposer addressed an older epoch, first sends it the value that started the current
    /// one.
    fn nack(&self, from: MemberId, ballot: Ballot, seen: Ballot, outputs: &mut Vec<Output>) -> Message {
        if let Some(base) = &self.state.epoch_base {
            if base.value.electorate.epoch > ballot.epoch {
                outputs.push(Output::Send(from, Message::Chosen(base.clone())));
            }
        }
        Message::Nack { ballot, seen }
    }
}
