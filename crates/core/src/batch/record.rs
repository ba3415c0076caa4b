//! Records of a batch shard's log.
//!
//! Owns their form: the order of variants and fields is what stores keep. The ledger says what each changes, the controller
//! when one is written. Relies on the log for their order.

use speedy::{Readable, Writable};

use super::job::{BatchJob, ItemResult, OutputEvent};
use super::outline::{EventOutline, OutlineKind};
use crate::identity::{BatchId, NodeId};
use crate::usage::account::{AccountParts, WindowCount};
use crate::usage::window::WindowNumber;

/// What the owner writes down before it acts on it or shows it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// A job is taken.
    Accepted(BatchJob),
    /// Part of an item's answer has come.
    Progress {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Events that follow those kept before.
        events: Vec<OutputEvent>,
    },
    /// A run of an item failed.
    Failed {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Failed runs so far.
        failures: u32,
    },
    /// An item is listed, at the next free position of its job.
    Listed {
        /// The job.
        batch: BatchId,
        /// The result.
        result: ItemResult,
    },
    /// A job is ended by its caller: nothing of it runs any more.
    Ended(BatchId),
    /// A job is past its retention and dropped.
    Dropped(BatchId),
    /// An item came whole and is listed, at the next free position of its job. Its text is what
    /// [`Record::Progress`] kept of it and then these events: no event is written twice.
    Completed {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Events that follow those kept before.
        events: Vec<OutputEvent>,
    },
    /// The owner is alive. The shard's clock: milliseconds that owners have counted so far.
    Clock(u64),
    /// An item's text came whole and waits for its score.
    Generated {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Events that follow those kept before, or all of them.
        events: Vec<OutputEvent>,
        /// Whether the text was begun anew, so that nothing kept before belongs to it.
        replaces: bool,
    },
    /// The scorer of an item answered that it failed.
    ScoreFailed {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Failures so far.
        failures: u32,
    },
    /// A whole text is scored, and its item listed at the next free position of its job.
    Scored {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// The score.
        score: String,
    },
    /// A replica is about to be ordered, or a duty to be called that one holder calls at a time.
    Ordered {
        /// The replica, or the duty.
        replica: String,
        /// Whose order it is.
        holder: NodeId,
        /// The shard's clock, in milliseconds.
        at_ms: u64,
    },
    /// Requests that began to run on a node.
    UsageCounted {
        /// The incarnation of the node.
        source: String,
        /// All its entries before this number are taken from now on.
        through: u64,
        /// What they add.
        counts: Vec<WindowCount>,
    },
    /// No more is counted in the windows up to this one.
    UsageClosed(WindowNumber),
    /// The platform took what a window holds.
    UsageDelivered(WindowNumber),
    /// All usage, in a snapshot.
    Usage(AccountParts),
    /// A zone is to have so many replicas of a service.
    Scaled {
        /// The service.
        service: String,
        /// The zone.
        zone: String,
        /// How many.
        desired: u32,
    },
    /// Stands for a record with texts of events while a log is read without them; never written to a log.
    Outlined {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// The events without their texts.
        events: Vec<EventOutline>,
        /// Which record it stands for.
        kind: OutlineKind,
    },
}

impl Record {
    /// The bytes of a record.
    ///
    /// # Errors
    /// When it is too long for the codec.
    pub fn encode(&self) -> Result<Vec<u8>, speedy::Error> {
        self.write_to_vec()
    }

    /// Reads a record.
    ///
    /// # Errors
    /// When the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        Self::read_from_buffer(bytes)
    }
}
