//! Decides when a usage window is closed and when it is reported to the platform.
//!
//! The decision depends on the median clock (`median_clock`), the window length, how long after its end a
//! window is due, and the account. A window is closed by a record, so that every duty holder reports the same
//! counts, and it is reported until the platform has accepted it.
//!
//! A request reported after its window was closed is counted in the first window that is still open, so that
//! billing sees each request once. Its window is chosen before the record is written, so that every node,
//! including one of an older release, derives the same counts from the log.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::account::{SOURCE_RETENTION_WINDOWS, TenantCounts, UsageAccount, WindowCount};
use super::median_clock::MedianClock;
use super::meter::UsageReport;
use super::window::{WallTime, WindowLength, WindowNumber};
use crate::identity::TenantName;
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Fraction of the time until a window is due after which it is closed. Leaves time for late reports before
/// the close, and for a takeover of about four seconds before the window is due.
const CLOSE_AFTER_FRACTION: f64 = 0.4;
/// A new holder closes no window for this time, unless one is due soon, so that nodes can find the holder and
/// report their pending entries.
const NEW_HOLDER_WAIT: Duration = Duration::from_millis(2_500);
/// Time before a window is due that is reserved for a call and one retry.
const REPORT_CALL_TIME: Duration = Duration::from_secs(2);
/// Most past windows that are closed after a long outage.
const MAX_BACKFILL_WINDOWS: u64 = 24;
/// Requests reported more than this many windows after the close of theirs are discarded, since they may be
/// repeated by a source that the account has removed. Half of the retention, to tolerate a clock that is set
/// between two reports.
const MAX_LATE_WINDOWS: u64 = SOURCE_RETENTION_WINDOWS / 2;
/// Pause after consecutive calls that the platform did not accept.
const REPORT_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(300), Duration::from_secs(2));

/// Reporting requirements of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReporterConfig {
    /// Length of a window.
    pub window: WindowLength,
    /// Time after the end of a window until its report is due.
    pub due_after: Duration,
}

/// Counts that a report adds to the account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportDelta {
    /// Number of requests by counting window and tenant.
    pub counts: Vec<WindowCount>,
    /// Number of those requests whose own window was closed before the report was received.
    pub late: u64,
    /// Number of requests that were reported too late to be counted.
    pub discarded: u64,
}

/// Decides which windows are closed and reported. Its persistent state is the [`UsageAccount`].
#[derive(Clone, Debug)]
pub struct UsageReporter {
    config: ReporterConfig,
    clock: MedianClock,
    /// Number after the last accepted entry whose record may not be committed yet, by source.
    pending: HashMap<String, u64>,
    /// The last window whose close may not be committed yet.
    closing: Option<WindowNumber>,
    /// When this holder first checked for windows to close, and the window that was current then.
    started: Option<(Timestamp, WindowNumber)>,
    /// The window whose report is in flight.
    reporting: Option<WindowNumber>,
    /// Windows that the platform accepted, until the account has removed them.
    reported: BTreeSet<WindowNumber>,
    /// The window of the last call. Windows are reported in turn, so that a rejected one does not delay the
    /// others.
    last_reported: Option<WindowNumber>,
    failures: u32,
    not_before: Timestamp,
}

impl UsageReporter {
    /// Creates a reporter that has reported nothing.
    pub fn new(config: ReporterConfig) -> Self {
        Self {
            config,
            clock: MedianClock::default(),
            pending: HashMap::new(),
            closing: None,
            started: None,
            reporting: None,
            reported: BTreeSet::new(),
            last_reported: None,
            failures: 0,
            not_before: Timestamp::ORIGIN,
        }
    }

    /// Records a sample of this node's own clock.
    pub fn observe_own_clock(&mut self, node: &str, wall: WallTime, now: Timestamp) {
        self.clock.observe_clock(node, wall, now);
    }

    /// Accepts a report and returns the counts that it adds to the account, or `None` if all of its entries
    /// were accepted before.
    pub fn accept(
        &mut self,
        account: &UsageAccount,
        report: &UsageReport,
        now: Timestamp,
    ) -> Option<ReportDelta> {
        self.clock.observe_clock(&report.source, report.sent_at, now);
        let pending = self.pending.get(&report.source).copied().unwrap_or(0);
        let accepted = account.through(&report.source).max(pending);
        if report.through() <= accepted {
            return None;
        }
        let known = usize::try_from(accepted.saturating_sub(report.first)).unwrap_or(usize::MAX);
        let closed = account.closed_through().max(self.closing);
        let mut delta = ReportDelta::default();
        let mut counts: BTreeMap<(WindowNumber, TenantName), u64> = BTreeMap::new();
        for entry in report.entries.iter().skip(known) {
            let started = report.sent_at.before(Duration::from_millis(entry.age_ms));
            let source_window = self.config.window.window_at(self.clock.corrected(&report.source, started));
            let window = match closed {
                Some(closed) if source_window.0 + MAX_LATE_WINDOWS < closed.0 => {
                    delta.discarded += 1;
                    continue;
                }
                Some(closed) if source_window <= closed => {
                    delta.late += 1;
                    closed.next()
                }
                _ => source_window,
            };
            *counts.entry((window, entry.tenant.clone())).or_default() += 1;
        }
        self.pending.insert(report.source.clone(), report.through());
        let count = |((window, tenant), requests)| WindowCount { window, tenant, requests };
        delta.counts = counts.into_iter().map(count).collect();
        Some(delta)
    }

    /// Returns the next window to close, if one is due. Windows are closed one by one, including those
    /// without counts.
    pub fn close_next(&mut self, account: &UsageAccount, now: Timestamp) -> Option<WindowNumber> {
        let time = self.clock.now(now)?;
        let current = self.config.window.window_at(time);
        let (started_at, first) = *self.started.get_or_insert((now, current));
        // Before the first close, start with the window that was current when this holder started.
        let next = account.closed_through().max(self.closing).map_or(first, WindowNumber::next);
        let next = next.max(WindowNumber(current.0.saturating_sub(MAX_BACKFILL_WINDOWS)));
        let is_settled = now.saturating_since(started_at) >= NEW_HOLDER_WAIT;
        if time < self.closes_at(next) || !(is_settled || self.is_due_soon(next, time)) {
            return None;
        }
        self.closing = Some(next);
        Some(next)
    }

    fn closes_at(&self, window: WindowNumber) -> WallTime {
        self.config.window.end_of(window).after(self.config.due_after.mul_f64(CLOSE_AFTER_FRACTION))
    }

    /// Returns whether a window is due soon. An overdue window is not, since closing it earlier has no
    /// benefit.
    fn is_due_soon(&self, window: WindowNumber, time: WallTime) -> bool {
        let due_at = self.config.window.end_of(window).after(self.config.due_after);
        time < due_at && due_at <= time.after(REPORT_CALL_TIME)
    }

    /// Returns the closed window to report now, if there is one and no report is in flight.
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
        let next = unreported()
            .find(|(window, _)| Some(**window) > self.last_reported)
            .or_else(|| unreported().next());
        let (window, counts) = next?;
        self.reporting = Some(*window);
        self.last_reported = Some(*window);
        Some((*window, counts))
    }

    /// Records whether the platform accepted the report of a window.
    pub fn report_answered(&mut self, window: WindowNumber, is_accepted: bool, now: Timestamp) {
        if self.reporting == Some(window) {
            self.reporting = None;
        }
        if is_accepted {
            self.reported.insert(window);
            self.failures = 0;
        } else {
            self.failures += 1;
            self.not_before = now + REPORT_RETRY_BACKOFF.pause(self.failures);
        }
    }
}
