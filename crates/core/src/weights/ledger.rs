//! What the log of a pool's weights amounts to.

use std::collections::BTreeSet;

use speedy::{Readable, Writable};

use crate::identity::{ReplicaId, WeightVersion};

/// One change of a pool's weights, as it stands in the shard's log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum WeightsRecord {
    /// A trainer published a version; the wave to it begins.
    Published(WeightVersion),
    /// These replicas are about to be ordered to load the published version.
    Ordered(Vec<ReplicaId>),
    /// These replicas reported the published version.
    Confirmed(Vec<ReplicaId>),
    /// These replicas are to be ordered anew, or have left the pool.
    Cleared(Vec<ReplicaId>),
    /// Whether a replica is to take new work.
    RoleChanged {
        /// The replica.
        replica: ReplicaId,
        /// Whether it drains.
        draining: bool,
    },
    /// Changes nothing. That it is kept shows that its owner had not been superseded.
    Barrier,
}

/// A record could not be read.
#[derive(Debug, thiserror::Error)]
#[error(
    "a log entry of the weights can't be read ({reason}); run the version of lichenpulleyd that wrote it"
)]
pub struct WeightsRecordError {
    reason: String,
}

impl From<speedy::Error> for WeightsRecordError {
    fn from(error: speedy::Error) -> Self {
        Self { reason: error.to_string() }
    }
}

impl WeightsRecord {
    /// The record as bytes for the log.
    ///
    /// # Errors
    /// When the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, WeightsRecordError> {
        Ok(self.write_to_vec()?)
    }

    /// A record from the log's bytes.
    ///
    /// # Errors
    /// When the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, WeightsRecordError> {
        Ok(Self::read_from_buffer(bytes)?)
    }
}

/// The state of a pool's weights: the result of applying its records in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WeightsLedger {
    /// The version that all replicas are to have; `None` before the first was published.
    pub target: Option<WeightVersion>,
    /// Replicas that may be loading it.
    pub ordered: BTreeSet<ReplicaId>,
    /// Replicas that have reported it.
    pub confirmed: BTreeSet<ReplicaId>,
    /// Replicas that are to take no new work.
    pub draining: BTreeSet<ReplicaId>,
}

impl WeightsLedger {
    /// A ledger from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// When the bytes are no ledger.
    pub(crate) fn from_snapshot(bytes: &[u8]) -> Result<Self, WeightsRecordError> {
        Ok(Self::read_from_buffer(bytes)?)
    }

    /// The ledger as bytes, standing for all records applied so far.
    ///
    /// # Errors
    /// When the codec fails.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, WeightsRecordError> {
        Ok(self.write_to_vec()?)
    }

    /// Applies the next record. A version never goes back: an older `Published` changes nothing.
    pub(crate) fn apply(&mut self, record: &WeightsRecord) {
        match record {
            WeightsRecord::Published(version) => self.publish(*version),
            WeightsRecord::Ordered(replicas) => self.ordered.extend(replicas.iter().cloned()),
            WeightsRecord::Confirmed(replicas) => self.confirm(replicas),
            WeightsRecord::Cleared(replicas) => self.forget(replicas),
            WeightsRecord::Barrier => {}
            WeightsRecord::RoleChanged { replica, draining: true } => {
                self.draining.insert(replica.clone());
            }
            WeightsRecord::RoleChanged { replica, draining: false } => {
                self.draining.remove(replica);
            }
        }
    }

    /// Replicas that were ordered to load the earlier version may still be fetching it: they stay `ordered`.
    fn publish(&mut self, version: WeightVersion) {
        if self.target.is_none_or(|target| target < version) {
            self.target = Some(version);
            self.confirmed.clear();
        }
    }

    fn confirm(&mut self, replicas: &[ReplicaId]) {
        for replica in replicas {
            self.ordered.remove(replica);
            self.confirmed.insert(replica.clone());
        }
    }

    fn forget(&mut self, replicas: &[ReplicaId]) {
        for replica in replicas {
            self.ordered.remove(replica);
            self.confirmed.remove(replica);
        }
    }
}
