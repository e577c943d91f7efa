//! Entries of the endpoint list, and load reports of workers.

use serde::{Deserialize, Serialize};

use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::settings::LoadReportField;

/// Whether a worker accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// The worker accepts requests.
    Ready,
    /// The worker accepts no new requests but finishes those it has.
    Draining,
    /// The worker is no longer listed.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// This process's number for the worker.
    pub id: WorkerId,
    /// A number for the worker that is the same at all schedulers and survives restarts of the worker.
    pub stable_id: u64,
    /// Whether the worker accepts new requests.
    pub state: WorkerState,
    /// Number of the worker's zone: its index in the settings, any other number for a zone that is not there, or
    /// [`Self::UNKNOWN_ZONE`].
    pub zone: u16,
    /// Number of the worker's cell, or [`Self::UNKNOWN_CELL`].
    pub cell: u16,
    /// Index of the worker's kind.
    pub kind: usize,
    /// Time of the worker's last start, in seconds on the caller's clock; 0 if long ago.
    pub started_at_s: f64,
    /// The worker's listed size, in the list's own unit; 0 if not listed. If
    /// [`Settings::weights_show_load`](crate::scheduling::Settings::weights_show_load) is set, the weight is lowered by
    /// the worker's load.
    pub weight: f64,
}

impl WorkerInfo {
    /// The zone of a worker whose zone is not known. It may be any zone.
    pub const UNKNOWN_ZONE: u16 = u16::MAX;
    /// The cell of a worker whose cell is not known. It may be any cell.
    pub const UNKNOWN_CELL: u16 = u16::MAX;

    /// Whether both workers certainly are in the same zone.
    pub(crate) fn shares_zone_with(&self, other: &WorkerInfo) -> bool {
        self.id == other.id || self.zone == other.zone && self.zone != Self::UNKNOWN_ZONE
    }

    /// Whether both workers certainly are in the same cell.
    pub(crate) fn shares_cell_with(&self, other: &WorkerInfo) -> bool {
        self.id == other.id || self.cell == other.cell && self.cell != Self::UNKNOWN_CELL
    }
}

/// A load report of a worker. Values that it does not contain are `None`.
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
    /// Sets the value of a field. Unused fields are ignored, and a value that is not finite counts as not reported.
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
