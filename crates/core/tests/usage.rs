//! Usage: what nodes count, how the clocks of nodes are judged, and what of it stands after a change of holder.

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
/// The start of a window: a multiple of its length.
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

/// A holder whose records are decided at once.
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

    fn take(&mut self, report: &UsageReport, now_ms: u64) {
        let added = self.reporter.accept(self.ledger.usage(), report, at(now_ms));
        let Some(ReportDelta { counts, late, discarded }) = added else { return };
        let (source, through) = (report.source.clone(), report.through());
        self.ledger.apply(Record::UsageCounted { source, through, counts });
        self.late += late;
        self.discarded += discarded;
    }

    /// Takes what nodes still hold.
    fn take_rest(&mut self, meters: &[UsageMeter], now_ms: u64) {
        for (node, meter) in meters.iter().enumerate() {
            if let Some(report) = meter.report(&format!("node-{node}"), at(now_ms), wall(now_ms)) {
                self.take(&report, now_ms);
            }
        }
    }

    /// Closes what is due by then, at each half second since `from_ms`.
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
fn each_window_holds_what_began_in_it() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    holder.take(&report("a/1", 4_900, 0, &[10, 4_000, 4_899]), 4_900);
    holder.take(&report("a/1", 5_400, 3, &[4_999, 5_000]), 5_400);
    holder.close(500, 20_000);
    assert_eq!((holder.closed(0), holder.closed(1), holder.closed(2)), (Some(4), Some(1), Some(0)));
}

#[test]
fn a_report_that_comes_again_or_grown_counts_each_request_once() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    let first = report("a/1", 1_000, 0, &[100, 200]);
    holder.take(&first, 1_000);
    holder.take(&first, 1_001);
    holder.take(&report("a/1", 1_500, 0, &[100, 200, 1_400]), 1_500);
    holder.take(&report("a/2", 1_600, 0, &[1_550]), 1_600);
    holder.close(2_000, 12_000);
    assert_eq!(holder.closed(0), Some(4), "the node's second life counts for itself");
}

#[test]
fn a_report_that_comes_twice_before_the_first_is_kept_counts_once() {
    let mut holder = Holder::new(Ledger::default());
    let first = report("a/1", 1_000, 0, &[100, 200]);
    assert!(holder.reporter.accept(holder.ledger.usage(), &first, at(1_000)).is_some());
    let again = report("a/1", 1_200, 0, &[100, 200, 1_100]);
    let added = holder.reporter.accept(holder.ledger.usage(), &again, at(1_200)).expect("one more");
    assert_eq!(added.counts.iter().map(|count| count.requests).sum::<u64>(), 1);
    assert!(holder.reporter.accept(holder.ledger.usage(), &first, at(1_300)).is_none());
}

#[test]
fn what_comes_after_a_window_is_closed_changes_nothing_that_is_told() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    holder.take(&report("a/1", 1_000, 0, &[100]), 1_000);
    holder.close(500, 9_500);
    let told = holder.account().closed().clone();
    holder.take(&report("b/1", 9_600, 0, &[200, 9_500]), 9_600);
    assert_eq!(holder.account().closed(), &told);
    assert_eq!(holder.account().through("b/1"), 2, "the node need not tell it again");
}

#[test]
fn the_next_holder_tells_what_the_one_before_would_have() {
    let mut first = Holder::new(Ledger::default());
    first.close(100, 100);
    first.take(&report("a/1", 1_000, 0, &[100, 200]), 1_000);
    first.take(&report("a/1", 6_000, 2, &[5_900]), 6_000);
    first.close(500, 9_500);
    let (told, counts) = first.reporter.next_unreported(first.ledger.usage(), at(9_600)).expect("a window");
    let (told, counts) = (told, counts.clone());
    let bytes = first.ledger.to_snapshot().expect("a snapshot");
    let mut next = Holder::new(Ledger::recover(Some(&bytes), &[]).expect("a ledger"));
    assert_eq!(next.ledger, first.ledger);
    assert_eq!(next.reporter.next_unreported(next.ledger.usage(), at(0)), Some((told, &counts)));
    next.take(&report("a/1", 6_000, 2, &[5_900]), 12_000);
    next.close(12_000, 20_000);
    assert_eq!(next.closed(1), Some(1), "what the first holder kept is not counted again");
}

