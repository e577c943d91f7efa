use std::collections::VecDeque;

use super::*;

/// Descriptors that the platform allows. The frontend may use 60 of them, worker connections 30.
const LIMIT: usize = 100;
const FRONTEND_TOTAL: usize = 60;
const WORKER_TOTAL: usize = 30;

fn budgets() -> DescriptorBudgets {
    DescriptorBudgets::new(LIMIT, &DescriptorMetrics::default())
}

/// Acquires up to `count` descriptors.
fn acquire(budget: &Rc<DescriptorBudget>, count: usize) -> Vec<DescriptorPermit> {
    (0..count).map_while(|_| DescriptorBudget::try_acquire(budget)).collect()
}

#[test]
fn successor_may_use_what_its_predecessor_does_not_hold() {
    let (predecessor, successor) = (budgets(), budgets());
    let mut held = acquire(&predecessor.frontend(), 33);
    predecessor.set_successor(SuccessorState::Starting);
    successor.predecessor_joined();
    assert_eq!(successor.frontend().limit(), FRONTEND_TOTAL / 2, "assumed until the first report");
    successor.predecessor_reported(predecessor.reservation());
    assert_eq!(successor.frontend().limit(), 12, "15 descriptors are headroom of the predecessor");
    predecessor.set_successor(SuccessorState::Serving);
    successor.predecessor_reported(predecessor.reservation());
    assert_eq!(successor.frontend().limit(), FRONTEND_TOTAL - 33);
    held.truncate(10);
    successor.predecessor_reported(predecessor.reservation());
    assert_eq!(successor.frontend().limit(), FRONTEND_TOTAL - 10);
    successor.predecessor_exited();
    assert_eq!(successor.frontend().limit(), FRONTEND_TOTAL);
}

#[test]
fn adopted_connections_are_counted_even_without_a_free_descriptor() {
    let successor = budgets();
    successor.predecessor_joined();
    successor.predecessor_reported(DescriptorReservation { frontend: 40, workers: 0 });
    let frontend = successor.frontend();
    let accepted = acquire(&frontend, FRONTEND_TOTAL);
    assert_eq!(accepted.len(), 20);
    let adopted: Vec<_> = (0..40).map(|_| DescriptorBudget::adopt(&frontend)).collect();
    assert_eq!((frontend.in_use(), frontend.limit()), (FRONTEND_TOTAL, FRONTEND_TOTAL));
    drop(adopted);
    assert_eq!(acquire(&frontend, FRONTEND_TOTAL).len(), 40);
}

#[test]
fn share_of_a_replaced_process_does_not_shrink_with_its_limit() {
    let predecessor = budgets();
    let _held = acquire(&predecessor.frontend(), 20);
    predecessor.set_successor(SuccessorState::Serving);
    assert_eq!((predecessor.frontend().limit(), predecessor.frontend().share()), (20, FRONTEND_TOTAL));
}

#[test]
fn replaced_process_may_still_open_a_few_worker_connections() {
    let predecessor = budgets();
    let mut held = acquire(&predecessor.workers(), 20);
    predecessor.set_successor(SuccessorState::Serving);
    assert_eq!(predecessor.workers().limit(), 24);
    held.clear();
    assert_eq!(predecessor.workers().limit(), 4);
    let reopened = acquire(&predecessor.workers(), WORKER_TOTAL);
    assert_eq!((reopened.len(), predecessor.reservation().workers), (4, 4), "a reservation never grows");
}

#[test]
fn process_gets_its_descriptors_back_if_the_successor_is_lost() {
    let predecessor = budgets();
    predecessor.set_successor(SuccessorState::Serving);
    assert_eq!(predecessor.frontend().limit(), 0);
    predecessor.set_successor(SuccessorState::Absent);
    assert_eq!(predecessor.frontend().limit(), FRONTEND_TOTAL);
}

#[test]
fn half_is_left_to_a_successor_of_another_build() {
    let predecessor = budgets();
    let mut held = acquire(&predecessor.workers(), WORKER_TOTAL);
    predecessor.set_successor(SuccessorState::ServingOtherBuild);
    assert!(predecessor.workers().is_exceeded(), "idle connections above the limit have to be closed");
    held.truncate(WORKER_TOTAL / 2);
    assert!(!predecessor.workers().is_exceeded());
    assert_eq!(predecessor.frontend().limit(), FRONTEND_TOTAL / 2);
    assert_eq!(predecessor.workers().limit(), WORKER_TOTAL / 2);
}

/// What a process sends to its successor, in order.
enum Message {
    Reservation(DescriptorReservation),
    /// A client connection is handed over.
    Connection,
}

/// A process in a chain of upgrades.
struct Process {
    budgets: DescriptorBudgets,
    connections: Vec<DescriptorPermit>,
    worker_connections: Vec<DescriptorPermit>,
    /// Messages of its predecessor that have not been received. A process that hangs receives none.
    inbox: VecDeque<Message>,
    serves: bool,
    last_report: Option<DescriptorReservation>,
}

/// Processes that replace one another, oldest first, with messages in transit between them.
struct Chain {
    random: fastrand::Rng,
    processes: Vec<Process>,
}

