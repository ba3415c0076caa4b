//! A ledger that follows the log equals the one that a new owner recovers from the whole log.

mod batch_support;

use batch_support::job;
use lichenpulley_core::batch::job::OutputEvent;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::ledger_follower::{DecidedPage, LedgerFollower};
use lichenpulley_core::batch::outline::outline_entries;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::recovery::{LedgerRecovery, RecoveryStep};
use lichenpulley_core::identity::{BatchId, Epoch};
use lichenpulley_core::replication::entry::{Entry, IndexedEntry, LogIndex, Payload};
use lichenpulley_core::replication::log::{KnownLog, assemble, split_snapshot};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

/// A step that extends a log.
#[derive(Clone, Debug)]
enum Step {
    Accept,
    /// An event of an item of one of the jobs so far; the flag marks the last one.
    Progress(u8, u8, bool),
    End(u8),
    Snapshot,
    /// The next owner takes over.
    NewOwner,
    /// A record of the previous owner that only a minority of stores had.
    Superseded,
    Gap,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::Accept),
        6 => (any::<u8>(), 0..3_u8, any::<bool>()).prop_map(|(job, item, is_last)| Step::Progress(job, item, is_last)),
        1 => any::<u8>().prop_map(Step::End),
        1 => Just(Step::Snapshot),
        1 => Just(Step::NewOwner),
        1 => Just(Step::Superseded),
        1 => Just(Step::Gap),
    ];
    proptest::collection::vec(step, 1..40)
}

fn record(origin: Epoch, record: &Record) -> Payload {
    Payload::Record { origin, bytes: record.encode().expect("a record") }
}

/// Builds a log and returns it with the position of its last snapshot.
fn build_log(steps: &[Step]) -> (Vec<Payload>, usize) {
    let (mut log, mut ledger, mut epoch, mut jobs, mut base) =
        (Vec::new(), Ledger::default(), Epoch(1), 0_u8, 0);
    let append = |log: &mut Vec<Payload>, ledger: &mut Ledger, epoch, appended: Record| {
        log.push(record(epoch, &appended));
        ledger.apply(appended);
    };
    for step in steps {
        let batch = |number: u8| BatchId::new(format!("job-{}", number % jobs.max(1)));
        match step {
            Step::Accept => {
                append(&mut log, &mut ledger, epoch, Record::Accepted(job(&format!("job-{jobs}"), 3, 0)));
                jobs += 1;
            }
            Step::Progress(number, item, is_last) => {
                let (batch, item) = (batch(*number), u32::from(*item));
                let known = ledger.job(&batch).filter(|job| job.is_open(item));
                let Some(known) = known else { continue };
                let next = known.items[item as usize].last_event().map_or(0, |last| last + 1);
                let events = vec![OutputEvent { number: next, version: 1, data: format!("d{next}") }];
                let progress = if *is_last {
                    Record::Completed { batch, item, events }
                } else {
                    Record::Progress { batch, item, events }
                };
                append(&mut log, &mut ledger, epoch, progress);
            }
            Step::End(number) if jobs > 0 => {
                append(&mut log, &mut ledger, epoch, Record::Ended(batch(*number)));
            }
            Step::Snapshot => {
                base = log.len();
                log.extend(split_snapshot(&ledger.to_snapshot().expect("a snapshot"), 64, epoch));
            }
            Step::NewOwner => epoch = epoch.next(),
            Step::Superseded if epoch.0 > 1 && log.last().and_then(Payload::origin) == Some(epoch) => {
                log.push(record(Epoch(epoch.0 - 1), &Record::Accepted(job("never", 1, 0))));
            }
            Step::Gap => log.push(Payload::Noop),
            Step::End(_) | Step::Superseded => {}
        }
    }
    (log, base)
}

fn page(log: &[Payload], base: usize, from: LogIndex, through: usize, max_entries: usize) -> DecidedPage {
    let first = (from.0 as usize - 1).max(base);
    let last = through.min(first + max_entries);
    let entry = |position: usize| IndexedEntry {
        index: LogIndex(position as u64 + 1),
        entry: Entry { epoch: Epoch(9), payload: log[position].clone() },
    };
    let entries = (first..last.max(first)).map(entry).collect();
    DecidedPage { entries, base: LogIndex(base as u64 + 1), decided_through: LogIndex(through as u64) }
}

fn recovered(log: &[Payload], known: KnownLog, followed: Option<Ledger>) -> Ledger {
    let rest = log[known.through.0 as usize..].iter().cloned();
    let found = assemble(rest, known, true);
    let (now, interval) = (Timestamp::ORIGIN, Duration::from_secs(9));
    let snapshot = found.snapshot.as_deref();
    let mut recovery = match followed {
        Some(followed) if snapshot.is_none() => {
            LedgerRecovery::resume(followed, &found.records, interval, now)
        }
        _ => LedgerRecovery::begin(snapshot, &found.records, interval, now).expect("a ledger"),
    };
    while recovery.step(now).expect("a record") != RecoveryStep::Done {}
    recovery.into_ledger()
}

proptest! {
    #[test]
    fn recovery_after_following_equals_a_full_recovery(
        steps in steps(),
        pages in proptest::collection::vec((0..40_usize, 1..9_usize), 0..12),
        is_truncated in any::<bool>(),
    ) {
        let (log, snapshot) = build_log(&steps);
        let base = if is_truncated { snapshot } else { 0 };
        let mut follower = LedgerFollower::default();
        for (through, max_entries) in pages {
            let through = through.min(log.len());
            // The log is truncated only after the snapshot is decided.
            let base = if through == log.len() { base } else { 0 };
            let next = follower.next();
            follower.apply_page(page(&log, base, next, through, max_entries)).expect("records");
        }
        let full = recovered(&log, KnownLog::default(), None);
        let after = if follower.is_complete() {
            recovered(&log, follower.known(), Some(follower.into_ledger()))
        } else {
            recovered(&log, KnownLog::default(), None)
        };
        prop_assert_eq!(after, full);
    }
}

