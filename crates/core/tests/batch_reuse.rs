//! Items that appear again in a later job: which texts and scores of the earlier job are used, and that none
//! is used, lost or doubled wrongly when an owner, a text or the earlier job is lost.

mod batch_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch_support::{OwnerHarness, at, job, replica, routes, scored_job, scorer_replica, table};
use lichenpulley_core::batch::controller::{
    Controller, ControllerConfig, ReuseCounts, RunEnd, RunStart, Submission,
};
use lichenpulley_core::batch::job::{BatchJob, ItemResult, OutputEvent};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::outline::{EventOutline, OutlineKind};
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::score_plan::ScoreEnd;
use lichenpulley_core::identity::{BatchId, Epoch, TenantName};
use lichenpulley_core::ingress::replicas::ReplicaRecord;

/// A job of the same items under another id.
fn again(job: &BatchJob, id: &str) -> BatchJob {
    BatchJob { id: BatchId::new(id), ..job.clone() }
}

fn replicas(version: u64) -> Vec<ReplicaRecord> {
    vec![replica("a", version), scorer_replica("s")]
}

fn owner_of(ledger: Ledger) -> OwnerHarness {
    OwnerHarness::new(ledger, false, &replicas(1))
}

fn owner() -> OwnerHarness {
    owner_of(Ledger::default())
}

fn events(versions: &[u64]) -> Vec<OutputEvent> {
    let event = |(number, version): (u64, &u64)| OutputEvent {
        number,
        version: *version,
        data: format!("d{number}"),
    };
    (0..).zip(versions).map(event).collect()
}

/// How far the only item of an ended job came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Partial,
    Generated,
    Scored,
}

/// Returns the records of an ended job, whose only item has a text of these versions.
fn ended(job: &BatchJob, versions: &[u64], progress: Progress) -> Vec<Record> {
    let (batch, item) = (job.id.clone(), 0);
    let mut records = vec![Record::Clock(1), Record::Accepted(job.clone())];
    match progress {
        Progress::Partial => {
            records.push(Record::Progress { batch: batch.clone(), item, events: events(versions) });
        }
        Progress::Generated | Progress::Scored => {
            let (batch, events) = (batch.clone(), events(versions));
            records.push(Record::Generated { batch, item, events, replaces: false });
        }
    }
    if progress == Progress::Scored {
        records.push(Record::Scored { batch: batch.clone(), item, score: "signature".to_owned() });
    }
    records.push(Record::Ended(batch));
    records.push(Record::Clock(5));
    records
}

/// Returns a ledger as a new owner reads it from the log.
fn ledger_of(records: &[Record]) -> Ledger {
    let records: Vec<Vec<u8>> = records.iter().map(|record| record.encode().expect("bytes")).collect();
    Ledger::recover(None, &records).expect("a ledger")
}

fn ledger_after(job: &BatchJob, versions: &[u64], progress: Progress) -> Ledger {
    ledger_of(&ended(job, versions, progress))
}

fn results<'a>(harness: &'a OwnerHarness, id: &str) -> &'a [ItemResult] {
    let state = harness.controller.ledger().job(&BatchId::new(id));
    state.map_or(&[], |state| &state.results)
}

/// Returns the ids and first events of the runs that were started.
fn starts(harness: &OwnerHarness) -> Vec<(&str, Option<u64>)> {
    harness.started.iter().map(|start: &RunStart| (start.item.id.as_str(), start.last_event)).collect()
}

/// Returns the reason and counts of the decisions on reuse.
fn reuse_decisions(harness: &OwnerHarness) -> Vec<String> {
    let decisions = harness.decisions.iter().filter(|decision| decision.action == "item_reused");
    decisions
        .map(|decision| {
            let counts = decision.inputs.iter().map(|input| format!("{}={}", input.name, input.value));
            format!("{} {} {}", decision.subject, decision.reason, counts.collect::<Vec<_>>().join(" "))
        })
        .collect()
}

