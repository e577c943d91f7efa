//! When this scheduler tells the others which slots it holds.

use crate::scheduling::action::Action;
use crate::scheduling::gossip::{self, HeldSlots, WorkerKey};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;
use crate::scheduling::worker::Worker;

/// The largest number of slots that a message can say.
const MAX_HELD_SLOTS: f64 = 255.0;

impl SchedulerState {
    /// Broadcasts what is held here, if gossip is allowed and a message is due, and sets the timer for the next one.
    pub(crate) fn broadcast_gossip(&mut self) {
        let is_due = self.now >= self.next_gossip_at - self.settings.event_interval_s;
        if !self.settings.gossip_allowed || !is_due {
            return;
        }
        self.next_gossip_at = self.now + gossip::INTERVAL_S;
        let held_here = |worker: &Worker| HeldSlots {
            worker: WorkerKey::new(worker.info.stable_id),
            slots: worker.slots.held_here.min(MAX_HELD_SLOTS) as u8,
        };
        let workers = self.fleet.workers.values().filter(|worker| worker.slots.held_here >= 1.0);
        let held = workers.map(held_here).collect();
        if let Some(message) = self.gossip.next_message(self.now, held) {
            self.emit(Action::BroadcastGossip(message));
        }
        self.set_timer(gossip::INTERVAL_S, Timer::Gossip);
    }
}
