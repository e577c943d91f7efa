//! The process lifecycle: startup, PAUSE, RESUME, upgrade and SIGTERM.
//!
//! [`Lifecycle`] owns the [`Phase`] of the process. Other modules report a [`LifecycleEvent`], and `Phase::transition`
//! determines the next phase. The frontend queries the lifecycle to decide whether to admit a request and whether to
//! close idle connections. Gossip and the site links watch the phase.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`handover`] | an upgrade: a new process takes over from the serving one |
//! | [`handover_frames`] | messages between the two processes of an upgrade, and their encoding |
//! | [`peer_processes`] | links to the other processes of an upgrade, and the requests open in them |
//! | [`operator_interface`] | the STATUS, METRICS, PAUSE and RESUME commands |
//! | [`operator_file`] | loading the operator's configuration file |
//! | [`reload`] | applying configuration changes on SIGHUP while requests are in flight |
//!
//! The startup and shutdown sequences are in `src/cli/serve.rs`. Races between events are listed in `docs/races.md`.

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

/// How long after PAUSE new requests are still admitted. The front layer polls `/ready` ten times a second and keeps
/// sending new connections for a while after the first 503.
const PAUSE_ADMISSION_WINDOW: Duration = Duration::from_millis(1400);
/// How long after SIGTERM new requests are still admitted. Shorter than after PAUSE because the platform kills the
/// process soon after SIGTERM.
const STOP_ADMISSION_WINDOW: Duration = Duration::from_millis(500);
/// How long idle client connections stay open once the process drains. The front layer must see the 503 of `/ready`
/// before they close.
const IDLE_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// How long after PAUSE a request may take to be received completely. A later one is rejected, regardless of when it
/// began to arrive.
const PAUSE_COMPLETION_WINDOW: Duration = Duration::from_millis(1900);
/// After SIGTERM the platform waits for the longest deadline, but at most this plus 0.7 s, before it kills the process.
/// The process does not limit its own shutdown: this value only shortens the deadlines of requests that are received
/// late ([`Lifecycle::shutdown_deadline`]).
const PLATFORM_KILL_TIMEOUT: Duration = Duration::from_secs(3);

/// Lifecycle phase of the process. `Phase::transition` lists the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process has started and does not serve yet.
    Starting,
    /// The process admits requests.
    Serving,
    /// Paused: requests in flight complete. New ones are rejected once the admission window has closed.
    Draining,
    /// Paused, and no client request is left. Waits for RESUME.
    Drained,
    /// A successor accepts connections at this address. This process finishes its remaining requests.
    Replaced,
    /// SIGTERM was received: the process drains and exits.
    Stopping,
}

/// An event that may change the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process is ready to accept connections.
    Started,
    /// An operator sent PAUSE.
    PauseRequested,
    /// An operator sent RESUME.
    ResumeRequested,
    /// The frontend has no client request.
    FrontendIdle,
    /// The frontend has at least one client request.
    FrontendBusy,
    /// A successor has started to serve.
    SuccessorServing,
    /// The successor has exited, or the link to it broke.
    SuccessorLost,
    /// SIGTERM was received.
    Terminated,
}

/// Error returned for an operator command in a phase that operators cannot change.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("this process is {}", .0.name())]
pub struct TransitionRejected(pub Phase);

impl Phase {
    /// Whether the process is draining. Responses then announce that the connection closes.
    pub fn is_draining(self) -> bool {
        match self {
            Phase::Draining | Phase::Drained | Phase::Stopping => true,
            Phase::Starting | Phase::Serving | Phase::Replaced => false,
        }
    }

    /// Name of the phase in answers of the operator interface and of `/ready`.
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

    /// Returns the phase that follows an event. All transitions are defined here.
    ///
    /// | event | from | to | reason |
    /// | --- | --- | --- | --- |
    /// | `Started` | starting | serving | the listener is ready; a process that is stopping does not start to serve |
    /// | `PauseRequested` | serving | draining | the operator drains the process |
    /// | | draining, drained | unchanged | already paused |
    /// | | starting, replaced, stopping | rejected | the phase depends on a predecessor, a successor or SIGTERM |
    /// | `ResumeRequested` | serving, draining, drained | serving | the operator puts the process back into service |
    /// | | starting, replaced, stopping | rejected | as for `PauseRequested` |
    /// | `FrontendIdle` | draining | drained | the last request was answered |
    /// | `FrontendBusy` | drained | draining | a request that began to arrive in time was admitted |
    /// | `SuccessorServing` | serving, draining, drained | replaced | only one process accepts connections |
    /// | `SuccessorLost` | replaced | serving | no other process accepts connections; an earlier PAUSE no longer applies |
    /// | `Terminated` | any | stopping | SIGTERM cannot be revoked |
    ///
    /// An event leaves any phase not listed for it unchanged.
    ///
    /// # Errors
    /// Returns an error if an operator command is rejected.
    fn transition(self, event: LifecycleEvent) -> Result<Phase, TransitionRejected> {
        use LifecycleEvent as Event;
        use Phase::{Drained, Draining, Replaced, Serving, Starting, Stopping};
        match (event, self) {
            (Event::Started, Starting) => Ok(Serving),
            (Event::Started, Serving | Draining | Drained | Replaced | Stopping) => Ok(self),
            (Event::PauseRequested, Serving) => Ok(Draining),
            (Event::PauseRequested, Draining | Drained) => Ok(self),
            (Event::ResumeRequested, Serving | Draining | Drained) => Ok(Serving),
            (Event::PauseRequested | Event::ResumeRequested, Starting | Replaced | Stopping) => {
                Err(TransitionRejected(self))
            }
            (Event::FrontendIdle, Draining) => Ok(Drained),
            (Event::FrontendIdle, Starting | Serving | Drained | Replaced | Stopping) => Ok(self),
            (Event::FrontendBusy, Drained) => Ok(Draining),
            (Event::FrontendBusy, Starting | Serving | Draining | Replaced | Stopping) => Ok(self),
            (Event::SuccessorServing, Serving | Draining | Drained) => Ok(Replaced),
            (Event::SuccessorServing, Starting | Replaced | Stopping) => Ok(self),
            (Event::SuccessorLost, Replaced) => Ok(Serving),
            (Event::SuccessorLost, Starting | Serving | Draining | Drained | Stopping) => Ok(self),
            (Event::Terminated, Starting | Serving | Draining | Drained | Replaced | Stopping) => {
                Ok(Stopping)
            }
        }
    }
}

