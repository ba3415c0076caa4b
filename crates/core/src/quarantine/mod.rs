//! Requests under which replicas end, told apart from those that only ran there.
//!
//! A request that ends each replica that runs it comes again under other ids and at other nodes. Nodes tell each other what ran
//! where a replica ended; each holds a request back once three replicas have ended under it.
//!
//! Invariant: a request that ran to an end since, or lately, is not held back.

use std::time::Duration;

mod fingerprint;
mod recent_requests;
mod report;
mod verdict;
mod watch;

pub use fingerprint::{Fingerprint, FingerprintError, RequestContent};
pub use report::{CrashReport, REPORTED_REQUESTS, Suspect};
pub use verdict::{CRASHES_TO_HOLD, Quarantine};
pub use watch::{BreakCause, CrashWatch, RunSender, SentRun};

/// A request that was quarantined for this long is let through once, at one node: one that met ending replicas by chance
/// is not refused for ever. Chosen, not measured: a shorter time lets a guilty request end replicas more often, a longer
/// one refuses an innocent one longer.
pub const TRIAL_AFTER: Duration = Duration::from_secs(300);
