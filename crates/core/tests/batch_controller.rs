//! The owner of batch jobs: what it starts, lists, resumes and gives up.

mod batch_support;

use std::collections::BTreeMap;

use batch_support::{MODEL, OwnerHarness, at, job, replica, table};
use lichenpulley_core::batch::controller::{ControllerConfig, RunEnd, Submission};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::weights::LoadEnd;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::replicas::ReplicaRecord;

#[test]
fn nothing_runs_before_the_job_is_kept_and_nothing_is_listed_before_its_record_is() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    assert_eq!(bench.controller.submit(at(1), job("j", 1, 0)), Submission::Pending);
    bench.drain_actions();
    assert!(bench.started.is_empty(), "the record is not decided yet");
    bench.commit_appends(at(5));
    let run = bench.started[0].run;
    bench.event(at(10), run, 0, 1);
    bench.end(at(20), run, RunEnd::Complete);
    assert_eq!(bench.results("j"), 0, "the result is not decided yet");
    bench.commit_appends(at(25));
    assert_eq!(bench.results("j"), 1);
    let result = &bench.controller.ledger().job(&BatchId::new("j")).expect("the job").results[0];
    assert_eq!((result.text.as_str(), result.versions.as_slice()), ("d0", [1].as_slice()));
}

#[test]
fn a_job_that_comes_twice_is_taken_once() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    assert_eq!(bench.controller.submit(at(1), job("j", 1, 0)), Submission::Pending);
    assert_eq!(bench.controller.submit(at(2), job("j", 1, 0)), Submission::Pending);
    bench.commit_appends(at(5));
    assert_eq!(bench.controller.submit(at(6), job("j", 1, 0)), Submission::Committed);
    let accepted = bench.records.iter().filter(|record| matches!(record, Record::Accepted(_))).count();
    assert_eq!((accepted, bench.started.len()), (1, 1));
}

#[test]
fn a_broken_run_is_resumed_after_its_last_event_at_another_replica() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let first = bench.started[0].clone();
    bench.event(at(10), first.run, 0, 1);
    bench.event(at(20), first.run, 1, 1);
    bench.end(at(30), first.run, RunEnd::Broken);
    let second = bench.started[1].clone();
    assert_eq!(second.last_event, Some(1));
    assert_ne!(second.replica.id, first.replica.id);
    bench.event(at(40), first.run, 2, 1);
    bench.event(at(50), second.run, 2, 2);
    bench.end(at(60), second.run, RunEnd::Complete);
    bench.commit_appends(at(70));
    let job = bench.controller.ledger().job(&BatchId::new("j")).expect("the job");
    assert_eq!(job.results[0].text, "d0\nd1\nd2", "what a run gave after it was stopped is not taken");
    assert_eq!(job.results[0].versions, [1, 2]);
}

#[test]
fn an_event_that_is_missing_is_never_passed_over() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let first = bench.started[0].run;
    bench.event(at(10), first, 0, 1);
    bench.event(at(20), first, 2, 1);
    assert!(bench.stopped.contains(&first));
    assert_eq!(bench.started[1].last_event, Some(0));
}

#[test]
fn an_ended_job_is_stopped_at_once_and_starts_nothing_more() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 5, 0));
    assert_eq!(bench.started.len(), 2, "as many as there are slots");
    assert_eq!(bench.controller.end(at(10), &BatchId::new("j")), Some(false));
    bench.drain_actions();
    assert_eq!(bench.stopped.len(), 2);
    bench.commit_appends(at(20));
    bench.controller.tick(at(500));
    bench.commit_appends(at(500));
    assert_eq!(bench.started.len(), 2);
    assert_eq!(bench.controller.end(at(600), &BatchId::new("j")), Some(true));
    assert_eq!(bench.controller.end(at(600), &BatchId::new("other")), None);
}

#[test]
fn a_replica_with_too_old_weights_runs_nothing_and_its_events_are_not_kept() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 2));
    assert!(bench.started.is_empty());
    bench.controller.update(at(2), None, &table(&[replica("a", 2)]), &BTreeMap::new());
    bench.drain_actions();
    let run = bench.started[0].run;
    bench.event(at(10), run, 0, 1);
    assert!(bench.stopped.contains(&run), "the replica says that it has the old weights after all");
    bench.commit_appends(at(20));
    assert_eq!(bench.results("j"), 0);
}

