//! Rolls out a published weight version to all replicas of a pool, in waves of fenced orders.
//!
//! The owner of a pool's weights drives a [`WeightsController`]. The log contains the published version and
//! the replicas that were ordered to load it or have confirmed it. A new owner therefore continues where the
//! previous one stopped, and the limit on concurrent fetches from the weight store holds across owners.

mod config;
mod controller;
mod ledger;
mod replica;

pub use config::WaveConfig;
pub use controller::{Action, Event, OrderCommand, WaveProgress, WeightsController};
pub use ledger::{WeightsLedger, WeightsRecord, WeightsRecordError};
pub use replica::{OrderResult, WeightReport};
