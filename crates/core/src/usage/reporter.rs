//! When a window of usage is closed, and when it is reported to the platform.
//!
//! Inputs: the time of day as most nodes have it (`median_clock`), the length of a window and how long after its
//! end it is due, and what the account holds. A window is closed by a record, so that each holder of the duty
//! reports the same of it; it is reported until the platform has taken it.
//!
//! What comes after its window was closed is counted in the first one that is still open: whoever bills by
//! the reports gets each request once, some of them a window or two later. The window is chosen before the
//! record is written, so that every node, also one of an older release, reads the same out of the log.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::account::{SOURCE_WINDOWS, TenantCounts, UsageAccount, WindowCount};
use super::median_clock::MedianClock;
use super::meter::UsageReport;
use super::window::{WallTime, WindowLength, WindowNumber};
use crate::identity::TenantName;
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// The part of the time until a window is due after which it is closed: counts of nodes that were cut off for
/// less come in time, and a takeover of some four seconds can pass before it is due. Later, and a window is
/// missed when all power is gone for a moment; earlier, and more counts come after their window.
const CLOSE_SHARE: f64 = 0.4;
/// A new holder closes nothing for this time, unless a window would be due meanwhile: nodes find the holder,
/// give up calls to the one before, and report what they held.
const REPORT_WAIT: Duration = Duration::from_millis(2_500);
/// The time for a call and its repetition before a window is due.
const TELL_TIME: Duration = Duration::from_secs(2);
/// Windows that are made up for after a long outage; earlier ones are too late by far.
const MADE_UP_WINDOWS: u64 = 24;
/// Counts that come so many windows after theirs was closed are left out: they may be repeated by a source
/// that the account has forgotten. Half as many as it remembers, so that a clock that is set between two
/// reports makes no difference.
const LATE_WINDOWS: u64 = SOURCE_WINDOWS / 2;
/// The pause after calls in a row that the platform did not take: shorter spends calls on a platform that is
/// away, longer reports a window late.
const TELL_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(300), Duration::from_secs(2));

/// What the platform asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReporterConfig {
    /// The length of a window.
    pub window: WindowLength,
    /// A window is due so long after its end.
    pub due_after: Duration,
}

/// What a report adds to the account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportDelta {
    /// Requests by the window in which they are counted, and by tenant.
    pub counts: Vec<WindowCount>,
    /// Requests among them whose own window was closed before the report came.
    pub late: u64,
    /// Requests that came too late to be counted in any window.
    pub discarded: u64,
}

/// Decides what is closed and reported. What must outlast it lies in the [`UsageAccount`].
#[derive(Clone, Debug)]
pub struct UsageReporter {
    config: ReporterConfig,
    time: MedianClock,
    /// Entries that are on their way into the account, by source.
    taking: HashMap<String, u64>,
    /// The last window whose close is on its way into the account.
    closing: Option<WindowNumber>,
    /// When this holder first looked for windows to close, and the window that was open then.
    began: Option<(Timestamp, WindowNumber)>,
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
            time: MedianClock::default(),
            taking: HashMap::new(),
            closing: None,
            began: None,
            reporting: None,
            reported: BTreeSet::new(),
            last: None,
            failures: 0,
            not_before: Timestamp::ORIGIN,
        }
    }

    /// This node's own clock.
    pub fn observe_own_clock(&mut self, node: &str, wall: WallTime, now: Timestamp) {
        self.time.observe_clock(node, wall, now);
    }

    /// Takes a report: what it adds to the account, by window, or `None` where all of it is taken or on its
    /// way.
    pub fn accept(
        &mut self,
        account: &UsageAccount,
        report: &UsageReport,
        now: Timestamp,
    ) -> Option<ReportDelta> {
        self.time.observe_clock(&report.source, report.sent_at, now);
        let taking = self.taking.get(&report.source).copied().unwrap_or(0);
        let taken = account.through(&report.source).max(taking);
        if report.through() <= taken {
            return None;
        }
        let known = usize::try_from(taken.saturating_sub(report.first)).unwrap_or(usize::MAX);
        let closed = account.closed_through().max(self.closing);
        let mut added = ReportDelta::default();
        let mut counts: BTreeMap<(WindowNumber, TenantName), u64> = BTreeMap::new();
        for entry in report.entries.iter().skip(known) {
            let began = report.sent_at.before(Duration::from_millis(entry.age_ms));
            let own = self.config.window.window_at(self.time.corrected(&report.source, began));
            let window = match closed {
                Some(closed) if own.0 + LATE_WINDOWS < closed.0 => {
                    added.discarded += 1;
                    continue;
                }
                Some(closed) if own <= closed => {
                    added.late += 1;
                    closed.next()
                }
                _ => own,
            };
            *counts.entry((window, entry.tenant.clone())).or_default() += 1;
        }
        self.taking.insert(report.source.clone(), report.through());
        let count = |((window, tenant), requests)| WindowCount { window, tenant, requests };
        added.counts = counts.into_iter().map(count).collect();
        Some(added)
    }

    /// The next window to close, where one is due. Each is closed by itself, also one without a count.
    pub fn close_next(&mut self, account: &UsageAccount, now: Timestamp) -> Option<WindowNumber> {
        let time = self.time.now(now)?;
        let current = self.config.window.window_at(time);
        let (began_at, first) = *self.began.get_or_insert((now, current));
        // Before any was closed, the window that was open first is the first that can be counted whole.
        let next = account.closed_through().max(self.closing).map_or(first, WindowNumber::next);
        let next = next.max(WindowNumber(current.0.saturating_sub(MADE_UP_WINDOWS)));
        let is_settled = now.saturating_since(began_at) >= REPORT_WAIT;
        if time < self.closes_at(next) || !(is_settled || self.is_nearly_due(next, time)) {
            return None;
        }
        self.closing = Some(next);
        Some(next)
    }

    fn closes_at(&self, window: WindowNumber) -> WallTime {
        self.config.window.end_of(window).after(self.config.due_after.mul_f64(CLOSE_SHARE))
    }

    /// Whether a window is due soon. One that is overdue gains nothing by haste.
    fn is_nearly_due(&self, window: WindowNumber, time: WallTime) -> bool {
        let due_at = self.config.window.end_of(window).after(self.config.due_after);
        time < due_at && due_at <= time.after(TELL_TIME)
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
            self.not_before = now + TELL_RETRY_BACKOFF.pause(self.failures);
        }
    }
}
