//! What a member of a next set is given: all that it is said to hold, while the owner works on and sets grow.

mod replication_support;

use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::message::{Accept, Operation, PagePosition, TransferId};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig};
use lichenpulley_core::replication::reconfigurer::{ChangeOwner, Reconfigurer, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use lichenpulley_core::replication::storage::ShardStorage;
use lichenpulley_core::time::Timestamp;
use replication_support::{Stores, first_set, member, set_of_five, without_c};

const RETRANSMIT_AFTER: Duration = Duration::from_millis(500);
/// So many pauses are more than any change here needs.
const ROUNDS: u32 = 40;

fn round(number: u32) -> Timestamp {
    Timestamp::ORIGIN + RETRANSMIT_AFTER * number
}

fn owner(set: &ReplicaSet, stores: &mut Stores) -> Proposer {
    let mut owner = Proposer::new(set.clone(), ProposerId::new("owner"), Epoch(1), ProposerConfig::default());
    pump(&mut owner, stores, 0);
    owner
}

fn pump(proposer: &mut Proposer, stores: &mut Stores, number: u32) {
    while let Some(transmit) = proposer.poll_transmit(round(number)) {
        if let Some(response) = stores.answer(transmit.request) {
            proposer.step(round(number), response);
        }
        while proposer.poll_event().is_some() {}
    }
}

fn append(owner: &mut Proposer, stores: &mut Stores, number: u32) {
    owner.append(vec![b"record".to_vec()]).expect("it leads");
    pump(owner, stores, number);
}

fn change(owner: &Proposer, old: &ReplicaSet, next: &ReplicaSet) -> Reconfigurer {
    let known = ChangeOwner { ballot: owner.ballot().clone(), decided_through: owner.decided_through() };
    reconfigurer("owner", old, next).with_owner(known)
}

fn reconfigurer(name: &str, old: &ReplicaSet, next: &ReplicaSet) -> Reconfigurer {
    Reconfigurer::new(old.clone(), next.clone(), TransferId(name.to_owned()), RETRANSMIT_AFTER)
}

/// Drives a change until a majority of the next set is installed; tells whether it came to that.
fn drive(change: &mut Reconfigurer, stores: &mut Stores) -> bool {
    for number in 0..ROUNDS {
        while let Some(transmit) = change.poll_transmit(round(number)) {
            if let Some(response) = stores.answer(transmit.request) {
                change.step(response);
            }
            if change.poll_event() == Some(ReconfigurerEvent::Installed) {
                return true;
            }
        }
    }
    false
}

/// Positions that a store takes for decided and doesn't hold.
fn missing(stores: &Stores, set: &ReplicaSet, name: &str) -> Vec<u64> {
    let (_, storage) = &stores.acceptors[&StoreId::new(name)];
    let group = storage.group(&set.shard).expect("memory").expect("a member");
    let decided = group.position.first().0..=group.position.decided_through.0;
    decided.filter(|index| storage.entry(&set.shard, LogIndex(*index)).expect("memory").is_none()).collect()
}

fn grows(old: &[&str], joining: &str, reachable: &[&str]) -> bool {
    let all: Vec<&str> = old.iter().copied().chain([joining]).collect();
    let mut stores = Stores::new(&all);
    let set = ReplicaSet { members: old.iter().map(|name| member(name)).collect(), ..first_set() };
    stores.own(&set, "owner", &[b"record"]).expect("it leads");
    stores.reach(reachable);
    let next = set.with_replaced(&StoreId::new(joining), member(joining)).expect("another set");
    drive(&mut reconfigurer("growth", &set, &next), &mut stores)
}

#[test]
fn a_set_grows_also_without_the_least_of_its_members() {
    assert!(grows(&["a", "b", "c"], "d", &["a", "b", "c", "d"]));
    assert!(grows(&["a", "b", "c"], "d", &["a", "b", "d"]));
    assert!(grows(&["a", "b", "c"], "d", &["a", "b", "c"]));
    assert!(grows(&["a", "b", "c", "d"], "e", &["a", "b", "c", "e"]));
    assert!(grows(&["a", "b", "c", "d", "e"], "f", &["a", "b", "c", "f"]));
    assert!(!grows(&["a", "b", "c"], "d", &["a", "d"]));
}

/// An owner that has chosen the set without `c`.
fn owner_that_chose(stores: &mut Stores) -> Proposer {
    let mut owner = owner(&first_set(), stores);
    append(&mut owner, stores, 0);
    owner.append_next_set(without_c(&first_set())).expect("it leads");
    pump(&mut owner, stores, 0);
    owner
}

fn go_on(owner: &mut Proposer, stores: &mut Stores, number: u32) {
    let (old, next) = (first_set(), without_c(&first_set()));
    assert!(drive(&mut change(owner, &old, &next), stores));
    owner.continue_in(next).expect("nothing is on its way");
    pump(owner, stores, number);
}

/// A member is brought in from one that is installed while the owner, which does not reach the one that joins, appends.
#[test]
fn a_member_that_is_copied_beside_a_working_owner_holds_all_that_it_takes_for_decided() {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let next = without_c(&first_set());
    let mut owner = owner_that_chose(&mut stores);
    stores.reach(&["a", "b"]);
    go_on(&mut owner, &mut stores, 2);
    let mut catch_up = Reconfigurer::catch_up(next.clone(), TransferId("d".to_owned()), RETRANSMIT_AFTER);
    for number in 0..6 {
        loop {
            stores.reach(&["a", "b", "d"]);
            let Some(transmit) = catch_up.poll_transmit(round(number)) else { break };
            if matches!(&transmit.request.operation, Operation::ReadState(PagePosition::Claims(None))) {
                stores.reach(&["a", "b"]);
                append(&mut owner, &mut stores, 3);
                append(&mut owner, &mut stores, 4);
                stores.reach(&["a", "b", "d"]);
            }
            if let Some(response) = stores.answer(transmit.request) {
                catch_up.step(response);
            }
        }
    }
    assert_eq!(missing(&stores, &next, "d"), Vec::<u64>::new());
    for number in 18..22 {
        pump(&mut owner, &mut stores, number);
    }
    assert_eq!(missing(&stores, &next, "d"), Vec::<u64>::new());
}

/// A superseded owner copies from a member that only began in the next set and lacks what the owner knows to be decided.
#[test]
fn what_the_owner_knows_is_not_said_of_a_source_that_lacks_it() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("another set");
    let mut owner = owner(&old, &mut stores);
    stores.reach(&["a", "b", "e"]);
    append(&mut owner, &mut stores, 0);
    owner.append_next_set(next.clone()).expect("it leads");
    pump(&mut owner, &mut stores, 0);
    stores.reach(&["a", "b", "e", "f"]);
    let mut other = reconfigurer("other", &old, &next);
    let mut late = change(&owner, &old, &next);
    assert!(drive(&mut other, &mut stores));
    stores.reach(&["a", "b", "f", "c"]);
    let mut successor =
        Proposer::new(next.clone(), ProposerId::new("successor"), Epoch(2), ProposerConfig::default());
    let mut has_begun = false;
    for number in 0..6 {
        while let Some(transmit) = successor.poll_transmit(round(number)).filter(|_| !has_begun) {
            has_begun = matches!(transmit.request.operation, Operation::Begin(_));
            if let Some(response) = stores.answer(transmit.request) {
                successor.step(round(number), response);
            }
        }
    }
    assert!(has_begun);
    stores.reach(&["c", "d"]);
    drive(&mut late, &mut stores);
    assert_eq!(missing(&stores, &next, "d"), Vec::<u64>::new());
}

