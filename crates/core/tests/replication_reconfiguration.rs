//! Changes of a replica set at the moments that matter, with each mechanism on and off.

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
use replication_support::{NOW_UNIX_MS, Stores, first_set, member, set_of_five, without_c};

/// A record is decided by `b` and `c` alone, then `c` is lost and replaced by `d`; what do `a` and `d` find?
fn found_after_losing_c(checks: ReconfigurerChecks, check_copied: bool) -> Option<Vec<Vec<u8>>> {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    for (acceptor, _) in stores.acceptors.values_mut() {
        let checks = AcceptorChecks { check_copied, ..AcceptorChecks::default() };
        *acceptor = acceptor.clone().with_checks(checks);
    }
    let old = first_set();
    let next = without_c(&old);
    stores.reach(&["b", "c"]);
    stores.own(&old, "first", &[b"kept"]).expect("taken over");
    stores.reach(&["a", "b", "d"]);
    assert!(stores.change(&old, &next, checks));
    stores.reach(&["a", "d"]);
    stores.own(&next, "second", &[])
}

#[test]
fn a_lost_member_takes_nothing_with_it() {
    let found = found_after_losing_c(ReconfigurerChecks::default(), true);
    assert_eq!(found, Some(vec![b"kept".to_vec()]));
}

#[test]
fn without_copying_the_next_set_forgets() {
    let checks = ReconfigurerChecks { copy: false, ..ReconfigurerChecks::default() };
    let found = found_after_losing_c(checks, false);
    assert_eq!(found, Some(Vec::new()));
}

#[test]
fn without_sealing_a_majority_the_old_set_decides_what_is_not_copied() {
    let checks = ReconfigurerChecks { seal_majority: false, ..ReconfigurerChecks::default() };
    let found = found_after_losing_c(checks, false);
    assert_eq!(found, Some(Vec::new()));
}

/// `b` loses its disk after it and `c` alone decided a record; do `a` and the empty `b` pass for a majority?
fn found_with_an_empty_disk(check_store: bool) -> Option<Vec<Vec<u8>>> {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.reach(&["b", "c"]);
    stores.own(&set, "first", &[b"kept"]).expect("taken over");
    let checks = AcceptorChecks { check_store, ..AcceptorChecks::default() };
    let empty = Acceptor::new(StoreId::new("b again"), ClaimWindow::default()).with_checks(checks);
    stores.acceptors.insert(StoreId::new("b"), (empty, MemoryStorage::default()));
    stores.reach(&["a", "b"]);
    stores.own(&set, "second", &[])
}

#[test]
fn an_empty_disk_is_no_member() {
    assert_eq!(found_with_an_empty_disk(true), None);
}

#[test]
fn without_the_store_id_an_empty_disk_helps_to_forget() {
    assert_eq!(found_with_an_empty_disk(false), Some(Vec::new()));
}

/// `c` is replaced while `b` can't be reached; do `b` and `c` go on by themselves?
fn old_set_decides(refuse_when_sealed: bool) -> bool {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let checks = AcceptorChecks { refuse_when_sealed, ..AcceptorChecks::default() };
    for (acceptor, _) in stores.acceptors.values_mut() {
        *acceptor = acceptor.clone().with_checks(checks);
    }
    let old = first_set();
    let next = without_c(&old);
    stores.own(&old, "first", &[b"kept"]).expect("taken over");
    stores.reach(&["a", "c", "d"]);
    assert!(stores.change(&old, &next, ReconfigurerChecks::default()));
    assert!(stores.own(&next, "next", &[]).is_some());
    stores.reach(&["b", "c"]);
    stores.own(&old, "old", &[]).is_some()
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
fn a_change_that_stops_after_any_step_leaves_one_set_that_can_decide() {
    let exchanges = 40;
    for stop_after in 0..exchanges {
        let mut stores = Stores::new(&["a", "b", "c", "d"]);
        let old = first_set();
        let next = without_c(&old);
        stores.own(&old, "first", &[b"kept"]).expect("taken over");
        let transfer = TransferId("stopped".to_owned());
        let mut change = Reconfigurer::new(old.clone(), next.clone(), transfer, Duration::from_secs(1));
        for _ in 0..stop_after {
            let Some(transmit) = change.poll_transmit(Timestamp::ORIGIN) else { break };
            if let Some(response) = stores.answer(transmit.request) {
                change.step(response);
            }
        }
        let by_old = stores.own(&old, "old", &[]);
        let by_next = stores.own(&next, "next", &[]);
        assert!(by_old.is_none() || by_next.is_none(), "both sets decide after {stop_after} exchanges");
        // Whoever goes on from here loses nothing, also with `c` gone.
        stores.reach(&["a", "b", "d"]);
        assert!(stores.change(&old, &next, ReconfigurerChecks::default()), "after {stop_after} exchanges");
        assert_eq!(stores.own(&old, "old again", &[]), None);
        assert_eq!(stores.own(&next, "next again", &[]), Some(vec![b"kept".to_vec()]));
    }
}

#[test]
fn an_old_member_refuses_and_names_its_successor() {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let old = first_set();
    let next = without_c(&old);
    stores.own(&old, "first", &[b"kept"]).expect("taken over");
    assert!(stores.change(&old, &next, ReconfigurerChecks::default()));
    let by_c = stores.claim(&old, "c", "one", NOW_UNIX_MS);
    assert_eq!(by_c, ReplicaAnswer::Refused(StoreRefusal::SealedFor { next: next.clone() }));
    let by_a = stores.claim(&old, "a", "one", NOW_UNIX_MS);
    assert_eq!(by_a, ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current: next }));
}

