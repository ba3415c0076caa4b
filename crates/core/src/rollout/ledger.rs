//! State of a job, derived from the records of its log.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

use crate::identity::WeightVersion;

use super::delivery::{Batch, Delivery, PullRefusal, PullRequest};
use super::record::{JobRecord, RecordError};
use super::sample::Sample;
use super::slot::{Slot, SlotPhase, SlotState};
use super::span::{SpanError, check_coverage};
use super::specification::JobSpecification;
use super::staleness::StalenessBound;

/// State of a job: the result of applying its records in order. Two owners that apply the same records hold
/// equal ledgers.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct JobLedger {
    specification: JobSpecification,
    /// The first step that is not closed. Slots of earlier steps are all saved, and their states dropped.
    step: u32,
    /// Slots that have left the initial state. An absent slot is open in generation 0.
    slots: BTreeMap<Slot, SlotState>,
    delivery: Delivery,
    reopened: u64,
    /// Decide only open slots. Always on in production; simulations switch it off.
    #[speedy(skip)]
    decide_once: bool,
}

/// A record is inconsistent with the records before it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The first record is not `Submitted`, or a later one is.
    #[error("the log does not begin with the job's specification; submit the job again under another name")]
    NoSpecification,
    /// The slot is not in the phase that the record requires, or the record names another generation.
    #[error("slot {slot} is not {needed} in generation {generation}; discard this record's cause")]
    WrongPhase {
        /// The slot.
        slot: Slot,
        /// The required phase.
        needed: &'static str,
        /// The generation named by the record.
        generation: u32,
    },
    /// The slot does not exist in the job, or its step is closed.
    #[error("slot {slot} is not open for decisions in this job; discard the attempt")]
    NoSuchSlot {
        /// The slot.
        slot: Slot,
    },
    /// The sample's spans do not cover its tokens.
    #[error(transparent)]
    Spans(#[from] SpanError),
    /// The cursor or the trainer version is invalid.
    #[error(transparent)]
    Pull(#[from] PullRefusal),
    /// A batch was created while one was unsaved, or voided while there was none.
    #[error(
        "a batch can only be made when none is unsaved, and voided when one is; take the shard over again"
    )]
    WrongBatch,
}

impl JobLedger {
    /// Creates the ledger of a new job. `decide_once` is on in production.
    pub(crate) fn new(specification: JobSpecification, decide_once: bool) -> Self {
        Self {
            specification,
            step: 0,
            slots: BTreeMap::new(),
            delivery: Delivery::default(),
            reopened: 0,
            decide_once,
        }
    }

    /// Decodes a ledger from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// Fails when the bytes can't be decoded.
    pub(crate) fn from_snapshot(bytes: &[u8], decide_once: bool) -> Result<Self, RecordError> {
        let ledger = Self::read_from_buffer(bytes)?;
        Ok(Self { decide_once, ..ledger })
    }

