//! Broadcasts this scheduler's reservations to the other schedulers.

use crate::scheduling::action::Action;
use crate::scheduling::gossip::{self, WorkerKey, WorkerReservation};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;
use crate::scheduling::worker::Worker;

/// Maximum number of slots in one entry of a message.
const MAX_ENTRY_SLOTS: f64 = 255.0;

impl SchedulerState {
    /// If gossip is allowed and due, broadcasts this scheduler's reservations and sets the timer for the next interval.
    pub(crate) fn broadcast_gossip(&mut self) {
        let is_due = self.now >= self.next_gossip_at - self.settings.event_interval_s;
        if !self.settings.gossip_allowed || !is_due {
            return;
        }
        self.next_gossip_at = self.now + gossip::INTERVAL_S;
        let reservation = |worker: &Worker| WorkerReservation {
            worker: WorkerKey::new(worker.info.stable_id),
            slots: worker.slots.reserved_here.min(MAX_ENTRY_SLOTS) as u8,
        };
        let workers = self.fleet.workers.values().filter(|worker| worker.slots.reserved_here >= 1.0);
        let reservations = workers.map(reservation).collect();
        if let Some(message) = self.gossip.next_message(self.now, reservations) {
            self.emit(Action::BroadcastGossip(message));
        }
        self.set_timer(gossip::INTERVAL_S, Timer::Gossip);
    }
}
