//! Usage: counting on nodes, the median clock, closing and reporting windows, and changes of the duty holder.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::time::Timestamp;
use lichenpulley_core::usage::account::{TenantCounts, UsageAccount};
use lichenpulley_core::usage::median_clock::MedianClock;
use lichenpulley_core::usage::meter::{UsageEntry, UsageMeter, UsageReport};
use lichenpulley_core::usage::reporter::{ReportDelta, ReporterConfig, UsageReporter};
use lichenpulley_core::usage::window::{WallTime, WindowLength, WindowNumber};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(5);
const DUE: Duration = Duration::from_secs(10);
/// Start of a window in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000_000;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn wall(milliseconds: u64) -> WallTime {
    WallTime(START_MS + milliseconds)
}

fn window(number: u64) -> WindowNumber {
    WindowNumber(START_MS / 5_000 + number)
}

fn tenant(name: &str) -> TenantName {
    TenantName::new(name)
}

fn report(source: &str, sent_ms: u64, first: u64, began_ms: &[u64]) -> UsageReport {
    let entry = |began: &u64| UsageEntry { tenant: tenant("t"), age_ms: sent_ms - began };
    let entries = began_ms.iter().map(entry).collect();
    UsageReport { source: source.to_owned(), sent_at: wall(sent_ms), first, entries }
}

/// A duty holder whose records are committed at once.
struct Holder {
    reporter: UsageReporter,
    ledger: Ledger,
    late: u64,
    discarded: u64,
}

impl Holder {
    fn new(ledger: Ledger) -> Self {
        let config = ReporterConfig { window: WindowLength::new(WINDOW), due_after: DUE };
        Self { reporter: UsageReporter::new(config), ledger, late: 0, discarded: 0 }
    }

    fn account(&self) -> &UsageAccount {
        self.ledger.usage()
    }

    fn accept(&mut self, report: &UsageReport, now_ms: u64) {
        let delta = self.reporter.accept(self.ledger.usage(), report, at(now_ms));
        let Some(ReportDelta { counts, late, discarded }) = delta else { return };
        let (source, through) = (report.source.clone(), report.through());
        self.ledger.apply(Record::UsageCounted { source, through, counts });
        self.late += late;
        self.discarded += discarded;
    }

    /// Accepts the pending entries of all nodes.
    fn accept_pending(&mut self, meters: &[UsageMeter], now_ms: u64) {
        for (node, meter) in meters.iter().enumerate() {
            if let Some(report) = meter.report(&format!("node-{node}"), at(now_ms), wall(now_ms)) {
                self.accept(&report, now_ms);
            }
        }
    }

    /// Closes the due windows, checking every 500 ms from `from_ms` to `to_ms`.
    fn close(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..=to_ms).step_by(500) {
            self.reporter.observe_own_clock("holder", wall(now_ms), at(now_ms));
            while let Some(window) = self.reporter.close_next(self.ledger.usage(), at(now_ms)) {
                self.ledger.apply(Record::UsageClosed(window));
            }
        }
    }

    fn closed(&self, number: u64) -> Option<u64> {
        self.account().closed().get(&window(number)).map(|counts: &TenantCounts| counts.values().sum())
    }
}

#[test]
fn each_window_contains_the_requests_that_started_in_it() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    holder.accept(&report("a/1", 4_900, 0, &[10, 4_000, 4_899]), 4_900);
    holder.accept(&report("a/1", 5_400, 3, &[4_999, 5_000]), 5_400);
    holder.close(500, 20_000);
    assert_eq!((holder.closed(0), holder.closed(1), holder.closed(2)), (Some(4), Some(1), Some(0)));
}

#[test]
fn a_repeated_or_extended_report_counts_each_request_once() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    let first = report("a/1", 1_000, 0, &[100, 200]);
    holder.accept(&first, 1_000);
    holder.accept(&first, 1_001);
    holder.accept(&report("a/1", 1_500, 0, &[100, 200, 1_400]), 1_500);
    holder.accept(&report("a/2", 1_600, 0, &[1_550]), 1_600);
    holder.close(2_000, 12_000);
    assert_eq!(holder.closed(0), Some(4), "the restarted node is a source of its own");
}

