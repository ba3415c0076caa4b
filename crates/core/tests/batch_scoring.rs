//! Scoring of complete texts: when score requests are sent, listed, retried and given up.

mod batch_support;

use std::collections::BTreeMap;

use batch_support::{MODEL, OwnerHarness, at, job, replica, scored_job, scorer_replica, table};
use lichenpulley_core::batch::controller::RunEnd;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::score_plan::ScoreEnd;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;

fn harness(scorers: &[&str]) -> OwnerHarness {
    bench_of(Ledger::default(), scorers)
}

fn bench_of(ledger: Ledger, scorers: &[&str]) -> OwnerHarness {
    let mut replicas = vec![replica("a", 1)];
    replicas.extend(scorers.iter().map(|id| scorer_replica(id)));
    OwnerHarness::new(ledger, false, &replicas)
}

fn scored(score: &str) -> ScoreEnd {
    ScoreEnd::Scored(score.to_owned())
}

#[test]
fn a_score_request_is_sent_only_after_the_text_is_committed() {
    let mut harness = harness(&["s"]);
    harness.submit(at(1), scored_job("j", 1));
    let run = harness.started[0].run;
    harness.event(at(10), run, 0, 1);
    harness.end(at(20), run, RunEnd::Complete);
    assert!(harness.scores.is_empty(), "the text is not committed yet");
    harness.commit_appends(at(25));
    assert_eq!(harness.scores.len(), 1);
    assert_eq!(harness.scores[0].request.id, "score-j-0");
    assert_eq!(harness.results("j"), 0, "nothing is listed without its score");
}

#[test]
fn a_result_carries_the_signature_of_its_own_scorer() {
    let mut harness = harness(&["s"]);
    harness.run_to_completion(at(1), scored_job("j", 1));
    harness.score_end(at(40), 0, scored("seal-0"));
    assert_eq!(harness.results("j"), 0, "the score is not committed yet");
    harness.commit_appends(at(45));
    let ledger = harness.controller.ledger();
    let result = &ledger.job(&BatchId::new("j")).expect("the job").results[0];
    assert_eq!((result.text.as_str(), result.score.as_deref()), ("d0", Some("seal-0")));
}

#[test]
fn an_item_without_a_scorer_is_listed_unscored() {
    let mut harness = harness(&["s"]);
    harness.run_to_completion(at(1), job("j", 1, 0));
    assert!(harness.scores.is_empty());
    assert_eq!(harness.results("j"), 1);
}

#[test]
fn a_new_owner_repeats_the_score_request_but_not_the_generation() {
    let mut first = harness(&["s"]);
    first.run_to_completion(at(1), scored_job("j", 1));
    let next = bench_of(first.ledger_of_records(), &["s"]);
    assert!(next.started.is_empty(), "the text is complete");
    assert_eq!(next.scores.len(), 1);
}

/// Guards against a pending record of a text that brings an ended job back.
#[test]
fn no_score_is_requested_for_a_text_committed_after_its_job_ended() {
    let mut harness = harness(&["s"]);
    harness.submit(at(1), scored_job("j", 1));
    harness.commit_appends(at(1));
    let run = harness.started[0].run;
    harness.event(at(2), run, 0, 1);
    harness.end(at(3), run, RunEnd::Complete);
    assert_eq!(harness.controller.end(at(4), &BatchId::new("j")), Some(false));
    harness.drain_actions();
    harness.commit_appends(at(5));
    harness.controller.tick(at(500));
    harness.drain_actions();
    assert!(harness.scores.is_empty() && harness.started.len() == 1);
}

#[test]
fn a_snapshot_preserves_texts_that_await_scores() {
    let mut first = harness(&["s"]);
    first.run_to_completion(at(1), scored_job("j", 1));
    first.score_end(at(30), 0, ScoreEnd::Failed);
    first.commit_appends(at(31));
    let bytes = first.controller.ledger().to_snapshot().expect("a snapshot");
    let ledger = Ledger::recover(Some(&bytes), &[]).expect("a ledger");
    assert_eq!(&ledger, first.controller.ledger());
}