/// Guards against generating and scoring again what was complete when its job ended.
#[test]
fn a_scored_text_is_listed_in_the_new_job_at_once() {
    let mut harness = owner();
    let first = scored_job("j", 2);
    harness.submit(at(1), first.clone());
    let run = harness.started.iter().find(|start| start.item.id == "j-0").expect("a run").run;
    harness.event(at(2), run, 0, 1);
    harness.event(at(3), run, 1, 1);
    harness.end(at(4), run, RunEnd::Complete);
    harness.commit_appends(at(5));
    harness.score_end(at(6), 0, ScoreEnd::Scored("signature".to_owned()));
    harness.commit_appends(at(7));
    harness.controller.end(at(8), &first.id);
    harness.commit_appends(at(9));
    harness.started.clear();
    harness.submit(at(10), again(&first, "k"));
    let expected = ItemResult {
        item: 0,
        is_complete: true,
        text: "d0\nd1".to_owned(),
        versions: vec![1],
        score: Some("signature".to_owned()),
    };
    assert_eq!(results(&harness, "k"), [expected]);
    assert_eq!(starts(&harness), [("j-1", None)]);
    assert_eq!(harness.scores.len(), 1, "the score is not requested again");
    assert_eq!(reuse_decisions(&harness), ["k scored scored=1 complete=0 partial=0"]);
    let counts = ReuseCounts { scored: 1, ..ReuseCounts::default() };
    assert_eq!(harness.controller.take_reuse_counts(), counts);
    assert_eq!(harness.controller.take_reuse_counts(), ReuseCounts::default());
}

/// Guards against losing a complete text whose score request was in progress when its job ended.
#[test]
fn a_text_whose_score_was_in_flight_at_the_end_is_scored_again() {
    let mut harness = owner();
    let first = scored_job("j", 1);
    harness.run_to_completion(at(1), first.clone());
    assert_eq!(harness.scores.len(), 1);
    harness.controller.end(at(5), &first.id);
    harness.commit_appends(at(6));
    assert_eq!(harness.stopped_scores, [harness.scores[0].id]);
    harness.started.clear();
    harness.submit(at(7), again(&first, "k"));
    assert!(harness.started.is_empty());
    assert_eq!(harness.scores[1].request.id, "score-j-0");
    // The answer to the first request arrives late and must not be listed a second time.
    harness.score_end(at(8), 0, ScoreEnd::Scored("late".to_owned()));
    harness.score_end(at(9), 1, ScoreEnd::Scored("signature".to_owned()));
    harness.commit_appends(at(10));
    let listed = &results(&harness, "k")[0];
    assert_eq!((listed.text.as_str(), listed.score.as_deref()), ("d0", Some("signature")));
    assert_eq!(harness.results("k"), 1);
    assert_eq!(harness.results("j"), 0);
}

/// Guards against losing or doubling events that were received but not written when the job ended.
#[test]
fn an_incomplete_text_continues_after_the_last_event_before_the_end() {
    let mut harness = owner();
    let first = job("j", 1, 0);
    harness.submit(at(1), first.clone());
    let run = harness.started[0].run;
    for number in 0..3 {
        harness.event(at(1_100 + number), run, number, 1);
    }
    harness.controller.end(at(1_200), &first.id);
    harness.drain_actions();
    assert_eq!(harness.stopped, [run], "runs stop at once");
    let last = &harness.records[harness.records.len() - 2..];
    let Record::Progress { events, .. } = &last[0] else { panic!("no progress before the end: {last:?}") };
    assert_eq!(events.iter().map(|event| event.number).collect::<Vec<_>>(), [1, 2]);
    assert_eq!(last[1], Record::Ended(first.id.clone()));
    harness.commit_appends(at(1_201));
    harness.submit(at(1_300), again(&first, "k"));
    assert_eq!(starts(&harness)[1..], [("j-0", Some(2))]);
    let run = harness.started[1].run;
    harness.event(at(1_301), run, 3, 2);
    harness.end(at(1_302), run, RunEnd::Complete);
    harness.commit_appends(at(1_303));
    let listed = &results(&harness, "k")[0];
    assert_eq!((listed.text.as_str(), &listed.versions[..]), ("d0\nd1\nd2\nd3", &[1, 2][..]));
    assert_eq!(reuse_decisions(&harness), ["k partial scored=0 complete=0 partial=1"]);
}