#[test]
fn a_store_with_another_id_takes_no_part() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.own(&set, "first", &[b"kept"]).expect("taken over");
    let empty = Acceptor::new(StoreId::new("a again"), ClaimWindow::default());
    stores.acceptors.insert(StoreId::new("a"), (empty, MemoryStorage::default()));
    let refused = stores.ask(&set, "a", Operation::Begin(set.clone()));
    assert_eq!(refused, ReplicaAnswer::Refused(StoreRefusal::WrongStore { store: StoreId::new("a again") }));
}

#[test]
fn an_id_whose_claim_was_forgotten_is_refused_though_the_clock_goes_back() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.ask(&set, "a", Operation::Begin(set.clone()));
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
    // The clock is back where it was, and the claim is gone: granting now would be granting twice.
    assert_eq!(vote(stores.claim(&set, "a", "other", NOW_UNIX_MS)), ClaimVote::Expired);
}

/// The pages of a whole log would hold up the few requests of members that stay, and nothing is decided until these take
/// part in the next set.
#[test]
fn members_that_stay_are_brought_in_before_one_that_joins_is_copied_to() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.own(&old, "first", &[b"one", b"two"]).expect("taken over");
    stores.reach(&["a", "b", "c", "d", "f"]);
    let transfer = TransferId("to 2".to_owned());
    let mut change = Reconfigurer::new(old, next.clone(), transfer, Duration::from_secs(1));
    let mut installed = false;
    while let Some(transmit) = change.poll_transmit(Timestamp::ORIGIN) {
        assert!(installed || transmit.to != StoreId::new("f"), "{:?}", transmit.request.operation);
        if let Some(response) = stores.answer(transmit.request) {
            change.step(response);
        }
        while let Some(event) = change.poll_event() {
            installed |= event == ReconfigurerEvent::Installed;
        }
    }
    assert!(installed);
    stores.reach(&["a", "b", "f"]);
    assert_eq!(stores.own(&next, "second", &[]), Some(vec![b"one".to_vec(), b"two".to_vec()]));
}

/// What may be decided at a sealed member has to be read: a change whose source fell silent goes on once it answers.
#[test]
fn a_change_whose_source_fell_silent_is_finished_once_it_answers() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.own(&old, "first", &[b"one"]).expect("taken over");
    let transfer = TransferId("to 2".to_owned());
    let mut change = Reconfigurer::new(old, next, transfer, Duration::from_millis(500));
    let mut installed = false;
    for step in 0..10 {
        let now = Timestamp::from_millis(500 * step);
        while let Some(transmit) = change.poll_transmit(now) {
            let is_seal = matches!(transmit.request.operation, Operation::Seal(_));
            stores.reach(if is_seal { &["a", "b", "c"] } else { &["a", "b", "f"] });
            if let Some(response) = stores.answer(transmit.request) {
                change.step(response);
            }
            while let Some(event) = change.poll_event() {
                installed |= event == ReconfigurerEvent::Installed;
            }
        }
    }
    assert!(!installed, "c may hold what no other does");
    for step in 10..20 {
        let now = Timestamp::from_millis(500 * step);
        stores.reach(&["a", "b", "c", "d", "f"]);
        while let Some(transmit) = change.poll_transmit(now) {
            if let Some(response) = stores.answer(transmit.request) {
                change.step(response);
            }
            while let Some(event) = change.poll_event() {
                installed |= event == ReconfigurerEvent::Installed;
            }
        }
    }
    assert!(installed);
}

/// An owner that goes on under another set reads only what it may not know.
#[test]
fn an_owner_that_knows_the_log_recovers_only_what_follows() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let set = first_set();
    stores.own(&set, "first", &[b"one", b"two"]).expect("taken over");
    // Positions count from 1: the first owner's records are 1 and 2.
    stores.own(&set, "second", &[b"three"]).expect("taken over");
    let config = ProposerConfig { maximum_epoch_raises: 10, ..ProposerConfig::default() };
    let known = LogIndex(2);
    let mut proposer = Proposer::new(set, ProposerId::new("third"), Epoch(1), config)
        .with_known(KnownLog { through: known, ..KnownLog::default() });
    let mut recovered = None;
    while let Some(transmit) = proposer.poll_transmit(Timestamp::ORIGIN) {
        if let Operation::Read(read) = &transmit.request.operation {
            assert!(read.from > known, "{:?}", read.from);
        }
        if let Some(response) = stores.answer(transmit.request) {
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

/// A driver sleeps until the time-out: one that has passed would have it spin while a silent member is waited for.
#[test]
fn a_change_that_waits_never_asks_to_be_woken_in_the_past() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
    stores.own(&old, "first", &[b"one"]).expect("taken over");
    let transfer = TransferId("to 2".to_owned());
    let mut change = Reconfigurer::new(old, next, transfer, Duration::from_millis(500));
    let mut now = Timestamp::ORIGIN;
    for _ in 0..100 {
        while let Some(transmit) = change.poll_transmit(now) {
            let is_seal = matches!(transmit.request.operation, Operation::Seal(_));
            stores.reach(if is_seal { &["a", "b", "c"] } else { &[] });
            if let Some(response) = stores.answer(transmit.request) {
                change.step(response);
            }
        }
        let wake = change.poll_timeout().expect("something is waited for");
        assert!(wake > now, "{wake:?} at {now:?}");
        now = wake;
    }
}
