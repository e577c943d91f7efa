//! A worker as the endpoint list shows it, and what it reports of its load.

use serde::{Deserialize, Serialize};

use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::settings::LoadReportField;

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is not listed any more.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub id: WorkerId,
    /// A number of it that is the same at all schedulers and for each of its processes.
    pub stable_id: u64,
    /// Whether it takes work.
    pub state: WorkerState,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its kind.
    pub kind: usize,
    /// Clock time of its last start; 0 for long ago.
    pub started_at_s: f64,
    /// Its size as listed, in the list's own unit; 0 where that is not told. Where
    /// [`Settings::weights_show_load`](crate::scheduling::Settings::weights_show_load) is set, lowered by what it
    /// holds.
    pub weight: f64,
}

/// A load report; what is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Requests queued at the worker.
    pub queue_length: Option<f64>,
}

impl LoadReport {
    /// Sets one reported value. Fields that the decisions do not use are ignored; a value that is not finite counts as
    /// not reported.
    pub fn set(&mut self, field: LoadReportField, value: f64) {
        let value = value.is_finite().then_some(value);
        match field {
            LoadReportField::FreeSlots => self.free_slots = value,
            LoadReportField::FreeMemory => self.free_memory = value,
            LoadReportField::Queue => self.queue_length = value,
            LoadReportField::Other => {}
        }
    }
}
