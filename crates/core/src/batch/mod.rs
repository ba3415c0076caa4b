//! Batch jobs: sets of requests that are accepted as one unit, replicated to a majority of stores, run
//! asynchronously, and whose results can be listed.
//!
//! Each shard of jobs has one owner at a time, which acts under the epoch of the shard's log. State that must
//! survive a change of owner is written to the log as [`record::Record`]s. The [`ledger`] is the state that
//! these records produce, the [`controller`] decides which items run on which replica, and [`weights`]
//! decides which replica loads which model version.

pub mod controller;
pub mod cut_off;
pub mod dispatch_order;
pub mod election;
pub mod fair_share;
mod group_tally;
mod item_index;
pub mod job;
pub mod leaving;
pub mod ledger;
pub mod ledger_follower;
mod ledger_snapshot;
pub mod load_limit;
mod moves;
pub mod order_lease;
pub mod outline;
pub mod pending_ends;
pub mod progress_offer;
pub mod queue_report;
pub mod record;
pub mod recovery;
pub mod regional;
mod reuse;
mod schedule;
mod score_hold;
pub mod score_plan;
pub mod shortage;
pub mod shortage_summary;
mod sustained_pace;
pub mod weights;
pub mod work_estimate;
mod working_set;
