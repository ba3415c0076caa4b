//! The place of a sample in a job, and how far it has come.
//!
//! Owns the order of slots, by step, prompt and index, in which samples are started and named. Relies on the job's
//! specification for how many there are.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::sample::Sample;
use super::specification::JobSpecification;

/// The place of a sample in a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct Slot {
    /// The step, from 0.
    pub step: u32,
    /// The prompt's number in the job, from 0.
    pub prompt: u32,
    /// Which sample of that prompt, from 0.
    pub index: u32,
}

impl Slot {
    /// All slots of one step, in order.
    pub fn of_step(specification: &JobSpecification, step: u32) -> impl Iterator<Item = Self> + use<> {
        let prompts = u32::try_from(specification.prompts.len()).unwrap_or(u32::MAX);
        let samples_per_prompt = specification.samples_per_prompt;
        (0..prompts)
            .flat_map(move |prompt| (0..samples_per_prompt).map(move |index| Self { step, prompt, index }))
    }

    /// Whether the job has this slot.
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

/// How far a slot has come. It leaves `Open` only by a decision in the log, and comes back to it only by a
/// record that says that its sample grew too old.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub enum SlotPhase {
    /// No sample has been decided.
    #[default]
    Open,
    /// This sample has been decided and waits to be handed over.
    Ready(Sample),
    /// This sample is part of the unsaved batch.
    HandedOver(Sample),
    /// The trainer has saved it; its body is dropped.
    Saved,
}

/// A slot's phase, and how often it has been reopened.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(super) struct SlotState {
    /// Goes up each time the slot is reopened; a decision names the generation it fills.
    pub(super) generation: u32,
    /// How far it has come.
    pub(super) phase: SlotPhase,
}
