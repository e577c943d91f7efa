//! Applies endpoint list updates to the engine's workers and translates them for the dispatcher.
//!
//! [`crate::server::discovery`] watches the list. The dispatcher decides which workers are ejected.

use std::collections::HashSet;
use std::rc::Rc;

use super::Engine;
use crate::config::endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointState};
use crate::config::names::position;
use crate::scheduling::{Event, LearnedState, Settings, WorkerId, WorkerInfo, WorkerState};
use crate::server::discovery::list_tracker::{EndpointListNews, ListOrigin};
use crate::server::discovery::list_version::ListPosition;
use crate::server::lifecycle::handover_frames::EndpointListPart;
use crate::server::messages::{stable_hash, PeerProcessId};
use crate::server::workers::endpoint::WorkerEndpoint;

impl Engine {
    /// Returns the ID of the worker with this name, assigning a new one if needed.
    pub(super) fn worker_id(&mut self, name: &str) -> WorkerId {
        *self.worker_ids.entry(name.to_owned()).or_insert_with(|| {
            self.last_worker_id += 1;
            WorkerId(self.last_worker_id)
        })
    }

    /// Returns the name of a worker, or an empty string if its ID is no longer assigned.
    pub(super) fn worker_name(&self, worker: WorkerId) -> String {
        let found = self.worker_ids.iter().find(|(_, id)| **id == worker);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Applies the endpoint list of the configuration, stored by an earlier run.
    pub(super) fn apply_cached_list(&mut self, update: EndpointListUpdate) {
        let position = ListPosition { version: update.version, superseded: 0 };
        self.known_list.apply(&update, ListOrigin { position, discovery: None });
        self.apply_list(update, true);
    }

    /// Applies an update of the endpoint list and relays it to the other processes of an upgrade.
    pub(super) fn endpoint_list_changed(&mut self, news: EndpointListNews) {
        let EndpointListNews { update, origin, received_from } = news;
        self.known_list.apply(&update, origin);
        if !self.peers.is_empty() {
            let complete_snapshot = update.complete_snapshot && update.unreadable_entries == 0;
            let parts = EndpointListPart::split(origin, complete_snapshot, update.entries.iter().cloned());
            self.peers.broadcast_list_update(received_from, &parts);
        }
        // The loads in the whole list of another process may be old. Its learned state has the newer ones.
        let loads_are_old = received_from.is_some() && update.complete_snapshot;
        self.apply_list(update, loads_are_old);
    }

    /// Sends the whole endpoint list to a process.
    pub(super) fn send_known_list(&self, peer: PeerProcessId) {
        self.peers.send_whole_list(peer, &self.known_list.to_parts());
    }

    /// Sends the whole endpoint list to the processes that did not keep up with its updates.
    pub(super) fn resend_missed_lists(&self) {
        for peer in self.peers.missing_list_update() {
            self.send_known_list(peer);
        }
    }

    /// Applies an update of the endpoint list. `from_cache` is true if its loads may be old.
    fn apply_list(&mut self, update: EndpointListUpdate, from_cache: bool) {
        // An unreadable entry may be that of a worker missing from `entries`, so unlisted workers
        // are then not removed.
        let complete_snapshot = update.complete_snapshot && update.unreadable_entries == 0;
        if complete_snapshot {
            self.remove_unlisted(&update.entries);
        }
        let mut entries = Vec::with_capacity(update.entries.len());
        for entry in update.entries {
            let id = self.worker_id(&entry.name);
            self.log_unknown_names(&entry);
            let zone = self.zones.number(&self.settings, &entry.zone);
            entries.push(worker_info(&self.settings, id, zone, &entry));
            self.update_worker(id, entry);
        }
        self.counters.pool_size.set(self.workers.len());
        self.counters.pool_version.set(usize::try_from(update.version).unwrap_or(usize::MAX));
        self.notify_dispatcher(Event::WorkersListed { complete_snapshot, from_cache, entries });
    }

    /// Logs the names of a zone and a kind that are not in the settings.
    fn log_unknown_names(&self, entry: &EndpointEntry) {
        let fields =
            [("zone", &entry.zone, &self.settings.zones), ("kind", &entry.kind, &self.settings.worker_kinds)];
        for (list, name, configured) in fields {
            let is_known = configured.is_empty() || position(configured, name).is_some();
            if !is_known && self.counters.pool_unknown_names.add().is_power_of_two() {
                tracing::warn!(list, name, worker = %entry.name, "name in the endpoint list is not in the settings");
            }
        }
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

    /// Translates the worker IDs in the learned state of another process, drops the workers that are
    /// unknown here, and passes the state to the dispatcher.
    pub(super) fn learned_state_received(&mut self, learned: LearnedState, names: &[(WorkerId, String)]) {
        let local_id = |id: WorkerId| {
            let (_, name) = names.iter().find(|(other, _)| *other == id)?;
            self.worker_ids.get(name).copied()
        };
        let learned = learned.renumbered(local_id);
        self.notify_dispatcher(Event::StateLearned(Box::new(learned)));
    }

    /// Closes idle connections to workers, and releases the IDs of workers that are not listed and have no
    /// attempt.
    pub(super) fn clean_up_workers(&mut self) {
        for worker in self.workers.values() {
            worker.apply_pool_policy();
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

/// Converts an entry of the list for the dispatcher. A kind that is not in the settings gets an index that matches
/// none of the configured ones.
fn worker_info(settings: &Settings, id: WorkerId, zone: u16, entry: &EndpointEntry) -> WorkerInfo {
    let kind = position(&settings.worker_kinds, &entry.kind);
    WorkerInfo {
        id,
        stable_id: stable_hash(entry.name.as_bytes()),
        state: match entry.state {
            EndpointState::Active => WorkerState::Ready,
            EndpointState::Draining => WorkerState::Draining,
            EndpointState::Removed => WorkerState::Gone,
        },
        zone,
        cell: entry.cell.unwrap_or(WorkerInfo::UNKNOWN_CELL),
        kind: kind.unwrap_or(settings.worker_kinds.len()),
        started_at_s: entry.started_at_s,
        weight: entry.weight,
    }
}
