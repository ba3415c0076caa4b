//! One module for each group of commands.

pub mod account;
pub mod config;
pub mod drain;
pub mod ends;
pub mod job;
pub mod pool;
pub mod quarantine;
pub mod regions;
pub mod replicas;
pub mod trace;
pub mod watch;
pub mod zones;
