//! Records of a pool's weights and the state derived from them.

use std::collections::BTreeSet;

use speedy::{Readable, Writable};

use crate::identity::{ReplicaId, WeightVersion};

/// One change of a pool's weights, as stored in the shard's log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum WeightsRecord {
    /// A trainer published a version, which starts its rollout.
    Published(WeightVersion),
    /// These replicas are about to be ordered to load the published version.
    Ordered(Vec<ReplicaId>),
    /// These replicas reported the published version.
    Confirmed(Vec<ReplicaId>),
    /// These replicas have to be ordered again, or have left the pool.
    Cleared(Vec<ReplicaId>),
    /// An operator changed whether a replica takes new work.
    RoleChanged {
        /// The replica.
        replica: ReplicaId,
        /// Whether it drains.
        draining: bool,
    },
    /// Changes nothing. Once committed, it proves that the owner had not been superseded.
    Barrier,
}

/// A record could not be encoded or decoded.
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
    /// Encodes the record for the log.
    ///
    /// # Errors
    /// Fails when the record can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WeightsRecordError> {
        Ok(self.write_to_vec()?)
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    /// Fails when the bytes can't be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, WeightsRecordError> {
        Ok(Self::read_from_buffer(bytes)?)
    }
}

/// State of a pool's weights: the result of applying its records in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WeightsLedger {
    /// The published version that all replicas have to load; `None` before the first publication.
    pub target: Option<WeightVersion>,
    /// Replicas that may be loading the target version.
    pub ordered: BTreeSet<ReplicaId>,
    /// Replicas that have reported the target version.
    pub confirmed: BTreeSet<ReplicaId>,
    /// Replicas that must not take new work.
    pub draining: BTreeSet<ReplicaId>,
}

impl WeightsLedger {
    /// Decodes a ledger from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// Fails when the bytes can't be decoded.
    pub(crate) fn from_snapshot(bytes: &[u8]) -> Result<Self, WeightsRecordError> {
        Ok(Self::read_from_buffer(bytes)?)
    }

    /// Encodes the ledger, which replaces all records applied so far.
    ///
    /// # Errors
    /// Fails when the ledger can't be encoded.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, WeightsRecordError> {
        Ok(self.write_to_vec()?)
    }

    /// Applies the next record. The target version never decreases: an older `Published` changes nothing.
    pub(crate) fn apply(&mut self, record: &WeightsRecord) {
        match record {
            WeightsRecord::Published(version) => self.publish(*version),
            WeightsRecord::Ordered(replicas) => self.ordered.extend(replicas.iter().cloned()),
            WeightsRecord::Confirmed(replicas) => self.confirm(replicas),
            WeightsRecord::Cleared(replicas) => self.clear_progress(replicas),
            WeightsRecord::Barrier => {}
            WeightsRecord::RoleChanged { replica, draining: true } => {
                self.draining.insert(replica.clone());
            }
            WeightsRecord::RoleChanged { replica, draining: false } => {
                self.draining.remove(replica);
            }
        }
    }

    /// Sets the target version. Replicas that were ordered to load the previous version stay `ordered`, since
    /// they may still be fetching it.
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

    fn clear_progress(&mut self, replicas: &[ReplicaId]) {
        for replica in replicas {
            self.ordered.remove(replica);
            self.confirmed.remove(replica);
        }
    }
}
