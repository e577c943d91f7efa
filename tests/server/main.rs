//! Network tests: the scheduler runs as a process and is tested over sockets. Scenarios are grouped by the module
//! that they test; `scenario` describes their language.

mod attempts;
mod callbacks;
mod clients;
mod deduplication;
mod discovery;
mod gateway;
mod gossip;
mod handover;
mod handover_endpoint_list;
mod lifecycle;
mod memory;
mod operator_interface;
mod other_build;
mod races;
mod reload;
mod repeated_ids;
mod scenario;
