//! The decisions of two gateways on a virtual clock: each behaviour by a forced order of events, and a property test
//! that draws the order at random.

mod drain_and_settings;
mod granting;
mod harness;
mod idempotency_keys;
mod link_failures;
mod property;
mod routing;
