//! The owner of batch jobs: starting, listing, resuming and giving up items.

mod batch_support;

use std::collections::BTreeMap;

use batch_support::{MODEL, OwnerHarness, at, job, replica, table};
use lichenpulley_core::batch::controller::{ControllerConfig, RunEnd, Submission};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::pending_ends::EndKey;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::weights::LoadEnd;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::replicas::ReplicaRecord;

#[test]
fn items_start_and_results_are_listed_only_after_their_records_are_committed() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    assert_eq!(harness.controller.submit(at(1), job("j", 1, 0)), Submission::Pending);
    harness.drain_actions();
    assert!(harness.started.is_empty(), "the record is not committed yet");
    harness.commit_appends(at(5));
    let run = harness.started[0].run;
    harness.event(at(10), run, 0, 1);
    harness.end(at(20), run, RunEnd::Complete);
    assert_eq!(harness.results("j"), 0, "the result is not committed yet");
    harness.commit_appends(at(25));
    assert_eq!(harness.results("j"), 1);
    let result = &harness.controller.ledger().job(&BatchId::new("j")).expect("the job").results[0];
    assert_eq!((result.text.as_str(), result.versions.as_slice()), ("d0", [1].as_slice()));
}

#[test]
fn a_job_submitted_twice_is_accepted_once() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    assert_eq!(harness.controller.submit(at(1), job("j", 1, 0)), Submission::Pending);
    assert_eq!(harness.controller.submit(at(2), job("j", 1, 0)), Submission::Pending);
    harness.commit_appends(at(5));
    assert_eq!(harness.controller.submit(at(6), job("j", 1, 0)), Submission::Committed);
    let accepted = harness.records.iter().filter(|record| matches!(record, Record::Accepted(_))).count();
    assert_eq!((accepted, harness.started.len()), (1, 1));
}

#[test]
fn a_broken_run_resumes_after_its_last_event_on_another_replica() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let first = harness.started[0].clone();
    harness.event(at(10), first.run, 0, 1);
    harness.event(at(20), first.run, 1, 1);
    harness.end(at(30), first.run, RunEnd::Broken);
    let second = harness.started[1].clone();
    assert_eq!(second.last_event, Some(1));
    assert_ne!(second.replica.id, first.replica.id);
    harness.event(at(40), first.run, 2, 1);
    harness.event(at(50), second.run, 2, 2);
    harness.end(at(60), second.run, RunEnd::Complete);
    harness.commit_appends(at(70));
    let job = harness.controller.ledger().job(&BatchId::new("j")).expect("the job");
    assert_eq!(job.results[0].text, "d0\nd1\nd2", "output of a stopped run is ignored");
    assert_eq!(job.results[0].versions, [1, 2]);
}

#[test]
fn a_gap_in_the_events_breaks_the_run() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let first = harness.started[0].run;
    harness.event(at(10), first, 0, 1);
    harness.event(at(20), first, 2, 1);
    assert!(harness.stopped.contains(&first));
    assert_eq!(harness.started[1].last_event, Some(0));
}

#[test]
fn ending_a_job_stops_its_runs_and_starts_no_more() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 5, 0));
    assert_eq!(harness.started.len(), 2, "one for each slot");
    assert_eq!(harness.controller.end(at(10), &BatchId::new("j")), Some(false));
    harness.drain_actions();
    assert_eq!(harness.stopped.len(), 2);
    harness.commit_appends(at(20));
    harness.controller.tick(at(500));
    harness.commit_appends(at(500));
    assert_eq!(harness.started.len(), 2);
    assert_eq!(harness.controller.end(at(600), &BatchId::new("j")), Some(true));
    assert_eq!(harness.controller.end(at(600), &BatchId::new("other")), None);
}

#[test]
fn an_owner_that_awaits_held_ends_starts_only_items_of_jobs_without_one() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[]);
    for id in ["ended", "open"] {
        harness.submit(at(1), job(id, 1, 0));
    }
    harness.controller.await_ends();
    harness.controller.update(at(2), None, &table(&[replica("a", 1)]), &BTreeMap::new());
    harness.drain_actions();
    assert!(harness.started.is_empty());
    let end = EndKey { batch: BatchId::new("ended"), caller: None };
    harness.controller.end_held(at(3), &[end.clone(), end]);
    harness.drain_actions();
    let started: Vec<&str> = harness.started.iter().map(|start| start.item.id.as_str()).collect();
    assert_eq!(started, ["open-0"]);
    harness.commit_appends(at(4));
    let ended = harness.records.iter().filter(|record| matches!(record, Record::Ended(_))).count();
    assert_eq!(ended, 1);
}

