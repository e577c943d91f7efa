//! What the scheduler has taken, sent and answered. Plain numbers on one thread, so that any front or
//! agent can read them without asking the engine.

use std::cell::Cell;
use std::fmt;

use crate::net::end::ConnectionEnd;

/// A number that only grows.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one and returns the new figure.
    pub fn add(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }

    /// The figure.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters of a scheduler.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Server-side flows by how they ended, in the order of [`ConnectionEnd::ALL`].
            pub ends: [Counter; ConnectionEnd::ALL.len()],
        }

        impl Counters {
            fn plain(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name.get()),)*].into_iter()
            }
        }
    };
}

counters! {
    /// Client and call-back connections accepted.
    connections_accepted,
    /// Connections closed to make room for new ones.
    connections_shed,
    /// Accepts that failed, for want of descriptors above all.
    accept_failures,
    /// Transactions handed to the engine.
    transactions_taken,
    /// Transactions answered with a member's result.
    answered_served,
    /// Transactions answered with a reject that the decisions asked for.
    answered_rejected,
    /// Transactions answered as failed.
    answered_failed,
    /// Clients that left before their answer.
    clients_left,
    /// Transactions rejected at the door: the scheduler is full, or is stopping.
    rejected_at_door,
    /// Messages that could not be taken: malformed, too large, or of an unknown path, class or tenant.
    messages_rejected,
    /// Transactions whose id was in use already.
    duplicate_ids,
    /// Call-backs taken.
    callbacks,
    /// Call-backs that could not be read.
    callbacks_malformed,
    /// Call-backs for no flow that is still open.
    callbacks_unmatched,
    /// Server-side flows begun.
    flows,
    /// New connections to pool members.
    member_connects,
    /// Flows that went over a kept connection.
    member_reuses,
    /// DELETEs sent to give up a job.
    deletes,
    /// Discovery's messages taken up.
    pool_updates,
    /// Discovery's messages that could not be read.
    pool_malformed,
    /// Watches of discovery that ended or fell silent.
    pool_reconnects,
}

impl Counters {
    /// Counts the end of a flow.
    pub fn ended(&self, end: ConnectionEnd) {
        self.ends[end as usize].add();
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in self.plain() {
            writeln!(f, "{name} {value}")?;
        }
        for (end, counter) in ConnectionEnd::ALL.iter().zip(&self.ends) {
            writeln!(f, "flows_ended_{} {}", end.name(), counter.get())?;
        }
        Ok(())
    }
}
