//! State transfer to members of the next set, while the owner appends and sets grow.

mod replication_support;

use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::message::{Accept, Operation, PagePosition, ReplicaRequest, TransferId};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig};
use lichenpulley_core::replication::reconfigurer::{ChangeOwner, Reconfigurer, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use lichenpulley_core::replication::storage::ShardStorage;
use lichenpulley_core::time::Timestamp;
use replication_support::{Stores, first_set, member, set_of_five, with_c_replaced_by_d};

const RETRANSMIT_AFTER: Duration = Duration::from_millis(500);
/// Maximum retransmissions, more than any reconfiguration here needs.
const ROUNDS: u32 = 40;

fn round(number: u32) -> Timestamp {
    Timestamp::ORIGIN + RETRANSMIT_AFTER * number
}

fn owner(set: &ReplicaSet, stores: &mut Stores) -> Proposer {
    let mut owner = Proposer::new(set.clone(), ProposerId::new("owner"), Epoch(1), ProposerConfig::default());
    exchange(&mut owner, stores, 0);
    owner
}

fn exchange(proposer: &mut Proposer, stores: &mut Stores, number: u32) {
    while let Some(transmit) = proposer.poll_transmit(round(number)) {
        if let Some(response) = stores.send(transmit.request) {
            proposer.step(round(number), response);
        }
        while proposer.poll_event().is_some() {}
    }
}

fn append(owner: &mut Proposer, stores: &mut Stores, number: u32) {
    owner.append(vec![b"record".to_vec()]).expect("the owner leads");
    exchange(owner, stores, number);
}

fn owner_reconfigurer(owner: &Proposer, old: &ReplicaSet, next: &ReplicaSet) -> Reconfigurer {
    let known = ChangeOwner { ballot: owner.ballot().clone(), decided_through: owner.decided_through() };
    reconfigurer("owner", old, next).with_owner(known)
}

fn reconfigurer(name: &str, old: &ReplicaSet, next: &ReplicaSet) -> Reconfigurer {
    Reconfigurer::new(old.clone(), next.clone(), TransferId(name.to_owned()), RETRANSMIT_AFTER)
}

/// Drives a reconfiguration. Returns whether a majority of the next set was installed.
fn drive(change: &mut Reconfigurer, stores: &mut Stores) -> bool {
    for number in 0..ROUNDS {
        while let Some(transmit) = change.poll_transmit(round(number)) {
            if let Some(response) = stores.send(transmit.request) {
                change.step(response);
            }
            if change.poll_event() == Some(ReconfigurerEvent::Installed) {
                return true;
            }
        }
    }
    false
}

/// Returns the positions that a store reports as decided but has no entry for.
fn missing_decided_positions(stores: &Stores, set: &ReplicaSet, name: &str) -> Vec<u64> {
    let (_, storage) = &stores.acceptors[&StoreId::new(name)];
    let group = storage.group(&set.shard).expect("memory does not fail").expect("a member");
    let decided = group.position.first().0..=group.position.decided_through.0;
    decided
        .filter(|index| storage.entry(&set.shard, LogIndex(*index)).expect("memory does not fail").is_none())
        .collect()
}

fn can_grow(old: &[&str], joining: &str, reachable: &[&str]) -> bool {
    let all: Vec<&str> = old.iter().copied().chain([joining]).collect();
    let mut stores = Stores::new(&all);
    let set = ReplicaSet { members: old.iter().map(|name| member(name)).collect(), ..first_set() };
    stores.take_over_and_append(&set, "owner", &[b"record"]).expect("the owner leads");
    stores.set_reachable(reachable);
    let next = set.with_replaced(&StoreId::new(joining), member(joining)).expect("another set");
    drive(&mut reconfigurer("growth", &set, &next), &mut stores)
}

#[test]
fn set_grows_with_a_minority_unreachable() {
    assert!(can_grow(&["a", "b", "c"], "d", &["a", "b", "c", "d"]));
    assert!(can_grow(&["a", "b", "c"], "d", &["a", "b", "d"]));
    assert!(can_grow(&["a", "b", "c"], "d", &["a", "b", "c"]));
    assert!(can_grow(&["a", "b", "c", "d"], "e", &["a", "b", "c", "e"]));
    assert!(can_grow(&["a", "b", "c", "d", "e"], "f", &["a", "b", "c", "f"]));
    assert!(!can_grow(&["a", "b", "c"], "d", &["a", "d"]));
}

/// Returns an owner for which the next set, without `c`, is decided.
fn owner_with_decided_next_set(stores: &mut Stores) -> Proposer {
    let mut owner = owner(&first_set(), stores);
    append(&mut owner, stores, 0);
    owner.append_next_set(with_c_replaced_by_d(&first_set())).expect("the owner leads");
    exchange(&mut owner, stores, 0);
    owner
}

fn switch_to_next_set(owner: &mut Proposer, stores: &mut Stores, number: u32) {
    let (old, next) = (first_set(), with_c_replaced_by_d(&first_set()));
    assert!(drive(&mut owner_reconfigurer(owner, &old, &next), stores));
    owner.continue_in(next).expect("all appended entries are decided");
    exchange(owner, stores, number);
}

/// A member is copied from an installed one while the owner, which cannot reach it, appends.
#[test]
fn member_copied_while_the_owner_appends_has_all_decided_entries() {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let next = with_c_replaced_by_d(&first_set());
    let mut owner = owner_with_decided_next_set(&mut stores);
    stores.set_reachable(&["a", "b"]);
    switch_to_next_set(&mut owner, &mut stores, 2);
    let mut catch_up = Reconfigurer::catch_up(next.clone(), TransferId("d".to_owned()), RETRANSMIT_AFTER);
    for number in 0..6 {
        loop {
            stores.set_reachable(&["a", "b", "d"]);
            let Some(transmit) = catch_up.poll_transmit(round(number)) else { break };
            if matches!(&transmit.request.operation, Operation::ReadState(PagePosition::Claims(None))) {
                stores.set_reachable(&["a", "b"]);
                append(&mut owner, &mut stores, 3);
                append(&mut owner, &mut stores, 4);
                stores.set_reachable(&["a", "b", "d"]);
            }
            if let Some(response) = stores.send(transmit.request) {
                catch_up.step(response);
            }
        }
    }
    assert_eq!(missing_decided_positions(&stores, &next, "d"), Vec::<u64>::new());
    for number in 18..22 {
        exchange(&mut owner, &mut stores, number);
    }
    assert_eq!(missing_decided_positions(&stores, &next, "d"), Vec::<u64>::new());
}

/// A superseded owner copies from a member that began in the next set without the entries that the owner
/// knows to be decided.
#[test]
fn decided_position_of_the_owner_is_not_applied_to_a_source_without_the_entries() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("another set");
    let mut owner = owner(&old, &mut stores);
    stores.set_reachable(&["a", "b", "e"]);
    append(&mut owner, &mut stores, 0);
    owner.append_next_set(next.clone()).expect("the owner leads");
    exchange(&mut owner, &mut stores, 0);
    stores.set_reachable(&["a", "b", "e", "f"]);
    let mut other = reconfigurer("other", &old, &next);
    let mut late = owner_reconfigurer(&owner, &old, &next);
    assert!(drive(&mut other, &mut stores));
    stores.set_reachable(&["a", "b", "f", "c"]);
    let mut successor =
        Proposer::new(next.clone(), ProposerId::new("successor"), Epoch(2), ProposerConfig::default());
    let mut has_begun = false;
    for number in 0..6 {
        while let Some(transmit) = successor.poll_transmit(round(number)).filter(|_| !has_begun) {
            has_begun = matches!(transmit.request.operation, Operation::Begin(_));
            if let Some(response) = stores.send(transmit.request) {
                successor.step(round(number), response);
            }
        }
    }
    assert!(has_begun);
    stores.set_reachable(&["c", "d"]);
    drive(&mut late, &mut stores);
    assert_eq!(missing_decided_positions(&stores, &next, "d"), Vec::<u64>::new());
}