#[test]
fn a_text_of_a_single_version_route_is_begun_anew_when_the_version_changes() {
    let mut bench = OwnerHarness::new(Ledger::default(), true, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let first = bench.started[0].run;
    bench.event(at(10), first, 0, 1);
    bench.event(at(20), first, 1, 2);
    assert!(bench.stopped.contains(&first));
    assert_eq!(bench.started[1].last_event, None);
    let second = bench.started[1].run;
    bench.event(at(30), second, 0, 2);
    bench.end(at(40), second, RunEnd::Complete);
    bench.commit_appends(at(50));
    let job = bench.controller.ledger().job(&BatchId::new("j")).expect("the job");
    assert_eq!((job.results[0].text.as_str(), job.results[0].versions.as_slice()), ("d0", [2].as_slice()));
}

#[test]
fn an_item_is_given_up_after_as_many_failures_as_the_route_allows_also_across_owners() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    bench.end(at(10), bench.started[0].run, RunEnd::Failed);
    bench.end(at(20), bench.started[1].run, RunEnd::Failed);
    bench.commit_appends(at(30));
    assert_eq!(bench.results("j"), 0);
    let mut next = OwnerHarness::new(bench.ledger_of_records(), false, &[replica("a", 1)]);
    assert_eq!(next.started.len(), 1);
    next.end(at(10), next.started[0].run, RunEnd::Failed);
    next.commit_appends(at(20));
    let job = next.controller.ledger().job(&BatchId::new("j")).expect("the job");
    assert!(!job.results[0].is_complete);
    assert_eq!(next.started.len(), 1, "it runs no more");
}

#[test]
fn an_item_that_can_never_be_done_is_given_up_at_once() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    bench.end(at(10), bench.started[0].run, RunEnd::Unprocessable);
    bench.commit_appends(at(20));
    assert_eq!((bench.results("j"), bench.started.len()), (1, 1));
}

#[test]
fn an_item_is_given_up_for_its_age_no_sooner_than_the_route_allows() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[]);
    bench.submit(at(1), job("j", 1, 0));
    bench.controller.tick(at(40_000));
    bench.commit_appends(at(40_000));
    assert_eq!(bench.results("j"), 0);
    bench.controller.tick(at(41_000));
    bench.commit_appends(at(41_000));
    assert_eq!(bench.results("j"), 1);
}

#[test]
fn without_a_confirmed_authority_nothing_is_started_or_ordered() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.controller.set_confirmed(false);
    bench.submit(at(1), job("j", 1, 0));
    let named = BTreeMap::from([(MODEL.to_owned(), 2)]);
    bench.controller.update(at(2), None, &table(&[replica("a", 1)]), &named);
    bench.drain_actions();
    assert!(bench.started.is_empty() && bench.loads.is_empty());
    bench.controller.set_confirmed(true);
    bench.controller.tick(at(400));
    bench.commit_appends(at(400));
    assert_eq!(bench.loads, [("a".to_owned(), 2)]);
}

#[test]
fn a_stalled_run_is_taken_up_elsewhere() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let first = bench.started[0].clone();
    bench.event(at(10), first.run, 0, 1);
    bench.controller.tick(at(800));
    bench.drain_actions();
    assert!(bench.stopped.is_empty());
    bench.controller.tick(at(1_000));
    bench.drain_actions();
    assert_eq!(bench.stopped, [first.run]);
    assert_ne!(bench.started[1].replica.id, first.replica.id);
}

#[test]
fn a_new_owner_resumes_from_the_progress_that_was_kept() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let run = bench.started[0].run;
    for number in 0..100 {
        bench.event(at(10 + 40 * number), run, number, 1);
    }
    bench.commit_appends(at(5_000));
    let next = OwnerHarness::new(bench.ledger_of_records(), false, &[replica("a", 1)]);
    let resumed = next.started[0].last_event.expect("progress");
    assert!((60..100).contains(&resumed), "{resumed}");
}

#[test]
fn at_most_two_replicas_of_a_service_load_at_a_time() {
    let replicas: Vec<ReplicaRecord> = ["a", "b", "c", "d"].map(|id| replica(id, 1)).to_vec();
    let mut bench = OwnerHarness::new(Ledger::default(), false, &replicas);
    let named = BTreeMap::from([(MODEL.to_owned(), 2)]);
    bench.controller.update(at(1), None, &table(&replicas), &named);
    bench.drain_actions();
    assert_eq!(bench.loads.len(), 0, "the step that is asked for with the version fills the slots first");
    bench.controller.tick(at(400));
    bench.commit_appends(at(400));
    assert_eq!(bench.loads.len(), 2);
    let loaded = bench.loads[0].0.clone();
    bench.controller.load_ended(at(900), &loaded, &LoadEnd { versions: named, time: None });
    bench.commit_appends(at(900));
    assert_eq!(bench.loads.len(), 3);
}

