//! Quarantine of requests that crash replicas.
//!
//! Senders of plain requests, streams and scores on this node trace their runs with a `TracedRun`; items are never
//! suspected.
//! `reporter` publishes the observed crashes to all nodes through the platform's metadata store. The handle
//! holds the crash monitor and the current quarantine; the policy is in the core's `quarantine`. Replicas and
//! reports of other nodes come from the node's metadata.

pub(crate) mod handle;
pub(crate) mod records;
mod reporter;
mod traced_run;

use std::sync::Arc;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::quarantine::{CrashMonitor, Fingerprint, Quarantine};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::operator::QuarantineReleased;

use self::handle::{QuarantineHandle, lock};
use crate::context::Context;
pub(crate) use reporter::begin_trial;
pub use reporter::start;
pub(crate) use traced_run::{TracedRun, refuses_connections};

impl QuarantineHandle {
    /// Applies a change to the crash monitor and publishes the resulting quarantine. `apply` returns whether
    /// it changed anything.
    fn update(&self, context: &Context, apply: impl FnOnce(&mut CrashMonitor, Timestamp) -> bool) {
        let now = self.now();
        let mut monitor = lock(&self.monitor);
        if !apply(&mut monitor, now) {
            return;
        }
        // Published under the lock, so that an older quarantine never replaces a newer one.
        let after = monitor.quarantine();
        let before = self.current.swap(Arc::new(after.clone()));
        self.changed.notify_one();
        if before.requests() != after.requests() {
            self.record_changes(context, &before, &after);
            // Wakes the owner of batch jobs, which may have to hold a score request.
            context.metadata.notify();
        }
    }

    /// Updates the start times and metrics, and records a decision for each request that entered or left the
    /// quarantine.
    fn record_changes(&self, context: &Context, before: &Quarantine, after: &Quarantine) {
        let mut quarantined_since = lock(&self.quarantined_since);
        quarantined_since.retain(|fingerprint, _| after.contains(fingerprint));
        for fingerprint in after.requests() {
            quarantined_since.entry(*fingerprint).or_insert_with(|| self.clock.now());
        }
        drop(quarantined_since);
        context.metrics.set_quarantined_requests(after.requests().len());
        for fingerprint in after.requests().difference(before.requests()) {
            let replicas: Vec<&str> = after.crashes(fingerprint).collect();
            let decision = Decision::new(Component::Request, "quarantined", "replicas_ended", fingerprint)
                .with("crashes", replicas.len())
                .with("replicas", replicas.join(","));
            context.decisions.record(decision);
        }
        for fingerprint in before.requests().difference(after.requests()) {
            let decision =
                Decision::new(Component::Request, "quarantine_ended", "cleared_or_over", fingerprint);
            context.decisions.record(decision);
        }
    }

    /// Releases a request from the quarantine on an operator's request. Returns `None` if no crash is
    /// attributed to it.
    pub fn release(&self, context: &Context, fingerprint: Fingerprint) -> Option<QuarantineReleased> {
        let mut is_released = false;
        self.update(context, |monitor, now| {
            is_released = monitor.release(&fingerprint, now);
            is_released
        });
        let released = QuarantineReleased { fingerprint: fingerprint.to_string() };
        is_released.then(|| {
            context.decisions.record(Decision::new(Component::Request, "released", "operator", fingerprint));
            released
        })
    }
}
