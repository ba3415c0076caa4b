//! Records of a job's log.

use speedy::{Readable, Writable};

use crate::identity::WeightVersion;

use super::sample::Sample;
use super::slot::Slot;
use super::specification::JobSpecification;

/// One change of a job, as stored in the shard's log.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum JobRecord {
    /// The job was submitted. Always the first record, so that a new owner needs only the log.
    Submitted(JobSpecification),
    /// A slot's sample was decided, once for each generation of the slot.
    Decided {
        /// The generation it fills.
        generation: u32,
        /// The sample, which contains its slot.
        sample: Sample,
    },
    /// The trainer stated a cursor and a version.
    CursorMoved {
        /// The position up to which all samples are saved, exclusive.
        cursor: u64,
        /// The version that the trainer is about to train.
        trainer_version: WeightVersion,
    },
    /// These slots were handed over, in this order, starting at the next unused position.
    HandedOver {
        /// The slots.
        slots: Vec<Slot>,
    },
    /// The unsaved batch became too old for the version stated by the trainer. Its positions are not used
    /// again.
    BatchVoided,
    /// A slot's sample became too old, so the slot is filled again.
    Reopened {
        /// The slot.
        slot: Slot,
        /// The slot's new generation.
        generation: u32,
    },
    /// Changes nothing. Once committed, it proves that the owner had not been superseded.
    Barrier,
}

/// A record could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("a log entry of the job can't be read ({reason}); run the version of lichenpulleyd that wrote it")]
pub struct RecordError {
    /// Error of the codec.
    reason: String,
}

impl From<speedy::Error> for RecordError {
    fn from(error: speedy::Error) -> Self {
        Self { reason: error.to_string() }
    }
}

impl JobRecord {
    /// Encodes the record for the log.
    ///
    /// # Errors
    /// Fails when the record can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(self.write_to_vec()?)
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    /// Fails when the bytes can't be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(Self::read_from_buffer(bytes)?)
    }
}
