//! Cancels a request at a worker with `DELETE /jobs/ID` (protocol page, "Schedulers to workers").

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, timeout, Instant};

use crate::server::attempt_end::AttemptEnd;
use crate::server::messages::RequestPayload;
use crate::server::workers::attempt::exchange::discard_body;
use crate::server::workers::attempt::state::AttemptState;
use crate::server::workers::attempt::AttemptTask;
use crate::server::workers::endpoint::{ConnectionPurpose, WorkerEndpoint};

/// Interval between two tries to send a `DELETE` to a worker that has accepted the request.
const DELETE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl AttemptTask {
    /// Cancels the request. `state` is the state after `AttemptEvent::CancelRequested`.
    pub(super) async fn cancel(&self, state: AttemptState) -> AttemptEnd {
        match state {
            AttemptState::CancellingUnanswered => {
                self.send_delete().await;
                AttemptEnd::Cancelled
            }
            AttemptState::CancellingAccepted => self.delete_until_written().await,
            // A cancel request leads only to `Ended` or one of the two states above.
            AttemptState::Ended
            | AttemptState::Connecting
            | AttemptState::Sending
            | AttemptState::Waiting
            | AttemptState::Accepted => AttemptEnd::CancelledUnsent,
        }
    }

    /// Cancels a request that the worker has accepted. It counts as cancelled once the last byte of a `DELETE` has been
    /// written. While the worker cannot be reached, the attempt stays in flight, because a retry on another worker
    /// would be a second copy. A callback or the deadline ends the attempt then.
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

    /// Sends a `DELETE` and returns whether it has been written. Waits for the response, so that a retry cannot overlap
    /// with this copy, but no longer than the response timeout.
    async fn send_delete(&self) -> bool {
        self.counters.deletes.add();
        let mut written = false;
        let exchange = exchange_delete(&self.worker, &self.payload, &mut written);
        // `written` is valid even after a timeout.
        let _ = timeout(self.worker.response_timeout(), exchange).await;
        written
    }
}

/// Sends a `DELETE` and reads the response. Its status is ignored, because nothing more can be done either way.
///
/// If the connection came from the pool and turns out to be stale, the worker has not read the `DELETE` and it is sent
/// again on another connection. If a new connection breaks as well, the `DELETE` counts as not written: the request may
/// still run, and a retry on another worker would be a second copy.
async fn exchange_delete(worker: &Rc<WorkerEndpoint>, payload: &RequestPayload, written: &mut bool) {
    let rest_of_head = b" HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n";
    while let Ok(mut connection) =
        WorkerEndpoint::acquire_connection(worker, ConnectionPurpose::Cancellation).await
    {
        if connection.http.write(&[b"DELETE /jobs/", &payload.name, rest_of_head]).await.is_ok() {
            *written = true;
            if let Ok(head) = connection.http.response_head().await {
                return discard_body(worker, connection, &head).await;
            }
        }
        *written = false;
        if !worker.record_if_stale(&connection) {
            return;
        }
    }
}
