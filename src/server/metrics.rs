//! Metrics of the scheduler: plain numbers used on one thread, which any module can read directly.
//!
//! [`Counters`] owns all of them. They are printed in two formats: by its `Display` implementation for `GET /counters`
//! and on exit, and by [`Counters::operator_metrics`] for the METRICS command. The printed names are defined only here
//! and must never change. Where a printed name uses a legacy term, its comment gives the current one. `docs/on-call.md`
//! explains each metric.

mod class_counters;
mod counter;
mod descriptor_metrics;
mod gateway_metrics;

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::server::attempt_end::AttemptEnd;

pub use class_counters::ClassCounters;
pub use counter::{Counter, Gauge, GaugeGuard};
pub use descriptor_metrics::{BudgetMetrics, DescriptorMetrics};
pub use gateway_metrics::{GatewayMetrics, LinkMetrics};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All metrics of a scheduler. The counters listed below are printed by `GET /counters` under their field
        /// names.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Ended attempts by [`AttemptEnd`], in the order of [`AttemptEnd::ALL`].
            pub ends: [Counter; AttemptEnd::ALL.len()],
            /// Callbacks with an end that is either the open attempt's or an earlier one's at the same worker.
            pub callbacks_ambiguous: Counter,
            /// Connections that waited for a descriptor, because none was free and no connection could be evicted.
            pub connections_delayed: Counter,
            /// Zones and kinds of listed workers that are not in the settings, counted for each entry.
            pub pool_unknown_names: Counter,
            /// Requests whose id is that of a request that may have run and must not run again.
            pub repeated_ids: Counter,
            /// Messages that were not received for lack of memory.
            pub rejected_for_memory: Counter,
            /// Counters by class index, in the order of the settings.
            classes: RefCell<Vec<Rc<ClassCounters>>>,
            /// Metrics of the gateway to other sites.
            pub gateway: GatewayMetrics,
            /// Requests accepted and not yet answered.
            pub active: Rc<Gauge>,
            /// Workers in the endpoint list.
            pub pool_size: Gauge,
            /// Ejected workers in the endpoint list.
            pub pool_ejected: Gauge,
            /// Metrics of the descriptor budgets.
            pub descriptors: DescriptorMetrics,
            /// Metrics of the memory budget for messages, in bytes.
            pub message_memory: Rc<BudgetMetrics>,
            /// Version of the endpoint list in use.
            pub pool_version: Gauge,
            /// Messages that wait in the engine's queue.
            pub engine_queue: Gauge,
        }

        impl Counters {
            /// The names and values of the counters listed below.
            fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name.get()),)*].into_iter()
            }
        }
    };
}

counters! {
    /// Connections accepted from clients and from workers that send callbacks.
    connections_accepted,
    /// Connections handed over by the predecessor.
    connections_adopted,
    /// Connections handed over to the successor.
    connections_passed_on,
    /// Connections evicted to make room for new ones.
    connections_shed,
    /// Failed accepts, mostly because descriptors ran out.
    accept_failures,
    /// Requests accepted by the engine (transaction = request).
    transactions_taken,
    /// Requests migrated to the successor.
    transactions_moved,
    /// Requests migrated from the predecessor.
    transactions_adopted,
    /// Requests answered with a worker's result.
    answered_served,
    /// Requests rejected by a scheduling decision.
    answered_rejected,
    /// Requests answered as failed.
    answered_failed,
    /// Clients that closed their connection before the answer.
    clients_left,
    /// Requests rejected before reaching the engine, because the scheduler is overloaded or draining.
    rejected_at_door,
    /// Messages rejected because they were malformed, too large or late, or had an unknown path, class or tenant.
    messages_rejected,
    /// Requests whose id was already in use.
    duplicate_ids,
    /// Callbacks received.
    callbacks,
    /// Malformed callbacks.
    callbacks_malformed,
    /// Callbacks that matched no open attempt.
    callbacks_unmatched,
    /// Callbacks relayed to another process during an upgrade.
    callbacks_passed_on,
    /// Attempts started (flow = attempt).
    flows,
    /// New connections to workers (member = worker).
    member_connects,
    /// Attempts that reused a pooled connection.
    member_reuses,
    /// DELETE requests sent to cancel an attempt.
    deletes,
    /// Capacity probes sent to workers.
    probes,
    /// Gossip messages sent (note = gossip message).
    notes_sent,
    /// Gossip messages that could not be sent.
    notes_unsent,
    /// Gossip messages received and applied.
    notes_heard,
    /// Datagrams ignored because the sender was unknown or they were not valid gossip messages.
    notes_ignored,
    /// Endpoint lists and increments applied (pool = endpoint list).
    pool_updates,
    /// Malformed messages from discovery.
    pool_malformed,
    /// Discovery watches restarted after they ended or fell silent.
    pool_reconnects,
}

impl Counters {
    /// Adds counters for new classes in the settings. Existing classes keep their indexes and counters.
    pub fn configure<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut classes = self.classes.borrow_mut();
        let existing = classes.len();
        classes.extend(names.skip(existing).map(|name| Rc::new(ClassCounters::new(name))));
    }

    /// The counters of a class.
    pub fn class(&self, class: usize) -> Rc<ClassCounters> {
        self.classes.borrow().get(class).cloned().unwrap_or_default()
    }

    /// The metrics for the METRICS command, one `svc.NAME=VALUE` per line.
    pub fn operator_metrics(&self) -> OperatorMetrics<'_> {
        OperatorMetrics(self)
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, end: AttemptEnd) {
        self.ends[end as usize].add();
    }
}

/// The response to `GET /counters`: one `NAME VALUE` per line.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in self.named() {
            writeln!(f, "{name} {value}")?;
        }
        for (end, counter) in AttemptEnd::ALL.iter().zip(&self.ends) {
            writeln!(f, "flows_ended_{} {}", end.name(), counter.get())?;
        }
        // Last, because programs may rely on the order of the other lines.
        writeln!(f, "callbacks_ambiguous {}", self.callbacks_ambiguous.get())?;
        writeln!(f, "connections_delayed {}", self.connections_delayed.get())?;
        writeln!(f, "pool_unknown_names {}", self.pool_unknown_names.get())?;
        writeln!(f, "repeated_ids {}", self.repeated_ids.get())?;
        writeln!(f, "rejected_for_memory {}", self.rejected_for_memory.get())
    }
}

/// Formats the metrics for the METRICS command.
pub struct OperatorMetrics<'a>(&'a Counters);

impl fmt::Display for OperatorMetrics<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OperatorMetrics(counters) = self;
        for class in counters.classes.borrow().iter() {
            class.write_lines(f)?;
        }
        writeln!(f, "svc.active={}", counters.active.get())?;
        writeln!(f, "svc.pool_size={}", counters.pool_size.get())?;
        writeln!(f, "svc.pool_ejected={}", counters.pool_ejected.get())?;
        if counters.gateway.is_enabled() {
            for class in counters.classes.borrow().iter() {
                writeln!(f, "svc.gateway.crossed.{}={}", class.name, class.crossed.get())?;
            }
            counters.gateway.write_lines(f)?;
        }
        // Last, because programs may rely on the order of the other lines.
        counters.descriptors.write_lines(f)?;
        writeln!(f, "svc.pool_version={}", counters.pool_version.get())?;
        writeln!(f, "svc.engine_queue={}", counters.engine_queue.get())?;
        writeln!(f, "svc.memory.messages={}", counters.message_memory.in_use.get())?;
        writeln!(f, "svc.memory.messages.limit={}", counters.message_memory.limit.get())
    }
}
