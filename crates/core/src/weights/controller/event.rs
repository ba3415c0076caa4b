//! What the driver of an owner of weights hands in, and what it is asked to do.

use crate::decision::Decision;
use crate::identity::{Epoch, ReplicaId, WeightVersion};
use crate::weights::ledger::WeightsRecord;
use crate::weights::replica::{OrderResult, WeightReport};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer publishes a version; the answer names the ticket.
    Publish {
        /// Chosen by the driver.
        ticket: u64,
        /// The version.
        weight_version: WeightVersion,
    },
    /// An operator changes a replica's role; the answer names the ticket.
    ChangeRole {
        /// Chosen by the driver.
        ticket: u64,
        /// The replica.
        replica: ReplicaId,
        /// Whether it is to drain.
        draining: bool,
    },
    /// The replicas of the pool, as the machine list gives them now.
    Replicas(Vec<ReplicaId>),
    /// A replica answered an [`Action::Poll`], or was heard of otherwise.
    Reported {
        /// The replica.
        replica: ReplicaId,
        /// What it said.
        report: WeightReport,
    },
    /// An order ended.
    OrderEnded {
        /// The replica.
        replica: ReplicaId,
        /// How.
        result: OrderResult,
    },
    /// The records of the last [`Action::Append`] are kept by a majority.
    Appended,
    /// The time of [`super::WeightsController::next_wakeup`] has come.
    WakeUp,
}

/// What a replica is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderCommand {
    /// Load a version.
    LoadWeights(WeightVersion),
    /// Drain, or take work again.
    ChangeRole {
        /// Whether to drain.
        draining: bool,
    },
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append these records to the log and report [`Event::Appended`]. Only one append is outstanding.
    Append(Vec<WeightsRecord>),
    /// Replace all records appended so far by this snapshot.
    Compact(Vec<u8>),
    /// Send an order under this owner's epoch and report [`Event::OrderEnded`].
    Order {
        /// The replica.
        replica: ReplicaId,
        /// The order.
        command: OrderCommand,
    },
    /// Ask a replica for its report.
    Poll(ReplicaId),
    /// Answer a ticket: what it asked for is kept by a majority.
    Answer {
        /// The ticket.
        ticket: u64,
        /// The version that all replicas are to have.
        target: Option<WeightVersion>,
    },
    /// A replica has seen a higher epoch: stop acting for the shard.
    Superseded(Epoch),
    /// Record a decision.
    Decide(Decision),
}
