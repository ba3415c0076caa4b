//! Rollout jobs on a virtual clock: stores, owners, engines and a trainer as state machines, with seeded faults.
//!
//! The stores and the owners' logs are the replication core, the owners are [`JobController`]s. Each token that a
//! simulated engine makes holds the version that truly made it, so that the checks at the trainer don't rest on
//! anything that the system under test reported.
//!
//! [`JobController`]: lichenpulley_core::rollout::JobController

mod engine;
mod message;
mod owner;
mod store;
mod stream;
mod trainer;
mod violation;
mod world;

pub use violation::Violation;
pub(crate) use world::run_schedule;
pub use world::{Mechanisms, RunReport, run_seed};
