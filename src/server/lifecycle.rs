//! Whether this process takes work, and everything that changes that: start, PAUSE, RESUME, upgrade, SIGTERM.
//!
//! [`Lifecycle`] owns the one [`Phase`] of the process. Nobody else sets it: the modules below only report a
//! [`LifecycleEvent`], and `Phase::after` decides what follows. The frontend asks here whether a request is admitted
//! and whether idle connections are to be closed; gossip and the site links watch the phase.
//!
//! | module | question it answers |
//! | --- | --- |
//! | [`handover`] | how a new process takes over from the one that serves (an upgrade) |
//! | [`handover_frames`] | what the two processes of an upgrade send each other, and in which bytes |
//! | [`peer_processes`] | which processes of an upgrade are linked, and which requests are open there |
//! | [`operator_interface`] | how STATUS, METRICS, PAUSE and RESUME come in |
//! | [`operator_file`] | how the operator's own file is read |
//! | [`reload`] | what SIGHUP changes while requests are in flight |
//!
//! The order of start-up and of exit is in `src/cli/serve.rs`; crossing events are listed in `docs/races.md`.

pub mod handover;
pub mod handover_frames;
pub mod operator_file;
pub mod operator_interface;
pub mod peer_processes;
pub mod reload;

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Requests are admitted for this long after PAUSE: the front layer polls `/ready` ten times a second and sends
/// new connections for a while after the first 503.
const PAUSE_ADMISSION: Duration = Duration::from_millis(1400);
/// The same after SIGTERM, which leaves less time.
const STOP_ADMISSION: Duration = Duration::from_millis(500);
/// Idle connections of clients stay open this long, so that the front layer has read the 503 before they close.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// After PAUSE a request is rejected if its message was complete later than this, whenever it began.
const PAUSE_COMPLETION: Duration = Duration::from_millis(1900);
/// After SIGTERM the platform waits for the longest deadline, but for no more than this and 0.7 s, before it kills the process.
/// The process sets itself no limit: this only shortens the deadlines of late messages ([`Lifecycle::answer_deadline`]).
const PLATFORM_STOP_WAIT: Duration = Duration::from_secs(3);

/// What the process does about clients; see `Phase::after` for the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A new process that does not serve yet.
    Starting,
    /// It admits requests.
    Serving,
    /// PAUSE came: requests in flight are finished, new ones rejected.
    Draining,
    /// PAUSE came, and no client's request is left; RESUME is awaited.
    Drained,
    /// A successor accepts connections at this address; this process finishes what it has.
    Replaced,
    /// SIGTERM came: the process drains and exits.
    Stopping,
}

/// What can change the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process is ready to accept connections.
    Started,
    /// An operator sent PAUSE.
    PauseRequested,
    /// An operator sent RESUME.
    ResumeRequested,
    /// The frontend looked and holds no client's request.
    Emptied,
    /// The frontend looked and holds a client's request.
    Occupied,
    /// A successor has begun to serve.
    SuccessorServing,
    /// The successor has exited or its link has broken.
    SuccessorLost,
    /// SIGTERM came.
    Terminated,
}

/// Why an operator's command changes nothing: the process is in a phase that operators cannot change.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("this process is {}", .0.name())]
pub struct TransitionRejected(pub Phase);

impl Phase {
    /// Whether the process drains: answers then say that their connection closes.
    pub fn is_draining(self) -> bool {
        match self {
            Phase::Draining | Phase::Drained | Phase::Stopping => true,
            Phase::Starting | Phase::Serving | Phase::Replaced => false,
        }
    }

    /// Its name in the answers of the operator interface and of `/ready`.
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

