//! What an engine reports about itself, and what of it still holds some time later.
//!
//! Owns the last report of one replica and the sends and ends of this node since the report's figures were
//! taken. Other nodes' requests show only in the next report.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::WeightVersion;
use crate::time::Timestamp;

/// What an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Takes new streams.
    #[default]
    Serving,
    /// Finishes what runs and takes nothing new.
    Draining,
}

/// An engine's load, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// What the engine does.
    pub role: EngineRole,
    /// Streams generating now.
    pub running: u32,
    /// Streams waiting.
    pub queued: u32,
    /// Streams that it can run at once.
    pub capacity: u32,
    /// Tokens generated in the last second.
    pub tokens_per_second: u32,
    /// The loaded weights; `None` while a swap runs or after one failed partway.
    pub weight_version: Option<WeightVersion>,
    /// Goes up each time the engine starts; streams of an earlier incarnation are gone.
    pub incarnation: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
}

impl LoadReport {
    /// Age of the figures when they were sent.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// The most events of this node that are remembered against a lagging report; beyond it the oldest count as
/// reported. Chosen, not measured: bounds the memory, and is more than one node sends to a replica between
/// two reports.
const OWN_EVENTS: usize = 256;

/// The last report of a replica, corrected by what this node itself has sent and finished since.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    report: Option<(Timestamp, LoadReport)>,
    sent: VecDeque<Timestamp>,
    finished: VecDeque<Timestamp>,
    in_flight: u32,
}

impl LoadEstimate {
    /// Takes a report whose figures stood at `taken_at`; an older one than the last is dropped.
    pub fn observe(&mut self, taken_at: Timestamp, report: LoadReport) {
        if self.report.as_ref().is_some_and(|(last, _)| *last > taken_at) {
            return;
        }
        self.sent.retain(|sent_at| *sent_at > taken_at);
        self.finished.retain(|finished_at| *finished_at > taken_at);
        self.report = Some((taken_at, report));
    }

    /// Notes a request sent to the replica.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.in_flight += 1;
        remember(&mut self.sent, now);
    }

    /// Notes that a request sent to the replica is over.
    pub fn record_finished(&mut self, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        remember(&mut self.finished, now);
    }

    /// Requests of this node at the replica.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The last report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref().map(|(_, report)| report)
    }

    /// Streams at the replica, running or waiting, as far as this node can tell.
    pub fn streams(&self) -> u32 {
        let Some(report) = self.report() else { return self.in_flight };
        let reported = report.running.saturating_add(report.queued);
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let finished = u32::try_from(self.finished.len()).unwrap_or(u32::MAX);
        reported.saturating_add(sent).saturating_sub(finished).max(self.in_flight)
    }

    /// Streams that the replica can run at once; `None` before the first report.
    pub fn capacity(&self) -> Option<u32> {
        self.report().map(|report| report.capacity.max(1))
    }
}

/// The time `by` before a timestamp, at the earliest the origin.
pub(super) fn earlier(timestamp: Timestamp, by: Duration) -> Timestamp {
    let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
    Timestamp::from_micros(timestamp.as_micros().saturating_sub(micros))
}

fn remember(events: &mut VecDeque<Timestamp>, now: Timestamp) {
    if events.len() == OWN_EVENTS {
        events.pop_front();
    }
    events.push_back(now);
}
