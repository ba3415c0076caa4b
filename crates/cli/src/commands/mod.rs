//! The commands, with one module for each group.
//!
//! A command sends a request to a node through `client` and prints the typed response through `output`. `trace` and
//! `account` read log files instead.

pub mod account;
pub(crate) mod config;
pub(crate) mod drain;
pub(crate) mod ends;
pub(crate) mod job;
pub(crate) mod pool;
pub(crate) mod quarantine;
pub(crate) mod queue;
pub(crate) mod regions;
pub(crate) mod replicas;
pub(crate) mod tenants;
pub mod trace;
pub(crate) mod watch;
pub(crate) mod zones;
