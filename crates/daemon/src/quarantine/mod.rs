//! Requests under which replicas end: what this node saw of them, and which reach no replica any more.
//!
//! Every sender of this node, for plain requests, streams, items and scores, follows its runs by a `TracedRun`; what they
//! amount to is told to all nodes through the platform's metadata store.

mod records;
mod spread;
mod traced_run;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use arc_swap::ArcSwap;
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::quarantine::{CrashWatch, Fingerprint, Quarantine, TRIAL_AFTER};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::{KeepReport, KeepResponse};
use lichenpulley_protocol::operator::{QuarantineReleased, QuarantinedRequest};
use tokio::sync::{Notify, OnceCell};
use tokio::time::Instant;

use crate::boot_clock::{BootClock, BootInstant};
use crate::context::Context;
pub(crate) use records::QuarantineRecords;
pub(crate) use spread::begin_trial;
pub use spread::start;
pub(crate) use traced_run::TracedRun;

/// Reports that wait to be written at most; the oldest of this node's own give way.
const OUTBOX_LIMIT: usize = 64;
/// Held requests that came again which are kept until they are told.
const SEEN_LIMIT: usize = 1_024;

/// What this node knows of requests under which replicas end.
#[derive(Debug)]
pub struct QuarantineHandle {
    watch: Mutex<CrashWatch>,
    verdict: ArcSwap<Quarantine>,
    /// When this node learnt that a request is to be held, by `clock`.
    held_since: Mutex<BTreeMap<Fingerprint, BootInstant>>,
    clock: BootClock,
    /// Held requests that came again.
    seen: Mutex<BTreeSet<Fingerprint>>,
    /// Replicas of which it is being found out whether they ended: one connection for all runs that broke off there.
    probes: Mutex<HashMap<String, Weak<OnceCell<bool>>>>,
    /// Reports that peers could not write, for as long as this node spreads any.
    handed_over: Mutex<Option<VecDeque<KeepReport>>>,
    changed: Notify,
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
            seen: Mutex::default(),
            probes: Mutex::default(),
            handed_over: Mutex::default(),
            changed: Notify::new(),
            origin: Instant::now(),
        }
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl QuarantineHandle {
    /// Whether a request must reach no replica.
    pub fn holds(&self, fingerprint: &Fingerprint) -> bool {
        self.verdict.load().holds(fingerprint)
    }

    /// What follows from all that this node knows.
    pub fn verdict(&self) -> Arc<Quarantine> {
        self.verdict.load_full()
    }

    /// A request that is held back has come again.
    pub(crate) fn saw(&self, fingerprint: Fingerprint) {
        let mut seen = lock(&self.seen);
        if seen.len() < SEEN_LIMIT {
            seen.insert(fingerprint);
        }
    }

    /// Takes a report that a peer could not write.
    pub(crate) fn keep(&self, request: KeepReport) -> KeepResponse {
        match &mut *lock(&self.handed_over) {
            Some(waiting) if waiting.len() < OUTBOX_LIMIT => waiting.push_back(request),
            Some(_) | None => return KeepResponse::Refused,
        }
        self.changed.notify_one();
        KeepResponse::Taken
    }

    fn take_handed_over(&self) -> VecDeque<KeepReport> {
        let mut waiting = lock(&self.handed_over);
        waiting.replace(VecDeque::new()).unwrap_or_default()
    }

    fn take_seen(&self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut lock(&self.seen))
    }

    /// Whether a request was held back for so long that it may be let through once.
    pub(crate) fn is_trial_due(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.held_since).get(fingerprint).is_some_and(|since| self.clock.since(*since) >= TRIAL_AFTER)
    }

    /// The probe of a replica that is under way, or a new one.
    fn probe_of(&self, replica: &str) -> Arc<OnceCell<bool>> {
        let mut probes = lock(&self.probes);
        if let Some(probe) = probes.get(replica).and_then(Weak::upgrade) {
            return probe;
        }
        probes.retain(|_, probe| probe.strong_count() > 0);
        let probe = Arc::default();
        probes.insert(replica.to_owned(), Arc::downgrade(&probe));
        probe
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Takes what is new, and puts what follows from it into force.
    fn update(&self, context: &Context, take: impl FnOnce(&mut CrashWatch, Timestamp) -> bool) {
        let now = self.now();
        let mut watch = lock(&self.watch);
        if !take(&mut watch, now) {
            return;
        }
        // All under the lock, so that a later verdict is never replaced by an earlier one.
        let after = watch.judge();
        let before = self.verdict.swap(Arc::new(after.clone()));
        self.changed.notify_one();
        if before.held() != after.held() {
            self.show(context, &before, &after);
            // The owner of batch jobs may have an item to hold.
            context.metadata.notify();
        }
    }

    fn show(&self, context: &Context, before: &Quarantine, after: &Quarantine) {
        let mut held_since = lock(&self.held_since);
        held_since.retain(|fingerprint, _| after.holds(fingerprint));
        for fingerprint in after.held() {
            held_since.entry(*fingerprint).or_insert_with(|| self.clock.now());
        }
        drop(held_since);
        context.metrics.set_quarantined_requests(after.held().len());
        for fingerprint in after.held().difference(before.held()) {
            let replicas: Vec<&str> = after.crashes(fingerprint).collect();
            let decision = Decision::new(Component::Request, "quarantined", "replicas_ended", fingerprint)
                .with("crashes", replicas.len())
                .with("replicas", replicas.join(","));
            context.decisions.record(decision);
        }
        for fingerprint in before.held().difference(after.held()) {
            let decision =
                Decision::new(Component::Request, "quarantine_ended", "cleared_or_over", fingerprint);
            context.decisions.record(decision);
        }
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
                .map_or(0, |since| u64::try_from(self.clock.since(*since).as_millis()).unwrap_or(u64::MAX)),
        };
        verdict.held().iter().map(status).collect()
    }

    /// Lets a request through again, as an operator asked; `None` where no replica ended under it.
    pub fn release(&self, context: &Context, fingerprint: Fingerprint) -> Option<QuarantineReleased> {
        let mut is_released = false;
        self.update(context, |watch, now| {
            is_released = watch.release(&fingerprint, now);
            is_released
        });
        let released = QuarantineReleased { fingerprint: fingerprint.to_string() };
        is_released.then(|| {
            context.decisions.record(Decision::new(Component::Request, "released", "operator", fingerprint));
            released
        })
    }
}
