use super::*;

/// A budget of 1,000 bytes.
fn budget() -> Rc<MemoryBudget> {
    MemoryBudget::of(1000, Rc::default())
}

#[test]
fn charges_are_limited_and_released() {
    let budget = budget();
    let (mut first, mut second) = (budget.charge(), budget.charge());
    first.try_set(600).unwrap();
    assert_eq!(second.try_set(401), Err(MemoryExhausted));
    second.try_set(400).unwrap();
    assert_eq!(budget.used(), 1000);
    drop(first);
    assert_eq!(budget.used(), 400);
    second.try_set(0).unwrap();
    assert_eq!(budget.used(), 0);
}

#[test]
fn charge_above_a_lowered_limit_may_shrink() {
    let budget = budget();
    let mut charge = budget.charge();
    charge.try_set(900).unwrap();
    budget.limit.set(100);
    assert_eq!(charge.try_set(901), Err(MemoryExhausted));
    charge.try_set(500).unwrap();
    assert_eq!(budget.used(), 500);
}

/// Otherwise the requests that wait could take all memory, and the callbacks that end them would not be received.
#[test]
fn received_messages_hold_half_of_the_budget_at_most() {
    let budget = budget();
    let mut charge = budget.charge();
    charge.try_set(400).unwrap();
    let held = charge.move_to_message().unwrap();
    charge.try_set(200).unwrap();
    assert!(charge.move_to_message().is_err());
    assert_eq!(budget.used(), 600);
    let shared = held.clone();
    drop(held);
    assert!(charge.move_to_message().is_err(), "the message is still referred to");
    drop(shared);
    assert!(charge.move_to_message().is_ok());
}

#[test]
fn excess_is_what_exceeds_three_quarters() {
    let budget = budget();
    let mut charge = budget.charge();
    charge.try_set(750).unwrap();
    assert_eq!(budget.excess(), 0);
    charge.try_set(751).unwrap();
    assert_eq!(budget.excess(), 1);
}

#[test]
fn small_messages_are_not_charged() {
    let budget = budget();
    let _held = budget.adopt(UNCHARGED_BYTES);
    assert_eq!(budget.used(), 0);
    let _held = budget.adopt(UNCHARGED_BYTES + 2000);
    assert_eq!(budget.used(), 2000, "a message of another process may exceed the limit");
}

/// Two processes with full budgets and all connections must stay within the memory of the scheduler.
#[test]
fn two_processes_stay_within_the_memory_of_the_scheduler() {
    for (memory_mb, descriptors) in [(192, 1024), (192, 4096), (32, 1024), (32, 256), (2048, 4096)] {
        let memory_bytes = memory_mb * 1024 * 1024;
        let budget = MemoryBudget::new(ProcessLimits { memory_bytes, descriptors }, Rc::default());
        let needed = PROCESSES_BYTES + descriptors * CONNECTION_BYTES + 2 * budget.limit();
        assert!(needed <= memory_bytes || budget.limit() == MIN_BUDGET_BYTES, "{memory_mb} MB: {needed}");
    }
}