/// Returns a follower that has read a log up to `through`.
fn follower_of(log: &[Payload], base: usize, through: usize, is_outline: bool) -> LedgerFollower {
    read_to_end(LedgerFollower::default(), log, base, through, is_outline)
}

fn read_to_end(
    mut follower: LedgerFollower,
    log: &[Payload],
    base: usize,
    through: usize,
    is_outline: bool,
) -> LedgerFollower {
    loop {
        let mut page = page(log, base, follower.next(), through, 7);
        if is_outline {
            outline_entries(&mut page.entries);
        }
        if !follower.apply_page(page).expect("records") {
            return follower;
        }
    }
}

proptest! {
    /// A takeover from an outline sees the same events as a full recovery, and has the same ledger once texts
    /// are filled in.
    #[test]
    fn a_filled_outline_equals_the_full_ledger(steps in steps(), through in 0..60_usize) {
        let (log, snapshot) = build_log(&steps);
        let through = through.min(log.len());
        // The log is truncated only after the snapshot is decided.
        let base = if through == log.len() { snapshot } else { 0 };
        let outline = follower_of(&log, base, through, true);
        prop_assume!(outline.is_complete());
        let full = recovered(&log, KnownLog::default(), None);
        let known = outline.known();
        let before_open = outline.before_open_jobs();
        let mut after = recovered(&log, known, Some(outline.into_ledger()));
        for (batch, state) in full.jobs() {
            let outlined = after.job(batch).expect("the job");
            prop_assert_eq!(outlined.is_ended, state.is_ended);
            prop_assert_eq!(outlined.results.len(), state.results.len());
            for (outlined, state) in outlined.items.iter().zip(&state.items) {
                prop_assert_eq!(outlined.is_listed, state.is_listed);
                if !state.is_listed {
                    prop_assert_eq!(outlined.last_event(), state.last_event());
                }
            }
        }
        // Texts of open jobs are filled in first, if the jobs were accepted after the last snapshot.
        if let Some(before_open) = before_open {
            let open: Vec<BatchId> =
                after.jobs().iter().filter(|(_, state)| !state.is_ended).map(|(batch, _)| batch.clone()).collect();
            let tail = LedgerFollower::beginning_after(before_open);
            after.fill_texts(read_to_end(tail, &log, base, through, false).into_ledger());
            prop_assert!(open.iter().all(|batch| !after.lacks_texts(batch)));
        }
        after.fill_texts(follower_of(&log, base, through, false).into_ledger());
        prop_assert!(!after.is_outline());
        prop_assert_eq!(after, full);
    }
}

#[test]
fn a_job_lacks_texts_until_they_are_filled_in() {
    let steps = [Step::Accept, Step::Progress(0, 0, false), Step::Progress(0, 0, true), Step::Accept];
    let (log, base) = build_log(&steps);
    let mut ledger = follower_of(&log, base, log.len(), true).into_ledger();
    let batches: Vec<BatchId> = ledger.jobs().keys().cloned().collect();
    let lacks: Vec<bool> = batches.iter().map(|batch| ledger.lacks_texts(batch)).collect();
    assert_eq!(lacks, [true, false]);
    ledger.fill_texts(follower_of(&log, base, log.len(), false).into_ledger());
    assert!(!ledger.lacks_texts(&batches[0]));
    assert_eq!(ledger, recovered(&log, KnownLog::default(), None));
}

#[test]
fn texts_that_the_other_ledger_lacks_stay_missing() {
    let steps = [Step::Accept, Step::Progress(0, 0, true)];
    let (log, base) = build_log(&steps);
    let mut ledger = follower_of(&log, base, log.len(), true).into_ledger();
    ledger.fill_texts(Ledger::default());
    assert!(ledger.is_outline());
}

#[test]
fn a_follower_is_incomplete_until_it_has_read_the_whole_snapshot() {
    let (log, base) = build_log(&[Step::Accept, Step::Snapshot]);
    let mut follower = LedgerFollower::default();
    assert!(
        follower.apply_page(page(&log, base, LogIndex::FIRST, log.len(), 1)).expect("a part"),
        "there is more"
    );
    assert!(!follower.is_complete());
    let next = follower.next();
    follower.apply_page(page(&log, base, next, log.len(), log.len())).expect("the others");
    assert!(follower.is_complete());
}

#[test]
fn a_follower_behind_a_truncation_restarts_from_the_snapshot() {
    let steps = [Step::Accept, Step::Progress(0, 0, false), Step::Snapshot, Step::Progress(0, 1, true)];
    let (log, base) = build_log(&steps);
    let mut follower = LedgerFollower::default();
    assert!(
        follower.apply_page(page(&log, 0, LogIndex::FIRST, log.len(), 1)).expect("a record"),
        "there is more"
    );
    let next = follower.next();
    assert!(!follower.apply_page(page(&log, base, next, log.len(), log.len())).expect("records"));
    assert_eq!(follower.known().through, LogIndex(log.len() as u64));
    assert_eq!(follower.into_ledger(), recovered(&log, KnownLog::default(), None));
}
