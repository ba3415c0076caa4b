//! Tests of the quarantine: which requests are quarantined after replicas crashed, and what nodes report.

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

/// A crash report of requests that were all sent after a known crash.
fn crash(number: usize, requests: &[usize]) -> CrashReport {
    let suspects =
        requests.iter().map(|number| Suspect { fingerprint: request(*number), is_repeated: true }).collect();
    CrashReport { replica: replica(number), suspects, cleared: Vec::new() }
}

fn quarantined(reports: &[CrashReport]) -> Vec<usize> {
    let verdict = Quarantine::from_reports(reports.iter());
    (0..100).filter(|number| verdict.contains(&request(*number))).collect()
}

fn sent(
    number: usize,
    at_replica: usize,
    sender: RunSender,
    monitor: &CrashMonitor,
    at: Timestamp,
) -> SentRun {
    SentRun {
        fingerprint: request(number),
        replica: replica(at_replica),
        may_restart: false,
        address: address(at_replica),
        sender,
        is_repeated: monitor.is_suspected(&request(number)),
        sent_at: at,
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

/// Records a run that is interrupted by a crash of its replica.
fn crash_during_run(monitor: &mut CrashMonitor, number: usize, at_replica: usize, now: Timestamp) {
    let run = sent(number, at_replica, RunSender::Gateway, monitor, now);
    monitor.run_broken(run, BreakCause::Closed, true, now);
    monitor.replica_ended(&replica(at_replica), now);
}

#[test]
fn fingerprints_differ_by_method_host_path_tenant_and_body() {
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
        // The boundary between two parts matters.
        RequestContent { host: "h/", path: "p", ..content },
    ];
    let own = Fingerprint::of(&content);
    assert_eq!(own, Fingerprint::of(&content.clone()));
    assert!(others.iter().all(|other| Fingerprint::of(other) != own));
    assert_eq!(own.to_string().parse(), Ok(own));
    assert!("nothing".parse::<Fingerprint>().is_err());
}

#[test]
fn a_request_is_quarantined_at_the_third_crash() {
    let crashes: Vec<CrashReport> = (0..3).map(|number| crash(number, &[7])).collect();
    assert_eq!(quarantined(&crashes[..2]), [0; 0]);
    assert_eq!(quarantined(&crashes), [7]);
    // Reports of two nodes on one replica count as one crash.
    assert_eq!(quarantined(&[crash(0, &[7]), crash(0, &[7]), crash(1, &[7])]), [0; 0]);
}

#[test]
fn a_request_that_ran_beside_a_quarantined_one_is_not_quarantined() {
    let crashes = [crash(0, &[7, 8, 9]), crash(1, &[7, 8]), crash(2, &[7, 8]), crash(3, &[7])];
    assert_eq!(quarantined(&crashes), [7]);
    // Requests that always ran together can't be distinguished until one runs without the other, or until the fourth
    // crash.
    let together: Vec<CrashReport> = (0..4).map(|number| crash(number, &[7, 8])).collect();
    assert_eq!(quarantined(&together[..3]), [0; 0]);
    assert_eq!(quarantined(&together), [7, 8]);
    // Requests that ran on different replicas are both quarantined.
    let apart: Vec<CrashReport> = (0..6).map(|number| crash(number, &[number % 2])).collect();
    assert_eq!(quarantined(&apart), [0, 1]);
}

#[test]
fn replicas_that_fail_together_quarantine_no_request() {
    let mut crashes: Vec<CrashReport> = (0..3).map(|number| crash(number, &[7])).collect();
    for crash in &mut crashes {
        crash.suspects[0].is_repeated = false;
    }
    assert_eq!(quarantined(&crashes), [0; 0]);
    // The request is sent again and a further replica crashes.
    crashes.push(crash(3, &[7]));
    assert_eq!(quarantined(&crashes), [7]);
}

#[test]
fn completed_and_released_requests_are_not_quarantined() {
    let mut crashes: Vec<CrashReport> = (0..3).map(|number| crash(number, &[7])).collect();
    let cleared = CrashReport { replica: replica(1), suspects: Vec::new(), cleared: vec![request(7)] };
    crashes.push(cleared);
    assert_eq!(quarantined(&crashes), [0; 0]);
    let mut monitor = CrashMonitor::default();
    monitor.set_reports(crashes, at(0));
    crash_during_run(&mut monitor, 7, 3, at(0));
    assert!(monitor.quarantine().contains(&request(7)));
    assert!(monitor.release(&request(7), at(10)));
    assert!(monitor.quarantine().is_empty());
    // The other nodes get the clearings.
    let reported = monitor.due_reports(at(20));
    assert_eq!(reported.iter().map(|report| report.cleared.len()).sum::<usize>(), 2);
    assert!(monitor.due_reports(at(30)).is_empty());
}

#[test]
fn a_recently_completed_request_is_not_quarantined() {
    let mut monitor = CrashMonitor::default();
    let answered = sent(7, 0, RunSender::Gateway, &monitor, at(0));
    monitor.run_ended(&answered, at(10));
    for number in 0..5 {
        crash_during_run(&mut monitor, 7, number, at(100));
    }
    assert!(monitor.quarantine().is_empty() && monitor.due_reports(at(2_000)).is_empty());
    // Other nodes did not see it complete and reported it; this node clears it.
    monitor.set_reports((0..5).map(|number| crash(number, &[7])).collect(), at(3_000));
    assert!(monitor.quarantine().is_empty());
    assert_eq!(monitor.due_reports(at(3_100)).iter().map(|report| report.cleared.len()).sum::<usize>(), 5);
    // It is quarantined half a minute after its last completion.
    for number in 5..8 {
        crash_during_run(&mut monitor, 7, number, at(31_000));
    }
    assert!(monitor.quarantine().contains(&request(7)));
}

#[test]
fn an_interrupted_run_counts_only_if_its_replica_ended() {
    let mut monitor = CrashMonitor::default();
    for number in 0..5 {
        let run = sent(7, number, RunSender::Gateway, &monitor, at(0));
        monitor.run_broken(run, BreakCause::Closed, true, at(0));
    }
    assert!(monitor.is_suspected(&request(7)));
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
    let table = |records: Vec<ReplicaRecord>| ReplicaTable::new(records);
    // All replicas are still listed.
    monitor.set_replicas(&table((0..5).map(|number| record(number, number)).collect()), at(100));
    assert!(monitor.quarantine().is_empty());
    // A replica that is not listed when the run is interrupted has ended.
    let mut unlisted = CrashMonitor::default();
    for number in 0..3 {
        let run = sent(8, number, RunSender::Gateway, &unlisted, at(0));
        assert!(unlisted.run_broken(run, BreakCause::GivenUp, false, at(0)));
    }
    assert!(unlisted.quarantine().contains(&request(8)));
    // One replica is no longer listed, and new incarnations have the addresses of two others: three crashes.
    let mut records: Vec<ReplicaRecord> = (1..5).map(|number| record(number, number)).collect();
    records.extend([record(1, 11), record(2, 12)]);
    assert!(monitor.set_replicas(&table(records), at(200)));
    assert!(monitor.quarantine().contains(&request(7)));
}

#[test]
fn a_request_one_crash_short_is_held_from_a_closed_connection_until_the_replica_is_confirmed() {
    let mut monitor = CrashMonitor::default();
    for number in 0..2 {
        crash_during_run(&mut monitor, 7, number, at(0));
    }
    let given_up = sent(7, 2, RunSender::Gateway, &monitor, at(100));
    assert!(!monitor.run_broken(given_up, BreakCause::GivenUp, true, at(200)));
    assert!(monitor.quarantine().is_empty());
    let closed = sent(7, 3, RunSender::Gateway, &monitor, at(300));
    assert!(monitor.run_broken(closed, BreakCause::Closed, true, at(400)));
    assert!(monitor.quarantine().contains(&request(7)));
    // Unconfirmed crashes are not reported.
    let reported = monitor.due_reports(at(500));
    assert_eq!(
        reported.iter().map(|report| report.replica.as_str()).collect::<Vec<_>>(),
        ["replica-0", "replica-1"]
    );
    // The replica is still listed after ten seconds, so it did not crash.
    assert!(monitor.expire(at(10_500)));
    assert!(monitor.quarantine().is_empty());
    // A closed connection has no effect on a request without crashes.
    let first = sent(8, 3, RunSender::Gateway, &monitor, at(300));
    assert!(!monitor.run_broken(first, BreakCause::Closed, true, at(400)));
}

#[test]
fn completed_requests_are_not_reported_and_an_answer_clears_its_replica() {
    let mut monitor = CrashMonitor::default();
    for (number, request) in [(0, 7), (1, 8)] {
        crash_during_run(&mut monitor, request, number, at(0));
    }
    let answered = sent(7, 2, RunSender::Gateway, &monitor, at(5));
    assert!(monitor.run_ended(&answered, at(10)));
    // An answer to a run sent before the crash does not clear the replica.
    let earlier = SentRun { sent_at: at(0), ..sent(9, 1, RunSender::Gateway, &monitor, at(0)) };
    let reported_suspects = |monitor: &mut CrashMonitor| {
        let reported = monitor.due_reports(at(2_000));
        reported
            .iter()
            .flat_map(|report| report.suspects.clone())
            .map(|suspect| suspect.fingerprint)
            .collect()
    };
    let before: Vec<Fingerprint> = reported_suspects(&mut monitor);
    assert_eq!(before, [request(8)]);
    let later = SentRun { sent_at: at(20), ..earlier };
    assert!(monitor.run_ended(&later, at(30)));
    assert_eq!(monitor.due_reports(at(3_000))[0].cleared, [request(8)]);
}

#[test]
fn items_are_reported_from_the_second_crash_and_concurrent_runs_count_once() {
    let mut monitor = CrashMonitor::default();
    // Three concurrent runs of one request are interrupted by three crashes.
    let runs: Vec<SentRun> =
        (0..3).map(|number| sent(7, number, RunSender::Owner, &monitor, at(0))).collect();
    for (number, run) in runs.into_iter().enumerate() {
        monitor.run_broken(run, BreakCause::Closed, true, at(50));
        monitor.replica_ended(&replica(number), at(50));
    }
    assert!(monitor.due_reports(at(2_000)).is_empty());
    for number in 3..5 {
        let now = at(3_000 + number as u64);
        let run = sent(7, number, RunSender::Owner, &monitor, now);
        monitor.run_broken(run, BreakCause::Closed, true, now);
        monitor.replica_ended(&replica(number), now);
    }
    assert!(monitor.quarantine().contains(&request(7)));
    assert_eq!(monitor.due_reports(at(5_000)).len(), 3);
}

#[test]
fn consecutive_runs_count_although_their_crashes_are_confirmed_late() {
    let mut monitor = CrashMonitor::default();
    for number in 0..3 {
        let run = sent(7, number, RunSender::Owner, &monitor, at(100 * number as u64));
        monitor.run_broken(run, BreakCause::Closed, true, at(100 * number as u64 + 50));
    }
    // The first crash is confirmed last, after all runs were sent.
    for number in (0..3).rev() {
        assert!(monitor.replica_ended(&replica(number), at(5_000)));
    }
    assert!(monitor.quarantine().contains(&request(7)));
}

#[test]
fn the_state_of_a_node_is_bounded_and_expires() {
    let mut monitor = CrashMonitor::default();
    for number in 0..5_000 {
        let run =
            SentRun { replica: replica(number), ..sent(number, 0, RunSender::Gateway, &monitor, at(0)) };
        monitor.run_broken(run, BreakCause::Closed, true, at(0));
    }
    let kept = (0..5_000).filter(|number| monitor.is_suspected(&request(*number))).count();
    assert_eq!(kept, 1_024);
    monitor.due_reports(at(11_000));
    assert!(!monitor.is_suspected(&request(4_999)));
    crash_during_run(&mut monitor, 7, 0, at(11_000));
    assert!(!monitor.is_idle());
    monitor.due_reports(at(12_000));
    assert!(monitor.is_idle());
    monitor.due_reports(at(200_000));
    assert!(!monitor.is_suspected(&request(7)));
}

/// Generates, for each of five crashes, which of ten innocent requests also ran on the replica.
fn innocent_requests() -> impl Strategy<Value = Vec<Vec<usize>>> {
    proptest::collection::vec(proptest::collection::vec(10_usize..20, 0..4), 5)
}

proptest! {
    #[test]
    fn a_request_that_crashes_every_replica_is_quarantined_after_at_most_four_and_others_only_if_always_present(
        crashes in innocent_requests(),
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
            prop_assert!(quarantined(&reports[..ended]).contains(&1));
        }
        for innocent in quarantined(&reports) {
            let met = crashes.iter().filter(|beside| beside.contains(&innocent)).count();
            prop_assert!(innocent == 1 || met == crashes.len());
        }
        // The result does not depend on the order of reports.
        let mut reversed = reports.clone();
        reversed.reverse();
        prop_assert_eq!(quarantined(&reports), quarantined(&reversed));
    }
}

/// An answer may come from the next incarnation of a restarted replica until that one would be listed.
#[test]
fn an_answer_of_the_next_incarnation_does_not_clear_the_crash_of_the_previous_one() {
    let crashes_after_answer_at = |milliseconds: u64| {
        let mut monitor = CrashMonitor::default();
        let run = SentRun { may_restart: true, ..sent(7, 1, RunSender::Gateway, &monitor, at(0)) };
        monitor.run_broken(run, BreakCause::Closed, true, at(10));
        monitor.replica_ended(&replica(1), at(20));
        let later =
            SentRun { may_restart: true, ..sent(8, 1, RunSender::Gateway, &monitor, at(milliseconds)) };
        monitor.run_ended(&later, at(milliseconds + 5));
        monitor.quarantine().crashes(&request(7)).count()
    };
    assert_eq!(crashes_after_answer_at(500), 1);
    assert_eq!(crashes_after_answer_at(12_000), 0);
}
