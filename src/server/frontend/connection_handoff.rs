//! The front's part in an upgrade: connections are passed to the process that has taken over, with the
//! transaction whose answer is awaited on them, and taken from the one before.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Front, JobEnd, Waiting};
use crate::server::engine_queue::Pending;
use crate::server::frontend::connection_eviction::Worth;
use crate::server::http::Connection;
use crate::server::lifecycle::handover_frames::{Frame, Outbox};
use crate::server::messages::Moved;

impl Front {
    /// From now on that process accepts connections, and is passed those that stand idle here; or this one
    /// does again.
    pub fn succeeded_by(&self, successor: Option<Outbox>) {
        self.successor.send_replace(successor);
        while self.has_successor() && self.spares.close_one(Worth::CallBack) {}
    }

    /// Whether another process accepts connections in place of this one.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Serves a connection that another process has accepted.
    pub async fn adopt(self: Rc<Self>, stream: TcpStream, worth: Worth, spoke: bool) {
        let _share = self.room().await;
        self.counters.connections_adopted.add();
        self.serve(Connection::new(stream), worth, spoke).await;
    }

    /// Passes a connection to the process that has taken over. What its client sends meanwhile waits there.
    pub(super) fn pass_on(&self, connection: Connection, worth: Worth, spoke: bool) {
        // One that could not read of it takes none: the client finds its connection closed between two requests.
        let successor = self.successor.borrow().clone().filter(Outbox::is_alike);
        // A socket that cannot be passed has broken.
        if let (Some(successor), Ok((socket, _))) = (successor, connection.into_parts()) {
            self.counters.connections_passed_on.add();
            successor.send(Frame::Connection { worth, spoke }, Some(socket));
        }
    }

    /// Passes a connection on with the transaction whose answer its client awaits.
    pub(super) fn move_on(&self, connection: Connection, moved: Box<Moved>, keep: bool) {
        let successor = self.successor.borrow().clone();
        if let (Some(successor), Ok((socket, ahead))) = (successor, connection.into_parts()) {
            self.counters.connections_passed_on.add();
            successor.send(Frame::Transaction { moved, ahead, keep }, Some(socket));
        }
    }

    /// Serves a connection that another process has accepted, on which a transaction's answer is awaited.
    pub async fn take_over(
        self: Rc<Self>,
        stream: TcpStream,
        ahead: Bytes,
        keep: bool,
        pending: Pending,
        left: Duration,
    ) {
        let waiting = Waiting::new(&self.waiting);
        let last = Instant::now() + left + Duration::from_secs_f64(self.settings().answer_slack_s);
        let _share = self.room().await;
        self.counters.connections_adopted.add();
        let mut connection = Connection::resume(stream, &ahead);
        let written = match self.reply(&mut connection, pending, last).await {
            JobEnd::Answer(answer) => self.write(&mut connection, answer, keep).await,
            JobEnd::Moved(moved) => return self.move_on(connection, moved, keep),
            JobEnd::Left => return,
        };
        drop(waiting);
        match written {
            Ok(true) => self.serve(connection, Worth::Idle, true).await,
            Ok(false) => self.linger(connection).await,
            Err(_) => {}
        }
    }
}
