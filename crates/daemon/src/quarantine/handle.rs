//! State of the quarantine on this node, shared with its other parts.
//!
//! Holds the crash monitor, the current quarantine and the data that `reporter` has yet to write. Depends on
//! no other part of the node but its clock; updates that also change other parts are in the parent module.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use arc_swap::ArcSwap;
use lichenpulley_core::quarantine::{CrashMonitor, Fingerprint, Quarantine, TRIAL_DELAY};
use lichenpulley_core::time::{Timestamp, whole_millis};
use lichenpulley_protocol::internal::{KeepReport, KeepResponse};
use lichenpulley_protocol::operator::QuarantinedRequest;
use tokio::sync::{Notify, OnceCell};
use tokio::time::Instant;

use crate::boot_clock::{BootClock, BootInstant};

/// Maximum number of reports that wait to be written. The oldest are dropped, and further reports of peers
/// are refused.
pub(super) const MAX_OUTBOX_REPORTS: usize = 64;
/// Maximum number of repeated quarantined requests whose records wait to be renewed.
const MAX_REPEATED_REQUESTS: usize = 1_024;

/// State of the quarantine on this node.
#[derive(Debug)]
pub struct QuarantineHandle {
    pub(super) monitor: Mutex<CrashMonitor>,
    pub(super) current: ArcSwap<Quarantine>,
    /// When this node put each request into quarantine, by `clock`.
    pub(super) quarantined_since: Mutex<BTreeMap<Fingerprint, BootInstant>>,
    pub(super) clock: BootClock,
    /// Quarantined requests that were received again.
    repeated: Mutex<BTreeSet<Fingerprint>>,
    /// Probes in progress by replica, so that all runs that broke at a replica share one probe connection.
    /// The result tells whether the replica refuses connections.
    probes: Mutex<HashMap<String, Weak<OnceCell<bool>>>>,
    /// Reports handed over by peers that could not write them. `None` until this node's reporter runs.
    handed_over: Mutex<Option<VecDeque<KeepReport>>>,
    pub(super) changed: Notify,
    origin: Instant,
}

impl QuarantineHandle {
    /// Creates an empty quarantine that measures durations by `clock`.
    pub fn new(clock: BootClock) -> Self {
        Self {
            clock,
            monitor: Mutex::default(),
            current: ArcSwap::default(),
            quarantined_since: Mutex::default(),
            repeated: Mutex::default(),
            probes: Mutex::default(),
            handed_over: Mutex::default(),
            changed: Notify::new(),
            origin: Instant::now(),
        }
    }

    /// Whether a request is quarantined.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.current.load().contains(fingerprint)
    }

    /// Returns the current quarantine.
    pub fn current(&self) -> Arc<Quarantine> {
        self.current.load_full()
    }

    /// Records that a quarantined request was received again.
    pub(crate) fn record_repeat(&self, fingerprint: Fingerprint) {
        let mut repeated = lock(&self.repeated);
        if repeated.len() < MAX_REPEATED_REQUESTS {
            repeated.insert(fingerprint);
        }
    }

    /// Accepts a report that a peer could not write, if this node has room for it.
    pub(crate) fn accept_report(&self, request: KeepReport) -> KeepResponse {
        match &mut *lock(&self.handed_over) {
            Some(waiting) if waiting.len() < MAX_OUTBOX_REPORTS => waiting.push_back(request),
            Some(_) | None => return KeepResponse::Refused,
        }
        self.changed.notify_one();
        KeepResponse::Taken
    }

    pub(super) fn take_handed_over(&self) -> VecDeque<KeepReport> {
        // The first call replaces `None`; from then on, reports of peers are accepted.
        let mut waiting = lock(&self.handed_over);
        waiting.replace(VecDeque::new()).unwrap_or_default()
    }

    pub(super) fn take_repeated(&self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut lock(&self.repeated))
    }

    /// Whether a request was quarantined long enough to be sent once as a trial.
    pub(crate) fn is_trial_due(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.quarantined_since)
            .get(fingerprint)
            .is_some_and(|since| self.clock.since(*since) >= TRIAL_DELAY)
    }

    /// Returns the probe in progress for a replica, or a new one.
    pub(super) fn probe_for(&self, replica: &str) -> Arc<OnceCell<bool>> {
        let mut probes = lock(&self.probes);
        if let Some(probe) = probes.get(replica).and_then(Weak::upgrade) {
            return probe;
        }
        probes.retain(|_, probe| probe.strong_count() > 0);
        let probe = Arc::default();
        probes.insert(replica.to_owned(), Arc::downgrade(&probe));
        probe
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Lists the quarantined requests for operators.
    pub fn list(&self) -> Vec<QuarantinedRequest> {
        let current = self.current.load();
        let quarantined_since = lock(&self.quarantined_since);
        let status = |fingerprint: &Fingerprint| QuarantinedRequest {
            fingerprint: fingerprint.to_string(),
            replicas: current.crashes(fingerprint).map(str::to_owned).collect(),
            held_for_ms: quarantined_since
                .get(fingerprint)
                .map_or(0, |since| whole_millis(self.clock.since(*since))),
        };
        current.requests().iter().map(status).collect()
    }
}

pub(super) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
