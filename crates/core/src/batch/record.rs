//! Records of a batch shard's log.
//!
//! Stores persist records in this encoding, so the order of variants and fields must not change. The ledger
//! defines what each record changes, and the controller when it is appended.

use speedy::{Readable, Writable};

use super::job::{BatchJob, ItemResult, OutputEvent};
use super::outline::{EventOutline, OutlineKind};
use crate::identity::{BatchId, NodeId};
use crate::usage::account::{AccountParts, WindowCount};
use crate::usage::window::WindowNumber;

/// A change that the owner commits before it acts on it or shows it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// A job was accepted.
    Accepted(BatchJob),
    /// Part of an item's answer was received.
    Progress {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Events that follow those recorded before.
        events: Vec<OutputEvent>,
    },
    /// A run of an item failed.
    Failed {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Number of failed runs so far.
        failures: u32,
    },
    /// An item was listed, at the next free position of its job.
    Listed {
        /// The job.
        batch: BatchId,
        /// The result.
        result: ItemResult,
    },
    /// A job was ended by its caller; none of its items runs any more.
    Ended(BatchId),
    /// A job was dropped after its retention.
    Dropped(BatchId),
    /// An item is complete and listed, at the next free position of its job. Its text consists of the events
    /// in earlier [`Record::Progress`] records followed by these, so that no event is written twice.
    Completed {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Events that follow those recorded before.
        events: Vec<OutputEvent>,
    },
    /// Heartbeat of the owner with the shard's clock: the milliseconds counted by all owners so far.
    Clock(u64),
    /// An item's text is complete and waits for its score.
    Generated {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Events that follow those recorded before, or all events.
        events: Vec<OutputEvent>,
        /// Whether the text was restarted, so that earlier events do not belong to it.
        replaces: bool,
    },
    /// The scorer of an item reported a failure.
    ScoreFailed {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// Number of failures so far.
        failures: u32,
    },
    /// A complete text was scored, and its item listed at the next free position of its job.
    Scored {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// The score.
        score: String,
    },
    /// An order to a replica, or a call that only one holder may make at a time, is about to be sent.
    Ordered {
        /// The name of the replica, or the subject of the call.
        replica: String,
        /// The node that sends it.
        holder: NodeId,
        /// The shard's clock, in milliseconds.
        at_ms: u64,
    },
    /// Requests that were started on a node.
    UsageCounted {
        /// The incarnation of the node.
        source: String,
        /// All entries of the node before this number are included from now on.
        through: u64,
        /// The counts added.
        counts: Vec<WindowCount>,
    },
    /// Usage windows up to this one are closed.
    UsageClosed(WindowNumber),
    /// The platform accepted the usage report of a window.
    UsageDelivered(WindowNumber),
    /// All usage; part of a snapshot.
    Usage(AccountParts),
    /// The desired number of replicas of a service in a zone.
    Scaled {
        /// The service.
        service: String,
        /// The zone.
        zone: String,
        /// Desired number of replicas.
        desired: u32,
    },
    /// Replaces a record with event texts while a log is read without them; never written to a log.
    Outlined {
        /// The job.
        batch: BatchId,
        /// The item's position in the job.
        item: u32,
        /// The events without their texts.
        events: Vec<EventOutline>,
        /// The kind of record that it replaces.
        kind: OutlineKind,
    },
}

impl Record {
    /// Encodes the record.
    ///
    /// # Errors
    /// Fails when the record is too long for the codec.
    pub fn encode(&self) -> Result<Vec<u8>, speedy::Error> {
        self.write_to_vec()
    }

    /// Returns the job and the position of the item that the record changes, if it changes one.
    pub(super) fn item(&self) -> Option<(BatchId, u32)> {
        match self {
            Self::Progress { batch, item, .. }
            | Self::Failed { batch, item, .. }
            | Self::Completed { batch, item, .. }
            | Self::Generated { batch, item, .. }
            | Self::ScoreFailed { batch, item, .. }
            | Self::Scored { batch, item, .. }
            | Self::Outlined { batch, item, .. } => Some((batch.clone(), *item)),
            Self::Listed { batch, result } => Some((batch.clone(), result.item)),
            Self::Accepted(_)
            | Self::Ended(_)
            | Self::Dropped(_)
            | Self::Clock(_)
            | Self::Ordered { .. }
            | Self::UsageCounted { .. }
            | Self::UsageClosed(_)
            | Self::UsageDelivered(_)
            | Self::Usage(_)
            | Self::Scaled { .. } => None,
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// Fails when the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        Self::read_from_buffer(bytes)
    }
}