    /// The phase that follows an event. All transitions are here.
    ///
    /// | event | from | to | reason |
    /// | --- | --- | --- | --- |
    /// | `Started` | starting | serving | the listener is ready; after SIGTERM it is too late to serve |
    /// | `PauseRequested` | serving | draining | the operator wants the process empty |
    /// | | draining, drained | unchanged | asked for already |
    /// | | starting, replaced, stopping | rejected | a predecessor, a successor or SIGTERM decides |
    /// | `ResumeRequested` | serving, draining, drained | serving | the operator wants work to be taken again |
    /// | | starting, replaced, stopping | rejected | as for `PauseRequested` |
    /// | `Emptied` | draining | drained | the last request is answered |
    /// | `Occupied` | drained | draining | a request that began in time was admitted |
    /// | `SuccessorServing` | serving, draining, drained | replaced | one process accepts connections |
    /// | `SuccessorLost` | replaced | serving | nobody else accepts connections; an earlier PAUSE is forgotten |
    /// | `Terminated` | any | stopping | nothing takes SIGTERM back |
    ///
    /// In every other phase an event changes nothing.
    ///
    /// # Errors
    /// If an operator's command is rejected.
    fn after(self, event: LifecycleEvent) -> Result<Phase, TransitionRejected> {
        use LifecycleEvent as On;
        use Phase::{Drained, Draining, Replaced, Serving, Starting, Stopping};
        match (event, self) {
            (On::Started, Starting) => Ok(Serving),
            (On::Started, Serving | Draining | Drained | Replaced | Stopping) => Ok(self),
            (On::PauseRequested, Serving) => Ok(Draining),
            (On::PauseRequested, Draining | Drained) => Ok(self),
            (On::ResumeRequested, Serving | Draining | Drained) => Ok(Serving),
            (On::PauseRequested | On::ResumeRequested, Starting | Replaced | Stopping) => {
                Err(TransitionRejected(self))
            }
            (On::Emptied, Draining) => Ok(Drained),
            (On::Emptied, Starting | Serving | Drained | Replaced | Stopping) => Ok(self),
            (On::Occupied, Drained) => Ok(Draining),
            (On::Occupied, Starting | Serving | Draining | Replaced | Stopping) => Ok(self),
            (On::SuccessorServing, Serving | Draining | Drained) => Ok(Replaced),
            (On::SuccessorServing, Starting | Replaced | Stopping) => Ok(self),
            (On::SuccessorLost, Replaced) => Ok(Serving),
            (On::SuccessorLost, Starting | Serving | Draining | Drained | Stopping) => Ok(self),
            (On::Terminated, Starting | Serving | Draining | Drained | Replaced | Stopping) => Ok(Stopping),
        }
    }
}

/// The phase of this process, and the times that follow from when it began to drain.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// When PAUSE or SIGTERM, whichever was first, began the drain.
    drain_began: Cell<Instant>,
    /// Messages that begin before this are admitted though the process drains.
    admission_closes: Cell<Instant>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let now = Instant::now();
        Lifecycle {
            phase: watch::Sender::new(Phase::Starting),
            drain_began: Cell::new(now),
            admission_closes: Cell::new(now),
        }
    }
}

impl Lifecycle {
    /// The phase now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Notifies of each new phase.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether the front layer should send clients here.
    pub fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether a request is admitted whose message began to arrive at `began` and is complete now.
    pub fn admits(&self, began: Instant) -> bool {
        match self.phase() {
            Phase::Starting | Phase::Serving | Phase::Replaced => true,
            Phase::Draining | Phase::Drained => {
                let began_in_time = began < self.admission_closes.get();
                let complete_in_time = Instant::now() < self.drain_began.get() + PAUSE_COMPLETION;
                began_in_time && complete_in_time
            }
            Phase::Stopping => began < self.admission_closes.get(),
        }
    }

    /// Whether messages that begin now may still be admitted, once PAUSE or SIGTERM has come.
    pub fn admission_is_open(&self) -> bool {
        Instant::now() < self.admission_closes.get()
    }

    /// Whether idle connections of clients are to be closed.
    pub fn closes_idle_connections(&self) -> bool {
        self.phase().is_draining() && Instant::now() >= self.drain_began.get() + IDLE_GRACE
    }

    /// By when a request must be answered whose message is complete only now, long after SIGTERM: what is
    /// open when the platform stops waiting would be lost. `longest_deadline` is that of all classes.
    pub fn answer_deadline(&self, longest_deadline: Duration) -> Option<Instant> {
        let admission_is_over = Instant::now() > self.drain_began.get() + STOP_ADMISSION;
        if self.phase() != Phase::Stopping || !admission_is_over {
            return None;
        }
        Some(self.drain_began.get() + longest_deadline.min(PLATFORM_STOP_WAIT) + STOP_ADMISSION / 2)
    }

    /// Takes an event: the only function that changes the phase.
    ///
    /// # Errors
    /// If the event is an operator's command, and the process is starting, replaced or stopping.
    pub fn handle(&self, event: LifecycleEvent) -> Result<(), TransitionRejected> {
        let phase = self.phase();
        let next = phase.after(event)?;
        if next.is_draining() {
            self.limit_admission(phase, event);
        }
        // RESUME notifies also where nothing changes: gossip then opens its socket anew.
        if next != phase || event == LifecycleEvent::ResumeRequested {
            self.phase.send_replace(next);
        }
        Ok(())
    }

    /// Sets the times of a drain that begins; SIGTERM only shortens those of a drain that is under way.
    fn limit_admission(&self, phase: Phase, event: LifecycleEvent) {
        let now = Instant::now();
        let terminated = event == LifecycleEvent::Terminated;
        let closes = now + if terminated { STOP_ADMISSION } else { PAUSE_ADMISSION };
        if !phase.is_draining() {
            self.drain_began.set(now);
            self.admission_closes.set(closes);
        } else if terminated {
            self.admission_closes.set(self.admission_closes.get().min(closes));
        }
    }

    /// Reports an event that is no operator's command.
    pub fn notify(&self, event: LifecycleEvent) {
        let handled = self.handle(event);
        debug_assert!(handled.is_ok(), "only operators' commands are rejected");
    }
}