/// Guards against writing events that no later job can need.
#[test]
fn the_end_of_a_job_writes_no_events_of_complete_groups() {
    let mut harness = owner();
    let mut first = job("j", 2, 0);
    first.items[1].group = Some("h".to_owned());
    harness.run_to_completion(at(1), first.clone());
    let whole = &harness.started.last().expect("a run").item.id.clone();
    let other = harness.started.iter().find(|start| start.item.id != *whole).expect("a run").clone();
    harness.event(at(4), other.run, 0, 1);
    harness.records.clear();
    harness.controller.end(at(5), &first.id);
    harness.drain_actions();
    let written: Vec<&Record> =
        harness.records.iter().filter(|record| matches!(record, Record::Progress { .. })).collect();
    let position = u32::from(other.item.id == "j-1");
    assert!(matches!(written[..], [Record::Progress { item, .. }] if *item == position), "{written:?}");
}

/// Guards against versions below the new job's minimum in any kind of reused text.
#[test]
fn a_text_with_a_version_below_the_minimum_starts_anew() {
    for progress in [Progress::Partial, Progress::Generated, Progress::Scored] {
        let first = scored_job("j", 1);
        let ledger = ledger_after(&first, &[1, 2], progress);
        let mut harness = OwnerHarness::new(ledger, false, &replicas(2));
        harness.submit(at(10), BatchJob { min_version: 2, ..again(&first, "k") });
        assert_eq!(starts(&harness), [("j-0", None)], "{progress:?}");
        assert_eq!(harness.results("k"), 0);
        let equal = BatchJob { min_version: 1, ..again(&first, "l") };
        harness.started.clear();
        harness.submit(at(11), equal);
        let expected = if progress == Progress::Partial { vec![("j-0", Some(1))] } else { Vec::new() };
        assert_eq!(starts(&harness), expected, "{progress:?}");
    }
}

/// Guards against a text of several versions on a route that needs a single one.
#[test]
fn a_route_with_a_single_version_uses_only_texts_of_one_version() {
    for progress in [Progress::Partial, Progress::Generated, Progress::Scored] {
        for (versions, is_used) in [(&[1, 1][..], true), (&[1, 2][..], false)] {
            let first = scored_job("j", 1);
            let ledger = ledger_after(&first, versions, progress);
            let mut harness = OwnerHarness::new(ledger, true, &replicas(1));
            harness.submit(at(10), again(&first, "k"));
            let is_anew = starts(&harness) == [("j-0", None)];
            assert_eq!(is_anew, !is_used, "{progress:?} {versions:?}");
        }
    }
}

/// Guards against mixing versions when no replica has the version of the incomplete text any more.
#[test]
fn an_incomplete_text_of_a_single_version_continues_or_restarts() {
    let first = job("j", 1, 0);
    for (version, last_event, text) in [(1, Some(1), "d0\nd1\nd2"), (2, None, "d0")] {
        let ledger = ledger_after(&first, &[1, 1], Progress::Partial);
        let mut harness = OwnerHarness::new(ledger, true, &replicas(version));
        harness.submit(at(10), again(&first, "k"));
        assert_eq!(starts(&harness), [("j-0", last_event)]);
        let run = harness.started[0].run;
        harness.event(at(11), run, last_event.map_or(0, |last| last + 1), version);
        harness.end(at(12), run, RunEnd::Complete);
        harness.commit_appends(at(13));
        let listed = &results(&harness, "k")[0];
        assert_eq!((listed.text.as_str(), &listed.versions[..]), (text, &[version][..]));
        let recovered = ledger_of(&harness.records);
        assert_eq!(recovered.job(&BatchId::new("k")).expect("a job").results[0].text, text);
    }
}

