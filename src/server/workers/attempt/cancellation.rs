//! Cancels a request at a worker: `DELETE /jobs/ID` (protocol page, "Schedulers to workers").

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, timeout, Instant};

use crate::server::attempt_end::AttemptEnd;
use crate::server::messages::RequestPayload;
use crate::server::workers::attempt::exchange::finish_response;
use crate::server::workers::attempt::state::AttemptState;
use crate::server::workers::attempt::AttemptTask;
use crate::server::workers::endpoint::{ConnectionPurpose, WorkerEndpoint};

/// Wait between two tries to reach a worker that has accepted the request.
const DELETE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl AttemptTask {
    /// Carries out a cancellation; `state` is the one after the command.
    pub(super) async fn cancel(&self, state: AttemptState) -> AttemptEnd {
        match state {
            AttemptState::CancellingUnanswered => {
                self.send_delete().await;
                AttemptEnd::Cancelled
            }
            AttemptState::CancellingAccepted => self.delete_until_written().await,
            // Only `Ended` follows a cancel command beside the two above.
            AttemptState::Ended
            | AttemptState::Connecting
            | AttemptState::Sending
            | AttemptState::Waiting
            | AttemptState::Accepted => AttemptEnd::CancelledUnsent,
        }
    }

    /// Cancels a request that the worker has accepted, which takes a `DELETE` whose last byte is written. As long as
    /// the worker cannot be reached the attempt stays in flight, and a retry elsewhere would be a second copy. A
    /// callback or the deadline ends it then.
    async fn delete_until_written(&self) -> AttemptEnd {
        while !self.send_delete().await {
            let next = Instant::now() + DELETE_RETRY_INTERVAL;
            if next >= self.deadline {
                sleep_until(self.deadline).await;
                return AttemptEnd::DeadlinePassed;
            }
            sleep_until(next).await;
        }
        AttemptEnd::Cancelled
    }

    /// Sends a `DELETE` and waits for the response, after which no second copy can overlap; returns whether the
    /// `DELETE` has been written. A worker that no longer answers is not waited for beyond the time-out.
    async fn send_delete(&self) -> bool {
        self.counters.deletes.add();
        let mut written = false;
        let delete = delete(&self.worker, &self.payload, &mut written);
        // Written or not, as `written` says: a time-out changes nothing about it.
        let _ = timeout(self.worker.response_timeout(), delete).await;
        written
    }
}

/// Sends a `DELETE` and reads the response, whatever it says: nothing more can be done.
///
/// On a pooled connection that turns out to be stale nobody has read it, and it is sent again on another. Where a new
/// connection breaks as well the request may still run: a retry elsewhere would be a second copy.
async fn delete(worker: &Rc<WorkerEndpoint>, payload: &RequestPayload, written: &mut bool) {
    let rest_of_head = b" HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n";
    while let Ok(mut connection) = WorkerEndpoint::connection(worker, ConnectionPurpose::Cancellation).await {
        if connection.http.write(&[b"DELETE /jobs/", &payload.name, rest_of_head]).await.is_ok() {
            *written = true;
            if let Ok(head) = connection.http.response_head().await {
                return finish_response(worker, connection, &head).await;
            }
        }
        *written = false;
        if !worker.record_if_stale(&connection) {
            return;
        }
    }
}