impl Chain {
    fn new(seed: u64) -> Self {
        let mut chain = Chain { random: fastrand::Rng::with_seed(seed), processes: Vec::new() };
        chain.start_process();
        chain
    }

    fn start_process(&mut self) {
        let budgets = budgets();
        if let Some(last) = self.processes.last() {
            last.budgets.set_successor(SuccessorState::Starting);
            budgets.predecessor_joined();
        }
        let (connections, worker_connections, inbox) = (Vec::new(), Vec::new(), VecDeque::new());
        let serves = self.processes.is_empty();
        self.processes.push(Process {
            budgets,
            connections,
            worker_connections,
            inbox,
            serves,
            last_report: None,
        });
    }

    /// Sends the reservations that have changed.
    fn report(&mut self) {
        for index in 0..self.processes.len() - 1 {
            let reservation = self.processes[index].budgets.reservation();
            if self.processes[index].last_report.replace(reservation) != Some(reservation) {
                self.processes[index + 1].inbox.push_back(Message::Reservation(reservation));
            }
        }
    }

    fn receive(&mut self, index: usize) {
        let process = &mut self.processes[index];
        match process.inbox.pop_front() {
            Some(Message::Reservation(reservation)) => process.budgets.predecessor_reported(reservation),
            Some(Message::Connection) => {
                process.connections.push(DescriptorBudget::adopt(&process.budgets.frontend()));
            }
            None => {}
        }
    }

    /// The last process serves once it has received all reports so far: the first ones are sent with the listener.
    fn serve(&mut self) {
        let last = self.processes.len() - 1;
        if last == 0 || self.processes[last].serves || !self.processes[last - 1].serves {
            return;
        }
        while !self.processes[last].inbox.is_empty() {
            self.receive(last);
        }
        self.processes[last].serves = true;
        self.processes[last - 1].budgets.set_successor(SuccessorState::Serving);
    }

    fn open_connections(&mut self, index: usize) {
        let is_replaced = self.processes.get(index + 1).is_some_and(|next| next.serves);
        let process = &mut self.processes[index];
        if !process.serves {
            return;
        }
        let count = self.random.usize(1..8);
        process.worker_connections.extend(acquire(&process.budgets.workers(), count));
        if !is_replaced {
            process.connections.extend(acquire(&process.budgets.frontend(), count));
        }
    }

    fn close_connections(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let keep = self.random.usize(0..=process.connections.len());
        process.connections.truncate(keep);
        let keep = self.random.usize(0..=process.worker_connections.len());
        process.worker_connections.truncate(keep);
    }

    fn hand_over_connection(&mut self, index: usize) {
        if self.processes.get(index + 1).is_some_and(|next| next.serves)
            && self.processes[index].connections.pop().is_some()
        {
            self.processes[index + 1].inbox.push_back(Message::Connection);
        }
    }

    /// The oldest process exits. What it had sent is still received.
    fn oldest_exits(&mut self) {
        if self.processes.len() < 2 || !self.processes[1].serves {
            return;
        }
        self.processes.remove(0);
        while !self.processes[0].inbox.is_empty() {
            self.receive(0);
        }
        self.processes[0].budgets.predecessor_exited();
    }

    /// The newest process dies.
    fn newest_dies(&mut self) {
        if self.processes.len() > 1 {
            self.processes.pop();
            let last = self.processes.last_mut().expect("one process is left");
            last.budgets.set_successor(SuccessorState::Absent);
            last.last_report = None;
        }
    }

    fn step(&mut self) {
        let index = self.random.usize(..self.processes.len());
        match self.random.u32(..100) {
            0..=29 => self.open_connections(index),
            30..=44 => self.close_connections(index),
            45..=59 => self.hand_over_connection(index),
            60..=84 => self.receive(index),
            85..=89 if self.processes.len() < 4 => self.start_process(),
            85..=94 => self.serve(),
            95..=97 => self.oldest_exits(),
            _ => self.newest_dies(),
        }
        self.report();
    }

    fn connections(&self) -> usize {
        let in_transit = |process: &Process| {
            process.inbox.iter().filter(|message| matches!(message, Message::Connection)).count()
        };
        self.processes.iter().map(|process| process.connections.len() + in_transit(process)).sum()
    }

    fn worker_connections(&self) -> usize {
        self.processes.iter().map(|process| process.worker_connections.len()).sum()
    }
}

/// Guards the limits of all processes together, at each step of overlapping upgrades in which processes exit, die, and
/// receive messages late.
#[test]
fn processes_of_an_upgrade_stay_within_the_limit_together() {
    for seed in 0..500 {
        let mut chain = Chain::new(seed);
        for step in 0..300 {
            chain.step();
            let (connections, worker_connections) = (chain.connections(), chain.worker_connections());
            assert!(connections <= FRONTEND_TOTAL, "seed {seed}, step {step}: {connections} connections");
            assert!(
                worker_connections <= WORKER_TOTAL,
                "seed {seed}, step {step}: {worker_connections} worker connections"
            );
        }
    }
}
