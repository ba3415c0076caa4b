//! Sample slots of a job and their phases. Slots are ordered by step, prompt and index, and are started in
//! that order.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::sample::Sample;
use super::specification::JobSpecification;

/// Position of a sample in a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct Slot {
    /// The step, from 0.
    pub step: u32,
    /// Index of the prompt in the job, from 0.
    pub prompt: u32,
    /// Index among the samples of that prompt, from 0.
    pub index: u32,
}

impl Slot {
    /// Returns all slots of one step, in order.
    pub fn of_step(specification: &JobSpecification, step: u32) -> impl Iterator<Item = Self> + use<> {
        let prompts = u32::try_from(specification.prompts.len()).unwrap_or(u32::MAX);
        let samples_per_prompt = specification.samples_per_prompt;
        (0..prompts)
            .flat_map(move |prompt| (0..samples_per_prompt).map(move |index| Self { step, prompt, index }))
    }

    /// Returns whether the job has this slot.
    pub(crate) fn belongs_to(&self, specification: &JobSpecification) -> bool {
        self.step < specification.steps
            && (self.prompt as usize) < specification.prompts.len()
            && self.index < specification.samples_per_prompt
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.step, self.prompt, self.index)
    }
}

/// Progress of a slot. It leaves `Open` only by a `Decided` record, and returns to it only by a `Reopened`
/// record, when its sample has become too old.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub enum SlotPhase {
    /// No sample has been decided.
    #[default]
    Open,
    /// The decided sample waits for its hand-over.
    Ready(Sample),
    /// The sample is part of the unsaved batch.
    HandedOver(Sample),
    /// The trainer has saved the sample; its body is dropped.
    Saved,
}

/// A slot's phase and generation.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(super) struct SlotState {
    /// Number of times the slot was reopened. A decision names the generation that it fills.
    pub(super) generation: u32,
    /// Progress of this generation.
    pub(super) phase: SlotPhase,
}