/// Guards against losing the events of a route with a single version, which are only written at the end.
#[test]
fn the_end_of_a_job_keeps_a_text_of_a_single_version_even_if_it_was_restarted() {
    let mut harness = OwnerHarness::new(Ledger::default(), true, &replicas(1));
    let first = job("j", 1, 0);
    harness.submit(at(1), first.clone());
    harness.event(at(2), harness.started[0].run, 0, 1);
    // The replica has loaded another version, so the text starts again with that one.
    harness.event(at(3), harness.started[0].run, 1, 2);
    let run = harness.started[1].run;
    harness.event(at(4), run, 0, 2);
    harness.event(at(5), run, 1, 2);
    harness.controller.end(at(6), &first.id);
    harness.commit_appends(at(7));
    harness.submit(at(8), again(&first, "k"));
    assert_eq!(starts(&harness)[2..], [("j-0", Some(1))]);
    harness.event(at(9), harness.started[2].run, 2, 2);
    harness.end(at(10), harness.started[2].run, RunEnd::Complete);
    harness.commit_appends(at(11));
    let listed = &results(&harness, "k")[0];
    assert_eq!((listed.text.as_str(), &listed.versions[..]), ("d0\nd1\nd2", &[2][..]));
}

/// Guards against listing the signature of another score request, and against versions that are not exact.
#[test]
fn a_text_with_the_score_of_another_request_is_scored_anew() {
    let first = scored_job("j", 1);
    let mut other = again(&first, "k");
    other.items[0].scorer.as_mut().expect("a scorer").id = "another".to_owned();
    let mut harness = owner_of(ledger_after(&first, &[3, 3], Progress::Scored));
    harness.submit(at(10), other.clone());
    assert!(harness.started.is_empty());
    assert_eq!(harness.scores[0].request.id, "another");
    harness.score_end(at(11), 0, ScoreEnd::Scored("new".to_owned()));
    harness.commit_appends(at(12));
    let listed = &results(&harness, "k")[0];
    assert_eq!((listed.text.as_str(), &listed.versions[..]), ("d0\nd1", &[3][..]));
    assert_eq!(listed.score.as_deref(), Some("new"));
    // The result does not tell which version generated which event.
    let mut harness = owner_of(ledger_after(&first, &[3, 4], Progress::Scored));
    harness.submit(at(10), other.clone());
    assert_eq!(starts(&harness), [("j-0", None)]);
    // A text that is not scored yet still has its events.
    let mut harness = owner_of(ledger_after(&first, &[3, 4], Progress::Generated));
    harness.submit(at(10), other);
    assert!(harness.started.is_empty());
    harness.score_end(at(11), 0, ScoreEnd::Scored("new".to_owned()));
    harness.commit_appends(at(12));
    assert_eq!(results(&harness, "k")[0].versions, [3, 4]);
}

/// Guards against a score where the new job names no scorer, and against waiting for one.
#[test]
fn a_complete_text_is_listed_without_a_score_where_none_is_asked_for() {
    for progress in [Progress::Generated, Progress::Scored] {
        let first = scored_job("j", 1);
        let mut harness = owner_of(ledger_after(&first, &[1, 2], progress));
        let mut unscored = again(&first, "k");
        unscored.items[0].scorer = None;
        harness.submit(at(10), unscored);
        let listed = &results(&harness, "k")[0];
        assert_eq!(
            (listed.text.as_str(), &listed.versions[..], &listed.score),
            ("d0\nd1", &[1, 2][..], &None)
        );
        assert!(harness.started.is_empty());
    }
}

