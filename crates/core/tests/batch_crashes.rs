//! Items and score requests under which replicas crashed: each is placed again, at a bounded rate.

mod batch_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use batch_support::{OwnerHarness, at, job, replica, scored_job, scorer_replica, table};
use lichenpulley_core::batch::controller::RunEnd;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::score_plan::ScoreEnd;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::quarantine::{CrashReport, Fingerprint, Quarantine, RequestContent, Suspect};

const TICK_MS: u64 = 50;
/// Time from the start of a run to the crash of its replica.
const CRASH_MS: u64 = 50;
/// An open item must be at a replica again within this time of steady state.
const PLACED_WITHIN_MS: u64 = 5_000;

/// Returns the fingerprint of a POST request of the test jobs.
fn fingerprint(path: &str, body: &[u8]) -> Fingerprint {
    Fingerprint::of(&RequestContent { method: "POST", host: "host", path, tenant: None, body })
}

/// Returns a quarantine that holds a request because of crashes of these replicas.
fn quarantine_of(fingerprint: Fingerprint, replicas: &[&str]) -> Arc<Quarantine> {
    let report = |replica: &&str| CrashReport {
        replica: (*replica).to_owned(),
        suspects: vec![Suspect { fingerprint, is_repeated: true }],
        cleared: Vec::new(),
    };
    let reports: Vec<CrashReport> = replicas.iter().map(report).collect();
    let quarantine = Quarantine::from_reports(reports.iter());
    assert!(quarantine.contains(&fingerprint));
    Arc::new(quarantine)
}

fn replicas(ids: &[&str]) -> Vec<ReplicaRecord> {
    ids.iter().map(|id| replica(id, 1)).collect()
}

/// Ticks until `end_ms`.
fn tick_until(harness: &mut OwnerHarness, from_ms: u64, end_ms: u64) {
    for now in (from_ms..=end_ms).step_by(TICK_MS as usize) {
        harness.controller.tick(at(now));
        harness.commit_appends(at(now));
    }
}

/// Three replicas crashed under one item; the nodes' reports kept it waiting until its job ended.
#[test]
fn an_item_under_which_three_replicas_crashed_is_placed_again_within_five_seconds() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas(&["a", "b", "c"]));
    harness.submit(at(1), job("j", 1, 0));
    let mut now = 1;
    while harness.started.len() < 3 {
        let started = harness.started.len();
        let run = harness.started[started - 1].run;
        harness.end(at(now + 40), run, RunEnd::Broken);
        tick_until(&mut harness, now + 50, now + 1_000);
        now += 1_000;
        assert!(harness.started.len() > started, "run {started} is followed by another");
    }
    let run = harness.started[2].run;
    let held = quarantine_of(fingerprint("/r/x", b"body"), &["a", "b", "c"]);
    harness.controller.set_quarantine(at(now), held);
    harness.end(at(now), run, RunEnd::Broken);
    harness.controller.update(at(now), None, &table(&replicas(&["d", "e", "f"])), &BTreeMap::new());
    tick_until(&mut harness, now, now + PLACED_WITHIN_MS);
    assert!(harness.started.len() > 3, "the item is at a replica again");
}

/// Without a delay, one item crashed replica after replica as fast as it was placed.
#[test]
fn an_item_under_which_every_replica_crashes_meets_few_of_them_and_each_once() {
    let ids: Vec<String> = (0..16).map(|number| format!("r{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas(&ids));
    harness.submit(at(1), job("j", 1, 0));
    let (mut seen, mut longest_gap_ms, mut ended_at) = (0, 0, 1);
    for now in (CRASH_MS..=10_000).step_by(CRASH_MS as usize) {
        harness.controller.tick(at(now));
        harness.drain_actions();
        if harness.started.len() > seen {
            seen = harness.started.len();
            longest_gap_ms = longest_gap_ms.max(now - ended_at);
            harness.end(at(now + CRASH_MS - 1), harness.started[seen - 1].run, RunEnd::Broken);
            ended_at = now + CRASH_MS - 1;
        }
    }
    assert!((5..=10).contains(&seen), "{seen} replicas crashed in 10 s");
    assert!(longest_gap_ms <= PLACED_WITHIN_MS / 2, "the item waited for {longest_gap_ms} ms");
    let mut met: Vec<&str> = harness.started.iter().map(|start| start.replica.id.as_str()).collect();
    met.sort_unstable();
    met.dedup();
    assert_eq!(met.len(), harness.started.len(), "a replica where the item crashed was chosen again");
}

/// Runs that break long after their start are unrelated: their items are resumed at once.
#[test]
fn an_item_is_resumed_at_once_when_its_replicas_crash_seconds_apart() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas(&["a", "b", "c", "d", "e"]));
    harness.submit(at(1), job("j", 1, 0));
    let mut number = 0;
    for crash in 1..=4 {
        let run = harness.started.last().expect("a run").run;
        for step in 0..6 {
            harness.event(at(crash * 3_000 + 400 * step), run, number, 1);
            number += 1;
        }
        harness.end(at(crash * 3_000 + 2_400), run, RunEnd::Broken);
        assert_eq!(harness.started.len() as u64, crash + 1, "the item is at another replica");
    }
}