#[test]
fn an_unanswered_request_is_retried_on_another_replica_at_once() {
    let mut harness = harness(&["s", "t"]);
    harness.run_to_completion(at(1), scored_job("j", 1));
    harness.score_end(at(30), 0, ScoreEnd::Broken);
    assert_eq!(harness.scores.len(), 2);
    assert_ne!(harness.scores[0].replica.id, harness.scores[1].replica.id);
    assert_eq!(harness.results("j"), 0);
}

#[test]
fn score_failures_count_across_owners_up_to_the_limit_of_the_route() {
    let mut first = harness(&["s", "t"]);
    first.run_to_completion(at(1), scored_job("j", 1));
    first.score_end(at(30), 0, ScoreEnd::Failed);
    first.commit_appends(at(31));
    let mut next = bench_of(first.ledger_of_records(), &["s", "t"]);
    next.score_end(at(10), 0, ScoreEnd::Failed);
    next.commit_appends(at(11));
    assert_eq!(next.results("j"), 0, "two of three failures");
    next.score_end(at(20), 1, ScoreEnd::Broken);
    next.controller.tick(at(200));
    next.commit_appends(at(200));
    assert_eq!(next.results("j"), 0, "a lost answer is not a failure");
    next.score_end(at(220), 2, ScoreEnd::Failed);
    next.commit_appends(at(221));
    let ledger = next.controller.ledger();
    let result = &ledger.job(&BatchId::new("j")).expect("the job").results[0];
    assert!(!result.is_complete && result.score.is_none());
}

#[test]
fn ending_a_job_cancels_its_score_requests() {
    let mut harness = harness(&["s"]);
    harness.run_to_completion(at(1), scored_job("j", 1));
    assert_eq!(harness.controller.end(at(30), &BatchId::new("j")), Some(false));
    harness.commit_appends(at(30));
    assert_eq!(harness.stopped_scores, [harness.scores[0].id]);
    harness.score_end(at(31), 0, scored("late"));
    harness.controller.tick(at(300));
    harness.commit_appends(at(300));
    assert_eq!((harness.results("j"), harness.scores.len()), (0, 1));
}

#[test]
fn score_requests_leave_slots_for_live_requests() {
    let mut harness = harness(&["s"]);
    for number in 0..8 {
        harness.run_to_completion(at(100 * number + 1), scored_job(&format!("j{number}"), 1));
    }
    // A quarter of the six slots, rounded up, stays free.
    assert_eq!(harness.scores.len(), 4);
    harness.score_end_with(at(900), 0, scored("seal"), Some(4));
    assert_eq!(harness.scores.len(), 5);
    harness.score_end_with(at(910), 1, scored("seal"), Some(6));
    assert_eq!(harness.scores.len(), 5, "live requests use the slots");
    harness.controller.tick(at(1_400));
    harness.commit_appends(at(1_400));
    assert_eq!(harness.scores.len(), 6, "an old load report is no longer used");
}

#[test]
fn the_retry_budget_limits_requests_to_a_failing_service() {
    let mut harness = harness(&["s", "t"]);
    let items = 40;
    for number in 0..items {
        harness.run_to_completion(at(number + 1), scored_job(&format!("j{number}"), 1));
    }
    let mut answered = 0;
    let mut now = 100;
    while now < 10_000 {
        while answered < harness.scores.len() {
            harness.score_end(at(now), answered, ScoreEnd::Broken);
            answered += 1;
        }
        now += 50;
        harness.controller.tick(at(now));
        harness.commit_appends(at(now));
    }
    // The budget is eight retries from forty first requests, plus four a second for ten seconds.
    let max_requests = items as usize + 40 + 8 + 40;
    assert!((80..=max_requests + 1).contains(&harness.scores.len()), "{}", harness.scores.len());
}

#[test]
fn a_request_waits_while_its_route_is_missing() {
    let mut harness = harness(&["s"]);
    let mut routes = batch_support::routes(false).as_ref().clone();
    let scorer_route = routes.routes.pop().expect("the scorer's route");
    harness.controller.update(
        at(0),
        Some(std::sync::Arc::new(routes.clone())),
        &table(&[replica("a", 1), scorer_replica("s")]),
        &BTreeMap::new(),
    );
    harness.run_to_completion(at(1), scored_job("j", 1));
    assert!(harness.scores.is_empty());
    routes.routes.push(scorer_route);
    harness.controller.update(
        at(50),
        Some(std::sync::Arc::new(routes)),
        &table(&[replica("a", 1), scorer_replica("s")]),
        &BTreeMap::new(),
    );
    harness.commit_appends(at(50));
    assert_eq!(harness.scores.len(), 1);
}