/// Guards against using the text of another request, or of another caller's request.
#[test]
fn only_the_same_request_of_the_same_tenant_route_and_host_is_used() {
    type Change = fn(&mut BatchJob);
    let changes: [(&str, Change); 7] = [
        ("tenant", |job| job.tenant = Some(TenantName::new("other"))),
        ("route", |job| job.route = "other".to_owned()),
        ("host", |job| job.host = "other".to_owned()),
        ("path", |job| job.items[0].path = "/r/other".to_owned()),
        ("body", |job| job.items[0].body = b"other".to_vec()),
        ("model", |job| job.items[0].model = None),
        ("id", |job| job.items[0].id = "other".to_owned()),
    ];
    for progress in [Progress::Partial, Progress::Generated, Progress::Scored] {
        for (name, change) in changes {
            let job = scored_job("j", 1);
            let mut earlier = job.clone();
            change(&mut earlier);
            let mut harness = owner_of(ledger_after(&earlier, &[1, 1], progress));
            harness.submit(at(10), again(&job, "k"));
            assert_eq!(starts(&harness), [("j-0", None)], "{name}");
            assert_eq!(harness.results("k"), 0, "{name}");
        }
    }
}

/// Guards against repeating an item that was given up as if it were a result.
#[test]
fn a_faulted_item_starts_anew() {
    let first = job("j", 1, 0);
    let mut harness = owner();
    harness.submit(at(1), first.clone());
    harness.end(at(2), harness.started[0].run, RunEnd::Unprocessable);
    harness.controller.end(at(3), &first.id);
    harness.commit_appends(at(4));
    assert!(!results(&harness, "j")[0].is_complete);
    harness.submit(at(5), again(&first, "k"));
    assert_eq!(starts(&harness)[1..], [("j-0", None)]);
}

/// Guards against choosing an incomplete text where another job has completed the item.
#[test]
fn the_earlier_job_that_saves_most_is_used() {
    let first = scored_job("j", 1);
    let mut records = ended(&first, &[1, 1], Progress::Scored);
    records.extend(ended(&again(&first, "k"), &[1, 1, 1], Progress::Partial));
    let mut harness = owner_of(ledger_of(&records));
    harness.submit(at(10), again(&first, "l"));
    assert_eq!(harness.results("l"), 1);
    let mut records = ended(&first, &[1], Progress::Partial);
    records.extend(ended(&again(&first, "k"), &[1, 1, 1], Progress::Partial));
    let mut harness = owner_of(ledger_of(&records));
    harness.submit(at(10), again(&first, "l"));
    assert_eq!(starts(&harness), [("j-0", Some(2))]);
}

/// Guards against losing the reuse when the owner is lost right after it accepted the job, and against
/// applying it twice when only part of it was committed.
#[test]
fn a_new_owner_applies_the_rule_to_what_the_log_holds() {
    for progress in [Progress::Partial, Progress::Generated, Progress::Scored] {
        let first = scored_job("j", 1);
        let records = ended(&first, &[1, 1], progress);
        let mut lost = owner_of(ledger_of(&records));
        lost.submit(at(10), again(&first, "k"));
        let accepted = lost.records.iter().position(|record| matches!(record, Record::Accepted(_)));
        let accepted = accepted.expect("an acceptance") + 1;
        for committed in accepted..=lost.records.len() {
            let log = [&records[..], &lost.records[..committed]].concat();
            let mut next = owner_of(ledger_of(&log));
            next.commit_appends(at(20));
            match progress {
                Progress::Partial => assert_eq!(starts(&next), [("j-0", Some(1))]),
                Progress::Generated => assert_eq!(next.scores.len(), 1),
                Progress::Scored => assert_eq!(next.results("k"), 1),
            }
            assert_eq!(next.started.is_empty(), progress != Progress::Partial);
            // The log that both owners wrote gives the same ledger, also through a snapshot.
            let log = [&log[..], &next.records[..]].concat();
            let ledger = ledger_of(&log);
            assert_eq!(ledger.jobs(), next.controller.ledger().jobs());
            let snapshot = ledger.to_snapshot().expect("a snapshot");
            let compacted = Ledger::recover(Some(&snapshot), &[]).expect("a ledger");
            let state = |ledger: &Ledger| {
                let job = ledger.job(&BatchId::new("k")).expect("a job");
                (job.results.clone(), job.items[0].events.clone())
            };
            assert_eq!(state(&compacted), state(&ledger));
            let (listed, held) = state(&ledger);
            let is_listed = progress == Progress::Scored;
            assert_eq!((listed.len(), held.len()), if is_listed { (1, 0) } else { (0, 2) });
        }
    }
}

