//! Waves of fenced orders that bring a weight version to all replicas of a pool.
//!
//! The owner of a pool's weights drives a [`WeightsController`]. The log holds the published version, which
//! replicas have been ordered and which have confirmed it, so that a new owner goes on where the old one
//! stopped and the weight store never serves more fetches at once than allowed, across owners too.

mod config;
mod controller;
mod ledger;
mod replica;

pub use config::WaveConfig;
pub use controller::{Action, Event, OrderCommand, WaveProgress, WeightsController};
pub use ledger::{WeightsLedger, WeightsRecord, WeightsRecordError};
pub use replica::{OrderResult, WeightReport};