#[test]
fn a_report_repeated_before_the_first_is_committed_counts_once() {
    let mut holder = Holder::new(Ledger::default());
    let first = report("a/1", 1_000, 0, &[100, 200]);
    assert!(holder.reporter.accept(holder.ledger.usage(), &first, at(1_000)).is_some());
    let repeated = report("a/1", 1_200, 0, &[100, 200, 1_100]);
    let delta = holder.reporter.accept(holder.ledger.usage(), &repeated, at(1_200)).expect("one new entry");
    assert_eq!(delta.counts.iter().map(|count| count.requests).sum::<u64>(), 1);
    assert!(holder.reporter.accept(holder.ledger.usage(), &first, at(1_300)).is_none());
}

#[test]
fn a_late_report_does_not_change_a_closed_window() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    holder.accept(&report("a/1", 1_000, 0, &[100]), 1_000);
    holder.close(500, 9_500);
    let reported = holder.account().closed().clone();
    holder.accept(&report("b/1", 9_600, 0, &[200, 9_500]), 9_600);
    assert_eq!(holder.account().closed(), &reported);
    assert_eq!(holder.account().through("b/1"), 2, "the node need not report it again");
}

#[test]
fn a_new_holder_reports_the_same_counts_as_the_previous_one() {
    let mut first = Holder::new(Ledger::default());
    first.close(100, 100);
    first.accept(&report("a/1", 1_000, 0, &[100, 200]), 1_000);
    first.accept(&report("a/1", 6_000, 2, &[5_900]), 6_000);
    first.close(500, 9_500);
    let (reported, counts) =
        first.reporter.next_unreported(first.ledger.usage(), at(9_600)).expect("a window");
    let (reported, counts) = (reported, counts.clone());
    let bytes = first.ledger.to_snapshot().expect("a snapshot");
    let mut next = Holder::new(Ledger::recover(Some(&bytes), &[]).expect("a ledger"));
    assert_eq!(next.ledger, first.ledger);
    assert_eq!(next.reporter.next_unreported(next.ledger.usage(), at(0)), Some((reported, &counts)));
    next.accept(&report("a/1", 6_000, 2, &[5_900]), 12_000);
    next.close(12_000, 20_000);
    assert_eq!(next.closed(1), Some(1), "requests committed by the first holder are not counted again");
}

#[test]
fn windows_are_reported_in_turn_until_the_platform_accepts_them() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 15_000);
    let next_report = |holder: &mut Holder, now_ms| {
        holder.reporter.next_unreported(holder.ledger.usage(), at(now_ms)).map(|(window, _)| window)
    };
    assert_eq!(next_report(&mut holder, 15_000), Some(window(0)));
    assert_eq!(next_report(&mut holder, 15_000), None, "one at a time");
    holder.reporter.report_answered(window(0), false, at(15_100));
    assert_eq!(next_report(&mut holder, 15_100), None, "after a pause");
    assert_eq!(
        next_report(&mut holder, 15_500),
        Some(window(1)),
        "a rejected window does not delay the next one"
    );
    holder.reporter.report_answered(window(1), true, at(15_600));
    assert_eq!(
        next_report(&mut holder, 15_600),
        Some(window(0)),
        "the accepted window is not reported again before its record is committed"
    );
    holder.reporter.report_answered(window(0), true, at(15_700));
    assert_eq!(next_report(&mut holder, 15_700), None);
    holder.ledger.apply(Record::UsageDelivered(window(0)));
    holder.ledger.apply(Record::UsageDelivered(window(1)));
    assert_eq!((holder.closed(0), holder.closed(1)), (None, None));
}

