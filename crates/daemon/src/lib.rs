//! The daemon `lichenpulleyd`: runs the state machines of the core with sockets, files and timers.
//!
//! It is also a library, so that demos and tests can start nodes within one process with [`node::Node::start`].

pub mod arguments;
mod batch;
pub mod boot_clock;
pub mod cluster;
pub mod configuration;
pub mod context;
pub mod coordinator;
pub mod decisions;
pub mod directory;
mod duties;
pub mod gateway;
pub mod http;
pub mod ingress;
pub mod logging;
pub mod membership;
pub mod metadata;
mod metrics;
pub mod node;
mod operators;
mod ownership;
pub mod peers;
mod quarantine;
pub mod settings;
pub mod store;
mod suspension;
