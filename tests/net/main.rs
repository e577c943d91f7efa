//! The scheduler as a program, spoken to over sockets. Scenarios are grouped by the module they test.

mod build;
mod clients;
mod crossings;
mod discovery;
mod flows;
mod gateway;
mod handover;
mod lifecycle;
mod notes;
mod ops;
mod reload;
mod scenario;
