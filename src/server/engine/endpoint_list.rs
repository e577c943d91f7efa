//! The endpoint list as the engine keeps it: the workers by number, and each change in the dispatcher's terms.
//!
//! How the list is followed is the business of [`crate::server::discovery`]; which worker is ejected, of the
//! dispatcher.

use std::collections::HashSet;
use std::rc::Rc;

use super::Engine;
use crate::config::endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointState};
use crate::scheduling::{Event, LearnedState, Settings, WorkerId, WorkerInfo, WorkerState};
use crate::server::messages::stable_number;
use crate::server::workers::endpoint::WorkerEndpoint;

impl Engine {
    /// The number of the worker of this name; a new one if it has none.
    pub(super) fn worker_id(&mut self, name: &str) -> WorkerId {
        *self.worker_ids.entry(name.to_owned()).or_insert_with(|| {
            self.last_worker_id += 1;
            WorkerId(self.last_worker_id)
        })
    }

    /// The name of a worker; empty if it is forgotten.
    pub(super) fn worker_name(&self, worker: WorkerId) -> String {
        let found = self.worker_ids.iter().find(|(_, id)| **id == worker);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Applies an update of the endpoint list. `from_cache` marks the list that was stored by an earlier run.
    pub(super) fn endpoint_list_changed(&mut self, update: EndpointListUpdate, from_cache: bool) {
        let complete_snapshot = update.complete_snapshot && update.unreadable_entries == 0;
        if complete_snapshot {
            self.remove_unlisted(&update.entries);
        }
        let mut entries = Vec::with_capacity(update.entries.len());
        for entry in update.entries {
            let id = self.worker_id(&entry.name);
            entries.push(worker_info(&self.settings, id, &entry));
            self.update_worker(id, entry);
        }
        self.counters.pool_size.set(self.workers.len());
        self.notify_dispatcher(Event::WorkersListed { complete_snapshot, from_cache, entries });
    }

    fn remove_unlisted(&mut self, entries: &[EndpointEntry]) {
        self.workers.retain(|_, worker| {
            let listed = entries.iter().any(|entry| entry.name == worker.name);
            if !listed {
                worker.deactivate();
            }
            listed
        });
    }

    fn update_worker(&mut self, id: WorkerId, entry: EndpointEntry) {
        let active = entry.state == EndpointState::Active;
        let Some(address) = entry.address.filter(|_| entry.state != EndpointState::Removed) else {
            if let Some(removed) = self.workers.remove(&id) {
                removed.deactivate();
            }
            return;
        };
        let worker = self
            .workers
            .entry(id)
            .or_insert_with(|| Rc::new(WorkerEndpoint::new(entry.name, address, Rc::clone(&self.connector))));
        worker.update(address, active, entry.started_at_s);
    }

    /// Takes over what another process has learned of the workers, which have other numbers there.
    pub(super) fn state_learned(&mut self, learned: LearnedState, names: &[(WorkerId, String)]) {
        let own_id = |id: WorkerId| {
            let (_, name) = names.iter().find(|(other, _)| *other == id)?;
            self.worker_ids.get(name).copied()
        };
        let learned = learned.renumbered(own_id);
        self.notify_dispatcher(Event::StateLearned(Box::new(learned)));
    }

    /// Closes idle connections to workers, and forgets the numbers of workers that are neither listed nor
    /// have an attempt.
    pub(super) fn clean_up_workers(&mut self) {
        for worker in self.workers.values() {
            worker.close_idle_connections();
        }
        self.connector.recover_trusted_idle();
        if self.worker_ids.len() <= self.workers.len() {
            return;
        }
        let attempts = self.requests.iter().flat_map(|(_, request)| &request.attempts);
        let in_use: HashSet<WorkerId> = attempts.map(|attempt| attempt.worker).collect();
        self.worker_ids.retain(|_, id| self.workers.contains_key(id) || in_use.contains(id));
    }
}

/// An entry of the list in the dispatcher's terms. A zone or kind that the settings do not name gets a number
/// that matches none of theirs.
fn worker_info(settings: &Settings, id: WorkerId, entry: &EndpointEntry) -> WorkerInfo {
    let index = |names: &[String], name: &str| names.iter().position(|known| known == name);
    WorkerInfo {
        id,
        stable_id: stable_number(entry.name.as_bytes()),
        state: match entry.state {
            EndpointState::Active => WorkerState::Ready,
            EndpointState::Draining => WorkerState::Draining,
            EndpointState::Removed => WorkerState::Gone,
        },
        zone: index(&settings.zones, &entry.zone).map_or(u16::MAX, |zone| zone as u16),
        cell: entry.cell,
        kind: index(&settings.worker_kinds, &entry.kind).unwrap_or(settings.worker_kinds.len()),
        started_at_s: entry.started_at_s,
        weight: entry.weight,
    }
}
