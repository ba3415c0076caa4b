//! What a node knows of requests under which replicas end, as its other parts reach it.
//!
//! Owns the watch of crashes, the verdict in force, and what waits to be written by `reporter`. Imports nothing of the
//! node's other parts but its clock; what also changes their state stands in the module above.

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

/// The most reports that wait to be written; the oldest of this node's own are dropped. Bounds the memory
/// while the store is away; fewer lose crashes.
pub(super) const OUTBOX_LIMIT: usize = 64;
/// The most quarantined requests that came again of which the records wait to be renewed.
const REPEATED_LIMIT: usize = 1_024;

/// What this node knows of requests under which replicas end.
#[derive(Debug)]
pub struct QuarantineHandle {
    pub(super) watch: Mutex<CrashMonitor>,
    pub(super) verdict: ArcSwap<Quarantine>,
    /// When this node came to quarantine each request, by `clock`.
    pub(super) held_since: Mutex<BTreeMap<Fingerprint, BootInstant>>,
    pub(super) clock: BootClock,
    /// Quarantined requests that came again.
    repeated: Mutex<BTreeSet<Fingerprint>>,
    /// Replicas of which it is being found out whether they ended: one connection for all runs that broke off
    /// there.
    probes: Mutex<HashMap<String, Weak<OnceCell<bool>>>>,
    /// Reports that peers could not write, for as long as this node spreads any.
    handed_over: Mutex<Option<VecDeque<KeepReport>>>,
    pub(super) changed: Notify,
    origin: Instant,
}

impl QuarantineHandle {
    /// Nothing is known yet; how long requests are held goes by this clock.
    pub fn new(clock: BootClock) -> Self {
        Self {
            clock,
            watch: Mutex::default(),
            verdict: ArcSwap::default(),
            held_since: Mutex::default(),
            repeated: Mutex::default(),
            probes: Mutex::default(),
            handed_over: Mutex::default(),
            changed: Notify::new(),
            origin: Instant::now(),
        }
    }

    /// Whether a request must reach no replica.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.verdict.load().contains(fingerprint)
    }

    /// What follows from all that this node knows.
    pub fn current(&self) -> Arc<Quarantine> {
        self.verdict.load_full()
    }

    /// A quarantined request has come again.
    pub(crate) fn record_repeat(&self, fingerprint: Fingerprint) {
        let mut repeated = lock(&self.repeated);
        if repeated.len() < REPEATED_LIMIT {
            repeated.insert(fingerprint);
        }
    }

    /// Takes a report that a peer could not write.
    pub(crate) fn accept_report(&self, request: KeepReport) -> KeepResponse {
        match &mut *lock(&self.handed_over) {
            Some(waiting) if waiting.len() < OUTBOX_LIMIT => waiting.push_back(request),
            Some(_) | None => return KeepResponse::Refused,
        }
        self.changed.notify_one();
        KeepResponse::Taken
    }

    pub(super) fn take_handed_over(&self) -> VecDeque<KeepReport> {
        // `None` before the first call: from then on reports of peers are taken.
        let mut waiting = lock(&self.handed_over);
        waiting.replace(VecDeque::new()).unwrap_or_default()
    }

    pub(super) fn take_repeated(&self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut lock(&self.repeated))
    }

    /// Whether a request was quarantined long enough to be let through once.
    pub(crate) fn is_trial_due(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.held_since).get(fingerprint).is_some_and(|since| self.clock.since(*since) >= TRIAL_DELAY)
    }

    /// The probe of a replica that is under way, or a new one.
    pub(super) fn probe_of(&self, replica: &str) -> Arc<OnceCell<bool>> {
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

    /// The requests that are held back, for operators.
    pub fn list(&self) -> Vec<QuarantinedRequest> {
        let verdict = self.verdict.load();
        let held_since = lock(&self.held_since);
        let status = |fingerprint: &Fingerprint| QuarantinedRequest {
            fingerprint: fingerprint.to_string(),
            replicas: verdict.crashes(fingerprint).map(str::to_owned).collect(),
            held_for_ms: held_since
                .get(fingerprint)
                .map_or(0, |since| whole_millis(self.clock.since(*since))),
        };
        verdict.requests().iter().map(status).collect()
    }
}

pub(super) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