#[test]
fn clocks_that_differ_from_the_median_are_corrected() {
    let mut time = MedianClock::default();
    for (source, ahead) in [("a", 0), ("b", 3), ("c", 2_400), ("d", 2), ("e", 2_400)] {
        time.observe_clock(source, wall(1_000 + ahead), at(1_000));
    }
    assert_eq!(time.now(at(1_500)), Some(wall(1_503)));
    assert_eq!(time.corrected("c", wall(3_400)), wall(1_003), "corrected to the median");
    assert_eq!(time.corrected("d", wall(1_002)), wall(1_002), "a clock close to the median is not corrected");
    assert_eq!(time.corrected("unknown", wall(7)), wall(7));
}

#[test]
fn a_meter_reports_entries_until_they_are_acknowledged() {
    let mut meter = UsageMeter::default();
    assert_eq!(meter.report("a", at(0), wall(0)), None);
    meter.count(at(10), tenant("t"));
    meter.count(at(30), tenant("u"));
    let report = meter.report("a", at(40), wall(40)).expect("a report");
    assert_eq!((report.first, report.through(), report.entries[0].age_ms), (0, 2, 30));
    meter.count(at(50), tenant("t"));
    meter.acknowledge(report.through());
    let rest = meter.report("a", at(60), wall(60)).expect("a report");
    assert_eq!((rest.first, rest.entries.len(), meter.dropped()), (2, 1, 0));
    meter.acknowledge(3);
    assert_eq!(meter.report("a", at(70), wall(70)), None);
}

/// Guards against losing requests that are reported after their window was closed.
#[test]
fn a_request_of_a_closed_window_is_counted_in_the_first_open_one() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(7_000, 14_000);
    assert_eq!(holder.closed(1), Some(0));
    let reported = holder.account().closed().clone();
    holder.accept(&report("late/1", 14_100, 0, &[1_000, 6_000, 14_050]), 14_100);
    assert_eq!(holder.account().closed(), &reported, "a window that may have been reported does not change");
    holder.close(14_500, 19_500);
    assert_eq!((holder.closed(1), holder.closed(2), holder.late), (Some(0), Some(3), 2));
}

#[test]
fn a_window_being_closed_accepts_no_more_requests() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 8_500);
    holder.reporter.observe_own_clock("holder", wall(9_000), at(9_000));
    let closing = holder.reporter.close_next(holder.ledger.usage(), at(9_000));
    assert_eq!(closing, Some(window(0)));
    let delta = holder.reporter.accept(holder.ledger.usage(), &report("a/1", 9_100, 0, &[200]), at(9_100));
    let windows: Vec<WindowNumber> =
        delta.expect("a count").counts.iter().map(|count| count.window).collect();
    assert_eq!(windows, [window(1)], "its record follows that of the close");
}

#[test]
fn a_new_holder_waits_for_entries_pending_on_nodes() {
    let mut holder = Holder::new(Ledger::default());
    holder.ledger.apply(Record::UsageClosed(window(0)));
    holder.close(15_500, 17_500);
    assert_eq!(holder.closed(1), None);
    holder.accept(&report("a/1", 17_700, 0, &[9_000, 9_900]), 17_700);
    holder.close(18_000, 18_000);
    assert_eq!((holder.closed(1), holder.late), (Some(2), 0));
}

#[test]
fn a_new_holder_does_not_wait_if_a_window_is_due_soon_but_does_if_it_is_overdue() {
    let mut holder = Holder::new(Ledger::default());
    holder.ledger.apply(Record::UsageClosed(window(0)));
    holder.close(18_200, 18_200);
    assert_eq!(holder.closed(1), Some(0));
    let mut holder = Holder::new(Ledger::default());
    holder.ledger.apply(Record::UsageClosed(window(0)));
    holder.close(20_500, 22_500);
    assert_eq!(holder.closed(1), None);
    holder.close(23_000, 23_000);
    assert_eq!(holder.closed(1), Some(0));
}

#[test]
fn repeated_entries_of_a_removed_source_are_not_counted_again() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    let kept = report("a/1", 1_000, 0, &[100, 200]);
    holder.accept(&kept, 1_000);
    holder.close(500, 150_000);
    assert_eq!(holder.account().through("a/1"), 0, "the source is removed");
    let mut holder = Holder::new(holder.ledger);
    holder.close(150_000, 150_000);
    let repeated = report("a/1", 150_100, 0, &[100, 200, 149_900]);
    holder.accept(&repeated, 150_100);
    holder.close(150_500, 165_000);
    let reported: u64 = holder.account().closed().values().flat_map(TenantCounts::values).sum();
    assert_eq!((reported, holder.discarded), (3, 2));
}

