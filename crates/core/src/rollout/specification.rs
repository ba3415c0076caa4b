//! What a rollout job is to produce.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::{JobId, PoolName};

/// Most slots in one step: 16 times the 4,096 samples that a step of the largest deployment has.
const MAX_SLOTS_PER_STEP: u64 = 65_536;

/// A rollout job: for each step, `samples_per_prompt` samples of each prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct JobSpecification {
    /// The job's name, unique.
    pub job: JobId,
    /// The pool that generates.
    pub pool: PoolName,
    /// The prompts of each step, used in turn.
    pub prompts: Vec<String>,
    /// Samples for each prompt in a step.
    pub samples_per_prompt: u32,
    /// How many steps the job has.
    pub steps: u32,
    /// At most this many tokens for each sample.
    pub max_tokens: u32,
    /// The greatest allowed difference between the trainer's weight version and the oldest version in a
    /// sample (brief point 2).
    pub staleness_bound: u64,
    /// What to weigh more when long samples hold up a step: 0 is staleness only, 100 is idle time only.
    /// Checked and kept; nothing acts on it yet.
    #[serde(default = "default_idle_weight")]
    pub idle_weight_percent: u8,
}

const fn default_idle_weight() -> u8 {
    50
}

/// Why a specification can't be run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecificationError {
    /// A field that must be at least one is zero or empty.
    #[error("{field} is empty; give at least one")]
    Empty {
        /// The field.
        field: &'static str,
    },
    /// The job's name can't be part of a path.
    #[error("job {job:?} can't be used in a path; use letters, digits, '-', '_' and '.'")]
    BadName {
        /// The name.
        job: String,
    },
    /// A step has too many slots.
    #[error("a step has {slots} samples; split the job so that a step has at most {MAX_SLOTS_PER_STEP}")]
    TooManySlots {
        /// Slots in a step.
        slots: u64,
    },
    /// A percentage above 100.
    #[error("idle_weight_percent is {percent}; give 0 (staleness only) to 100 (idle time only)")]
    BadPercentage {
        /// The value.
        percent: u8,
    },
}

impl JobSpecification {
    /// Checks every field.
    ///
    /// # Errors
    /// Names the first field that can't be used and what to give instead.
    pub fn validate(&self) -> Result<(), SpecificationError> {
        self.validate_name()?;
        let counts = [
            ("pool", self.pool.as_str().len()),
            ("prompts", self.prompts.len()),
            ("samples_per_prompt", self.samples_per_prompt as usize),
            ("steps", self.steps as usize),
            ("max_tokens", self.max_tokens as usize),
        ];
        if let Some((field, _)) = counts.into_iter().find(|(_, count)| *count == 0) {
            return Err(SpecificationError::Empty { field });
        }
        let slots = self.prompts.len() as u64 * u64::from(self.samples_per_prompt);
        if slots > MAX_SLOTS_PER_STEP {
            return Err(SpecificationError::TooManySlots { slots });
        }
        if self.idle_weight_percent > 100 {
            return Err(SpecificationError::BadPercentage { percent: self.idle_weight_percent });
        }
        Ok(())
    }

    /// How many slots a step has.
    pub fn slots_per_step(&self) -> usize {
        self.prompts.len() * self.samples_per_prompt as usize
    }

    fn validate_name(&self) -> Result<(), SpecificationError> {
        let job = self.job.as_str();
        let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        if job.is_empty() || !job.chars().all(allowed) {
            return Err(SpecificationError::BadName { job: job.to_owned() });
        }
        Ok(())
    }
}