/// A restarted transfer reads other pages, so pages of the previous pass must not count for it.
#[test]
fn restarted_transfer_does_not_count_pages_of_the_previous_pass() {
    let mut stores = Stores::new(&["a", "b", "c", "d"]);
    let (old, next) = (first_set(), with_c_replaced_by_d(&first_set()));
    let mut owner = owner_with_decided_next_set(&mut stores);
    let accept = Accept {
        ballot: owner.ballot().clone(),
        from: LogIndex(3),
        payloads: Vec::new(),
        decided_through: LogIndex(2),
        truncate_before: LogIndex::ZERO,
    };
    stores.operate(&old, "b", Operation::Accept(accept));
    stores.set_reachable(&["a", "b", "d"]);
    let mut slow = reconfigurer("slow", &old, &next);
    let mut step = |stores: &mut Stores, number: u32, until_copied: bool| -> bool {
        while let Some(transmit) = slow.poll_transmit(round(number)) {
            // Copy and install requests reach only `d`.
            let is_copy = matches!(&transmit.request.operation, Operation::Copy(_) | Operation::Install(_));
            if is_copy && transmit.to != StoreId::new("d") {
                continue;
            }
            let is_first = matches!(&transmit.request.operation, Operation::Copy(copy) if copy.source == StoreId::new("a"));
            if let Some(response) = stores.send(transmit.request) {
                slow.step(response);
            }
            if is_first && until_copied {
                return true;
            }
        }
        false
    };
    assert!((0..ROUNDS).any(|number| step(&mut stores, number, true)), "`d` has stored a page of `a`");
    stores.set_reachable(&["a", "b"]);
    switch_to_next_set(&mut owner, &mut stores, 2);
    for number in 3..6 {
        append(&mut owner, &mut stores, number);
    }
    stores.set_reachable(&["a", "b", "d"]);
    for number in ROUNDS..2 * ROUNDS {
        step(&mut stores, number, false);
    }
    assert_eq!(missing_decided_positions(&stores, &next, "d"), Vec::<u64>::new());
}