/// Guards against texts of an owner that has applied the rule being mixed with those of its successor.
#[test]
fn a_successor_does_not_continue_a_reused_complete_text() {
    let first = scored_job("j", 1);
    let mut other = again(&first, "k");
    other.items[0].scorer.as_mut().expect("a scorer").id = "another".to_owned();
    let records = ended(&first, &[1, 1], Progress::Scored);
    let mut lost = owner_of(ledger_of(&records));
    assert_eq!(lost.controller.submit(at(10), other), Submission::Pending);
    lost.drain_actions();
    lost.appends -= 1;
    lost.controller.appended(at(11));
    lost.drain_actions();
    assert!(lost.records.iter().any(|record| matches!(record, Record::Generated { .. })));
    // The text stands for two events, so the next owner must not continue after it.
    let offer = lost.controller.progress_offer(Epoch(7));
    assert!(offer.items.is_empty(), "{offer:?}");
}

/// Guards against events of two generations in one text: those that the last owner received, and earlier ones.
#[test]
fn events_offered_by_the_last_owner_are_not_mixed_with_those_of_an_earlier_job() {
    let first = job("j", 1, 0);
    let earlier = ended(&first, &[1, 1], Progress::Partial);
    // The last owner did not have the earlier texts, so it started the item anew.
    let second = again(&first, "k");
    let mut last = owner();
    last.submit(at(10), second.clone());
    for number in 0..4 {
        last.event(at(11), last.started[0].run, number, 5);
    }
    let offer = last.controller.progress_offer(Epoch(7));
    let log = [&earlier[..], &[Record::Accepted(second)]].concat();
    let lease = batch_support::lease_of("node-2");
    let mut controller = Controller::new(ControllerConfig::default(), ledger_of(&log), at(0), lease);
    assert_eq!(controller.adopt(offer, Epoch(7)), 4);
    controller.update(at(0), Some(routes(false)), &table(&replicas(5)), &BTreeMap::new());
    while controller.poll_action().is_some() {}
    assert!(controller.progress_offer(Epoch(8)).items[0].events.iter().all(|event| event.version == 5));
    assert_eq!(controller.take_reuse_counts(), ReuseCounts::default());
}

/// Guards against listing an empty text that the new owner has not read yet.
#[test]
fn outlined_texts_are_used_once_they_are_filled_in() {
    for progress in [Progress::Partial, Progress::Generated] {
        let first = scored_job("j", 2);
        let records = ended(&first, &[1, 1], progress);
        let outline = |record: &Record| {
            let (events, kind) = match record {
                Record::Progress { events, .. } => (events, OutlineKind::Progress),
                Record::Generated { events, replaces, .. } => {
                    (events, OutlineKind::Generated { replaces: *replaces })
                }
                other => return other.clone(),
            };
            let events =
                events.iter().map(|event| EventOutline { number: event.number, version: event.version });
            Record::Outlined { batch: first.id.clone(), item: 0, events: events.collect(), kind }
        };
        let outlined: Vec<Record> = records.iter().map(outline).collect();
        let mut harness = owner_of(ledger_of(&outlined));
        harness.submit(at(10), again(&first, "k"));
        assert_eq!(harness.started.len(), 2, "nothing is used before it is filled in");
        assert!(harness.started.iter().all(|start| start.last_event.is_none()));
        let run = harness.started.iter().find(|start| start.item.id == "j-0").expect("a run").run;
        harness.controller.fill_texts(ledger_of(&records));
        harness.controller.tick(at(20));
        harness.commit_appends(at(21));
        assert_eq!(harness.stopped, [run], "its run has no event yet and gives way");
        match progress {
            Progress::Partial => assert_eq!(starts(&harness)[2..], [("j-0", Some(1))]),
            _ => assert_eq!(harness.scores.len(), 1),
        }
        let state = &harness.controller.ledger().job(&BatchId::new("k")).expect("a job").items[0];
        assert_eq!(state.events, events(&[1, 1]));
    }
}

