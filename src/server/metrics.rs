//! What the scheduler has accepted, sent and answered: plain numbers on one thread, which any module reads without asking
//! the engine.
//!
//! [`Counters`] owns them all. They are written in two forms: as `GET /counters` and at the exit (its `Display`), and as the
//! operators' METRICS ([`Counters::operator_metrics`]). The names on the wire are in this module only and never change; where such a
//! name has an old word, the comment beside it says which term it means. `docs/on-call.md` says what each metric means.

mod class_counters;
mod counter;
mod gateway_metrics;

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::server::attempt_end::AttemptEnd;

pub use class_counters::ClassCounters;
pub use counter::{Counter, Gauge, GaugeGuard};
pub use gateway_metrics::{GatewayMetrics, LinkMetrics};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All metrics of a scheduler. The counters listed below have the names of `GET /counters`, which stay as they are.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Attempts by how they ended, in the order of [`AttemptEnd::ALL`].
            pub ends: [Counter; AttemptEnd::ALL.len()],
            /// The classes, in the order of the settings.
            classes: RefCell<Vec<Rc<ClassCounters>>>,
            /// The gateway to other sites.
            pub gateway: GatewayMetrics,
            /// Requests accepted and not yet answered.
            pub active: Rc<Gauge>,
            /// Workers in the endpoint list.
            pub pool_size: Gauge,
            /// Of these, the ejected ones.
            pub pool_ejected: Gauge,
        }

        impl Counters {
            /// The listed counters, by name.
            fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name.get()),)*].into_iter()
            }
        }
    };
}

counters! {
    /// Connections accepted, of clients and of workers that send callbacks.
    connections_accepted,
    /// Connections that a predecessor handed on to this process.
    connections_adopted,
    /// Connections handed on to the successor.
    connections_passed_on,
    /// Connections closed to make place for new ones (connection eviction).
    connections_shed,
    /// Accepts that failed, most often for want of descriptors.
    accept_failures,
    /// Requests accepted by the engine (transaction: request).
    transactions_taken,
    /// Requests migrated to the successor.
    transactions_moved,
    /// Requests migrated from the predecessor.
    transactions_adopted,
    /// Requests answered with a worker's result.
    answered_served,
    /// Requests rejected by decision.
    answered_rejected,
    /// Requests answered as failed.
    answered_failed,
    /// Clients that closed their connection before the answer.
    clients_left,
    /// Requests rejected on arrival: the scheduler is full, or drains.
    rejected_at_door,
    /// Messages rejected: malformed, too large, or of an unknown path, class or tenant.
    messages_rejected,
    /// Requests whose id was in use.
    duplicate_ids,
    /// Callbacks received.
    callbacks,
    /// Callbacks that could not be read.
    callbacks_malformed,
    /// Callbacks for no open attempt.
    callbacks_unmatched,
    /// Callbacks relayed to another process of an upgrade.
    callbacks_passed_on,
    /// Attempts begun (flow: attempt).
    flows,
    /// New connections to workers (member: worker).
    member_connects,
    /// Attempts on a pooled connection.
    member_reuses,
    /// DELETEs sent to cancel an attempt.
    deletes,
    /// Capacity probes sent to workers.
    probes,
    /// Gossip messages sent (note: gossip message).
    notes_sent,
    /// Gossip messages that could not be sent.
    notes_unsent,
    /// Gossip messages received and used.
    notes_heard,
    /// Datagrams from unknown addresses, or that are no gossip message.
    notes_ignored,
    /// Endpoint lists and increments applied (pool: endpoint list).
    pool_updates,
    /// Messages of discovery that could not be read.
    pool_malformed,
    /// Discovery watches that ended or fell silent, and were begun again.
    pool_reconnects,
}

impl Counters {
    /// Adds the classes that are new in the settings. Classes keep their numbers, and with them their counters.
    pub fn configure<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut classes = self.classes.borrow_mut();
        let known = classes.len();
        classes.extend(names.skip(known).map(|name| Rc::new(ClassCounters::named(name))));
    }

    /// The counters of a class.
    pub fn class(&self, class: usize) -> Rc<ClassCounters> {
        self.classes.borrow().get(class).cloned().unwrap_or_default()
    }

    /// The operators' metrics, one `svc.NAME=VALUE` to a line.
    pub fn operator_metrics(&self) -> OperatorMetrics<'_> {
        OperatorMetrics(self)
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, end: AttemptEnd) {
        self.ends[end as usize].add();
    }
}

/// The answer to `GET /counters`: one `NAME VALUE` to a line.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in self.named() {
            writeln!(f, "{name} {value}")?;
        }
        for (end, counter) in AttemptEnd::ALL.iter().zip(&self.ends) {
            writeln!(f, "flows_ended_{} {}", end.name(), counter.get())?;
        }
        Ok(())
    }
}

/// The operators' metrics, in their names.
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
        if !counters.gateway.is_enabled() {
            return Ok(());
        }
        for class in counters.classes.borrow().iter() {
            writeln!(f, "svc.gateway.crossed.{}={}", class.name, class.crossed.get())?;
        }
        counters.gateway.write_lines(f)
    }
}
