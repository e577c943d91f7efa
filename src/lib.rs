#![doc = include_str!("../README.md")]

pub mod config;
pub mod scheduling;
pub mod server;
pub mod simulator;

pub use scheduling::{Action, Dispatcher, Event, Settings};