#[test]
fn windows_are_told_by_turns_until_the_platform_takes_them() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 15_000);
    let tell = |holder: &mut Holder, now_ms| {
        holder.reporter.next_unreported(holder.ledger.usage(), at(now_ms)).map(|(window, _)| window)
    };
    assert_eq!(tell(&mut holder, 15_000), Some(window(0)));
    assert_eq!(tell(&mut holder, 15_000), None, "one at a time");
    holder.reporter.report_answered(window(0), false, at(15_100));
    assert_eq!(tell(&mut holder, 15_100), None, "after a pause");
    assert_eq!(tell(&mut holder, 15_500), Some(window(1)), "one that was missed keeps no other back");
    holder.reporter.report_answered(window(1), true, at(15_600));
    assert_eq!(
        tell(&mut holder, 15_600),
        Some(window(0)),
        "the other is not told again before its record is kept"
    );
    holder.reporter.report_answered(window(0), true, at(15_700));
    assert_eq!(tell(&mut holder, 15_700), None);
    holder.ledger.apply(Record::UsageDelivered(window(0)));
    holder.ledger.apply(Record::UsageDelivered(window(1)));
    assert_eq!((holder.closed(0), holder.closed(1)), (None, None));
}

#[test]
fn a_clock_that_jumps_moves_no_window() {
    let mut time = MedianClock::default();
    for (source, ahead) in [("a", 0), ("b", 3), ("c", 2_400), ("d", 2), ("e", 2_400)] {
        time.observe_clock(source, wall(1_000 + ahead), at(1_000));
    }
    assert_eq!(time.now(at(1_500)), Some(wall(1_503)));
    assert_eq!(time.corrected("c", wall(3_400)), wall(1_003), "as most have it");
    assert_eq!(time.corrected("d", wall(1_002)), wall(1_002), "a calm clock is believed");
    assert_eq!(time.corrected("unknown", wall(7)), wall(7));
}

#[test]
fn a_meter_holds_what_is_not_kept_and_drops_what_is() {
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

/// A first owner came two seconds after the requests, closed the windows that were over, and dropped what reached it afterwards without
/// a line: `usage_told` with fewer requests than had run.
#[test]
fn what_comes_after_its_window_was_closed_is_told_with_the_first_open_one() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(7_000, 14_000);
    assert_eq!(holder.closed(1), Some(0));
    let told = holder.account().closed().clone();
    holder.take(&report("late/1", 14_100, 0, &[1_000, 6_000, 14_050]), 14_100);
    assert_eq!(holder.account().closed(), &told, "what may have been told stays as it is");
    holder.close(14_500, 19_500);
    assert_eq!((holder.closed(1), holder.closed(2), holder.late), (Some(0), Some(3), 2));
}

#[test]
fn a_window_whose_close_is_on_its_way_takes_nothing_more() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 8_500);
    holder.reporter.observe_own_clock("holder", wall(9_000), at(9_000));
    let closing = holder.reporter.close_next(holder.ledger.usage(), at(9_000));
    assert_eq!(closing, Some(window(0)));
    let added = holder.reporter.accept(holder.ledger.usage(), &report("a/1", 9_100, 0, &[200]), at(9_100));
    let windows: Vec<WindowNumber> =
        added.expect("a count").counts.iter().map(|count| count.window).collect();
    assert_eq!(windows, [window(1)], "its record follows that of the close");
}