/// Guards against an empty text where a listed result is outlined, and against discarding events that a run
/// has brought since.
#[test]
fn a_run_that_has_events_is_not_replaced_by_texts_that_are_filled_in_later() {
    let first = job("j", 1, 0);
    let batch = first.id.clone();
    let log = |is_outlined: bool| {
        let outline = vec![EventOutline { number: 0, version: 1 }];
        let completed = if is_outlined {
            Record::Outlined { batch: batch.clone(), item: 0, events: outline, kind: OutlineKind::Completed }
        } else {
            Record::Completed { batch: batch.clone(), item: 0, events: events(&[1]) }
        };
        ledger_of(&[Record::Accepted(first.clone()), completed, Record::Clock(5)])
    };
    for has_event in [false, true] {
        let mut harness = owner_of(log(true));
        harness.submit(at(10), again(&first, "k"));
        assert_eq!(harness.results("k"), 0);
        if has_event {
            harness.event(at(11), harness.started[0].run, 0, 1);
        }
        harness.controller.fill_texts(log(false));
        harness.controller.tick(at(20));
        harness.commit_appends(at(21));
        assert_eq!(harness.results("k"), usize::from(!has_event));
        assert_eq!(harness.stopped.len(), usize::from(!has_event));
        if !has_event {
            assert_eq!(results(&harness, "k")[0].text, "d0");
        }
    }
}

/// Guards against using a job that is gone, and against an index that retains its items.
#[test]
fn a_dropped_job_is_not_used() {
    let first = job("j", 1, 0);
    let mut records = ended(&first, &[1, 1], Progress::Partial);
    records.push(Record::Dropped(first.id.clone()));
    assert_eq!(ledger_of(&records), ledger_of(&[Record::Clock(5)]), "nothing of the job is held");
    let mut harness = owner_of(ledger_of(&records));
    harness.submit(at(10), again(&first, "k"));
    assert_eq!(starts(&harness), [("j-0", None)]);
    // What was reused before does not depend on the earlier job any more.
    let mut harness = owner_of(ledger_after(&first, &[1, 1], Progress::Partial));
    harness.submit(at(10), again(&first, "k"));
    let log = [ended(&first, &[1, 1], Progress::Partial), harness.records.clone()].concat();
    let log = [&log[..], &[Record::Dropped(first.id)]].concat();
    let next = owner_of(ledger_of(&log));
    assert_eq!(starts(&next), [("j-0", Some(1))]);
}

/// Guards against a result that is listed again, or an item that runs, when a submission is repeated.
#[test]
fn submitting_the_new_job_again_changes_nothing() {
    let first = scored_job("j", 1);
    let mut harness = owner_of(ledger_after(&first, &[1, 1], Progress::Scored));
    let second = again(&first, "k");
    harness.submit(at(10), second.clone());
    let ledger = harness.controller.ledger().clone();
    assert_eq!(harness.controller.submit(at(11), second), Submission::Committed);
    harness.commit_appends(at(12));
    assert_eq!(*harness.controller.ledger(), ledger);
    assert_eq!(harness.results("k"), 1);
    assert_eq!(reuse_decisions(&harness).len(), 1);
}

/// Guards against listing in a job that its caller has already ended.
#[test]
fn a_job_that_ends_before_its_acceptance_is_committed_uses_nothing() {
    let first = scored_job("j", 1);
    let mut harness = owner_of(ledger_after(&first, &[1, 1], Progress::Scored));
    let second = again(&first, "k");
    assert_eq!(harness.controller.submit(at(10), second.clone()), Submission::Pending);
    harness.controller.end(at(10), &second.id);
    harness.commit_appends(at(11));
    assert_eq!(harness.results("k"), 0);
}

