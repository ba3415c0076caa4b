//! Reconfiguration with failures at critical points, with each safety check enabled and disabled.

mod replication_support;

use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::acceptor::{Acceptor, AcceptorChecks};
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::claims::{ClaimVote, ClaimWindow};
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::log::KnownLog;
use lichenpulley_core::replication::memory_storage::MemoryStorage;
use lichenpulley_core::replication::message::{Operation, ReplicaAnswer, StoreRefusal, TransferId};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig, ProposerEvent};
use lichenpulley_core::replication::reconfigurer::{Reconfigurer, ReconfigurerChecks, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::StoreId;
use lichenpulley_core::time::Timestamp;
use replication_support::{NOW_UNIX_MS, Stores, first_set, member, set_of_five, with_c_replaced_by_d};

/// Returns the records that `a` and `d` recover after only `b` and `c` decided a record and `d` replaced the
/// lost `c`.
fn records_after_losing_c(checks: ReconfigurerChecks, check_copied: bool) -> Option<Vec<Vec<u8>>> {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    for (acceptor, _) in stores.acceptors.values_mut() {
        let checks = AcceptorChecks { check_copied, ..AcceptorChecks::default() };
        *acceptor = acceptor.clone().with_checks(checks);
    }
    let old = first_set();
    let next = with_c_replaced_by_d(&old);
    stores.set_reachable(&["b", "c"]);
    stores.take_over_and_append(&old, "first", &[b"kept"]).expect("taken over");
    stores.set_reachable(&["a", "b", "d"]);
    assert!(stores.reconfigure(&old, &next, checks));
    stores.set_reachable(&["a", "d"]);
    stores.take_over_and_append(&next, "second", &[])
}

#[test]
fn no_record_is_lost_with_a_member() {
    let found = records_after_losing_c(ReconfigurerChecks::default(), true);
    assert_eq!(found, Some(vec![b"kept".to_vec()]));
}

#[test]
fn record_is_lost_without_copying() {
    let checks = ReconfigurerChecks { copy: false, ..ReconfigurerChecks::default() };
    let found = records_after_losing_c(checks, false);
    assert_eq!(found, Some(Vec::new()));
}

#[test]
fn record_is_lost_without_sealing_a_majority() {
    let checks = ReconfigurerChecks { seal_majority: false, ..ReconfigurerChecks::default() };
    let found = records_after_losing_c(checks, false);
    assert_eq!(found, Some(Vec::new()));
}

/// Returns the records that `a` and `b` recover after only `b` and `c` decided a record and `b` lost its
/// disk.
fn records_after_replacing_a_disk(check_store: bool) -> Option<Vec<Vec<u8>>> {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.set_reachable(&["b", "c"]);
    stores.take_over_and_append(&set, "first", &[b"kept"]).expect("taken over");
    let checks = AcceptorChecks { check_store, ..AcceptorChecks::default() };
    let empty = Acceptor::new(StoreId::new("b again"), ClaimWindow::default()).with_checks(checks);
    stores.acceptors.insert(StoreId::new("b"), (empty, MemoryStorage::default()));
    stores.set_reachable(&["a", "b"]);
    stores.take_over_and_append(&set, "second", &[])
}

#[test]
fn store_with_an_empty_disk_is_not_a_member() {
    assert_eq!(records_after_replacing_a_disk(true), None);
}

#[test]
fn record_is_lost_without_the_store_id_check() {
    assert_eq!(records_after_replacing_a_disk(false), Some(Vec::new()));
}

/// Returns whether `b` and `c` can still decide after `c` was replaced while `b` was unreachable.
fn old_set_decides(refuse_when_sealed: bool) -> bool {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let checks = AcceptorChecks { refuse_when_sealed, ..AcceptorChecks::default() };
    for (acceptor, _) in stores.acceptors.values_mut() {
        *acceptor = acceptor.clone().with_checks(checks);
    }
    let old = first_set();
    let next = with_c_replaced_by_d(&old);
    stores.take_over_and_append(&old, "first", &[b"kept"]).expect("taken over");
    stores.set_reachable(&["a", "c", "d"]);
    assert!(stores.reconfigure(&old, &next, ReconfigurerChecks::default()));
    assert!(stores.take_over_and_append(&next, "next", &[]).is_some());
    stores.set_reachable(&["b", "c"]);
    stores.take_over_and_append(&old, "old", &[]).is_some()
}

#[test]
fn a_sealed_set_decides_nothing() {
    assert!(!old_set_decides(true));
}

#[test]
fn without_refusing_when_sealed_two_sets_decide() {
    assert!(old_set_decides(false));
}

#[test]
fn interrupted_reconfiguration_leaves_at_most_one_set_that_can_decide() {
    let exchanges = 40;
    for stop_after in 0..exchanges {
        let mut stores = Stores::new(&["a", "b", "c", "d"]);
        let old = first_set();
        let next = with_c_replaced_by_d(&old);
        stores.take_over_and_append(&old, "first", &[b"kept"]).expect("taken over");
        let transfer = TransferId("stopped".to_owned());
        let mut reconfigurer = Reconfigurer::new(old.clone(), next.clone(), transfer, Duration::from_secs(1));
        for _ in 0..stop_after {
            let Some(transmit) = reconfigurer.poll_transmit(Timestamp::ORIGIN) else { break };
            if let Some(response) = stores.send(transmit.request) {
                reconfigurer.step(response);
            }
        }
        let by_old = stores.take_over_and_append(&old, "old", &[]);
        let by_next = stores.take_over_and_append(&next, "next", &[]);
        assert!(by_old.is_none() || by_next.is_none(), "both sets decide after {stop_after} exchanges");
        // Completing the reconfiguration loses no record, also without `c`.
        stores.set_reachable(&["a", "b", "d"]);
        assert!(
            stores.reconfigure(&old, &next, ReconfigurerChecks::default()),
            "after {stop_after} exchanges"
        );
        assert_eq!(stores.take_over_and_append(&old, "old again", &[]), None);
        assert_eq!(stores.take_over_and_append(&next, "next again", &[]), Some(vec![b"kept".to_vec()]));
    }
}

#[test]
fn old_member_refuses_and_returns_the_next_set() {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let old = first_set();
    let next = with_c_replaced_by_d(&old);
    stores.take_over_and_append(&old, "first", &[b"kept"]).expect("taken over");
    assert!(stores.reconfigure(&old, &next, ReconfigurerChecks::default()));
    let by_c = stores.claim(&old, "c", "one", NOW_UNIX_MS);
    assert_eq!(by_c, ReplicaAnswer::Refused(StoreRefusal::SealedFor { next: next.clone() }));
    let by_a = stores.claim(&old, "a", "one", NOW_UNIX_MS);
    assert_eq!(by_a, ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current: next }));
}