    /// Encodes the ledger, which replaces all records applied so far.
    ///
    /// # Errors
    /// Fails when the ledger can't be encoded.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, RecordError> {
        Ok(self.write_to_vec()?)
    }

    /// Applies the next record. An inconsistent record changes nothing.
    ///
    /// # Errors
    /// Fails when the record is inconsistent with the records before it.
    pub(crate) fn apply(&mut self, record: &JobRecord) -> Result<(), LedgerError> {
        match record {
            JobRecord::Submitted(_) => Err(LedgerError::NoSpecification),
            JobRecord::Decided { generation, sample } => self.decide(*generation, sample),
            JobRecord::CursorMoved { cursor, trainer_version } => self.move_cursor(*cursor, *trainer_version),
            JobRecord::HandedOver { slots } => self.hand_over(slots),
            JobRecord::BatchVoided => self.void_batch(),
            JobRecord::Barrier => Ok(()),
            JobRecord::Reopened { slot, generation } => self.reopen(*slot, *generation),
        }
    }

    /// Returns the job's specification.
    pub fn specification(&self) -> &JobSpecification {
        &self.specification
    }

    /// Returns the staleness bound.
    pub(crate) fn staleness_bound(&self) -> StalenessBound {
        StalenessBound(self.specification.staleness_bound)
    }

    /// Returns the first step that is not closed, or the number of steps once the job is finished.
    pub(crate) fn step(&self) -> u32 {
        self.step
    }

    /// Returns whether the trainer has saved every sample.
    pub(crate) fn is_finished(&self) -> bool {
        self.step >= self.specification.steps
    }

    /// Returns the highest version stated by the trainer.
    pub(crate) fn trainer_version(&self) -> WeightVersion {
        self.delivery.trainer_version
    }

    /// Returns the cursor last stated by the trainer.
    pub(crate) fn saved_cursor(&self) -> u64 {
        self.delivery.saved
    }

    /// Returns the number of samples handed over and not voided.
    pub(crate) fn delivered(&self) -> u64 {
        self.delivery.delivered()
    }

    /// Returns how often slots were reopened because their sample had become too old.
    pub(crate) fn reopened(&self) -> u64 {
        self.reopened
    }

    /// Returns the generation of a slot if it can be decided now.
    pub(crate) fn open_generation(&self, slot: Slot) -> Option<u32> {
        if slot.step < self.step || !slot.belongs_to(&self.specification) {
            return None;
        }
        match self.slots.get(&slot) {
            None => Some(0),
            Some(SlotState { generation, phase: SlotPhase::Open }) => Some(*generation),
            Some(_) => None,
        }
    }

    /// Returns the samples of the current step that wait for their hand-over, in slot order.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Sample> {
        let states = self.slots.iter().take_while(|(slot, _)| slot.step == self.step);
        states.filter_map(|(_, state)| match &state.phase {
            SlotPhase::Ready(sample) => Some(sample),
            _ => None,
        })
    }

    /// Returns the first position and the samples of the unsaved batch, in order of position.
    pub(crate) fn unsaved_batch(&self) -> Option<(u64, Vec<&Sample>)> {
        let batch = self.delivery.batch.as_ref()?;
        let sample = |slot: &Slot| match &self.slots.get(slot)?.phase {
            SlotPhase::HandedOver(sample) => Some(sample),
            _ => None,
        };
        Some((batch.start, batch.slots.iter().filter_map(sample).collect()))
    }

    /// Checks a pull against what the trainer stated before.
    ///
    /// # Errors
    /// Returns the reason for refusing the pull.
    pub(crate) fn check_pull(&self, request: &PullRequest) -> Result<(), PullRefusal> {
        self.delivery.check(request.cursor, request.trainer_version)
    }

    /// Decides a slot, at most once for each generation.
    fn decide(&mut self, generation: u32, sample: &Sample) -> Result<(), LedgerError> {
        let slot = sample.slot;
        check_coverage(&sample.spans, sample.tokens.len())?;
        if slot.step < self.step || !slot.belongs_to(&self.specification) {
            return Err(LedgerError::NoSuchSlot { slot });
        }
        if self.decide_once && self.open_generation(slot) != Some(generation) {
            return Err(LedgerError::WrongPhase { slot, needed: "open", generation });
        }
        let state = self.slots.entry(slot).or_default();
        state.phase = SlotPhase::Ready(sample.clone());
        Ok(())
    }

    fn move_cursor(&mut self, cursor: u64, trainer_version: WeightVersion) -> Result<(), LedgerError> {
        self.delivery.check(cursor, trainer_version)?;
        self.delivery.trainer_version = trainer_version;
        for slot in self.delivery.move_cursor(cursor) {
            self.slots.entry(slot).or_default().phase = SlotPhase::Saved;
        }
        self.close_saved_step();
        Ok(())
    }

    /// Closes the current step and drops its states once the trainer has saved each of its slots.
    fn close_saved_step(&mut self) {
        let of_step = self.slots.iter().take_while(|(slot, _)| slot.step == self.step);
        let saved = of_step.filter(|(_, state)| state.phase == SlotPhase::Saved).count();
        if saved < self.specification.slots_per_step() {
            return;
        }
        self.step += 1;
        let first_kept = Slot { step: self.step, prompt: 0, index: 0 };
        self.slots = self.slots.split_off(&first_kept);
    }

    fn hand_over(&mut self, slots: &[Slot]) -> Result<(), LedgerError> {
        if self.delivery.batch.is_some() || slots.is_empty() {
            return Err(LedgerError::WrongBatch);
        }
        for slot in slots {
            let is_ready =
                self.slots.get(slot).is_some_and(|state| matches!(state.phase, SlotPhase::Ready(_)));
            if !is_ready || slot.step != self.step {
                return Err(LedgerError::WrongPhase { slot: *slot, needed: "ready", generation: 0 });
            }
        }
        for slot in slots {
            self.change_phase(*slot, |phase| match phase {
                SlotPhase::Ready(sample) => SlotPhase::HandedOver(sample),
                other => other,
            });
        }
        let batch = Batch { start: self.delivery.next_position, slots: slots.to_vec() };
        self.delivery.next_position = batch.end();
        self.delivery.batch = Some(batch);
        Ok(())
    }

    fn void_batch(&mut self) -> Result<(), LedgerError> {
        let batch = self.delivery.batch.take().ok_or(LedgerError::WrongBatch)?;
        for slot in batch.slots {
            self.change_phase(slot, |phase| match phase {
                SlotPhase::HandedOver(sample) => SlotPhase::Ready(sample),
                other => other,
            });
        }
        Ok(())
    }

    /// Reopens a ready slot. A handed-over slot can't be reopened before its batch is voided.
    fn reopen(&mut self, slot: Slot, generation: u32) -> Result<(), LedgerError> {
        let state = self.slots.get_mut(&slot).ok_or(LedgerError::NoSuchSlot { slot })?;
        if !matches!(state.phase, SlotPhase::Ready(_)) || generation != state.generation + 1 {
            return Err(LedgerError::WrongPhase { slot, needed: "ready", generation });
        }
        *state = SlotState { generation, phase: SlotPhase::Open };
        self.reopened += 1;
        Ok(())
    }

    fn change_phase(&mut self, slot: Slot, change: impl FnOnce(SlotPhase) -> SlotPhase) {
        if let Some(state) = self.slots.get_mut(&slot) {
            state.phase = change(std::mem::take(&mut state.phase));
        }
    }

    /// Returns the generation of a slot.
    pub(super) fn generation_of(&self, slot: Slot) -> u32 {
        self.slots.get(&slot).map_or(0, |state| state.generation)
    }
}
