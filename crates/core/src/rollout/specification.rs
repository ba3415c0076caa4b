//! Specification of a rollout job and its validation.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::{JobId, PoolName};

/// Most slots in one step.
const MAX_SLOTS_PER_STEP: u64 = 65_536;

/// A rollout job: for each step, `samples_per_prompt` samples of each prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct JobSpecification {
    /// Unique name of the job.
    pub job: JobId,
    /// The pool that generates the samples.
    pub pool: PoolName,
    /// The prompts of each step.
    pub prompts: Vec<String>,
    /// Samples for each prompt in a step.
    pub samples_per_prompt: u32,
    /// Number of steps.
    pub steps: u32,
    /// Most tokens for each sample.
    pub max_tokens: u32,
    /// Greatest allowed difference between the trainer's weight version and the oldest version in a sample.
    pub staleness_bound: u64,
    /// Preference when long samples delay a step, in percent: 0 minimizes staleness only, 100 idle time
    /// only. Validated and stored, but has no effect yet.
    #[serde(default = "default_idle_weight")]
    pub idle_weight_percent: u8,
}

const fn default_idle_weight() -> u8 {
    50
}

/// Why a specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecificationError {
    /// A field that must be at least one is zero or empty.
    #[error("{field} is empty; give at least one")]
    Empty {
        /// The field.
        field: &'static str,
    },
    /// The job's name can't be used in a path.
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
    /// Returns the first invalid field and its remedy.
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

    /// Returns the number of slots in a step.
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
