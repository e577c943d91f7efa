//! How many descriptors one side of the scheduler may hold; the figure may change while it runs.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// How the descriptors that the platform allows are shared out: six in ten are for clients and call-backs,
/// three for members; the rest is for the operators' door, discovery, the listener, the link of an upgrade,
/// the configuration, the runtime and the standard streams. The processes of an upgrade share them alike.
pub struct DescriptorBudgets {
    sockets: Cell<usize>,
    processes: Cell<usize>,
    clients: Rc<DescriptorBudget>,
    members: Rc<DescriptorBudget>,
}

impl DescriptorBudgets {
    /// Shares out `sockets` to one process.
    pub fn new(sockets: usize) -> Self {
        let (clients, members) = (DescriptorBudget::new(0), DescriptorBudget::new(0));
        let shares =
            DescriptorBudgets { sockets: Cell::new(sockets), processes: Cell::new(1), clients, members };
        shares.apply();
        shares
    }

    /// For connections of clients and call-backs.
    pub fn clients(&self) -> Rc<DescriptorBudget> {
        Rc::clone(&self.clients)
    }

    /// For connections to members.
    pub fn members(&self) -> Rc<DescriptorBudget> {
        Rc::clone(&self.members)
    }

    /// The platform allows another number.
    pub fn configure(&self, sockets: usize) {
        self.sockets.set(sockets);
        self.apply();
    }

    /// So many processes share from now on.
    pub fn among(&self, processes: usize) {
        self.processes.set(processes);
        self.apply();
    }

    fn apply(&self) {
        let sockets = self.sockets.get() / self.processes.get().max(1);
        self.clients.set_most(sockets * 6 / 10);
        self.members.set_most(sockets * 3 / 10);
    }
}

/// A bound and what is in use of it.
#[derive(Debug)]
pub struct DescriptorBudget {
    most: Cell<usize>,
    used: Cell<usize>,
    freed: Notify,
}

impl DescriptorBudget {
    /// A budget of which nothing is in use.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(DescriptorBudget { most: Cell::new(most), used: Cell::new(0), freed: Notify::new() })
    }

    /// Takes one, if there is one.
    pub fn take(this: &Rc<Self>) -> Option<DescriptorPermit> {
        if this.used.get() >= this.most.get() {
            return None;
        }
        this.used.set(this.used.get() + 1);
        Some(DescriptorPermit(Rc::clone(this)))
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
        self.freed.notify_one(); // there may be room now
    }
}

/// One of a budget, given back when dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.freed.notify_one();
    }
}
