//! Which requests are quarantined: those under which replicas end, as distinct from those that only ran
//! there.
//!
//! A request that ends each replica that runs it comes again under other ids and at other nodes. Nodes report
//! to each other what ran where a replica ended ([`CrashReport`]); each comes to the same verdict
//! ([`Quarantine`]) and sends a request to no replica once [`CRASHES_TO_QUARANTINE`] replicas have ended under it.
//! [`CrashMonitor`] owns what one node observed. Relies on the daemon for connections that closed, the list of
//! replicas and the store that carries the reports. Reasons and what was weighed:
//! docs/decisions/quarantine.md.
//!
//! Invariant: a request that ran to an end since, or lately, is not quarantined.

use std::time::Duration;

mod fingerprint;
mod recent_requests;
mod report;
mod verdict;
mod watch;

pub use fingerprint::{Fingerprint, FingerprintError, RequestContent};
pub use report::{CrashReport, MAX_REPORTED_REQUESTS, Suspect};
pub use verdict::{CRASHES_TO_QUARANTINE, Quarantine};
pub use watch::{BreakCause, CrashMonitor, RunSender, SentRun};

/// A request that was quarantined for this long is let through once, at one node: one that met ending
/// replicas by chance is not refused for ever. Chosen, not measured: a shorter time lets a guilty request end
/// replicas more often, a longer one refuses an innocent one longer.
pub const TRIAL_DELAY: Duration = Duration::from_secs(300);
