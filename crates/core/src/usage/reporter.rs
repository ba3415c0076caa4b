//! When a window of usage is closed, and when it is reported to the platform.
//!
//! Inputs: the time of day as most nodes have it (`true_time`), the length of a window and how long after its
//! end it is due, and what the account holds. A window is closed by a record, so that each holder of the duty
//! reports the same of it; it is reported until the platform has taken it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::account::{TenantCounts, UsageAccount, WindowCount};
use super::meter::UsageReport;
use super::true_time::TrueTime;
use super::window::{WallTime, WindowLength, WindowNumber};
use crate::identity::TenantName;
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// The part of the time until a window is due after which it is closed: counts of nodes that were cut off for
/// less come in time, and a takeover of some four seconds can pass before it is due. Chosen; later, and a
/// window is missed when all power is gone for a moment; earlier, and counts of nodes that were cut off are
/// lost.
const CLOSE_SHARE: f64 = 0.4;
/// Windows that are made up for after a long outage; earlier ones are too late by far. Chosen, not measured.
const MADE_UP_WINDOWS: u64 = 24;
/// The pause after calls in a row that the platform did not take. Chosen, not measured: shorter spends calls
/// on a platform that is away, longer reports a window late.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(300), Duration::from_secs(2));

/// What the platform asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReporterConfig {
    /// The length of a window.
    pub window: WindowLength,
    /// A window is due so long after its end.
    pub due_after: Duration,
}

/// Decides what is closed and reported. What must outlast it lies in the [`UsageAccount`].
#[derive(Clone, Debug)]
pub struct UsageReporter {
    config: ReporterConfig,
    time: TrueTime,
    /// Entries that are on their way into the account, by source.
    taking: HashMap<String, u64>,
    /// The window whose close is on its way into the account.
    closing: Option<WindowNumber>,
    /// The window that is being reported.
    reporting: Option<WindowNumber>,
    /// Windows that the platform took, until the account says so.
    reported: BTreeSet<WindowNumber>,
    /// The window of the last call: after one that was missed the next window has its turn, so that none
    /// keeps the others from being reported in time.
    last: Option<WindowNumber>,
    failures: u32,
    not_before: Timestamp,
}

impl UsageReporter {
    /// A reporter that has reported nothing.
    pub fn new(config: ReporterConfig) -> Self {
        Self {
            config,
            time: TrueTime::default(),
            taking: HashMap::new(),
            closing: None,
            reporting: None,
            reported: BTreeSet::new(),
            last: None,
            failures: 0,
            not_before: Timestamp::ORIGIN,
        }
    }

    /// This node's own clock.
    pub fn hear_own(&mut self, node: &str, wall: WallTime, now: Timestamp) {
        self.time.observe_clock(node, wall, now);
    }

    /// Takes a report: what it adds to the account, by window, or `None` where all of it is taken or on its
    /// way.
    pub fn take(
        &mut self,
        account: &UsageAccount,
        report: &UsageReport,
        now: Timestamp,
    ) -> Option<Vec<WindowCount>> {
        self.time.observe_clock(&report.source, report.sent_at, now);
        let taking = self.taking.get(&report.source).copied().unwrap_or(0);
        let taken = account.through(&report.source).max(taking);
        if report.through() <= taken {
            return None;
        }
        let known = usize::try_from(taken.saturating_sub(report.first)).unwrap_or(usize::MAX);
        let mut counts: BTreeMap<(WindowNumber, TenantName), u64> = BTreeMap::new();
        for entry in report.entries.iter().skip(known) {
            let began = report.sent_at.before(Duration::from_millis(entry.age_ms));
            let window = self.config.window.window_at(self.time.corrected(&report.source, began));
            *counts.entry((window, entry.tenant.clone())).or_default() += 1;
        }
        self.taking.insert(report.source.clone(), report.through());
        let counts = counts.into_iter();
        Some(counts.map(|((window, tenant), requests)| WindowCount { window, tenant, requests }).collect())
    }

    /// The next window to close, where one is due. Each is closed by itself, also one without a count.
    pub fn close_next(&mut self, account: &UsageAccount, now: Timestamp) -> Option<WindowNumber> {
        let time = self.time.now(now)?;
        let current = self.config.window.window_at(time);
        // Before any was closed, the window that is open now is the first that can be counted whole.
        let before = WindowNumber(current.0.saturating_sub(1));
        let last = account.closed_through().max(self.closing).unwrap_or(before);
        self.closing = Some(last);
        let next = last.next().max(WindowNumber(current.0.saturating_sub(MADE_UP_WINDOWS)));
        let closes_at = self.config.window.end_of(next).after(self.config.due_after.mul_f64(CLOSE_SHARE));
        if time < closes_at {
            return None;
        }
        self.closing = Some(next);
        Some(next)
    }

    /// The closed window to report now, where one waits and none is being reported.
    pub fn next_unreported<'a>(
        &mut self,
        account: &'a UsageAccount,
        now: Timestamp,
    ) -> Option<(WindowNumber, &'a TenantCounts)> {
        if self.reporting.is_some() || now < self.not_before {
            return None;
        }
        self.reported.retain(|window| account.closed().contains_key(window));
        let unreported = || account.closed().iter().filter(|(window, _)| !self.reported.contains(window));
        let next =
            unreported().find(|(window, _)| Some(**window) > self.last).or_else(|| unreported().next());
        let (window, counts) = next?;
        self.reporting = Some(*window);
        self.last = Some(*window);
        Some((*window, counts))
    }

    /// The call that reported a window has ended; whether the platform took it.
    pub fn report_answered(&mut self, window: WindowNumber, is_taken: bool, now: Timestamp) {
        if self.reporting == Some(window) {
            self.reporting = None;
        }
        if is_taken {
            self.reported.insert(window);
            self.failures = 0;
        } else {
            self.failures += 1;
            self.not_before = now + RETRY_BACKOFF.pause(self.failures);
        }
    }
}