/// A change that starts over reads other pages: the first of them is not taken for one that came before.
#[test]
fn a_copying_that_starts_over_takes_no_page_of_the_pass_before_for_its_own() {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let (old, next) = (first_set(), without_c(&first_set()));
    let mut owner = owner_that_chose(&mut stores);
    let accept = Accept {
        ballot: owner.ballot().clone(),
        from: LogIndex(3),
        payloads: Vec::new(),
        decided_through: LogIndex(2),
        truncate_before: LogIndex::ZERO,
    };
    stores.ask(&old, "b", Operation::Accept(accept));
    stores.reach(&["a", "b", "d"]);
    let mut slow = reconfigurer("slow", &old, &next);
    let mut step = |stores: &mut Stores, number: u32, until_copied: bool| -> bool {
        while let Some(transmit) = slow.poll_transmit(round(number)) {
            // It reaches `d` alone with pages and installs.
            let is_copy = matches!(&transmit.request.operation, Operation::Copy(_) | Operation::Install(_));
            if is_copy && transmit.to != StoreId::new("d") {
                continue;
            }
            let is_first = matches!(&transmit.request.operation, Operation::Copy(copy) if copy.source == StoreId::new("a"));
            if let Some(response) = stores.answer(transmit.request) {
                slow.step(response);
            }
            if is_first && until_copied {
                return true;
            }
        }
        false
    };
    assert!((0..ROUNDS).any(|number| step(&mut stores, number, true)), "a page of `a` lies at `d`");
    stores.reach(&["a", "b"]);
    go_on(&mut owner, &mut stores, 2);
    for number in 3..6 {
        append(&mut owner, &mut stores, number);
    }
    stores.reach(&["a", "b", "d"]);
    for number in ROUNDS..2 * ROUNDS {
        step(&mut stores, number, false);
    }
    assert_eq!(missing(&stores, &next, "d"), Vec::<u64>::new());
}
