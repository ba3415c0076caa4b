//! Load reports of engines, and the estimate of the current load from the last report.
//!
//! [`LoadEstimate`] corrects the last report of a replica by the requests that this node has sent and finished
//! since. Requests of other nodes appear only in the next report.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::WeightVersion;
use crate::time::Timestamp;

/// Whether an engine accepts new streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Accepts new streams.
    #[default]
    Serving,
    /// Finishes running streams and accepts no new ones.
    Draining,
}

/// An engine's report of its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Whether the engine accepts new streams.
    pub role: EngineRole,
    /// Number of running streams.
    pub running: u32,
    /// Number of queued streams.
    pub queued: u32,
    /// Maximum number of concurrent streams.
    pub capacity: u32,
    /// Tokens generated in the last second.
    pub tokens_per_second: u32,
    /// Version of the loaded weights; `None` during a swap, or after one failed partway.
    pub weight_version: Option<WeightVersion>,
    /// Incremented at each start of the engine; streams of earlier incarnations are lost.
    pub incarnation: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

impl LoadReport {
    /// Returns the age of the report when it was sent.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// Maximum number of this node's events kept since the last report; older ones count as included in it. Exceeds
/// what one node sends to a replica between two reports.
const MAX_OWN_EVENTS: usize = 256;

/// The last report of a replica, corrected by the requests this node has sent and finished since.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    report: Option<(Timestamp, LoadReport)>,
    sent: VecDeque<Timestamp>,
    finished: VecDeque<Timestamp>,
    in_flight: u32,
}

impl LoadEstimate {
    /// Records a report made at `taken_at`; one older than the last is ignored.
    pub fn observe(&mut self, taken_at: Timestamp, report: LoadReport) {
        if self.report.as_ref().is_some_and(|(last, _)| *last > taken_at) {
            return;
        }
        self.sent.retain(|sent_at| *sent_at > taken_at);
        self.finished.retain(|finished_at| *finished_at > taken_at);
        self.report = Some((taken_at, report));
    }

    /// Records a request sent to the replica.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.in_flight += 1;
        push_bounded(&mut self.sent, now);
    }

    /// Records the end of a request at the replica.
    pub fn record_finished(&mut self, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        push_bounded(&mut self.finished, now);
    }

    /// Returns the number of this node's requests in flight at the replica.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the last report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref().map(|(_, report)| report)
    }

    /// Returns the estimated number of running and queued streams at the replica.
    pub fn streams(&self) -> u32 {
        let Some(report) = self.report() else { return self.in_flight };
        let reported = report.running.saturating_add(report.queued);
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let finished = u32::try_from(self.finished.len()).unwrap_or(u32::MAX);
        reported.saturating_add(sent).saturating_sub(finished).max(self.in_flight)
    }

    /// Returns the maximum number of concurrent streams; `None` before the first report.
    pub fn capacity(&self) -> Option<u32> {
        self.report().map(|report| report.capacity.max(1))
    }
}

/// Returns the time `by` before a timestamp, saturating at the origin.
pub(super) fn earlier(timestamp: Timestamp, by: Duration) -> Timestamp {
    let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
    Timestamp::from_micros(timestamp.as_micros().saturating_sub(micros))
}

/// Appends an event and drops the oldest one when the queue is full.
fn push_bounded(events: &mut VecDeque<Timestamp>, now: Timestamp) {
    if events.len() == MAX_OWN_EVENTS {
        events.pop_front();
    }
    events.push_back(now);
}
