//! Load as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::LoadReport;

/// The window in which tokens are counted for the reported rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How old load reports are. Chosen, not measured: a router must not take a report for the present.
const LOAD_LAG: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct Counts {
    at: Timestamp,
    running: u32,
    queued: u32,
}

/// Counts over the last moments, so that a report can lag.
#[derive(Debug, Default)]
pub struct LoadHistory {
    counts: VecDeque<Counts>,
    tokens: VecDeque<(Timestamp, u32)>,
    tokens_in_window: u32,
}

impl LoadHistory {
    /// Records the counts from `now` on.
    pub fn record(&mut self, now: Timestamp, running: u32, queued: u32) {
        let counts = Counts { at: now, running, queued };
        match self.counts.back_mut() {
            Some(last) if last.at == now => *last = counts,
            _ => self.counts.push_back(counts),
        }
        while self.counts.get(1).is_some_and(|second| second.at + LOAD_LAG <= now) {
            self.counts.pop_front();
        }
    }

    /// Records tokens generated at `now`.
    pub fn count_tokens(&mut self, now: Timestamp, tokens: u32) {
        self.tokens.push_back((now, tokens));
        self.tokens_in_window += tokens;
        while let Some((at, count)) = self.tokens.front()
            && *at + RATE_WINDOW <= now
        {
            self.tokens_in_window -= count;
            self.tokens.pop_front();
        }
    }

    /// Tokens in the second before `now`.
    pub fn tokens_in_last_second(&self, now: Timestamp) -> u32 {
        let recent = self.tokens.back().is_some_and(|(at, _)| *at + RATE_WINDOW > now);
        if recent { self.tokens_in_window } else { 0 }
    }

    /// `present` with the running and queued counts that held one lag ago.
    pub fn lagging(&self, now: Timestamp, present: LoadReport) -> LoadReport {
        let then = self.counts.iter().rev().find(|counts| counts.at + LOAD_LAG <= now);
        let (running, queued) = then.map_or((0, 0), |counts| (counts.running, counts.queued));
        let age_ms = LOAD_LAG.as_millis() as u64;
        LoadReport { running, queued, age_ms, ..present }
    }
}