/// Sends all requests of a run that are due, except those for which `withhold` holds, and returns these.
fn send_due(
    run: &mut Reconfigurer,
    stores: &mut Stores,
    withhold: impl Fn(&ReplicaRequest) -> bool,
) -> Vec<ReplicaRequest> {
    let mut withheld = Vec::new();
    while let Some(transmit) = run.poll_transmit(round(0)) {
        if withhold(&transmit.request) {
            withheld.push(transmit.request);
        } else if let Some(response) = stores.send(transmit.request) {
            run.step(response);
        }
    }
    withheld
}

/// A page that was read for one member arrives late and is used for another, whose first page was read after
/// the owner had appended.
#[test]
fn late_page_of_an_earlier_state_does_not_count_for_entries_decided_since() {
    let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
    let old = set_of_five();
    let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("another set");
    let mut owner = owner(&old, &mut stores);
    // The first page of the log has room for these and for an empty entry, but for no other record.
    for _ in 0..10 {
        owner.append(vec![vec![7; 100_000]]).expect("the owner leads");
        exchange(&mut owner, &mut stores, 0);
    }
    let is_for = |request: &ReplicaRequest, name: &str| request.store == StoreId::new(name);
    let mut change = owner_reconfigurer(&owner, &old, &next);
    send_due(&mut change, &mut stores, |request| {
        let is_copy = matches!(request.operation, Operation::Copy(_) | Operation::Install(_));
        is_for(request, "e") || is_copy && (is_for(request, "b") || is_for(request, "f"))
    });
    stores.set_reachable(&["a", "c", "d"]);
    owner.continue_in(next.clone()).expect("all appended entries are decided");
    exchange(&mut owner, &mut stores, 1);

    stores.set_reachable(&["a", "b", "c", "d", "f"]);
    let is_read_from = |request: &ReplicaRequest, from: &PagePosition| matches!(&request.operation, Operation::ReadState(at) if at == from);
    let after = PagePosition::Entries(LogIndex(12));
    let mut catch_up = Reconfigurer::catch_up(next.clone(), TransferId("f".to_owned()), RETRANSMIT_AFTER);
    let reads = send_due(&mut catch_up, &mut stores, |request| {
        is_read_from(request, &PagePosition::START) || is_read_from(request, &after)
    });
    let [for_b, for_f] = &reads[..] else { panic!("{reads:?}") };
    assert!(is_read_from(for_b, &after) && is_read_from(for_f, &PagePosition::START), "{reads:?}");
    let late = stores.send(for_b.clone()).expect("a reachable store");
    stores.set_reachable(&["a", "c", "d"]);
    for _ in 0..2 {
        owner.append(vec![vec![7; 100_000]]).expect("the owner leads");
        exchange(&mut owner, &mut stores, 2);
    }
    stores.set_reachable(&["a", "b", "c", "d", "f"]);
    catch_up.step(stores.send(for_f.clone()).expect("a reachable store"));
    let reads = send_due(&mut catch_up, &mut stores, |request| is_read_from(request, &after));
    assert_eq!(reads.len(), 1, "{reads:?}");
    catch_up.step(late);
    send_due(&mut catch_up, &mut stores, |_| false);
    assert_eq!(missing_decided_positions(&stores, &next, "f"), Vec::<u64>::new());
}
