//! The front's part in an upgrade: connections are passed to the process that has taken over, with the
//! transaction whose answer is awaited on them, and taken from the one before.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Frontend, JobEnd, Waiting};
use crate::server::engine_queue::PendingAnswer;
use crate::server::frontend::connection_eviction::EvictionClass;
use crate::server::http::Connection;
use crate::server::lifecycle::handover_frames::{FrameSender, HandoverFrame};
use crate::server::messages::MigratedRequest;

impl Frontend {
    /// From now on that process accepts connections, and is passed those that stand idle here; or this one
    /// does again.
    pub fn succeeded_by(&self, successor: Option<FrameSender>) {
        self.successor.send_replace(successor);
        while self.has_successor() && self.spares.close_one(EvictionClass::IdleAfterCallback) {}
    }

    /// Whether another process accepts connections in place of this one.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Serves a connection that another process has accepted.
    pub async fn adopt(self: Rc<Self>, stream: TcpStream, worth: EvictionClass, spoke: bool) {
        let _share = self.room().await;
        self.counters.connections_adopted.add();
        self.serve(Connection::new(stream), worth, spoke).await;
    }

    /// Passes a connection to the process that has taken over. What its client sends meanwhile waits there.
    pub(super) fn pass_on(&self, connection: Connection, worth: EvictionClass, spoke: bool) {
        // One that could not read of it takes none: the client finds its connection closed between two requests.
        let successor = self.successor.borrow().clone().filter(FrameSender::has_same_form);
        // A socket that cannot be passed has broken.
        if let (Some(successor), Ok(parts)) = (successor, connection.into_parts()) {
            self.counters.connections_passed_on.add();
            successor.send(HandoverFrame::IdleConnection { worth, spoke }, Some(parts.socket));
        }
    }

    /// Passes a connection on with the transaction whose answer its client awaits.
    pub(super) fn move_on(&self, connection: Connection, moved: Box<MigratedRequest>, keep: bool) {
        let successor = self.successor.borrow().clone();
        if let (Some(successor), Ok(parts)) = (successor, connection.into_parts()) {
            self.counters.connections_passed_on.add();
            successor.send(
                HandoverFrame::Request { request: moved, read_ahead: parts.read_ahead, keep_alive: keep },
                Some(parts.socket),
            );
        }
    }

    /// Serves a connection that another process has accepted, on which a transaction's answer is awaited.
    pub async fn take_over(
        self: Rc<Self>,
        stream: TcpStream,
        ahead: Bytes,
        keep: bool,
        pending: PendingAnswer,
        left: Duration,
    ) {
        let waiting = Waiting::new(&self.waiting);
        let last = Instant::now() + left + Duration::from_secs_f64(self.settings().answer_slack_s);
        let _share = self.room().await;
        self.counters.connections_adopted.add();
        let mut connection = Connection::with_read_ahead(stream, &ahead);
        let written = match self.reply(&mut connection, pending, last).await {
            JobEnd::Answer(answer) => self.write(&mut connection, answer, keep).await,
            JobEnd::Migrated(moved) => return self.move_on(connection, moved, keep),
            JobEnd::ClientDisconnected => return,
        };
        drop(waiting);
        match written {
            Ok(true) => self.serve(connection, EvictionClass::Idle, true).await,
            Ok(false) => self.linger(connection).await,
            Err(_) => {}
        }
    }
}
