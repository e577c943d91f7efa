//! The connections that can be done without, and which of them goes first when there is no room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A message that has not got on for so long has stalled. Honest clients that write slowly pause as well:
/// of those that have stalled, the one that has for longest goes first.
const STALLED: Duration = Duration::from_millis(300);

/// What a connection that waits for nothing of ours is worth: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EvictionClass {
    /// It has carried neither a transaction nor a call-back, or has had its last answer.
    NeverUsed,
    /// It stands idle between two messages of a client.
    Idle,
    /// It stands idle after a call-back: only the want of room is a reason to close it.
    IdleAfterCallback,
}

/// When a connection was last sent something.
pub type LastReceived = Rc<Cell<Instant>>;

/// The register of such connections, and of those on which a message is arriving.
#[derive(Default)]
pub struct EvictionCandidates {
    listed: RefCell<BTreeMap<(EvictionClass, u64), Rc<Notify>>>,
    arriving: RefCell<BTreeMap<u64, (LastReceived, Rc<Notify>)>>,
    next: Cell<u64>,
}

impl EvictionCandidates {
    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Lists a connection for as long as the value lives.
    pub fn list(&self, worth: EvictionClass) -> EvictionHandle<'_> {
        let (key, close) = ((worth, self.number()), Rc::new(Notify::new()));
        self.listed.borrow_mut().insert(key, Rc::clone(&close));
        EvictionHandle { spares: self, key: Key::Listed(key), close }
    }

    /// Lists a connection on which a message is arriving, for as long as the value lives.
    pub fn arriving(&self, heard: LastReceived) -> EvictionHandle<'_> {
        let (number, close) = (self.number(), Rc::new(Notify::new()));
        self.arriving.borrow_mut().insert(number, (heard, Rc::clone(&close)));
        EvictionHandle { spares: self, key: Key::Arriving(number), close }
    }

    /// On how many connections a message is arriving.
    pub fn count_arriving(&self) -> usize {
        self.arriving.borrow().len()
    }

    /// Asks the connection of least worth that has been listed for longest to close; false if there is none
    /// of this worth or less.
    pub fn close_one(&self, most: EvictionClass) -> bool {
        let mut listed = self.listed.borrow_mut();
        let first = listed.first_entry().filter(|first| first.key().0 <= most);
        first.map(|first| first.remove().notify_one()).is_some()
    }

    /// The same to make room: what has said nothing goes first, then what has stalled, then idle clients;
    /// members' call-backs only where no message is arriving that may yet stall; never a message that gets
    /// on. False if there is none.
    pub fn make_room(&self) -> bool {
        self.close_one(EvictionClass::NeverUsed)
            || self.close_stalled()
            || self.close_one(EvictionClass::Idle)
            || self.count_arriving() == 0 && self.close_one(EvictionClass::IdleAfterCallback)
    }

    fn close_stalled(&self) -> bool {
        let mut arriving = self.arriving.borrow_mut();
        let first = arriving.iter().min_by_key(|(_, (heard, _))| heard.get());
        let stalled = first.filter(|(_, (heard, _))| heard.get().elapsed() >= STALLED).map(|(&key, _)| key);
        let stalled = stalled.and_then(|key| arriving.remove(&key));
        stalled.map(|(_, close)| close.notify_one()).is_some()
    }
}

enum Key {
    Listed((EvictionClass, u64)),
    Arriving(u64),
}

/// A listed connection.
pub struct EvictionHandle<'a> {
    spares: &'a EvictionCandidates,
    key: Key,
    close: Rc<Notify>,
}

impl EvictionHandle<'_> {
    /// Waits until its place is needed.
    pub async fn closes(&self) {
        self.close.notified().await;
    }
}

impl Drop for EvictionHandle<'_> {
    fn drop(&mut self) {
        match &self.key {
            Key::Listed(key) => drop(self.spares.listed.borrow_mut().remove(key)),
            Key::Arriving(number) => drop(self.spares.arriving.borrow_mut().remove(number)),
        }
    }
}
