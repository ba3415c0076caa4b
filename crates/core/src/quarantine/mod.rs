//! Quarantines requests that crash replicas, as distinct from requests that merely ran on a replica when it
//! crashed.
//!
//! A request that crashes replicas may be retried under other ids and at other nodes. Nodes exchange reports of
//! the requests that ran on crashed replicas ([`CrashReport`]), and each derives the same [`Quarantine`] from
//! them. Once [`CRASHES_TO_QUARANTINE`] replicas have crashed under a request, it is sent to no replica.
//! [`CrashMonitor`] holds the observations of one node. The daemon supplies closed connections, the list of
//! replicas and the store for the reports. For the rationale, see docs/decisions/quarantine.md.
//!
//! Invariant: a request that has completed since the crashes, or completed recently, is not quarantined.

use std::time::Duration;

mod fingerprint;
mod monitor;
mod recent_requests;
mod report;
mod verdict;

pub use fingerprint::{Fingerprint, FingerprintError, RequestContent};
pub use monitor::{BreakCause, CrashMonitor, RunSender, SentRun};
pub use report::{CrashReport, MAX_REPORTED_REQUESTS, Suspect};
pub use verdict::{CRASHES_TO_QUARANTINE, Quarantine};

/// Time after which a quarantined request is let through once, at one node, so that a request quarantined by
/// coincidence is not refused forever.
pub const TRIAL_DELAY: Duration = Duration::from_secs(300);
