//! A single poll of discovery on its own connection: sends the request and reports each chunk and the end of the
//! response. [`watch`](super::watch) parses the chunks and opens further polls.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::server::discovery::stream_reader::StreamReader;
use crate::server::discovery::watch_state::PollId;
use crate::server::http::{Connection, HttpError};

/// Maximum length of an endpoint list in bytes.
pub(super) const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a poll, or the watch that it became, ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("connection to {address} failed: {source}")]
    Connection { address: SocketAddr, source: std::io::Error },
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("unexpected status {0}, expected 200")]
    Status(u16),
    #[error("discovery closed the stream")]
    Ended,
    #[error("endpoint list exceeds {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    /// The stream is still open, and another poll is opened in parallel.
    #[error("nothing received in time")]
    Silent,
}

/// Parameters of a poll.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollRequest {
    pub(super) id: PollId,
    pub(super) address: SocketAddr,
    /// The known version; discovery sends the changes made after it.
    pub(super) since: u64,
}

/// A chunk received by a poll, or the end of the poll.
#[derive(Debug)]
pub(super) struct PollEvent {
    pub(super) id: PollId,
    pub(super) result: Result<Bytes, PollError>,
}

/// An open poll. Dropping it closes the connection.
pub(super) struct Poll {
    /// Aborts the task when dropped.
    _task: JoinSet<()>,
    pub(super) reader: StreamReader,
}

impl Poll {
    /// Opens a poll that sends its chunks and its end to `events`.
    pub(super) fn open(request: PollRequest, events: mpsc::Sender<PollEvent>) -> Self {
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let Err(error) = follow(request, &events).await;
            // The receiver is dropped only at shutdown, when the event is no longer needed.
            let _ = events.send(PollEvent { id: request.id, result: Err(error) }).await;
        });
        Poll { _task: task, reader: StreamReader::default() }
    }
}

/// Sends the request and forwards the chunks of the response until it ends.
async fn follow(request: PollRequest, events: &mpsc::Sender<PollEvent>) -> Result<Infallible, PollError> {
    let PollRequest { id, address, since } = request;
    let connection_failed = |source| PollError::Connection { address, source };
    let mut connection = Connection::connect(address).await.map_err(connection_failed)?;
    let request_line = format!("GET /v1/endpoints?follow=1&since={since} HTTP/1.1\r\n");
    let headers = format!("Host: {address}\r\n\r\n");
    connection.write(&[request_line.as_bytes(), headers.as_bytes()]).await.map_err(connection_failed)?;
    let head = connection.response_head().await?;
    if head.status != 200 {
        return Err(PollError::Status(head.status));
    }
    loop {
        let Some(chunk) = connection.chunk(MAX_LIST_BYTES).await? else { return Err(PollError::Ended) };
        // The receiver is dropped only at shutdown, when the chunk is no longer needed.
        let _ = events.send(PollEvent { id, result: Ok(chunk) }).await;
    }
}
