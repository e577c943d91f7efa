//! How many descriptors one side of the scheduler may hold; the figure may change while it runs.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// A bound and what is in use of it.
#[derive(Debug)]
pub struct Budget {
    most: Cell<usize>,
    used: Cell<usize>,
    freed: Notify,
}

impl Budget {
    /// A budget of which nothing is in use.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { most: Cell::new(most), used: Cell::new(0), freed: Notify::new() })
    }

    /// Takes one, if there is one.
    pub fn take(this: &Rc<Self>) -> Option<Share> {
        if this.used.get() >= this.most.get() {
            return None;
        }
        this.used.set(this.used.get() + 1);
        Some(Share(Rc::clone(this)))
    }

    /// Waits until one has been given back.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// The bound.
    pub fn most(&self) -> usize {
        self.most.get()
    }

    /// Sets the bound. What is in use beyond a smaller one stays in use until it is given back.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
    }
}

/// One of a budget, given back when dropped.
#[derive(Debug)]
pub struct Share(Rc<Budget>);

impl Drop for Share {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.freed.notify_one();
    }
}