#[test]
fn replicas_and_events_below_the_minimum_version_are_rejected() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 2));
    assert!(harness.started.is_empty());
    harness.controller.update(at(2), None, &table(&[replica("a", 2)]), &BTreeMap::new());
    harness.drain_actions();
    let run = harness.started[0].run;
    harness.event(at(10), run, 0, 1);
    assert!(harness.stopped.contains(&run), "the event shows that the replica still has the old version");
    harness.commit_appends(at(20));
    assert_eq!(harness.results("j"), 0);
}

#[test]
fn a_version_change_restarts_the_text_on_a_single_version_route() {
    let mut harness = OwnerHarness::new(Ledger::default(), true, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let first = harness.started[0].run;
    harness.event(at(10), first, 0, 1);
    harness.event(at(20), first, 1, 2);
    assert!(harness.stopped.contains(&first));
    assert_eq!(harness.started[1].last_event, None);
    let second = harness.started[1].run;
    harness.event(at(30), second, 0, 2);
    harness.end(at(40), second, RunEnd::Complete);
    harness.commit_appends(at(50));
    let job = harness.controller.ledger().job(&BatchId::new("j")).expect("the job");
    assert_eq!((job.results[0].text.as_str(), job.results[0].versions.as_slice()), ("d0", [2].as_slice()));
}

#[test]
fn failures_count_across_owners_up_to_the_limit_of_the_route() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    harness.end(at(10), harness.started[0].run, RunEnd::Failed);
    harness.end(at(20), harness.started[1].run, RunEnd::Failed);
    harness.commit_appends(at(30));
    assert_eq!(harness.results("j"), 0);
    let mut next = OwnerHarness::new(harness.ledger_of_records(), false, &[replica("a", 1)]);
    assert_eq!(next.started.len(), 1);
    next.end(at(10), next.started[0].run, RunEnd::Failed);
    next.commit_appends(at(20));
    let job = next.controller.ledger().job(&BatchId::new("j")).expect("the job");
    assert!(!job.results[0].is_complete);
    assert_eq!(next.started.len(), 1, "the item is not started again");
}

#[test]
fn an_unprocessable_item_is_given_up_at_once() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    harness.end(at(10), harness.started[0].run, RunEnd::Unprocessable);
    harness.commit_appends(at(20));
    assert_eq!((harness.results("j"), harness.started.len()), (1, 1));
}

#[test]
fn an_item_expires_only_after_the_maximum_queue_time_of_its_route() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[]);
    harness.submit(at(1), job("j", 1, 0));
    harness.controller.tick(at(40_000));
    harness.commit_appends(at(40_000));
    assert_eq!(harness.results("j"), 0);
    harness.controller.tick(at(41_000));
    harness.commit_appends(at(41_000));
    assert_eq!(harness.results("j"), 1);
}

#[test]
fn without_a_confirmed_authority_nothing_is_started_or_ordered() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.controller.set_confirmed(false);
    harness.submit(at(1), job("j", 1, 0));
    let announced = BTreeMap::from([(MODEL.to_owned(), 2)]);
    harness.controller.update(at(2), None, &table(&[replica("a", 1)]), &announced);
    harness.drain_actions();
    assert!(harness.started.is_empty() && harness.loads.is_empty());
    harness.controller.set_confirmed(true);
    harness.controller.tick(at(400));
    harness.commit_appends(at(400));
    assert_eq!(harness.loads, [("a".to_owned(), 2)]);
}

#[test]
fn a_stalled_run_resumes_on_another_replica() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let first = harness.started[0].clone();
    harness.event(at(10), first.run, 0, 1);
    harness.controller.tick(at(800));
    harness.drain_actions();
    assert!(harness.stopped.is_empty());
    harness.controller.tick(at(1_000));
    harness.drain_actions();
    assert_eq!(harness.stopped, [first.run]);
    assert_ne!(harness.started[1].replica.id, first.replica.id);
}

#[test]
fn a_new_owner_resumes_from_committed_progress() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let run = harness.started[0].run;
    for number in 0..100 {
        harness.event(at(10 + 40 * number), run, number, 1);
    }
    harness.commit_appends(at(5_000));
    let next = OwnerHarness::new(harness.ledger_of_records(), false, &[replica("a", 1)]);
    let resumed = next.started[0].last_event.expect("progress");
    assert!((60..100).contains(&resumed), "{resumed}");
}

