//! The pool as the engine keeps it: members by number, and its changes in the module's words.

use std::rc::Rc;

use super::Engine;
use crate::config::endpoint_list::{EndpointListUpdate, EndpointState};
use crate::scheduling::{Event, WorkerId, WorkerInfo, WorkerState};
use crate::server::messages::stable_number;
use crate::server::workers::endpoint::WorkerEndpoint;

impl Engine {
    /// The number of the member of this name.
    pub(super) fn number(&mut self, name: &str) -> WorkerId {
        *self.numbers.entry(name.to_owned()).or_insert_with(|| {
            self.numbered += 1;
            WorkerId(self.numbered)
        })
    }

    /// Takes up the pool's news and translates it for the module.
    pub(super) fn pool(&mut self, update: EndpointListUpdate, cached: bool) {
        let mut entries = Vec::with_capacity(update.entries.len());
        let whole = update.complete_snapshot && update.unreadable_entries == 0;
        if whole {
            let listed = |name: &str| update.entries.iter().any(|member| member.name == name);
            self.members.values().filter(|m| !listed(&m.name)).for_each(|m| m.deactivate());
            self.members.retain(|_, m| listed(&m.name));
        }
        for line in update.entries {
            let (id, tag) = (self.number(&line.name), stable_number(line.name.as_bytes()));
            let active = line.state == EndpointState::Active;
            match line.address.filter(|_| line.state != EndpointState::Removed) {
                Some(address) => {
                    let new = || Rc::new(WorkerEndpoint::new(line.name, address, Rc::clone(&self.dialer)));
                    self.members.entry(id).or_insert_with(new).update(address, active, line.started_s);
                }
                None => {
                    self.members.remove(&id).inspect(|member| member.deactivate());
                }
            }
            // What the settings do not name is like nothing that they name.
            let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
            let zone = index(&self.settings.zones, &line.zone).map_or(u16::MAX, |zone| zone as u16);
            let kind =
                index(&self.settings.worker_kinds, &line.kind).unwrap_or(self.settings.worker_kinds.len());
            entries.push(WorkerInfo {
                id,
                stable_id: tag,
                state: match line.state {
                    EndpointState::Active => WorkerState::Ready,
                    EndpointState::Draining => WorkerState::Draining,
                    EndpointState::Removed => WorkerState::Gone,
                },
                zone,
                cell: line.cell,
                kind,
                started_at_s: line.started_s,
                weight: line.weight,
            });
        }
        self.counters.pool_size.set(self.members.len());
        self.tell(Event::WorkersListed { complete_snapshot: whole, from_cache: cached, entries });
    }
}
