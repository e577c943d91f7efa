//! What the scheduler has taken, sent and answered. Plain numbers on one thread, so that any front, door or
//! agent can read them without asking the engine.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use crate::server::attempt_end::AttemptEnd;

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

/// A number that goes up and down.
#[derive(Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// Sets the figure.
    pub fn set(&self, value: usize) {
        self.0.set(value);
    }

    /// One more for as long as the value lives.
    pub fn hold(this: &Rc<Self>) -> Gauged {
        this.set(this.get() + 1);
        Gauged(Rc::clone(this))
    }

    /// The figure.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// One that a [`Gauge`] counts.
pub struct Gauged(Rc<Gauge>);

impl Drop for Gauged {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What became of the transactions of one class.
#[derive(Default)]
pub struct ClassCounters {
    /// The class.
    name: String,
    /// Answered with a member's result.
    pub ok: Counter,
    /// Rejected, at the door or by decision.
    pub shed: Counter,
    /// Failed.
    pub errors: Counter,
    /// Attempts whose last byte was written to a member.
    pub tries: Counter,
    /// Crossings to another site.
    pub crossed: Counter,
}

/// What is known of a link to another site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFigures {
    /// It is up.
    pub up: bool,
    /// The time there and back.
    pub round_trip: Duration,
    /// Slots that it may carry in all, of a link on which work is sent away.
    pub room: u64,
}

/// The gateway's figures; the engine sets them.
#[derive(Default)]
pub struct GatewayFigures {
    on: Cell<bool>,
    /// What the decisions count.
    pub all: Cell<chutesaddle_gateway::Statistics>,
    /// What this site does about the others.
    pub stance: Cell<chutesaddle_gateway::LoadState>,
    links: RefCell<BTreeMap<(String, bool), LinkFigures>>,
}

impl GatewayFigures {
    /// There is a gateway: its figures are shown.
    pub fn enable(&self) {
        self.on.set(true);
    }

    /// Whether nothing of this site is elsewhere, and nothing of others is here.
    pub fn is_idle(&self) -> bool {
        let all = self.all.get();
        all.outbound_open == 0 && all.inbound_open == 0
    }

    /// Changes what is known of a link.
    pub fn link(&self, site: &str, dialled: bool, change: impl FnOnce(&mut LinkFigures)) {
        change(self.links.borrow_mut().entry((site.to_owned(), dialled)).or_default());
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters of a scheduler.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Server-side flows by how they ended, in the order of [`AttemptEnd::ALL`].
            pub ends: [Counter; AttemptEnd::ALL.len()],
            /// By class, in the order of the settings.
            classes: RefCell<Vec<Rc<ClassCounters>>>,
            /// Of the gateway to other sites.
            pub gateway: GatewayFigures,
            /// Transactions taken and not yet answered.
            pub active: Rc<Gauge>,
            /// Members in the pool.
            pub pool_size: Gauge,
            /// Of these, the ones that the decision module avoids.
            pub pool_ejected: Gauge,
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
    /// Connections that another process passed to this one.
    connections_adopted,
    /// Connections passed to the process that has taken over.
    connections_passed_on,
    /// Connections closed to make room for new ones.
    connections_shed,
    /// Accepts that failed, for want of descriptors above all.
    accept_failures,
    /// Transactions handed to the engine.
    transactions_taken,
    /// Transactions moved to the process that has taken over.
    transactions_moved,
    /// Transactions taken over from another process.
    transactions_adopted,
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
    /// Call-backs passed on to the other process of an upgrade.
    callbacks_passed_on,
    /// Server-side flows begun.
    flows,
    /// New connections to pool members.
    member_connects,
    /// Flows that went over a kept connection.
    member_reuses,
    /// DELETEs sent to give up a job.
    deletes,
    /// Questions to pool members.
    probes,
    /// Notes sent to the other schedulers.
    notes_sent,
    /// Notes that could not be sent.
    notes_unsent,
    /// Notes of other schedulers taken up.
    notes_heard,
    /// Datagrams from strangers, or that are no notes.
    notes_ignored,
    /// Discovery's messages taken up.
    pool_updates,
    /// Discovery's messages that could not be read.
    pool_malformed,
    /// Watches of discovery that ended or fell silent.
    pool_reconnects,
}

impl Counters {
    /// Takes up the names of the classes. Classes keep their numbers, and with them their figures.
    pub fn configure<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut classes = self.classes.borrow_mut();
        let known = classes.len();
        let new = |name: &str| Rc::new(ClassCounters { name: name.to_owned(), ..ClassCounters::default() });
        classes.extend(names.skip(known).map(new));
    }

    /// The figures of a class.
    pub fn class(&self, class: usize) -> Rc<ClassCounters> {
        self.classes.borrow().get(class).cloned().unwrap_or_default()
    }

    /// The operators' figures, one `svc.NAME=VALUE` to a line.
    pub fn figures(&self) -> Figures<'_> {
        Figures(self)
    }

    fn gateway_figures(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in self.classes.borrow().iter() {
            writeln!(f, "svc.gateway.crossed.{}={}", class.name, class.crossed.get())?;
        }
        let all = self.gateway.all.get();
        let figures = [
            ("crossed", all.forwarded),
            ("returned", all.returned),
            ("resumed", all.resumed),
            ("unknown", all.unknown),
            ("taken", all.accepted),
            ("given_back", all.returned_to_peers),
            ("duplicates_dropped", all.duplicates),
            ("open_out", all.outbound_open as u64),
            ("open_in", all.inbound_open as u64),
            ("room_granted", all.unused_grants),
        ];
        for (name, value) in figures {
            writeln!(f, "svc.gateway.{name}={value}")?;
        }
        writeln!(f, "svc.gateway.stance={}", format!("{:?}", self.gateway.stance.get()).to_lowercase())?;
        for ((site, dialled), link) in self.gateway.links.borrow().iter() {
            let way = if *dialled { "out" } else { "in" };
            writeln!(f, "svc.gateway.{way}.up.{site}={}", u8::from(link.up))?;
            if *dialled {
                writeln!(f, "svc.gateway.out.transit_us.{site}={}", link.round_trip.as_micros() / 2)?;
                writeln!(f, "svc.gateway.out.limit.{site}={}", link.room)?;
            }
        }
        Ok(())
    }

    /// Counts the end of a flow.
    pub fn ended(&self, end: AttemptEnd) {
        self.ends[end as usize].add();
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in self.plain() {
            writeln!(f, "{name} {value}")?;
        }
        for (end, counter) in AttemptEnd::ALL.iter().zip(&self.ends) {
            writeln!(f, "flows_ended_{} {}", end.name(), counter.get())?;
        }
        Ok(())
    }
}

/// The figures in the operators' names.
pub struct Figures<'a>(&'a Counters);

impl fmt::Display for Figures<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figures(counters) = self;
        for class in counters.classes.borrow().iter() {
            let figures = [
                ("ok", &class.ok),
                ("shed", &class.shed),
                ("errors", &class.errors),
                ("tries", &class.tries),
            ];
            for (name, counter) in figures {
                writeln!(f, "svc.{name}.{}={}", class.name, counter.get())?;
            }
        }
        writeln!(f, "svc.active={}", counters.active.get())?;
        writeln!(f, "svc.pool_size={}", counters.pool_size.get())?;
        writeln!(f, "svc.pool_ejected={}", counters.pool_ejected.get())?;
        if counters.gateway.on.get() {
            counters.gateway_figures(f)?;
        }
        Ok(())
    }
}