#[test]
fn a_new_holder_waits_for_what_nodes_held_while_there_was_none() {
    let mut holder = Holder::new(Ledger::default());
    holder.ledger.apply(Record::UsageClosed(window(0)));
    holder.close(15_500, 17_500);
    assert_eq!(holder.closed(1), None);
    holder.take(&report("a/1", 17_700, 0, &[9_000, 9_900]), 17_700);
    holder.close(18_000, 18_000);
    assert_eq!((holder.closed(1), holder.late), (Some(2), 0));
}

#[test]
fn a_new_holder_does_not_wait_where_a_window_is_nearly_due_but_does_where_it_is_overdue() {
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
fn a_source_that_is_forgotten_and_repeats_itself_is_not_counted_again() {
    let mut holder = Holder::new(Ledger::default());
    holder.close(100, 100);
    let kept = report("a/1", 1_000, 0, &[100, 200]);
    holder.take(&kept, 1_000);
    holder.close(500, 150_000);
    assert_eq!(holder.account().through("a/1"), 0, "it is forgotten");
    let mut holder = Holder::new(holder.ledger);
    holder.close(150_000, 150_000);
    let again = report("a/1", 150_100, 0, &[100, 200, 149_900]);
    holder.take(&again, 150_100);
    holder.close(150_500, 165_000);
    let told: u64 = holder.account().closed().values().flat_map(TenantCounts::values).sum();
    assert_eq!((told, holder.discarded), (3, 2));
}

proptest! {
    /// Windows are closed while reports are late, lost or come twice, and the holder changes: what is closed never changes, and each
    /// request is told once. Without a count for late ones those of closed windows were missing.
    #[test]
    fn each_request_is_told_once_however_late_its_report(
        steps in prop::collection::vec((0_u8..6, 1_usize..4), 1..80),
    ) {
        let mut meters = [UsageMeter::default(), UsageMeter::default()];
        let mut holder = Holder::new(Ledger::default());
        let (mut now_ms, mut counted) = (0_u64, 0_u64);
        let mut told: BTreeMap<WindowNumber, TenantCounts> = BTreeMap::new();
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
                    holder.take(&report, now_ms);
                    if step == 2 {
                        meters[node].acknowledge(report.through());
                    }
                }
                4 => {
                    holder.close(now_ms, now_ms + 500 * number as u64);
                    now_ms += 500 * number as u64;
                    for (window, counts) in holder.account().closed() {
                        let earlier = told.entry(*window).or_insert_with(|| counts.clone());
                        prop_assert_eq!(&*earlier, counts);
                    }
                }
                _ => {
                    let bytes = holder.ledger.to_snapshot().expect("a snapshot");
                    holder = Holder::new(Ledger::recover(Some(&bytes), &[]).expect("a ledger"));
                }
            }
        }
        holder.take_rest(&meters, now_ms);
        holder.close(now_ms, now_ms + 30_000);
        let told: u64 = holder.account().closed().values().flat_map(TenantCounts::values).sum();
        prop_assert_eq!(told + holder.discarded, counted);
    }

    /// Reports are lost, come twice, late and in any grouping, and the holder changes: each request is in one window.
    #[test]
    fn nothing_is_counted_twice_whatever_becomes_of_reports(
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
                    holder.take(&report, now_ms);
                    // The answer of every second one is lost.
                    if step == 1 {
                        meters[node].acknowledge(report.through());
                    }
                    last = Some(report);
                }
                3 => if let Some(report) = &last {
                    holder.take(report, now_ms);
                },
                _ => {
                    let bytes = holder.ledger.to_snapshot().expect("a snapshot");
                    holder = Holder::new(Ledger::recover(Some(&bytes), &[]).expect("a ledger"));
                }
            }
        }
        holder.take_rest(&meters, now_ms);
        holder.close(now_ms, now_ms + 20_000);
        let told: BTreeMap<_, u64> =
            holder.account().closed().iter().map(|(window, counts)| (*window, counts.values().sum())).collect();
        prop_assert_eq!(told.values().sum::<u64>(), counted);
    }
}