#[test]
fn at_most_two_replicas_of_a_service_load_at_a_time() {
    let replicas: Vec<ReplicaRecord> = ["a", "b", "c", "d"].map(|id| replica(id, 1)).to_vec();
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    let announced = BTreeMap::from([(MODEL.to_owned(), 2)]);
    harness.controller.update(at(1), None, &table(&replicas), &announced);
    harness.drain_actions();
    assert_eq!(harness.loads.len(), 0, "loads are delayed so that the items of the new step start first");
    harness.controller.tick(at(400));
    harness.commit_appends(at(400));
    assert_eq!(harness.loads.len(), 2);
    let loaded = harness.loads[0].0.clone();
    harness.controller.load_ended(at(900), &loaded, &LoadEnd { versions: announced, time: None });
    harness.commit_appends(at(900));
    assert_eq!(harness.loads.len(), 3);
}

#[test]
fn records_repeated_records_and_snapshots_yield_the_same_ledger() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 3, 0));
    harness.event(at(10), harness.started[0].run, 0, 1);
    harness.end(at(20), harness.started[0].run, RunEnd::Complete);
    harness.commit_appends(at(30));
    harness.end(at(40), harness.started[1].run, RunEnd::Failed);
    harness.controller.end(at(50), &BatchId::new("j"));
    harness.commit_appends(at(60));
    let ledger = harness.controller.ledger().clone();
    assert_eq!(harness.ledger_of_records(), ledger);
    let mut twice = ledger.clone();
    harness.records.iter().cloned().for_each(|record| twice.apply(record));
    assert_eq!(twice, ledger);
    let snapshot = ledger.to_snapshot().expect("a snapshot");
    assert_eq!(Ledger::recover(Some(&snapshot), &[]).expect("a ledger"), ledger);
}

#[test]
fn dropping_a_job_releases_the_bytes_of_its_items_and_texts() {
    let config = ControllerConfig { capacity_bytes: 600, ..ControllerConfig::default() };
    let mut harness = OwnerHarness::with_config(config, Ledger::default(), false, &[replica("a", 1)]);
    for round in 0..20 {
        let began = round * 200_000;
        let id = format!("j{round}");
        harness.submit(at(began + 1), job(&id, 1, 0));
        let run = harness.started.last().expect("a run").run;
        for number in 0..50 {
            harness.event(at(began + 2), run, number, 1);
        }
        harness.end(at(began + 3), run, RunEnd::Complete);
        harness.commit_appends(at(began + 4));
        harness.controller.tick(at(began + 150_000));
        harness.commit_appends(at(began + 150_000));
        assert!(harness.controller.ledger().jobs().is_empty(), "the job is dropped after its retention");
    }
}

/// Guards against events being written to the log twice: a text recorded in parts is completed by its last
/// events only.
#[test]
fn each_event_is_written_once_and_later_owners_list_the_complete_text() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let run = harness.started[0].run;
    for number in 0..100 {
        harness.event(at(10 + 40 * number), run, number, 1);
    }
    harness.end(at(4_100), run, RunEnd::Complete);
    harness.commit_appends(at(4_200));
    let written = harness.records.iter().map(|record| match record {
        Record::Progress { events, .. } | Record::Completed { events, .. } => events.len(),
        Record::Listed { .. } => panic!("the complete text is written a second time"),
        _ => 0,
    });
    assert_eq!(written.sum::<usize>(), 100);
    let job_results = &harness.controller.ledger().job(&BatchId::new("j")).expect("the job").results;
    assert!(job_results[0].is_complete);
    assert_eq!(job_results[0].text.lines().count(), 100);
    assert_eq!(&harness.ledger_of_records().job(&BatchId::new("j")).expect("the job").results, job_results);
}

/// Guards against mixing events of the discarded text into one that a version change restarted.
#[test]
fn a_restarted_text_is_listed_without_its_earlier_events() {
    let mut harness = OwnerHarness::new(Ledger::default(), true, &[replica("a", 1), replica("b", 2)]);
    harness.submit(at(1), job("j", 1, 0));
    let first = harness.started[0].run;
    harness.event(at(10), first, 0, 1);
    harness.event(at(50), first, 1, 2);
    harness.commit_appends(at(60));
    harness.controller.tick(at(2_000));
    harness.drain_actions();
    let second = harness.started.last().expect("a second run");
    assert_eq!(second.last_event, None);
    let run = second.run;
    for number in 0..3 {
        harness.event(at(2_010 + number), run, number, 2);
    }
    harness.end(at(2_020), run, RunEnd::Complete);
    harness.commit_appends(at(2_030));
    let ledger = harness.ledger_of_records();
    let result = &ledger.job(&BatchId::new("j")).expect("the job").results[0];
    assert_eq!((result.text.lines().count(), result.versions.clone()), (3, vec![2]));
}
