#![doc = include_str!("../README.md")]

pub mod api;
mod cold;
pub mod config;

mod chance;
mod estimates;
mod level;
pub mod listing;
mod mean;
pub mod net;
mod notes;
mod objects;
pub mod rules;
pub mod settings;
pub mod shares;
pub mod slow_start;
mod state;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use rules::Dispatcher;