/// The phase of this process and the time limits of a drain.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// When the current drain was started, by PAUSE or SIGTERM, whichever came first.
    drain_started_at: Cell<Instant>,
    /// While draining, requests that begin to arrive before this time are still admitted.
    admission_closes_at: Cell<Instant>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let now = Instant::now();
        Lifecycle {
            phase: watch::Sender::new(Phase::Starting),
            drain_started_at: Cell::new(now),
            admission_closes_at: Cell::new(now),
        }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Subscribes to phase changes.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether the front layer should send clients here.
    pub fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether to admit a request that began to arrive at `started_at` and has now been received completely.
    pub fn admits(&self, started_at: Instant) -> bool {
        match self.phase() {
            Phase::Starting | Phase::Serving | Phase::Replaced => true,
            Phase::Draining | Phase::Drained => {
                let started_in_time = started_at < self.admission_closes_at.get();
                let complete_in_time = Instant::now() < self.drain_started_at.get() + PAUSE_COMPLETION_WINDOW;
                started_in_time && complete_in_time
            }
            Phase::Stopping => started_at < self.admission_closes_at.get(),
        }
    }

    /// Whether requests that begin to arrive now may still be admitted. Meaningful only after PAUSE or SIGTERM.
    pub fn admission_is_open(&self) -> bool {
        Instant::now() < self.admission_closes_at.get()
    }

    /// Whether idle client connections should be closed.
    pub fn should_close_idle_connections(&self) -> bool {
        self.phase().is_draining() && Instant::now() >= self.drain_started_at.get() + IDLE_CONNECTION_GRACE
    }

    /// The time by which a request must be answered if it was received completely only after the admission window of
    /// SIGTERM. It counts from the start of the drain, which is an earlier PAUSE if there was one. Any request still open when the platform kills the process is lost. `longest_deadline` is the longest
    /// deadline of any request class.
    pub fn shutdown_deadline(&self, longest_deadline: Duration) -> Option<Instant> {
        let admission_closed = Instant::now() > self.drain_started_at.get() + STOP_ADMISSION_WINDOW;
        if self.phase() != Phase::Stopping || !admission_closed {
            return None;
        }
        Some(
            self.drain_started_at.get()
                + longest_deadline.min(PLATFORM_KILL_TIMEOUT)
                + STOP_ADMISSION_WINDOW / 2,
        )
    }

    /// Applies an event. This is the only function that changes the phase.
    ///
    /// # Errors
    /// Returns an error if the event is an operator command and the process is starting, replaced or stopping.
    pub fn handle(&self, event: LifecycleEvent) -> Result<(), TransitionRejected> {
        let phase = self.phase();
        let next = phase.transition(event)?;
        if next.is_draining() {
            self.set_drain_times(phase, event);
        }
        // RESUME notifies watchers even if the phase does not change, so that gossip reopens its socket.
        if next != phase || event == LifecycleEvent::ResumeRequested {
            self.phase.send_replace(next);
        }
        Ok(())
    }

    /// Sets the time limits when a drain starts. During a drain, SIGTERM only shortens them.
    fn set_drain_times(&self, phase: Phase, event: LifecycleEvent) {
        let now = Instant::now();
        let terminated = event == LifecycleEvent::Terminated;
        let closes_at = now + if terminated { STOP_ADMISSION_WINDOW } else { PAUSE_ADMISSION_WINDOW };
        if !phase.is_draining() {
            self.drain_started_at.set(now);
            self.admission_closes_at.set(closes_at);
        } else if terminated {
            self.admission_closes_at.set(self.admission_closes_at.get().min(closes_at));
        }
    }

    /// Reports an event other than an operator command.
    pub fn notify(&self, event: LifecycleEvent) {
        let result = self.handle(event);
        debug_assert!(result.is_ok(), "only operator commands are rejected");
    }
}
