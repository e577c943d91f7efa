//! The work that this process has sent to workers within the overload window.
//!
//! A worker in slow start collapses if it is sent too much work within that window, no matter by which process.
//! Therefore a process that joins in an upgrade is notified of these sends (see [`super::migration`]). The
//! dispatcher tracks the work sent by this process separately.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::scheduling::Settings;
use crate::server::lifecycle::handover_frames::HandoverFrame;

/// Upper bound on the overload window, regardless of the settings.
const MAX_OVERLOAD_WINDOW_S: f64 = 60.0;

/// An attempt that was sent to a worker.
struct SentAttempt {
    sent_at: Instant,
    worker_name: String,
    class: usize,
    work_s: f64,
}

/// Attempts sent within the overload window, oldest first.
#[derive(Default)]
pub(super) struct RecentSends(VecDeque<SentAttempt>);

impl RecentSends {
    /// Records an attempt that was sent now.
    pub(super) fn add(&mut self, worker_name: String, class: usize, work_s: f64) {
        self.0.push_back(SentAttempt { sent_at: Instant::now(), worker_name, class, work_s });
    }

    /// Removes the attempts that were sent before the overload window.
    pub(super) fn expire(&mut self, settings: &Settings) {
        let window = Duration::from_secs_f64(settings.overload_window_s.clamp(0.0, MAX_OVERLOAD_WINDOW_S));
        while self.0.front().is_some_and(|sent| sent.sent_at.elapsed() > window) {
            self.0.pop_front();
        }
    }

    /// Returns the `AttemptSent` frames for a process that joins, oldest first.
    pub(super) fn frames(&self) -> impl Iterator<Item = HandoverFrame> + '_ {
        self.0.iter().map(|sent| HandoverFrame::AttemptSent {
            worker_name: sent.worker_name.clone(),
            class: sent.class,
            work_s: sent.work_s,
        })
    }
}