/// Guards against texts of several versions while the owner does not know yet whether the route allows them.
#[test]
fn nothing_is_used_before_the_route_is_known() {
    let first = scored_job("j", 1);
    let mut log = ended(&first, &[1, 2], Progress::Scored);
    log.push(Record::Accepted(again(&first, "k")));
    for needs_single_version in [false, true] {
        let lease = batch_support::lease_of("node-2");
        let mut controller = Controller::new(ControllerConfig::default(), ledger_of(&log), at(0), lease);
        controller.tick(at(1));
        while controller.poll_action().is_some() {}
        assert_eq!(controller.take_reuse_counts(), ReuseCounts::default());
        let routes = routes(needs_single_version);
        controller.update(at(2), Some(Arc::clone(&routes)), &table(&replicas(1)), &BTreeMap::new());
        while controller.poll_action().is_some() {}
        assert_eq!(controller.take_reuse_counts().scored, u64::from(!needs_single_version));
    }
}

/// Guards against a required group that waits behind the other groups of its job, also at a new owner.
#[test]
fn required_groups_start_before_the_other_groups_of_their_job() {
    let mut first = job("j", 1, 0);
    first.items[0].group = Some("again".to_owned());
    let records = ended(&first, &[], Progress::Partial);
    let mut second = job("k", 4, 0);
    let mut repeated = first.items[0].clone();
    // Without the mark, the longest items would start first.
    repeated.expected_tokens = Some(1);
    second.items.push(repeated);
    let mut harness = OwnerHarness::new(ledger_of(&records), false, &[]);
    harness.submit(at(10), second.clone());
    let lost = [&records[..], &harness.records[..]].concat();
    for harness in [harness, OwnerHarness::new(ledger_of(&lost), false, &[])] {
        let mut harness = harness;
        let replicas = table(&[replica("a", 1)]);
        harness.controller.update(at(11), None, &replicas, &BTreeMap::new());
        harness.drain_actions();
        assert_eq!(harness.started[0].item.id, "j-0");
        assert_eq!(harness.started.len(), 2);
    }
}

/// Guards against accepting jobs beyond the capacity where reused texts fill it, and against counting texts
/// that were never listed for ever.
#[test]
fn reused_texts_count_towards_the_capacity_until_their_job_is_dropped() {
    let first = scored_job("j", 1);
    let text = "x".repeat(10_000);
    let long = vec![OutputEvent { number: 0, version: 1, data: text }];
    let batch = first.id.clone();
    let mut records = vec![Record::Clock(1), Record::Accepted(first.clone())];
    records.push(Record::Generated { batch: batch.clone(), item: 0, events: long, replaces: false });
    records.push(Record::Ended(batch));
    let retention = Duration::from_secs(1);
    let config = ControllerConfig { capacity_bytes: 15_000, retention, ..ControllerConfig::default() };
    let mut harness = OwnerHarness::with_config(config, ledger_of(&records), false, &replicas(1));
    harness.submit(at(10), again(&first, "k"));
    assert_eq!(harness.scores.len(), 1);
    assert_eq!(harness.controller.submit(at(11), job("l", 1, 0)), Submission::Full, "the text is held twice");
    harness.controller.end(at(12), &BatchId::new("k"));
    harness.commit_appends(at(13));
    // Both jobs are dropped after their retention, also if that takes several ticks to commit.
    for tick in 0..3 {
        harness.controller.tick(at(2_000 + tick));
    }
    harness.commit_appends(at(2_010));
    assert!(harness.controller.ledger().jobs().is_empty());
    let mut large = job("m", 1, 0);
    large.items[0].body = vec![0; 14_900];
    harness.submit(at(2_011), large);
    assert_eq!(harness.controller.submit(at(2_012), job("n", 50, 0)), Submission::Full);
}