#[test]
fn store_with_another_id_refuses_requests() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.take_over_and_append(&set, "first", &[b"kept"]).expect("taken over");
    let empty = Acceptor::new(StoreId::new("a again"), ClaimWindow::default());
    stores.acceptors.insert(StoreId::new("a"), (empty, MemoryStorage::default()));
    let refused = stores.operate(&set, "a", Operation::Begin(set.clone()));
    assert_eq!(refused, ReplicaAnswer::Refused(StoreRefusal::WrongStore { store: StoreId::new("a again") }));
}

#[test]
fn removed_claim_stays_refused_after_the_clock_goes_back() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.operate(&set, "a", Operation::Begin(set.clone()));
    let vote = |outcome| match outcome {
        ReplicaAnswer::Voted { vote, .. } => vote,
        other => panic!("no vote: {other:?}"),
    };
    assert_eq!(vote(stores.claim(&set, "a", "one", NOW_UNIX_MS)), ClaimVote::Granted);
    assert_eq!(vote(stores.claim(&set, "a", "one", NOW_UNIX_MS)), ClaimVote::Granted);
    assert_eq!(vote(stores.claim(&set, "a", "other", NOW_UNIX_MS)), ClaimVote::Held);
    let far_ahead = NOW_UNIX_MS + 60_000;
    assert_eq!(vote(stores.claim(&set, "a", "one", far_ahead)), ClaimVote::TooFarAhead);

    let later = NOW_UNIX_MS + 3_600_000;
    let (acceptor, storage) = stores.acceptors.get_mut(&StoreId::new("a")).expect("a store");
    let Ok(()) = acceptor.remove_expired_claims(storage, later, &set.shard);
    // The clock went back and the claim was removed: granting the id now would grant it twice.
    assert_eq!(vote(stores.claim(&set, "a", "other", NOW_UNIX_MS)), ClaimVote::Expired);
}

/// Pages of the whole log for a joining member must not delay the few requests that staying members need.
#[test]
fn staying_members_are_installed_before_a_joining_member_is_copied_to() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.take_over_and_append(&old, "first", &[b"one", b"two"]).expect("taken over");
    stores.set_reachable(&["a", "b", "c", "d", "f"]);
    let transfer = TransferId("to 2".to_owned());
    let mut reconfigurer = Reconfigurer::new(old, next.clone(), transfer, Duration::from_secs(1));
    let mut installed = false;
    while let Some(transmit) = reconfigurer.poll_transmit(Timestamp::ORIGIN) {
        assert!(installed || transmit.to != StoreId::new("f"), "{:?}", transmit.request.operation);
        if let Some(response) = stores.send(transmit.request) {
            reconfigurer.step(response);
        }
        while let Some(event) = reconfigurer.poll_event() {
            installed |= event == ReconfigurerEvent::Installed;
        }
    }
    assert!(installed);
    stores.set_reachable(&["a", "b", "f"]);
    assert_eq!(
        stores.take_over_and_append(&next, "second", &[]),
        Some(vec![b"one".to_vec(), b"two".to_vec()])
    );
}

