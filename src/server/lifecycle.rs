//! Whether the scheduler takes work: one state, owned here. PAUSE, RESUME and SIGTERM only ask for a change.
//! Beside it, what changes a process or replaces it: the operators' door, SIGHUP, and upgrades.

pub mod handover;
pub mod handover_frames;
pub mod operator_interface;
pub mod peer_processes;
pub mod reload;

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
/// After SIGTERM the platform waits for the longest deadline, but for no more than this, and a little longer.
const PATIENCE: Duration = Duration::from_secs(3);

/// What the scheduler does about clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A new process that does not serve yet.
    Starting,
    /// It takes work.
    Serving,
    /// PAUSE came: it empties itself.
    Draining,
    /// Nothing of a client is left; RESUME is awaited.
    Drained,
    /// Another process serves at this address now; this one finishes what it has.
    Replaced,
    /// SIGTERM came: it empties itself and exits.
    Stopping,
}

impl Phase {
    /// Whether the process empties itself: answers say that their connection closes.
    pub fn empties(self) -> bool {
        matches!(self, Phase::Draining | Phase::Drained | Phase::Stopping)
    }

    /// The word for it, as the door says it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Drained => "drained",
            Phase::Replaced => "replaced by a new process",
            Phase::Stopping => "stopping",
        }
    }
}

/// Why a call changes nothing: what holds is not the operators' to change.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("this process is {}", .0.name())]
pub struct TransitionRejected(pub Phase);

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
        let phase = watch::Sender::new(Phase::Starting);
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
            Phase::Starting | Phase::Serving | Phase::Replaced => true,
            Phase::Draining | Phase::Drained => {
                began < self.takes_until.get() && Instant::now() < self.left_at.get() + PAUSE_HOLDS
            }
            Phase::Stopping => began < self.takes_until.get(),
        }
    }

    /// Whether messages that begin now may still be taken, now that PAUSE or SIGTERM has come.
    pub fn still_takes(&self) -> bool {
        Instant::now() < self.takes_until.get()
    }

    /// Whether connections that stand idle are to be closed.
    pub fn clears(&self) -> bool {
        self.phase().empties() && Instant::now() >= self.left_at.get() + IDLE_STAYS
    }

    /// By when a transaction must be answered whose message is whole only now, long after SIGTERM: what is
    /// open when the platform's patience ends would be lost. `longest` is the longest deadline of any class.
    pub fn answer_by(&self, longest: Duration) -> Option<Instant> {
        let late = self.phase() == Phase::Stopping && Instant::now() > self.left_at.get() + STOP_TAKES;
        late.then(|| self.left_at.get() + longest.min(PATIENCE) + STOP_TAKES / 2)
    }

    fn leave(&self, phase: Phase, takes: Duration) {
        let now = Instant::now();
        if self.phase().empties() {
            self.takes_until.set(self.takes_until.get().min(now + takes));
        } else {
            self.left_at.set(now);
            self.takes_until.set(now + takes);
        }
        self.phase.send_replace(phase);
    }

    /// Empties the scheduler.
    ///
    /// # Errors
    /// If the process is starting, replaced or stopping.
    pub fn pause(&self) -> Result<(), TransitionRejected> {
        match self.phase() {
            Phase::Serving => self.leave(Phase::Draining, PAUSE_TAKES),
            Phase::Draining | Phase::Drained => {}
            other => return Err(TransitionRejected(other)),
        }
        Ok(())
    }

    /// Takes clients again.
    ///
    /// # Errors
    /// If the process is starting, replaced or stopping.
    pub fn resume(&self) -> Result<(), TransitionRejected> {
        match self.phase() {
            Phase::Serving | Phase::Draining | Phase::Drained => self.phase.send_replace(Phase::Serving),
            other => return Err(TransitionRejected(other)),
        };
        Ok(())
    }

    /// From now on the process serves, unless it has been told to stop before.
    pub fn start(&self) {
        self.change(&[Phase::Starting], Phase::Serving);
    }

    /// From now on another process serves in its place.
    pub fn replace(&self) {
        self.change(&[Phase::Serving, Phase::Draining, Phase::Drained], Phase::Replaced);
    }

    /// That process is gone.
    pub fn restore(&self) {
        self.change(&[Phase::Replaced], Phase::Serving);
    }

    fn change(&self, from: &[Phase], to: Phase) {
        self.phase.send_if_modified(|phase| {
            let changes = from.contains(phase) && *phase != to;
            changes.then(|| *phase = to).is_some()
        });
    }

    /// Nothing of a client is left, or something is again.
    pub fn emptied(&self, empty: bool) {
        let now = if empty { Phase::Drained } else { Phase::Draining };
        self.change(&[Phase::Draining, Phase::Drained], now);
    }

    /// SIGTERM came. Nothing takes it back.
    pub fn stop(&self) {
        self.leave(Phase::Stopping, STOP_TAKES);
    }
}
