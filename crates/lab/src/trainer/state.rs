//! What a trainer must not lose, and where it is saved: the cursor and the samples taken with it, at once or not at
//! all.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_protocol::caller::{Sample, Slot};
use serde::{Deserialize, Serialize};

use crate::error::LabError;
use crate::locked::lock;

/// A sample that the trainer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenSample {
    /// Its slot.
    pub slot: Slot,
    /// The oldest weights that produced part of it; `None` where the sample named none or left tokens uncovered.
    pub oldest_version: Option<WeightVersion>,
}

impl TakenSample {
    /// What the trainer keeps of a sample.
    pub fn of(sample: &Sample) -> Self {
        Self { slot: sample.slot, oldest_version: oldest_version(sample) }
    }
}

/// The oldest version of a sample whose spans cover each token once, in order.
fn oldest_version(sample: &Sample) -> Option<WeightVersion> {
    let mut covered = 0;
    for span in &sample.spans {
        if span.first_token != covered {
            return None;
        }
        covered += span.token_count;
    }
    let whole = covered as usize == sample.tokens.len();
    let oldest = sample.spans.iter().map(|span| span.weight_version).min();
    oldest.filter(|_| whole)
}

/// A trained step's samples and the version they were trained into.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrainedStep {
    /// The weights that were trained further.
    pub trainer_version: WeightVersion,
    /// The samples.
    pub samples: Vec<TakenSample>,
}

/// A trainer's saved state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrainerState {
    /// The position after the last sample taken.
    pub cursor: u64,
    /// The weights that are trained further next.
    pub version: WeightVersion,
    /// Samples taken for the next step.
    pub taken: Vec<TakenSample>,
    /// Steps trained so far.
    pub trained: Vec<TrainedStep>,
}

impl TrainerState {
    /// A trainer that has taken nothing.
    pub const fn new(version: WeightVersion) -> Self {
        Self { cursor: 0, version, taken: Vec::new(), trained: Vec::new() }
    }
}

/// Where state is saved.
#[derive(Clone, Debug)]
pub enum StateFile {
    /// In a file.
    File(PathBuf),
    /// In memory that outlives a crash of the trainer, for embedding.
    Memory(Arc<Mutex<Option<TrainerState>>>),
}

impl StateFile {
    /// State in memory.
    pub fn in_memory() -> Self {
        Self::Memory(Arc::default())
    }

    /// The state saved last, if any.
    ///
    /// # Errors
    /// When the file can't be read or is damaged.
    pub fn load(&self) -> Result<Option<TrainerState>, LabError> {
        match self {
            Self::Memory(state) => Ok(lock(state).clone()),
            Self::File(path) if !path.exists() => Ok(None),
            Self::File(path) => {
                let bytes = std::fs::read(path).map_err(|source| self.failed("read", source))?;
                let state = serde_json::from_slice(&bytes);
                state.map(Some).map_err(|error| self.failed("read", error.into()))
            }
        }
    }

    /// Saves the state whole or not at all.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn save(&self, new: &TrainerState) -> Result<(), LabError> {
        match self {
            Self::Memory(state) => {
                *lock(state) = Some(new.clone());
                Ok(())
            }
            Self::File(path) => {
                let partial = path.with_extension("partial");
                let write = || {
                    let file = std::fs::File::create(&partial)?;
                    serde_json::to_writer(&file, new)?;
                    file.sync_all()?;
                    std::fs::rename(&partial, path)
                };
                write().map_err(|source| self.failed("write", source))
            }
        }
    }

    fn failed(&self, action: &str, source: std::io::Error) -> LabError {
        let remedy = "give --state-file a path in a folder that can be written, or remove a damaged file";
        LabError::Io { action: format!("{action} the trainer's state in {self:?}"), remedy, source }
    }
}
