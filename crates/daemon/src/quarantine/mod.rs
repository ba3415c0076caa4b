//! Requests under which replicas end: what this node observed of them, and which are quarantined.
//!
//! Every sender of this node, for plain requests, streams, items and scores, follows its runs by a
//! `TracedRun`; the crashes that follow are reported to all nodes through the platform's metadata store by
//! `reporter`. The watch and the verdict in force are the handle's; the rules stand in the core's `quarantine`. Relies
//! on the node's metadata for replicas and reports.

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
pub(crate) use traced_run::TracedRun;

impl QuarantineHandle {
    /// Changes the watch by `take`, and puts the verdict that follows into force.
    fn update(&self, context: &Context, take: impl FnOnce(&mut CrashMonitor, Timestamp) -> bool) {
        let now = self.now();
        let mut watch = lock(&self.watch);
        if !take(&mut watch, now) {
            return;
        }
        // All under the lock, so that a later verdict is never replaced by an earlier one.
        let after = watch.quarantine();
        let before = self.verdict.swap(Arc::new(after.clone()));
        self.changed.notify_one();
        if before.requests() != after.requests() {
            self.show(context, &before, &after);
            // The owner of batch jobs may have an item to hold.
            context.metadata.notify();
        }
    }

    fn show(&self, context: &Context, before: &Quarantine, after: &Quarantine) {
        let mut held_since = lock(&self.held_since);
        held_since.retain(|fingerprint, _| after.contains(fingerprint));
        for fingerprint in after.requests() {
            held_since.entry(*fingerprint).or_insert_with(|| self.clock.now());
        }
        drop(held_since);
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
