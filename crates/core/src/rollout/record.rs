//! The records of a job's log.

use speedy::{Readable, Writable};

use crate::identity::WeightVersion;

use super::sample::Sample;
use super::slot::Slot;
use super::specification::JobSpecification;

/// One change of a job, as it stands in the shard's log.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum JobRecord {
    /// The job exists. Always the first record, so that a new owner needs nothing but the log.
    Submitted(JobSpecification),
    /// A slot's sample, decided once for each generation of the slot.
    Decided {
        /// The generation it fills.
        generation: u32,
        /// The sample; names its slot.
        sample: Sample,
    },
    /// The trainer stated a cursor and a version.
    CursorMoved {
        /// Everything before it is saved.
        cursor: u64,
        /// The version it is about to train.
        trainer_version: WeightVersion,
    },
    /// These slots were handed over, in this order, from the next unused position on.
    HandedOver {
        /// The slots.
        slots: Vec<Slot>,
    },
    /// The unsaved batch grew too old for the version that the trainer stated; its positions are not used
    /// again.
    BatchVoided,
    /// A slot's sample grew too old; the slot is filled anew.
    Reopened {
        /// The slot.
        slot: Slot,
        /// Its generation from now on.
        generation: u32,
    },
    /// Changes nothing. That it is kept shows that its owner had not been superseded.
    Barrier,
}

/// A record could not be read.
#[derive(Debug, thiserror::Error)]
#[error("a log entry of the job can't be read ({reason}); run the version of lichenpulleyd that wrote it")]
pub struct RecordError {
    /// What the codec said.
    reason: String,
}

impl From<speedy::Error> for RecordError {
    fn from(error: speedy::Error) -> Self {
        Self { reason: error.to_string() }
    }
}

impl JobRecord {
    /// The record as bytes for the log.
    ///
    /// # Errors
    /// When the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(self.write_to_vec()?)
    }

    /// A record from the log's bytes.
    ///
    /// # Errors
    /// When the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(Self::read_from_buffer(bytes)?)
    }
}
