//! Batch jobs: sets of requests that are taken together, kept by a majority of stores, run afterwards, and
//! listed.
//!
//! One owner at a time acts for all jobs of a shard, under the epoch of the shard's log. What must outlast it
//! is a [`record::Record`]; the [`ledger`] is what the records amount to; the [`controller`] decides which
//! items run where, and [`weights`] which replica loads which version.

pub mod controller;
pub mod cut_off;
pub mod election;
mod group_tally;
pub mod job;
pub mod leaving;
pub mod ledger;
pub mod ledger_follower;
pub mod load_limit;
mod moves;
pub mod order_lease;
pub mod outline;
pub mod pending_ends;
pub mod progress_offer;
pub mod record;
pub mod recovery;
pub mod regional;
mod schedule;
pub mod score_plan;
pub mod weights;