#[test]
fn a_ledger_is_the_same_from_its_records_from_its_snapshot_and_from_records_applied_twice() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 3, 0));
    bench.event(at(10), bench.started[0].run, 0, 1);
    bench.end(at(20), bench.started[0].run, RunEnd::Complete);
    bench.commit_appends(at(30));
    bench.end(at(40), bench.started[1].run, RunEnd::Failed);
    bench.controller.end(at(50), &BatchId::new("j"));
    bench.commit_appends(at(60));
    let ledger = bench.controller.ledger().clone();
    assert_eq!(bench.ledger_of_records(), ledger);
    let mut twice = ledger.clone();
    bench.records.iter().cloned().for_each(|record| twice.apply(record));
    assert_eq!(twice, ledger);
    let snapshot = ledger.to_snapshot().expect("a snapshot");
    assert_eq!(Ledger::recover(Some(&snapshot), &[]).expect("a ledger"), ledger);
}

#[test]
fn a_dropped_job_gives_all_its_room_back_also_that_of_its_texts() {
    let config = ControllerConfig { capacity_bytes: 600, ..ControllerConfig::default() };
    let mut bench = OwnerHarness::with_config(config, Ledger::default(), false, &[replica("a", 1)]);
    for round in 0..20 {
        let began = round * 200_000;
        let id = format!("j{round}");
        bench.submit(at(began + 1), job(&id, 1, 0));
        let run = bench.started.last().expect("a run").run;
        for number in 0..50 {
            bench.event(at(began + 2), run, number, 1);
        }
        bench.end(at(began + 3), run, RunEnd::Complete);
        bench.commit_appends(at(began + 4));
        bench.controller.tick(at(began + 150_000));
        bench.commit_appends(at(began + 150_000));
        assert!(bench.controller.ledger().jobs().is_empty(), "it is past its retention");
    }
}

/// A text that was kept piece by piece is listed by its last pieces alone: the log holds each event once.
#[test]
fn no_event_is_written_twice_and_a_listed_text_is_whole_for_every_later_owner() {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let run = bench.started[0].run;
    for number in 0..100 {
        bench.event(at(10 + 40 * number), run, number, 1);
    }
    bench.end(at(4_100), run, RunEnd::Complete);
    bench.commit_appends(at(4_200));
    let written = bench.records.iter().map(|record| match record {
        Record::Progress { events, .. } | Record::Completed { events, .. } => events.len(),
        Record::Listed { .. } => panic!("the text is written again as a whole"),
        _ => 0,
    });
    assert_eq!(written.sum::<usize>(), 100);
    let whole = &bench.controller.ledger().job(&BatchId::new("j")).expect("the job").results;
    assert!(whole[0].is_complete);
    assert_eq!(whole[0].text.lines().count(), 100);
    assert_eq!(&bench.ledger_of_records().job(&BatchId::new("j")).expect("the job").results, whole);
}

/// A text that was begun anew, because its version changed, stands on nothing that the stores kept of it before.
#[test]
fn a_text_that_was_begun_anew_is_listed_from_its_new_beginning() {
    let mut bench = OwnerHarness::new(Ledger::default(), true, &[replica("a", 1), replica("b", 2)]);
    bench.submit(at(1), job("j", 1, 0));
    let first = bench.started[0].run;
    bench.event(at(10), first, 0, 1);
    bench.event(at(50), first, 1, 2);
    bench.commit_appends(at(60));
    bench.controller.tick(at(2_000));
    bench.drain_actions();
    let second = bench.started.last().expect("a second run");
    assert_eq!(second.last_event, None);
    let run = second.run;
    for number in 0..3 {
        bench.event(at(2_010 + number), run, number, 2);
    }
    bench.end(at(2_020), run, RunEnd::Complete);
    bench.commit_appends(at(2_030));
    let ledger = bench.ledger_of_records();
    let result = &ledger.job(&BatchId::new("j")).expect("the job").results[0];
    assert_eq!((result.text.lines().count(), result.versions.clone()), (3, vec![2]));
}
