//! One poll of discovery on its own connection: sends the request, and reports each chunk and the end.
//!
//! It parses nothing and repeats nothing; [`watch`](super::watch) does.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::server::discovery::stream_reader::StreamReader;
use crate::server::discovery::watch_state::PollId;
use crate::server::http::{Connection, HttpError};

/// The longest list that is accepted, in bytes.
pub(super) const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a poll, or the watch that it has become, has ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("expected status 200, received {0}")]
    Status(u16),
    #[error("discovery ended the watch")]
    Ended,
    #[error("a list is longer than {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    /// Not an end: another poll is opened beside this one.
    #[error("nothing received in time")]
    Silent,
}

/// What a poll asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollRequest {
    pub(super) id: PollId,
    pub(super) address: SocketAddr,
    /// The known version: discovery sends what has changed since.
    pub(super) since: u64,
}

/// What a poll has brought: a chunk, or its end.
#[derive(Debug)]
pub(super) struct PollReport {
    pub(super) id: PollId,
    pub(super) result: Result<Bytes, PollError>,
}

/// An open poll. Dropped, it closes its connection.
pub(super) struct Poll {
    /// Ends with this value.
    _task: JoinSet<()>,
    pub(super) reader: StreamReader,
}

impl Poll {
    /// Opens a poll whose chunks and end go to `reports`.
    pub(super) fn open(request: PollRequest, reports: mpsc::Sender<PollReport>) -> Self {
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let Err(error) = follow(request, &reports).await;
            // The receiver is gone only when the scheduler ends: nobody needs the report then.
            let _ = reports.send(PollReport { id: request.id, result: Err(error) }).await;
        });
        Poll { _task: task, reader: StreamReader::default() }
    }
}

/// Sends the request and reports the chunks of the response until it ends.
async fn follow(request: PollRequest, reports: &mpsc::Sender<PollReport>) -> Result<Infallible, PollError> {
    let PollRequest { id, address, since } = request;
    let mut connection = Connection::connect(address).await?;
    let request_line = format!("GET /v1/endpoints?follow=1&since={since} HTTP/1.1\r\n");
    let headers = format!("Host: {address}\r\n\r\n");
    connection.write(&[request_line.as_bytes(), headers.as_bytes()]).await?;
    let head = connection.response_head().await?;
    if head.status != 200 {
        return Err(PollError::Status(head.status));
    }
    loop {
        let Some(chunk) = connection.chunk(MAX_LIST_BYTES).await? else { return Err(PollError::Ended) };
        // The receiver is gone only when the scheduler ends: nobody needs the chunk then.
        let _ = reports.send(PollReport { id, result: Ok(chunk) }).await;
    }
}
