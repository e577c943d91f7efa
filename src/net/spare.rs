//! The connections that can be done without, and which of them goes first when there is no room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// What a connection that waits for nothing of ours is worth: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Worth {
    /// It has carried neither a transaction nor a call-back, or has had its last answer.
    None,
    /// It stands idle between two messages of a client.
    Idle,
    /// It stands idle after a call-back: only the want of room is a reason to close it.
    CallBack,
    /// A message is arriving on it.
    Busy,
}

/// The register of such connections.
#[derive(Default)]
pub struct Spares {
    listed: RefCell<BTreeMap<(Worth, u64), Rc<Notify>>>,
    next: Cell<u64>,
}

impl Spares {
    /// Lists a connection for as long as the value lives.
    pub fn list(&self, worth: Worth) -> Spare<'_> {
        let (number, close) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(number + 1);
        self.listed.borrow_mut().insert((worth, number), Rc::clone(&close));
        Spare { spares: self, key: (worth, number), close }
    }

    /// How many of this worth are listed.
    pub fn count(&self, worth: Worth) -> usize {
        self.listed.borrow().keys().filter(|key| key.0 == worth).count()
    }

    /// Asks the connection of least worth that has been listed for longest to close; false if there is none
    /// of this worth or less.
    pub fn close_one(&self, most: Worth) -> bool {
        let mut listed = self.listed.borrow_mut();
        let first = listed.first_entry().filter(|first| first.key().0 <= most);
        first.map(|first| first.remove().notify_one()).is_some()
    }
}

/// A listed connection.
pub struct Spare<'a> {
    spares: &'a Spares,
    key: (Worth, u64),
    close: Rc<Notify>,
}

impl Spare<'_> {
    /// Waits until its place is needed.
    pub async fn closes(&self) {
        self.close.notified().await;
    }
}

impl Drop for Spare<'_> {
    fn drop(&mut self) {
        self.spares.listed.borrow_mut().remove(&self.key);
    }
}