/// A sealed member may have decided entries that no other has, so it must be read before installing.
#[test]
fn reconfiguration_completes_once_an_unreachable_source_responds() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.take_over_and_append(&old, "first", &[b"one"]).expect("taken over");
    let transfer = TransferId("to 2".to_owned());
    let mut reconfigurer = Reconfigurer::new(old, next, transfer, Duration::from_millis(500));
    let mut installed = false;
    for step in 0..10 {
        let now = Timestamp::from_millis(500 * step);
        while let Some(transmit) = reconfigurer.poll_transmit(now) {
            let is_seal = matches!(transmit.request.operation, Operation::Seal(_));
            stores.set_reachable(if is_seal { &["a", "b", "c"] } else { &["a", "b", "f"] });
            if let Some(response) = stores.send(transmit.request) {
                reconfigurer.step(response);
            }
            while let Some(event) = reconfigurer.poll_event() {
                installed |= event == ReconfigurerEvent::Installed;
            }
        }
    }
    assert!(!installed, "c may have an entry that no other member has");
    for step in 10..20 {
        let now = Timestamp::from_millis(500 * step);
        stores.set_reachable(&["a", "b", "c", "d", "f"]);
        while let Some(transmit) = reconfigurer.poll_transmit(now) {
            if let Some(response) = stores.send(transmit.request) {
                reconfigurer.step(response);
            }
            while let Some(event) = reconfigurer.poll_event() {
                installed |= event == ReconfigurerEvent::Installed;
            }
        }
    }
    assert!(installed);
}

/// An owner that knows a prefix of the log must not read it again.
#[test]
fn take_over_reads_only_entries_after_the_known_prefix() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.take_over_and_append(&set, "first", &[b"one", b"two"]).expect("taken over");
    // The first owner's records are at positions 1 and 2.
    stores.take_over_and_append(&set, "second", &[b"three"]).expect("taken over");
    let config = ProposerConfig { maximum_epoch_raises: 10, ..ProposerConfig::default() };
    let known = LogIndex(2);
    let mut proposer = Proposer::new(set, ProposerId::new("third"), Epoch(1), config)
        .with_known(KnownLog { through: known, ..KnownLog::default() });
    let mut recovered = None;
    while let Some(transmit) = proposer.poll_transmit(Timestamp::ORIGIN) {
        if let Operation::Read(read) = &transmit.request.operation {
            assert!(read.from > known, "{:?}", read.from);
        }
        if let Some(response) = stores.send(transmit.request) {
            proposer.step(Timestamp::ORIGIN, response);
        }
        while let Some(event) = proposer.poll_event() {
            if let ProposerEvent::Recovered(log) = event {
                recovered = Some((log.records, log.latest_origin));
            }
        }
    }
    assert_eq!(recovered, Some((vec![b"three".to_vec()], Epoch(2))));
}

/// A time-out in the past would make the driver spin while it waits for an unreachable member.
#[test]
fn waiting_reconfiguration_never_reports_a_past_timeout() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.take_over_and_append(&old, "first", &[b"one"]).expect("taken over");
    let transfer = TransferId("to 2".to_owned());
    let mut reconfigurer = Reconfigurer::new(old, next, transfer, Duration::from_millis(500));
    let mut now = Timestamp::ORIGIN;
    for _ in 0..100 {
        while let Some(transmit) = reconfigurer.poll_transmit(now) {
            let is_seal = matches!(transmit.request.operation, Operation::Seal(_));
            stores.set_reachable(if is_seal { &["a", "b", "c"] } else { &[] });
            if let Some(response) = stores.send(transmit.request) {
                reconfigurer.step(response);
            }
        }
        let timeout = reconfigurer.poll_timeout().expect("a request is outstanding");
        assert!(timeout > now, "{timeout:?} at {now:?}");
        now = timeout;
    }
}

/// A member that begins after copying to it has started waits for its seal, without a time-out in the past.
#[test]
fn member_that_begins_late_causes_no_past_timeout() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.set_reachable(&["a", "b", "c"]);
    stores.take_over_and_append(&old, "first", &[b"one"]).expect("taken over");
    let transfer = TransferId("to 2".to_owned());
    let mut reconfigurer = Reconfigurer::new(old, next, transfer, Duration::from_millis(500));
    let mut now = Timestamp::ORIGIN;
    for step in 0..100 {
        while let Some(transmit) = reconfigurer.poll_transmit(now) {
            let answers = match transmit.request.operation {
                Operation::Seal(_) => step == 0,
                Operation::Begin(_) => step > 10,
                _ => false,
            };
            stores.set_reachable(if answers { &["a", "b", "c", "d"] } else { &["a", "b", "c"] });
            if let Some(response) = stores.send(transmit.request) {
                reconfigurer.step(response);
            }
        }
        let timeout = reconfigurer.poll_timeout().expect("a request is outstanding");
        assert!(timeout > now, "{timeout:?} at {now:?}");
        now = timeout;
    }
}
