//! What counts towards the capacity of the owner of batch jobs.

mod batch_support;

use batch_support::{MODEL, OwnerHarness, at, job, replica, scored_job};
use lichenpulley_core::batch::controller::{ControllerConfig, Submission};
use lichenpulley_core::batch::job::OutputEvent;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::BatchId;

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
