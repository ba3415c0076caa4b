//! What counts towards the capacity of the owner of batch jobs.

mod batch_support;

use batch_support::{MODEL, OwnerHarness, at, job, replica, scored_job};
use lichenpulley_core::batch::controller::{ControllerConfig, Submission};
use lichenpulley_core::batch::job::OutputEvent;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::BatchId;
use speedy::{Readable, Writable};

/// Guards against accepting jobs whose scorers, groups and models alone exceed the capacity.
#[test]
fn jobs_with_scorers_are_refused_beyond_the_capacity() {
    const CAPACITY_BYTES: usize = 100_000;
    const SCORER_BYTES: usize = 10_000;
    let config = ControllerConfig { capacity_bytes: CAPACITY_BYTES, ..ControllerConfig::default() };
    let mut harness = OwnerHarness::with_config(config, Ledger::default(), false, &[replica("a", 1)]);
    let oversized = |id: &str| {
        let mut job = scored_job(id, 1);
        let item = &mut job.items[0];
        item.scorer.as_mut().expect("a scorer").body = vec![0; SCORER_BYTES];
        item.group = Some("g".repeat(SCORER_BYTES));
        item.model = Some(MODEL.repeat(SCORER_BYTES / MODEL.len()));
        job
    };
    let outcomes: Vec<Submission> =
        (0..10).map(|number| harness.controller.submit(at(1), oversized(&format!("j{number}")))).collect();
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == Submission::Pending).count(), 3);
    assert!(outcomes[3..].iter().all(|outcome| *outcome == Submission::Full));
}

/// Guards against accepting jobs whose many short items take more memory than their bytes say.
#[test]
fn jobs_of_many_items_are_refused_beyond_the_memory_for_their_bookkeeping() {
    const ITEMS: usize = 100;
    let config = ControllerConfig { bookkeeping_bytes: 512 << 10, ..ControllerConfig::default() };
    let mut harness = OwnerHarness::with_config(config, Ledger::default(), false, &[replica("a", 1)]);
    let outcomes: Vec<Submission> = (0..10)
        .map(|number| harness.controller.submit(at(1), job(&format!("j{number}"), ITEMS, 0)))
        .collect();
    let accepted = outcomes.iter().filter(|outcome| **outcome == Submission::Pending).count();
    assert!((1..10).contains(&accepted), "{accepted} of 10");
    assert!(outcomes[accepted..].iter().all(|outcome| *outcome == Submission::Full));
    // Jobs that are committed count like those that are pending.
    harness.controller.appended(at(2));
    assert_eq!(harness.controller.submit(at(2), job("later", ITEMS, 0)), Submission::Full);
}

/// Guards against scores that are kept but not counted: with them the state is larger than the capacity.
#[test]
fn scores_and_versions_of_results_count_towards_the_capacity() {
    const SCORE_BYTES: usize = 10_000;
    let config = ControllerConfig { capacity_bytes: SCORE_BYTES, ..ControllerConfig::default() };
    let mut ledger = Ledger::default();
    ledger.apply(Record::Accepted(scored_job("j", 1)));
    let events = vec![OutputEvent { number: 0, version: 1, data: "text".to_owned() }];
    ledger.apply(Record::Generated { batch: BatchId::new("j"), item: 0, events, replaces: false });
    let score = "1".repeat(SCORE_BYTES);
    ledger.apply(Record::Scored { batch: BatchId::new("j"), item: 0, score });
    let mut harness = OwnerHarness::with_config(config, ledger, false, &[replica("a", 1)]);
    assert_eq!(harness.controller.submit(at(1), job("k", 1, 0)), Submission::Full);
}

/// Guards against a job that has no room in the stores and still counts towards the capacity, or is never asked again.
#[test]
fn a_job_whose_append_is_refused_leaves_nothing_behind() {
    let config = ControllerConfig { capacity_bytes: 200, ..ControllerConfig::default() };
    let mut harness = OwnerHarness::with_config(config, Ledger::default(), false, &[replica("a", 1)]);
    for _ in 0..20 {
        assert_eq!(harness.controller.submit(at(1), job("j", 1, 0)), Submission::Pending);
        harness.controller.end(at(1), &BatchId::new("j"));
        assert_eq!(harness.controller.append_refused(), [BatchId::new("j")]);
        harness.controller.appended(at(1));
        assert!(harness.controller.ledger().jobs().is_empty());
        assert_eq!(harness.controller.held_bytes(), 0);
    }
    assert_eq!(harness.controller.submit(at(2), job("j", 1, 0)), Submission::Pending);
    harness.controller.appended(at(3));
    assert!(harness.controller.ledger().job(&BatchId::new("j")).is_some());
}

/// Guards against a snapshot that is never written under steady load, or that holds what was not committed before it.
#[test]
fn a_snapshot_beside_pending_appends_and_the_records_after_it_yield_the_same_ledger() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 2, 0));
    let committed_records = harness.records.len();
    assert_eq!(harness.controller.submit(at(2), job("pending", 1, 0)), Submission::Pending);
    harness.drain_actions();
    let snapshot = harness.controller.snapshot().expect("a ledger that can be encoded");
    let snapshot = snapshot.expect("a snapshot beside a pending append");
    let committed = Ledger::recover(Some(&snapshot), &[]).expect("a ledger");
    assert!(committed.job(&BatchId::new("pending")).is_none());
    assert_eq!(&committed, harness.controller.ledger());
    let encode = |record: &Record| record.encode().expect("a record");
    let pending: Vec<Vec<u8>> = harness.records[committed_records..].iter().map(encode).collect();
    assert!(!pending.is_empty());
    let recovered = Ledger::recover(Some(&snapshot), &pending).expect("a ledger");
    harness.controller.appended(at(3));
    assert_eq!(&recovered, harness.controller.ledger());
}

/// Guards against a state that is accepted although no snapshot of it fits into the stores beside the one before.
#[test]
fn a_job_is_refused_when_the_state_could_not_be_compacted_any_more() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    let large = |id: &str| {
        let mut job = job(id, 1, 0);
        job.items[0].body = vec![0; 1_000];
        job
    };
    harness.submit(at(1), large("first"));
    harness.controller.set_state_limit(Some(1_500));
    assert_eq!(harness.controller.submit(at(2), large("second")), Submission::Full);
    assert_eq!(harness.controller.submit(at(2), large("first")), Submission::Committed);
    harness.controller.set_state_limit(None);
    assert_eq!(harness.controller.submit(at(3), large("second")), Submission::Pending);
}

/// The records of a snapshot as the codec encodes a list.
#[derive(Debug, speedy::Readable, speedy::Writable)]
struct EncodedSnapshot {
    records: Vec<Record>,
}

/// Guards against a snapshot that another release can't read because its records are encoded one at a time.
#[test]
fn a_snapshot_is_the_encoded_list_of_its_records() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), scored_job("j", 3));
    let run = harness.started[0].run;
    harness.event(at(2), run, 0, 1);
    harness.controller.end(at(3), &BatchId::new("j"));
    harness.commit_appends(at(4));
    let snapshot = harness.controller.ledger().to_snapshot().expect("a ledger that can be encoded");
    let decoded = EncodedSnapshot::read_from_buffer(&snapshot).expect("a list of records");
    assert!(decoded.records.len() >= 4, "{:?}", decoded.records);
    assert_eq!(decoded.write_to_vec().expect("a list that can be encoded"), snapshot);
}
