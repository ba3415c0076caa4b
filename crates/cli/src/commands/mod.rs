//! One module for each group of commands.
//!
//! A command asks a node through `client` and renders the typed answer through `output`; `trace` and `account` read
//! logs instead and ask nobody.

pub mod account;
pub(crate) mod config;
pub(crate) mod drain;
pub(crate) mod ends;
pub(crate) mod job;
pub(crate) mod pool;
pub(crate) mod quarantine;
pub(crate) mod regions;
pub(crate) mod replicas;
pub mod trace;
pub(crate) mod watch;
pub(crate) mod zones;
