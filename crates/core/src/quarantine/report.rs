//! The reports on crashed replicas that nodes exchange. They are stored data: the order of fields is fixed.

use speedy::{Readable, Writable};

use super::Fingerprint;

/// Maximum number of requests in one report; exceeds what one node runs on a replica at a time, so that the
/// request that caused the crash is not omitted.
pub const MAX_REPORTED_REQUESTS: usize = 64;

/// The requests that one node had running on a replica when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CrashReport {
    /// The incarnation of the replica that crashed.
    pub replica: String,
    /// Requests that ran there at the crash and have not completed anywhere since.
    pub suspects: Vec<Suspect>,
    /// Requests of earlier reports that have completed since or that an operator released: they did not cause
    /// the crash.
    pub cleared: Vec<Fingerprint>,
}

/// A request that ran on a replica when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether the node already knew of a crash under this request when it started this run.
    pub is_repeated: bool,
}
