//! Moves transactions to the process that has taken over, with all that is known of them: no job may end
//! with the process that happened to take it.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::site_forwarding::Travel;
use super::{Attempt, Due, Engine, Live};
use crate::scheduling::RequestNeeds;
use crate::scheduling::{Event, RequestId, WorkerId};
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{CallbackRelay, FinalAnswer, MigratedAttempt, MigratedRequest, WorkerCallback};
use crate::server::metrics::Gauge;
use crate::server::workers::attempt::AttemptTask;
use crate::server::workers::endpoint::WorkerEndpoint;

/// A call-back that has been passed on so often belongs nowhere.
const HOPS: u8 = 8;

impl Engine {
    /// Moves what can be moved: transactions whose client waits, and of which no attempt is being sent or
    /// given up at this moment.
    pub(super) fn move_out(&mut self) {
        if !self.moves {
            return;
        }
        let settled = |a: &Attempt| !a.open || (a.taken.get() && !a.withdrawn);
        // What is at another site, or came from one, ends with the process that holds its link.
        let stays = |live: &Live| matches!(live.travel, Travel::Away(_) | Travel::CameIn);
        let movable = |live: &Live| live.reply.is_some() && live.attempts.iter().all(settled) && !stays(live);
        let movable = self.live.iter().filter(|(_, live)| movable(live)).map(|(&id, _)| id);
        for id in movable.collect::<Vec<_>>() {
            let (Some(record), Some(mut live)) = (self.dispatcher.hand_over(id), self.live.remove(&id))
            else {
                continue;
            };
            let attempts = live.attempts.iter_mut().map(|attempt| {
                attempt.order(super::AttemptCommand::Detach);
                let member = self.members.get(&attempt.worker);
                MigratedAttempt {
                    worker_name: self.name(attempt.worker),
                    address: member.map(|member| member.address()),
                    open: attempt.open,
                }
            });
            let moved = MigratedRequest {
                class: live.class,
                estimated_work_s: live.hint,
                time_left: live.deadline.saturating_duration_since(Instant::now()),
                attempts: attempts.collect(),
                record,
                payload: (*live.payload).clone(),
            };
            self.names.remove(&moved.payload.name);
            self.moved.insert(moved.payload.name.clone());
            self.counters.transactions_moved.add();
            let _ = live.reply.take().map(|reply| reply.send(FinalAnswer::Migrated(Box::new(moved))));
        }
    }

    /// Takes over a transaction from another process.
    pub(super) fn take_over(
        &mut self,
        id: RequestId,
        moved: MigratedRequest,
        reply: oneshot::Sender<FinalAnswer>,
    ) {
        let MigratedRequest { class, estimated_work_s: hint, time_left: left, attempts, record, payload } =
            moved;
        if class >= self.settings.classes.len() || self.names.contains_key(&payload.name) {
            let _ = reply.send(FinalAnswer::Failed);
            return;
        }
        let deadline = Instant::now() + left;
        let workers: Vec<WorkerId> =
            attempts.iter().map(|attempt| self.number(&attempt.worker_name)).collect();
        let payload = Rc::new(payload);
        self.counters.transactions_adopted.add();
        self.names.insert(payload.name.clone(), id);
        let active = Some(Gauge::hold(&self.counters.active));
        let RequestNeeds { tenant, slots, memory } = record.needs();
        let mut live = Live {
            class,
            hint,
            reply: Some(reply),
            active,
            payload,
            deadline,
            attempts: Vec::new(),
            tenant,
            slots,
            memory,
            may_have_run: true, // the other process knows, and what has run must not cross
            travel: Travel::None,
            rank: -1.0,
        };
        for (n, (attempt, &worker)) in attempts.into_iter().zip(&workers).enumerate() {
            let taken = Rc::new(std::cell::Cell::new(true));
            let (sender, order) = oneshot::channel();
            let member = self.members.get(&worker).cloned().or_else(|| {
                let dialer = Rc::clone(&self.dialer);
                attempt
                    .address
                    .map(|address| Rc::new(WorkerEndpoint::new(attempt.worker_name, address, dialer)))
            });
            if let Some(member) = member.filter(|_| attempt.open) {
                let flow = AttemptTask {
                    worker: member,
                    payload: Rc::clone(&live.payload),
                    deadline,
                    command: order,
                    counters: Rc::clone(&self.counters),
                    class: self.counters.class(class),
                    accepted: Rc::clone(&taken),
                };
                self.spawn(id, n, flow.run_accepted());
            }
            live.attempts.push(Attempt {
                worker,
                open: attempt.open,
                taken,
                withdrawn: false,
                order: Some(sender),
            });
        }
        self.live.insert(id, live);
        self.set_timer(deadline, Due::Deadline(id));
        let record = record.renumbered(id, self.clock.at(deadline), &workers);
        self.tell(Event::RequestTakenOver(Box::new(record)));
    }

    /// Passes on a call-back for a transaction that is not open here; whether there is somebody to pass it
    /// to. One that has been moved is known to the other process, or will be within the next frames.
    pub(super) fn pass_on(&self, call_back: &WorkerCallback, passed: Option<CallbackRelay>) -> bool {
        let hops = passed.map_or(0, |passed| passed.relays);
        let from = passed.map(|passed| passed.from).filter(|_| !self.moved.contains(&call_back.request_name));
        hops < HOPS && self.peers.broadcast(from, &HandoverFrame::Callback(call_back.clone(), hops + 1))
    }

    /// The name of a member.
    pub(super) fn name(&self, worker: WorkerId) -> String {
        let found = self.numbers.iter().find(|(_, id)| **id == worker);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }
}
