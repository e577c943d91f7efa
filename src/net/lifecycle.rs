//! Whether the scheduler takes work: one state, owned here. PAUSE, RESUME and SIGTERM only ask for a change.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Transactions are taken for this long after a PAUSE: the front layer asks ten times a second and sends
/// new connections for a while after the first no.
const PAUSE_TAKES: Duration = Duration::from_millis(1400);
/// The same after SIGTERM, which leaves less time.
const STOP_TAKES: Duration = Duration::from_millis(500);
/// Idle connections of clients stay this long, so that the front layer has seen the no before they close.
const IDLE_STAYS: Duration = Duration::from_millis(500);
/// A paused scheduler holds no transaction that came later than this after the call.
const PAUSE_HOLDS: Duration = Duration::from_millis(1900);
/// The time to answer what was taken counts as at least this long.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);

/// What the scheduler does about clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Serving,
    /// PAUSE came: it empties itself.
    Draining,
    /// Nothing of a client is left; RESUME is awaited.
    Drained,
    /// SIGTERM came: it empties itself and exits.
    Stopping,
}

impl Phase {
    /// The word for it, as the door says it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Drained => "drained",
            Phase::Stopping => "stopping",
        }
    }
}

/// Why a change is not made: the process has been told to stop, which nothing takes back.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("the scheduler is stopping")]
pub struct IsStopping;

/// The state, and since when it holds.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// When PAUSE or SIGTERM, whichever was first, ended the taking of work.
    left_at: Cell<Instant>,
    /// Until when messages that begin are taken all the same.
    takes_until: Cell<Instant>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let now = Instant::now();
        let phase = watch::Sender::new(Phase::Serving);
        Lifecycle { phase, left_at: Cell::new(now), takes_until: Cell::new(now) }
    }
}

impl Lifecycle {
    /// The state that holds now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells of changes.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether the front layer should send clients here.
    pub fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether a transaction is taken whose message began to arrive at `began` and is whole now.
    pub fn takes(&self, began: Instant) -> bool {
        match self.phase() {
            Phase::Serving => true,
            Phase::Draining | Phase::Drained => {
                began < self.takes_until.get() && Instant::now() < self.left_at.get() + PAUSE_HOLDS
            }
            Phase::Stopping => began < self.takes_until.get(),
        }
    }

    /// Whether messages that begin now may still be taken.
    pub fn still_takes(&self) -> bool {
        self.is_serving() || Instant::now() < self.takes_until.get()
    }

    /// Whether connections that stand idle are to be closed.
    pub fn clears(&self) -> bool {
        !self.is_serving() && Instant::now() >= self.left_at.get() + IDLE_STAYS
    }

    /// By when a transaction must be answered that is taken now, whatever its client allows: what is open
    /// when the platform's patience ends would be lost. `longest` is the longest deadline of any class.
    pub fn answer_by(&self, longest: Duration) -> Option<Instant> {
        let stopping = self.phase() == Phase::Stopping;
        stopping.then(|| self.left_at.get() + longest.max(LEAST_DEADLINE))
    }

    fn leave(&self, phase: Phase, takes: Duration) {
        let now = Instant::now();
        if self.is_serving() {
            self.left_at.set(now);
            self.takes_until.set(now + takes);
        } else {
            self.takes_until.set(self.takes_until.get().min(now + takes));
        }
        self.phase.send_replace(phase);
    }

    /// Empties the scheduler.
    ///
    /// # Errors
    /// If it is stopping: then it empties itself anyway, for good.
    pub fn pause(&self) -> Result<(), IsStopping> {
        match self.phase() {
            Phase::Serving => self.leave(Phase::Draining, PAUSE_TAKES),
            Phase::Draining | Phase::Drained => {}
            Phase::Stopping => return Err(IsStopping),
        }
        Ok(())
    }

    /// Takes clients again.
    ///
    /// # Errors
    /// If it is stopping.
    pub fn resume(&self) -> Result<(), IsStopping> {
        if self.phase() == Phase::Stopping {
            return Err(IsStopping);
        }
        self.phase.send_replace(Phase::Serving);
        Ok(())
    }

    /// Nothing of a client is left, or something is again.
    pub fn emptied(&self, empty: bool) {
        let drains = |phase: &mut Phase| {
            let now = if empty { Phase::Drained } else { Phase::Draining };
            let changes = matches!(phase, Phase::Draining | Phase::Drained) && *phase != now;
            changes.then(|| *phase = now).is_some()
        };
        self.phase.send_if_modified(drains);
    }

    /// SIGTERM came. Nothing takes it back.
    pub fn stop(&self) {
        self.leave(Phase::Stopping, STOP_TAKES);
    }
}
