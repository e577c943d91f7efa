//! Tests two gateways on a virtual clock. Each behaviour has a test with a fixed order of events, and a
//! property test draws the order at random.

mod drain_and_settings;
mod granting;
mod harness;
mod idempotency_keys;
mod link_failures;
mod property;
mod routing;
