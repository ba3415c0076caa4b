//! Jobs, sample slots, version spans, staleness and hand-over to the trainer (brief points 1 to 3).
//!
//! A job's owner drives a [`JobController`]: events and the present time go in, actions come out. What must
//! outlive the owner is a [`JobLedger`], the result of applying the [`JobRecord`]s of the shard's log in
//! order. Nothing is revealed outside the owner before the records it rests on are kept by a majority of the
//! store replicas, so an owner can die or be superseded between any two steps.

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
