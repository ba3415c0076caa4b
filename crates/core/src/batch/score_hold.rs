//! Holds back quarantined score requests until replicas stop crashing under them.
//!
//! The item of a score request is owed, so a request is never held for good: after a time without a crash it is sent
//! once as a trial, and again with growing delay as long as its trials break.

use std::collections::BTreeMap;
use std::time::Duration;

use super::score_plan::ScoreId;
use crate::quarantine::{Fingerprint, Quarantine};
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Time without a crash after which a quarantined score request is sent once, doubled after each trial that breaks. The
/// first exceeds the time in which a burst of crashes becomes known to all nodes; the last bounds how late a sound
/// request is scored and how many replicas a harmful one can crash.
const TRIAL_BACKOFF: Backoff = Backoff::new(Duration::from_secs(6), Duration::from_secs(60));

/// A quarantined score request.
#[derive(Debug)]
struct HeldRequest {
    /// Number of times it broke since it was quarantined.
    breaks: u32,
    next_trial_at: Timestamp,
    trial: Option<ScoreId>,
}

/// The quarantined score requests that are waiting or being tried.
#[derive(Debug, Default)]
pub(super) struct ScoreHold {
    held: BTreeMap<Fingerprint, HeldRequest>,
}

impl ScoreHold {
    /// Forgets the requests that are no longer quarantined.
    pub(super) fn retain(&mut self, quarantine: &Quarantine) {
        self.held.retain(|fingerprint, _| quarantine.contains(fingerprint));
    }

    /// Returns whether a quarantined request may be sent once. `is_active` tells whether an attempt is in progress.
    pub(super) fn is_trial_due(
        &mut self,
        fingerprint: Fingerprint,
        is_active: impl Fn(&ScoreId) -> bool,
        now: Timestamp,
    ) -> bool {
        let held = self.held.entry(fingerprint).or_insert_with(|| HeldRequest {
            breaks: 0,
            next_trial_at: now + TRIAL_BACKOFF.pause(1),
            trial: None,
        });
        now >= held.next_trial_at && !held.trial.as_ref().is_some_and(is_active)
    }

    /// Records that a quarantined request was sent.
    pub(super) fn begin_trial(&mut self, fingerprint: &Fingerprint, id: ScoreId) {
        if let Some(held) = self.held.get_mut(fingerprint) {
            held.trial = Some(id);
        }
    }

    /// Records that an attempt broke. `fingerprint` is computed only while requests are held.
    pub(super) fn record_broken(&mut self, fingerprint: impl FnOnce() -> Fingerprint, now: Timestamp) {
        if self.held.is_empty() {
            return;
        }
        if let Some(held) = self.held.get_mut(&fingerprint()) {
            held.breaks = held.breaks.saturating_add(1);
            held.next_trial_at = now + TRIAL_BACKOFF.pause(held.breaks.saturating_add(1));
        }
    }
}
