//! The members that take jobs: the list of them as discovery tells it, connections to them, and what is sent there.

pub mod clock;
pub mod discovery;
pub mod flow;
pub mod member;
pub mod pace;
pub mod probe;
pub mod reading;
pub mod vigil;