#[test]
fn a_draining_replica_gets_no_score_requests() {
    let mut harness = harness(&["s"]);
    let mut draining = scorer_replica("s");
    draining.is_draining = true;
    harness.controller.update(at(0), None, &table(&[replica("a", 1), draining]), &BTreeMap::new());
    harness.run_to_completion(at(1), scored_job("j", 1));
    assert!(harness.scores.is_empty());
}

#[test]
fn a_score_without_a_complete_text_is_not_listed() {
    let mut harness = harness(&["s"]);
    harness.submit(at(1), scored_job("j", 1));
    let mut ledger = harness.ledger_of_records();
    let batch = BatchId::new("j");
    ledger.apply(Record::Scored { batch: batch.clone(), item: 0, score: "seal".to_owned() });
    assert!(ledger.job(&batch).expect("the job").results.is_empty());
    assert_eq!(MODEL, "pricing");
}

/// Guards against an item that is never scored, because every attempt at the only scorer times out after the
/// same time.
#[test]
fn the_timeout_of_the_only_scorer_grows_up_to_the_limit_of_the_route() {
    let mut harness = harness(&["s"]);
    harness.run_to_completion(at(1), scored_job("j", 1));
    for (position, now_ms) in [(0, 700), (1, 2_700)] {
        harness.score_end(at(now_ms), position, ScoreEnd::Broken);
        harness.controller.tick(at(now_ms + 1_000));
        harness.drain_actions();
    }
    let timeouts: Vec<u128> = harness.scores.iter().map(|start| start.timeout.as_millis()).collect();
    assert_eq!(timeouts, [600, 1_200, 1_500]);
}

#[test]
fn the_timeout_grows_only_for_replicas_that_timed_out() {
    let mut harness = harness(&["s", "t"]);
    harness.run_to_completion(at(1), scored_job("j", 1));
    harness.score_end(at(700), 0, ScoreEnd::Broken);
    harness.controller.tick(at(1_700));
    harness.drain_actions();
    assert_ne!(harness.scores[0].replica.id, harness.scores[1].replica.id);
    assert_eq!(harness.scores[1].timeout, harness.scores[0].timeout);
    harness.score_end(at(1_800), 1, ScoreEnd::Rejected);
    harness.controller.tick(at(2_800));
    harness.drain_actions();
    assert!(
        harness.scores[2].timeout <= harness.scores[0].timeout * 2,
        "a rejection does not extend the timeout"
    );
}

/// Guards against an owner that sends score requests to a slow replica although a fast one is free, and that does not
/// know the base latencies that gateways ask for.
#[test]
fn score_requests_prefer_fast_replicas_and_measure_their_base_latencies() {
    let mut harness = harness(&["fast", "slow"]);
    let mut now = 1;
    for number in 0..30 {
        harness.run_to_completion(at(now), scored_job(&format!("j{number}"), 1));
        let replica = harness.scores[number].replica.id.clone();
        let (base_ms, is_slowed) = if replica == "fast" { (40, number % 5 == 0) } else { (120, false) };
        let pace = if is_slowed { 250 } else { 100 };
        now += base_ms * pace / 100;
        let load = ReplicaLoad { running: 1, waiting: 0, slots: 6, pace_percent: Some(pace as u32) };
        let id = harness.scores[number].id;
        harness.controller.score_ended(at(now), id, &scored("seal"), Some(load));
        harness.drain_actions();
        // The next request comes after the reported pace has expired.
        now += 1_000;
    }
    let fast = harness.scores.iter().filter(|start| start.replica.id == "fast").count();
    assert!(fast >= 28, "{fast} of 30 went to the fast replica");
    let asked = ["slow", "fast", "unknown"].map(str::to_owned);
    let bases = harness.controller.base_latencies(&asked);
    assert_eq!(bases, [None, Some(40_000), None], "one answer of the slow replica is too few");
}
