//! Which requests are held back after replicas ended, and which are not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::quarantine::{
    BreakCause, CrashMonitor, CrashReport, Fingerprint, Quarantine, RequestContent, RunSender, SentRun,
    Suspect,
};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

fn request(number: usize) -> Fingerprint {
    let path = format!("/read/{number}");
    Fingerprint::of(&RequestContent {
        method: "POST",
        host: "shop.example",
        path: &path,
        tenant: None,
        body: b"x",
    })
}

fn replica(number: usize) -> String {
    format!("replica-{number}")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(number).expect("few replicas")))
}

/// A replica ended under these requests, each sent in the knowledge of an earlier end.
fn crash(number: usize, requests: &[usize]) -> CrashReport {
    let suspects =
        requests.iter().map(|number| Suspect { fingerprint: request(*number), is_repeated: true }).collect();
    CrashReport { replica: replica(number), suspects, cleared: Vec::new() }
}

fn held(reports: &[CrashReport]) -> Vec<usize> {
    let verdict = Quarantine::from_reports(reports.iter());
    (0..100).filter(|number| verdict.contains(&request(*number))).collect()
}

fn sent(number: usize, at_replica: usize, sender: RunSender, watch: &CrashMonitor, at: Timestamp) -> SentRun {
    SentRun {
        fingerprint: request(number),
        replica: replica(at_replica),
        may_restart: false,
        address: address(at_replica),
        sender,
        is_repeated: watch.is_suspected(&request(number)),
        sent_at: at,
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

/// A run that breaks off at a replica that ends then.
fn ends_under(watch: &mut CrashMonitor, number: usize, at_replica: usize, now: Timestamp) {
    let run = sent(number, at_replica, RunSender::Gateway, watch, now);
    watch.run_broken(run, BreakCause::Closed, true, now);
    watch.replica_ended(&replica(at_replica), now);
}

#[test]
fn what_differs_in_method_host_path_tenant_or_body_is_another_request() {
    let tenant = "a".into();
    let content =
        RequestContent { method: "POST", host: "h", path: "/p", tenant: Some(&tenant), body: b"body" };
    let other_tenant = "b".into();
    let others = [
        RequestContent { method: "GET", ..content },
        RequestContent { host: "i", ..content },
        RequestContent { path: "/p?q", ..content },
        RequestContent { tenant: Some(&other_tenant), ..content },
        RequestContent { tenant: None, ..content },
        RequestContent { body: b"Body", ..content },
        // What ends one part doesn't begin the next.
        RequestContent { host: "h/", path: "p", ..content },
    ];
    let own = Fingerprint::of(&content);
    assert_eq!(own, Fingerprint::of(&content.clone()));
    assert!(others.iter().all(|other| Fingerprint::of(other) != own));
    assert_eq!(own.to_string().parse(), Ok(own));
    assert!("nothing".parse::<Fingerprint>().is_err());
}

#[test]
fn a_request_is_held_once_three_replicas_ended_under_it_and_not_before() {
    let crashes: Vec<CrashReport> = (0..3).map(|number| crash(number, &[7])).collect();
    assert_eq!(held(&crashes[..2]), [0; 0]);
    assert_eq!(held(&crashes), [7]);
    // Two nodes that tell of one replica tell of one end.
    assert_eq!(held(&[crash(0, &[7]), crash(0, &[7]), crash(1, &[7])]), [0; 0]);
}

#[test]
fn what_ran_beside_it_is_not_held_though_it_met_it_three_times() {
    let crashes = [crash(0, &[7, 8, 9]), crash(1, &[7, 8]), crash(2, &[7, 8]), crash(3, &[7])];
    assert_eq!(held(&crashes), [7]);
    // Two that ran together each time can't be told apart until one of them runs without the other, or four replicas ended.
    let together: Vec<CrashReport> = (0..4).map(|number| crash(number, &[7, 8])).collect();
    assert_eq!(held(&together[..3]), [0; 0]);
    assert_eq!(held(&together), [7, 8]);
    // Each of two that share nothing is held.
    let apart: Vec<CrashReport> = (0..6).map(|number| crash(number, &[number % 2])).collect();
    assert_eq!(held(&apart), [0, 1]);
}

#[test]
fn replicas_that_end_together_speak_against_nothing_that_ran_at_all_of_them() {
    let mut crashes: Vec<CrashReport> = (0..3).map(|number| crash(number, &[7])).collect();
    for crash in &mut crashes {
        crash.suspects[0].is_repeated = false;
    }
    assert_eq!(held(&crashes), [0; 0]);
    // It comes again and ends one more.
    crashes.push(crash(3, &[7]));
    assert_eq!(held(&crashes), [7]);
}

#[test]
fn what_ran_to_an_end_since_or_was_released_is_held_nowhere() {
    let mut crashes: Vec<CrashReport> = (0..3).map(|number| crash(number, &[7])).collect();
    let cleared = CrashReport { replica: replica(1), suspects: Vec::new(), cleared: vec![request(7)] };
    crashes.push(cleared);
    assert_eq!(held(&crashes), [0; 0]);
    let mut watch = CrashMonitor::default();
    watch.set_reports(crashes, at(0));
    ends_under(&mut watch, 7, 3, at(0));
    assert!(watch.quarantine().contains(&request(7)));
    assert!(watch.release(&request(7), at(10)));
    assert!(watch.quarantine().is_empty());
    // All others are told of it.
    let told = watch.due_reports(at(20));
    assert_eq!(told.iter().map(|report| report.cleared.len()).sum::<usize>(), 2);
    assert!(watch.due_reports(at(30)).is_empty());
}

#[test]
fn a_request_that_is_answered_often_is_not_held_however_many_replicas_end_while_it_runs() {
    let mut watch = CrashMonitor::default();
    let answered = sent(7, 0, RunSender::Gateway, &watch, at(0));
    watch.run_ended(&answered, at(10));
    for number in 0..5 {
        ends_under(&mut watch, 7, number, at(100));
    }
    assert!(watch.quarantine().is_empty() && watch.due_reports(at(2_000)).is_empty());
    // Other nodes did not see it answered, and told of it: this one takes it back.
    watch.set_reports((0..5).map(|number| crash(number, &[7])).collect(), at(3_000));
    assert!(watch.quarantine().is_empty());
    assert_eq!(watch.due_reports(at(3_100)).iter().map(|report| report.cleared.len()).sum::<usize>(), 5);
    // It is not answered any more, and ends replicas: half a minute later it is held.
    for number in 5..8 {
        ends_under(&mut watch, 7, number, at(31_000));
    }
    assert!(watch.quarantine().contains(&request(7)));
}

#[test]
fn a_run_that_breaks_off_counts_only_where_its_replica_ended() {
    let mut watch = CrashMonitor::default();
    for number in 0..5 {
        let run = sent(7, number, RunSender::Gateway, &watch, at(0));
        watch.run_broken(run, BreakCause::Closed, true, at(0));
    }
    assert!(watch.is_suspected(&request(7)));
    let record = |number: usize, id: usize| ReplicaRecord {
        id: replica(id),
        name: replica(id),
        service: "engines".to_owned(),
        address: address(number),
        zone: "a".to_owned(),
        slots: 4,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    };
    let table = |records: Vec<ReplicaRecord>| ReplicaTable {
        records: records.into_iter().map(|record| (record.id.clone(), record)).collect(),
    };
    // They are all there.
    watch.set_replicas(&table((0..5).map(|number| record(number, number)).collect()), at(100));
    assert!(watch.quarantine().is_empty());
    // One that is not listed when the run breaks off there has ended.
    let mut late = CrashMonitor::default();
    for number in 0..3 {
        let run = sent(8, number, RunSender::Gateway, &late, at(0));
        assert!(late.run_broken(run, BreakCause::GivenUp, false, at(0)));
    }
    assert!(late.quarantine().contains(&request(8)));
    // One is gone, two have their addresses taken by new lives beside the old entries: that is three.
    let mut records: Vec<ReplicaRecord> = (1..5).map(|number| record(number, number)).collect();
    records.extend([record(1, 11), record(2, 12)]);
    assert!(watch.set_replicas(&table(records), at(200)));
    assert!(watch.quarantine().contains(&request(7)));
}

#[test]
fn a_request_that_lacks_one_crash_is_held_as_soon_as_a_connection_closes_until_it_is_known_why() {
    let mut watch = CrashMonitor::default();
    for number in 0..2 {
        ends_under(&mut watch, 7, number, at(0));
    }
    let given_up = sent(7, 2, RunSender::Gateway, &watch, at(100));
    assert!(!watch.run_broken(given_up, BreakCause::GivenUp, true, at(200)));
    assert!(watch.quarantine().is_empty());
    let closed = sent(7, 3, RunSender::Gateway, &watch, at(300));
    assert!(watch.run_broken(closed, BreakCause::Closed, true, at(400)));
    assert!(watch.quarantine().contains(&request(7)));
    // Nothing is told of what is not known.
    let told = watch.due_reports(at(500));
    assert_eq!(
        told.iter().map(|report| report.replica.as_str()).collect::<Vec<_>>(),
        ["replica-0", "replica-1"]
    );
    // The replica is still there after ten seconds: it did not end.
    assert!(watch.expire(at(10_500)));
    assert!(watch.quarantine().is_empty());
    // Of one that met no crash yet a closed connection says nothing.
    let first = sent(8, 3, RunSender::Gateway, &watch, at(300));
    assert!(!watch.run_broken(first, BreakCause::Closed, true, at(400)));
}

#[test]
fn what_was_answered_elsewhere_is_not_told_and_a_replica_that_answers_did_not_end() {
    let mut watch = CrashMonitor::default();
    for (number, request) in [(0, 7), (1, 8)] {
        ends_under(&mut watch, request, number, at(0));
    }
    let answered = sent(7, 2, RunSender::Gateway, &watch, at(5));
    assert!(watch.run_ended(&answered, at(10)));
    // An answer that was on its way before says nothing of the replica.
    let earlier = SentRun { sent_at: at(0), ..sent(9, 1, RunSender::Gateway, &watch, at(0)) };
    let told_to = |watch: &mut CrashMonitor| {
        let told = watch.due_reports(at(2_000));
        told.iter().flat_map(|report| report.suspects.clone()).map(|suspect| suspect.fingerprint).collect()
    };
    let before: Vec<Fingerprint> = told_to(&mut watch);
    assert_eq!(before, [request(8)]);
    let later = SentRun { sent_at: at(20), ..earlier };
    assert!(watch.run_ended(&later, at(30)));
    assert_eq!(watch.due_reports(at(3_000))[0].cleared, [request(8)]);
}

#[test]
fn items_that_ran_at_one_crash_are_not_told_and_a_groups_runs_count_once() {
    let mut watch = CrashMonitor::default();
    // Three runs of one request were under way together when three replicas ended.
    let runs: Vec<SentRun> = (0..3).map(|number| sent(7, number, RunSender::Owner, &watch, at(0))).collect();
    for (number, run) in runs.into_iter().enumerate() {
        watch.run_broken(run, BreakCause::Closed, true, at(50));
        watch.replica_ended(&replica(number), at(50));
    }
    assert!(watch.due_reports(at(2_000)).is_empty());
    for number in 3..5 {
        let now = at(3_000 + number as u64);
        let run = sent(7, number, RunSender::Owner, &watch, now);
        watch.run_broken(run, BreakCause::Closed, true, now);
        watch.replica_ended(&replica(number), now);
    }
    assert!(watch.quarantine().contains(&request(7)));
    assert_eq!(watch.due_reports(at(5_000)).len(), 3);
}

#[test]
fn runs_that_follow_each_other_count_though_it_is_known_late_that_their_replicas_ended() {
    let mut watch = CrashMonitor::default();
    for number in 0..3 {
        let run = sent(7, number, RunSender::Owner, &watch, at(100 * number as u64));
        watch.run_broken(run, BreakCause::Closed, true, at(100 * number as u64 + 50));
    }
    // That the first ended is known last, and after all runs were sent.
    for number in (0..3).rev() {
        assert!(watch.replica_ended(&replica(number), at(5_000)));
    }
    assert!(watch.quarantine().contains(&request(7)));
}

#[test]
fn what_a_node_keeps_is_bounded_and_ends() {
    let mut watch = CrashMonitor::default();
    for number in 0..5_000 {
        let run = SentRun { replica: replica(number), ..sent(number, 0, RunSender::Gateway, &watch, at(0)) };
        watch.run_broken(run, BreakCause::Closed, true, at(0));
    }
    let kept = (0..5_000).filter(|number| watch.is_suspected(&request(*number))).count();
    assert_eq!(kept, 1_024);
    watch.due_reports(at(11_000));
    assert!(!watch.is_suspected(&request(4_999)));
    ends_under(&mut watch, 7, 0, at(11_000));
    assert!(!watch.is_idle());
    watch.due_reports(at(12_000));
    assert!(watch.is_idle());
    watch.due_reports(at(200_000));
    assert!(!watch.is_suspected(&request(7)));
}

/// Requests at replicas that end one after the other: of each crash, which of ten innocent ones ran there besides.
fn beside() -> impl Strategy<Value = Vec<Vec<usize>>> {
    proptest::collection::vec(proptest::collection::vec(10_usize..20, 0..4), 5)
}

proptest! {
    #[test]
    fn the_one_that_ends_every_replica_is_held_after_at_most_four_and_no_other_unless_it_met_it_each_time(
        crashes in beside(),
    ) {
        let reports: Vec<CrashReport> = crashes
            .iter()
            .enumerate()
            .map(|(number, beside)| {
                let requests: Vec<usize> = beside.iter().copied().chain([1]).collect();
                crash(number, &requests)
            })
            .collect();
        for ended in 4..=reports.len() {
            prop_assert!(held(&reports[..ended]).contains(&1));
        }
        for innocent in held(&reports) {
            let met = crashes.iter().filter(|beside| beside.contains(&innocent)).count();
            prop_assert!(innocent == 1 || met == crashes.len());
        }
        // In whatever order reports come, the verdict is the same.
        let mut turned = reports.clone();
        turned.reverse();
        prop_assert_eq!(held(&reports), held(&turned));
    }
}

/// The answer of a replica that started again under its name says nothing of the life before; that it is still the life before shows once a
/// later one would have been listed.
#[test]
fn an_answer_of_the_next_life_of_a_replica_does_not_clear_what_ended_the_one_before() {
    let crashes_after_answer_at = |milliseconds: u64| {
        let mut watch = CrashMonitor::default();
        let run = SentRun { may_restart: true, ..sent(7, 1, RunSender::Gateway, &watch, at(0)) };
        watch.run_broken(run, BreakCause::Closed, true, at(10));
        watch.replica_ended(&replica(1), at(20));
        let later = SentRun { may_restart: true, ..sent(8, 1, RunSender::Gateway, &watch, at(milliseconds)) };
        watch.run_ended(&later, at(milliseconds + 5));
        watch.quarantine().crashes(&request(7)).count()
    };
    assert_eq!(crashes_after_answer_at(500), 1);
    assert_eq!(crashes_after_answer_at(12_000), 0);
}
