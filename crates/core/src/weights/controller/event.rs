//! Events that the owner of a pool's weights handles and actions that it returns to its driver.

use crate::decision::Decision;
use crate::identity::{Epoch, ReplicaId, WeightVersion};
use crate::weights::ledger::WeightsRecord;
use crate::weights::replica::{OrderResult, WeightReport};

/// Input of the owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer published a version.
    Publish {
        /// Correlates the answer; assigned by the driver.
        ticket: u64,
        /// The version.
        weight_version: WeightVersion,
    },
    /// An operator changed a replica's role.
    ChangeRole {
        /// Correlates the answer; assigned by the driver.
        ticket: u64,
        /// The replica.
        replica: ReplicaId,
        /// Whether it has to drain.
        draining: bool,
    },
    /// The current replicas of the pool in the machine list.
    Replicas(Vec<ReplicaId>),
    /// A replica answered an [`Action::Poll`], or its report was received otherwise.
    Reported {
        /// The replica.
        replica: ReplicaId,
        /// Its report.
        report: WeightReport,
    },
    /// An order ended.
    OrderEnded {
        /// The replica.
        replica: ReplicaId,
        /// Its result.
        result: OrderResult,
    },
    /// The records of the last [`Action::Append`] are committed.
    Appended,
    /// The time of [`super::WeightsController::next_wakeup`] was reached.
    WakeUp,
}

/// A command to a replica.
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

/// Output of the owner. The driver performs the actions in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append these records to the log and report [`Event::Appended`]. Only one append is in progress at a
    /// time.
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
    /// Poll a replica for its report.
    Poll(ReplicaId),
    /// Answer a ticket, whose change is committed.
    Answer {
        /// The ticket.
        ticket: u64,
        /// The version that all replicas have to load.
        target: Option<WeightVersion>,
    },
    /// A replica has seen a higher epoch: stop owning the shard.
    Superseded(Epoch),
    /// Record a decision.
    Decide(Decision),
}
