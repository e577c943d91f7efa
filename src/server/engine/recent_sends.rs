//! The work that this process sent to workers within the overload window.
//!
//! A worker in slow start collapses when it is sent too much within that window, by whichever process.
//! So a process that joins in an upgrade is notified of these sends (see [`super::migration`]). What this
//! process itself counts against a worker is the dispatcher's business.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::scheduling::Settings;
use crate::server::lifecycle::handover_frames::HandoverFrame;

/// The longest window that is kept, whatever the settings say.
const MAX_WINDOW_S: f64 = 60.0;

/// One attempt that was sent.
struct Send {
    at: Instant,
    worker_name: String,
    class: usize,
    work_s: f64,
}

/// Sends of the last overload window, oldest first.
#[derive(Default)]
pub(super) struct RecentSends(VecDeque<Send>);

impl RecentSends {
    /// Adds a send of now.
    pub(super) fn add(&mut self, worker_name: String, class: usize, work_s: f64) {
        self.0.push_back(Send { at: Instant::now(), worker_name, class, work_s });
    }

    /// Forgets what was sent before the overload window.
    pub(super) fn expire(&mut self, settings: &Settings) {
        let window = Duration::from_secs_f64(settings.overload_window_s.clamp(0.0, MAX_WINDOW_S));
        while self.0.front().is_some_and(|send| send.at.elapsed() > window) {
            self.0.pop_front();
        }
    }

    /// The `WorkSent` frames for a process that joins, oldest first.
    pub(super) fn frames(&self) -> impl Iterator<Item = HandoverFrame> + '_ {
        self.0.iter().map(|send| HandoverFrame::WorkSent {
            worker_name: send.worker_name.clone(),
            class: send.class,
            work_s: send.work_s,
        })
    }
}
