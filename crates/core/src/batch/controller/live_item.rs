//! In-memory state of an open item, in addition to its state in the ledger.

use std::time::Duration;

use super::RunId;
use crate::batch::job::OutputEvent;
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Delay before an item is started again after its second consecutive run that broke; the first one is resumed at once.
/// Bounds how fast an item can crash replicas. The limit leaves time to place an item within 5 s once they stop crashing.
const BROKEN_RUN_BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
/// Time after which a run that breaks is no longer taken to follow from the ones before it.
const UNRELATED_RUN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of replicas kept as broken for an item; the oldest are dropped.
const MAX_BROKEN_REPLICAS: usize = 16;

/// Processing stage of an item that is not listed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ItemStage {
    /// Its text is being generated, or waits to be.
    #[default]
    Generating,
    /// Its complete text is being written to the log.
    Persisting,
    /// Its complete text is committed and being scored.
    Scoring,
    /// Its result is being written to the log.
    Listing,
}

/// In-memory state of an open item, in addition to its state in the ledger.
#[derive(Default)]
pub(super) struct LiveItem {
    pub(super) run: Option<RunId>,
    /// All events received, including those in the ledger.
    pub(super) events: Vec<OutputEvent>,
    /// Number of `events` that were appended to the log, committed or not.
    pub(super) written: usize,
    /// Whether the text was restarted after events had been appended, so that these are not a prefix of
    /// `events`.
    pub(super) is_restarted: bool,
    pub(super) written_at: Timestamp,
    pub(super) failures: u32,
    /// Total time of the runs that have ended.
    pub(super) ran: Duration,
    /// Whether events were received before this owner ran the item, so that `ran` is not the time of its whole text.
    pub(super) has_earlier_events: bool,
    /// When its text was complete.
    pub(super) completed_at: Option<Timestamp>,
    /// The replica to avoid, because the last run there ended early or was slow.
    pub(super) avoid: Option<String>,
    pub(super) stage: ItemStage,
    pub(super) score_failures: u32,
    /// Replicas at which runs broke, oldest first.
    pub(super) broke_at: Vec<String>,
    /// Number of consecutive runs that broke soon.
    pub(super) broken_runs: u32,
    /// The item is not started before this time.
    pub(super) not_before: Timestamp,
}

impl LiveItem {
    /// Returns whether the item waits to be started.
    pub(super) fn is_waiting(&self) -> bool {
        self.run.is_none() && self.stage == ItemStage::Generating
    }

    /// Returns whether the item was started before, by this owner or an earlier one.
    pub(super) fn was_started(&self) -> bool {
        let has_run = self.run.is_some() || !self.ran.is_zero() || self.failures > 0;
        has_run || !self.events.is_empty() || self.stage != ItemStage::Generating
    }

    /// Records that a run at `replica` broke after `run_time`. Another replica is preferred from now on, and the next
    /// start is delayed if the run before broke as well.
    pub(super) fn record_broken_run(&mut self, replica: String, run_time: Duration, now: Timestamp) {
        if run_time >= UNRELATED_RUN_TIME {
            self.broken_runs = 0;
        }
        self.not_before = now + BROKEN_RUN_BACKOFF.pause(self.broken_runs);
        self.broken_runs = self.broken_runs.saturating_add(1);
        self.broke_at.retain(|earlier| *earlier != replica);
        if self.broke_at.len() >= MAX_BROKEN_REPLICAS {
            self.broke_at.remove(0);
        }
        self.broke_at.push(replica.clone());
        self.avoid = Some(replica);
    }

    /// Returns the events that were not appended yet and counts them as appended.
    pub(super) fn take_unwritten(&mut self) -> Vec<OutputEvent> {
        let events = self.events[self.written..].to_vec();
        self.written = self.events.len();
        events
    }

    /// Returns whether there are events that were not appended yet and continue those that were.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.is_restarted && self.written < self.events.len()
    }

    /// Discards all events, so that the text starts from the beginning.
    pub(super) fn restart(&mut self) {
        self.events.clear();
        self.is_restarted |= self.written > 0;
        self.written = 0;
    }
}
