//! Weight waves on a virtual clock: owners, replicas without engines, a rate-limited weight store, with seeded faults.
//!
//! The log here is one process with epochs: that a log kept by a majority behaves like it is proved where the
//! replication core is. What is proved here is what the owners do with it.

mod log;
mod message;
mod owner;
mod publisher;
mod replica;
mod weight_store;
mod world;

pub(crate) use world::run_schedule;
pub use world::{Mechanisms, RunReport, Violation, WaveSize, run_seed, time_until_all};