proptest! {
    /// Guards against lost or doubled requests when reports are late, lost or repeated and the holder changes while windows are
    /// closed. Closed windows never change.
    #[test]
    fn each_request_is_counted_once_however_late_its_report(
        steps in prop::collection::vec((0_u8..6, 1_usize..4), 1..80),
    ) {
        let mut meters = [UsageMeter::default(), UsageMeter::default()];
        let mut holder = Holder::new(Ledger::default());
        let (mut now_ms, mut counted) = (0_u64, 0_u64);
        let mut reported: BTreeMap<WindowNumber, TenantCounts> = BTreeMap::new();
        for (step, number) in steps {
            now_ms += 411;
            let node = number % 2;
            match step {
                0 | 1 => for _ in 0..number {
                    meters[node].count(at(now_ms), tenant("t"));
                    counted += 1;
                },
                2 | 3 => {
                    let source = format!("node-{node}");
                    let Some(report) = meters[node].report(&source, at(now_ms), wall(now_ms)) else { continue };
                    holder.accept(&report, now_ms);
                    if step == 2 {
                        meters[node].acknowledge(report.through());
                    }
                }
                4 => {
                    holder.close(now_ms, now_ms + 500 * number as u64);
                    now_ms += 500 * number as u64;
                    for (window, counts) in holder.account().closed() {
                        let earlier = reported.entry(*window).or_insert_with(|| counts.clone());
                        prop_assert_eq!(&*earlier, counts);
                    }
                }
                _ => {
                    let bytes = holder.ledger.to_snapshot().expect("a snapshot");
                    holder = Holder::new(Ledger::recover(Some(&bytes), &[]).expect("a ledger"));
                }
            }
        }
        holder.accept_pending(&meters, now_ms);
        holder.close(now_ms, now_ms + 30_000);
        let reported: u64 = holder.account().closed().values().flat_map(TenantCounts::values).sum();
        prop_assert_eq!(reported + holder.discarded, counted);
    }

    /// Guards against requests counted twice when reports are lost, repeated, late or regrouped and the holder changes.
    #[test]
    fn no_request_is_counted_twice_when_reports_are_lost_or_repeated(
        steps in prop::collection::vec((0_u8..5, 1_usize..4), 1..60),
    ) {
        let mut meters = [UsageMeter::default(), UsageMeter::default()];
        let mut holder = Holder::new(Ledger::default());
        let (mut now_ms, mut counted) = (0_u64, 0_u64);
        let mut last: Option<UsageReport> = None;
        for (step, number) in steps {
            now_ms += 37;
            let node = number % 2;
            match step {
                0 => for _ in 0..number {
                    meters[node].count(at(now_ms), tenant("t"));
                    counted += 1;
                },
                1 | 2 => {
                    let source = format!("node-{node}");
                    let Some(report) = meters[node].report(&source, at(now_ms), wall(now_ms)) else { continue };
                    holder.accept(&report, now_ms);
                    // Step 2 loses the acknowledgement.
                    if step == 1 {
                        meters[node].acknowledge(report.through());
                    }
                    last = Some(report);
                }
                3 => if let Some(report) = &last {
                    holder.accept(report, now_ms);
                },
                _ => {
                    let bytes = holder.ledger.to_snapshot().expect("a snapshot");
                    holder = Holder::new(Ledger::recover(Some(&bytes), &[]).expect("a ledger"));
                }
            }
        }
        holder.accept_pending(&meters, now_ms);
        holder.close(now_ms, now_ms + 20_000);
        let reported: BTreeMap<_, u64> =
            holder.account().closed().iter().map(|(window, counts)| (*window, counts.values().sum())).collect();
        prop_assert_eq!(reported.values().sum::<u64>(), counted);
    }
}