/// A replica that was listed with a newer version than it has was chosen again and again.
#[test]
fn a_run_stopped_for_its_version_continues_at_another_replica() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 2), replica("b", 2)]);
    harness.submit(at(1), job("j", 1, 2));
    let first = harness.started[0].clone();
    harness.event(at(10), first.run, 0, 1);
    let second = harness.started.last().expect("a run");
    assert_ne!(second.replica.id, first.replica.id);
}

/// Returns a harness with scorers that holds the score request of one item, after its first attempt broke.
fn harness_with_held_score(items: usize) -> OwnerHarness {
    let scorers = ["s", "t", "u", "v", "w"].map(scorer_replica);
    let replicas = [&[replica("a", 1)], &scorers[..]].concat();
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    harness.submit(at(1), scored_job("j", items));
    while harness.started.len() < items {
        finish_texts(&mut harness, 0);
    }
    finish_texts(&mut harness, 0);
    let held = quarantine_of(fingerprint("/score/x", b"text"), &["x", "y", "z"]);
    harness.controller.set_quarantine(at(20), held);
    for position in 0..harness.scores.len() {
        harness.score_end(at(20), position, ScoreEnd::Broken);
    }
    harness
}

/// Completes the texts of all started items.
fn finish_texts(harness: &mut OwnerHarness, now: u64) {
    for run in harness.started.iter().map(|start| start.run).collect::<Vec<_>>() {
        harness.event(at(now), run, 0, 1);
        harness.end(at(now), run, RunEnd::Complete);
    }
    harness.commit_appends(at(now));
}

/// A sound score request that a burst of crashes had put into quarantine was never sent again.
#[test]
fn a_quarantined_score_request_is_sent_again_after_seconds_without_a_crash() {
    let mut harness = harness_with_held_score(1);
    let sent = harness.scores.len();
    tick_until(&mut harness, 50, 5_000);
    assert_eq!(harness.scores.len(), sent, "held while replicas may still crash");
    tick_until(&mut harness, 5_050, 7_000);
    assert_eq!(harness.scores.len(), sent + 1);
    harness.score_end(at(7_000), sent, ScoreEnd::Scored("seal".to_owned()));
    harness.commit_appends(at(7_010));
    assert_eq!(harness.results("j"), 1);
}

#[test]
fn a_quarantined_score_request_is_tried_one_at_a_time_with_growing_delay() {
    let mut harness = harness_with_held_score(2);
    let first = harness.scores.len();
    let (mut seen, mut sent_at) = (first, Vec::new());
    for now in (50..60_000).step_by(TICK_MS as usize) {
        harness.controller.tick(at(now));
        harness.commit_appends(at(now));
        assert!(harness.scores.len() <= seen + 1, "two trials at a time");
        if harness.scores.len() > seen {
            sent_at.push(now);
            harness.score_end(at(now), seen, ScoreEnd::Broken);
            seen += 1;
        }
        if harness.results("j") == 2 {
            break;
        }
    }
    assert!((2..=3).contains(&sent_at.len()), "{sent_at:?}");
    let gaps: Vec<u64> = sent_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap >= 11_000), "{sent_at:?}");
    assert!(gaps.is_sorted(), "{sent_at:?}");
}
