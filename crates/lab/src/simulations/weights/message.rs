//! What the simulated processes send each other.

use lichenpulley_core::identity::{Epoch, WeightVersion};
use lichenpulley_core::weights::{OrderCommand, OrderResult, WeightReport};
use lichenpulley_simulation::ProcessId;

/// The log.
pub(super) const LOG: ProcessId = ProcessId(0);
/// The weight store.
pub(super) const WEIGHT_STORE: ProcessId = ProcessId(1);
/// The trainer that publishes.
pub(super) const PUBLISHER: ProcessId = ProcessId(2);
/// The first owner.
pub(super) const FIRST_OWNER: usize = 3;
/// Owners in the world.
pub(super) const OWNERS: usize = 2;
/// The first replica.
pub(super) const FIRST_REPLICA: usize = FIRST_OWNER + OWNERS;

/// A message of the world.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// An owner takes the log over.
    TakeOver { term: u64 },
    /// It is taken over under an epoch.
    TakenOver { term: u64, epoch: Epoch, records: Vec<Vec<u8>> },
    /// An owner appends; numbered from 1 within its epoch.
    Append { epoch: Epoch, number: u64, records: Vec<Vec<u8>> },
    /// An append is kept.
    Appended { epoch: Epoch, number: u64 },
    /// Another owner is ahead.
    Superseded { epoch: Epoch },
    /// An owner orders a replica.
    Order { epoch: Epoch, command: OrderCommand },
    /// What came of an order.
    OrderEnded { result: OrderResult },
    /// An owner asks a replica.
    Ask,
    /// The replica's state.
    Reported { report: WeightReport },
    /// A replica begins to fetch; an earlier fetch of it, known by its lower number, ends.
    Fetch { number: u64 },
    /// A fetch is complete.
    Fetched { number: u64 },
    /// A trainer publishes.
    Publish { version: WeightVersion },
    /// The publication is kept.
    Published { version: WeightVersion },
}
