//! Rollout jobs: sample slots, version spans, the staleness bound and the hand-over to the trainer.
//!
//! A job's owner drives a [`JobController`] with events and the current time, and performs the actions it
//! returns. The persistent state is a [`JobLedger`], the result of applying the [`JobRecord`]s of the shard's
//! log in order. The owner reveals nothing before the records that it depends on are committed by a majority
//! of the store replicas, so it can crash or be superseded between any two steps.

mod controller;
mod delivery;
mod ledger;
mod queue;
mod record;
mod sample;
mod slot;
mod span;
mod specification;
mod staleness;

pub use controller::{
    Action, AttemptOutcome, AttemptStart, ControllerChecks, ControllerConfig, Event, JobController,
    RecoverError, TokenCounts,
};
pub use delivery::{PullRefusal, PullRequest, PullResponse};
pub use ledger::{JobLedger, LedgerError};
pub use record::{JobRecord, RecordError};
pub use sample::{JobStatus, Sample};
pub use slot::{Slot, SlotPhase};
pub use span::SpanError;
pub use specification::{JobSpecification, SpecificationError};
pub use staleness::{StalenessBound, TooOld};
