//! Requests to the owner of a shard of batch jobs.
//!
//! Gateways send them to the owner, and a departing owner sends one to its successor. The order and types of the
//! variants are the wire format: new ones are added at the end.

use lichenpulley_core::batch::job::{BatchJob, ItemResult};
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::batch::queue_report::QueueReport;
use lichenpulley_core::identity::{BatchId, NodeId, TenantName};
use lichenpulley_core::usage::meter::UsageReport;
use speedy::{Readable, Writable};

/// A request to the owner of a shard of batch jobs. All requests are idempotent.
#[derive(Clone, Debug, Readable, Writable)]
pub enum BatchRequest {
    /// Submits a job.
    Submit(BatchJob),
    /// Reads results starting at a position; waits for the first if there is none yet.
    Read {
        /// The job's id.
        batch: BatchId,
        /// The first position to read.
        from: u64,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
        /// The calling tenant; `None` if callers need no key.
        caller: Option<TenantName>,
    },
    /// Reads the body of an item, which the results do not include.
    ItemBody {
        /// The job's id.
        batch: BatchId,
        /// The item's id.
        item: String,
        /// The calling tenant; `None` if callers need no key.
        caller: Option<TenantName>,
    },
    /// Ends a job.
    End {
        /// The job's id.
        batch: BatchId,
        /// The calling tenant; `None` if callers need no key.
        caller: Option<TenantName>,
    },
    /// Asks the receiver to take over from the departing sender. A sender that can't reach its stores includes the
    /// progress that is not committed.
    TakeOver(Option<ProgressOffer>),
    /// Reports the usage that a node has metered.
    Usage(UsageReport),
    /// Asks for the base latencies of replicas, given by their ids, as far as the owner has measured them.
    BaseLatencies(Vec<String>),
    /// Asks for the waiting work. A peer that can't decode it closes the connection, so it is sent on a connection of its
    /// own.
    Queue,
}

impl BatchRequest {
    /// Returns the job that is read or ended; `None` for other requests.
    pub const fn job(&self) -> Option<&BatchId> {
        match self {
            Self::Read { batch, .. } | Self::ItemBody { batch, .. } | Self::End { batch, .. } => Some(batch),
            Self::Submit(_) | Self::TakeOver(_) | Self::Usage(_) | Self::BaseLatencies(_) | Self::Queue => {
                None
            }
        }
    }
}

/// An item's result and id.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ListedResult {
    /// The item's id.
    pub item: String,
    /// The item's result.
    pub result: ItemResult,
}

/// The owner's response to a [`BatchRequest`].
#[derive(Clone, Debug, Readable, Writable)]
pub enum BatchResponse {
    /// The job is committed by a majority of stores.
    Taken,
    /// The owner's capacity is exhausted; no item of the job runs.
    Full,
    /// The id belongs to another tenant's job; no item of this job runs.
    IdTaken,
    /// Results of a job.
    Results {
        /// Number of items in the job.
        total: u64,
        /// The results, starting at the requested position.
        results: Vec<ListedResult>,
    },
    /// An item's body.
    Body(Vec<u8>),
    /// The job has ended.
    Ended,
    /// The usage report is committed by a majority of stores.
    UsageKept,
    /// The job or item does not exist.
    Unknown,
    /// The receiver does not own the shard; contains the presumed owner, if known.
    NotOwner(Option<NodeId>),
    /// The owner can't confirm its ownership now; the request had no effect.
    Unavailable,
    /// The log failed while the request was being replicated; it may or may not be committed.
    InDoubt,
    /// Base latencies in microseconds, in the order of the request; `None` for replicas that the owner has not
    /// measured. Replicas beyond the owner's limit are missing at the end.
    BaseLatencies(Vec<Option<u32>>),
    /// The waiting work.
    Queue(QueueReport),
}

/// The end of a job, which the receiver forwards to the owner too, so that it isn't lost if the sender fails.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct HoldEnd {
    /// The job's id.
    pub batch: BatchId,
    /// The tenant that ends the job; `None` if callers need no key.
    pub caller: Option<TenantName>,
}
