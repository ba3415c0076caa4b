//! An owner that changes its replica set keeps its ballot, or ends if it was superseded.

mod replication_support;

use std::collections::VecDeque;
use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::acceptor::AcceptorChecks;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::{LogIndex, Payload};
use lichenpulley_core::replication::message::{
    Accept, Operation, ReplicaAnswer, ReplicaResponse, TransferId,
};
use lichenpulley_core::replication::proposer::{
    EndReason, Proposer, ProposerChecks, ProposerConfig, ProposerEvent, Transmit,
};
use lichenpulley_core::replication::reconfigurer::{ChangeOwner, Reconfigurer, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use replication_support::{Stores, first_set, with_c_replaced_by_d};

/// Time after which a request without a response is sent again.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(500);

/// An owner with the reconfiguration that it runs as the leader or completes before taking over.
struct Owner {
    name: &'static str,
    proposer: Proposer,
    checks: ProposerChecks,
    change: Option<(Reconfigurer, ReplicaSet)>,
    /// A next set that it appended, with the position of the entry.
    pending_set: Option<(LogIndex, ReplicaSet)>,
    leads: bool,
    ended: bool,
    /// The higher epoch that superseded it.
    superseded_by: Option<Epoch>,
    take_overs: u64,
    found: Vec<Vec<u8>>,
    appended: VecDeque<(LogIndex, Vec<u8>)>,
    acknowledged: Vec<Vec<u8>>,
    /// The operations that it sent while it led.
    operations: Vec<Operation>,
    now: Timestamp,
}

impl Owner {
    fn new(name: &'static str, set: &ReplicaSet, checks: ProposerChecks) -> Self {
        Self {
            name,
            proposer: proposer(name, set, Epoch(1), checks),
            checks,
            change: None,
            pending_set: None,
            leads: false,
            ended: false,
            superseded_by: None,
            take_overs: 0,
            found: Vec::new(),
            appended: VecDeque::new(),
            acknowledged: Vec::new(),
            operations: Vec::new(),
            now: Timestamp::ORIGIN,
        }
    }

    fn poll(&mut self) -> Option<Transmit> {
        if self.ended {
            return None;
        }
        let transmit = match &mut self.change {
            Some((change, _)) => change.poll_transmit(self.now),
            None => self.proposer.poll_transmit(self.now),
        };
        if let Some(transmit) = transmit.as_ref().filter(|_| self.leads) {
            self.operations.push(transmit.request.operation.clone());
        }
        transmit
    }

    fn step(&mut self, response: ReplicaResponse) {
        match &mut self.change {
            Some((change, _)) => change.step(response),
            None => self.proposer.step(self.now, response),
        }
        self.handle_change_events();
        while let Some(event) = self.proposer.poll_event() {
            self.handle_event(event);
        }
    }

    fn handle_change_events(&mut self) {
        while let Some(event) = self.change.as_mut().and_then(|(change, _)| change.poll_event()) {
            let Some((_, next)) = self.change.take() else { return };
            match event {
                ReconfigurerEvent::Installed | ReconfigurerEvent::Complete if self.leads => {
                    self.proposer.continue_in(next).expect("all appended entries are decided");
                    self.append();
                }
                ReconfigurerEvent::Installed | ReconfigurerEvent::Complete => self.restart_proposer(&next),
                ReconfigurerEvent::AlreadyReplaced(later) if !self.leads => self.restart_proposer(&later),
                ReconfigurerEvent::AlreadyReplaced(_) | ReconfigurerEvent::Superseded { .. } => {
                    self.ended = true
                }
            }
        }
    }

    fn handle_event(&mut self, event: ProposerEvent) {
        match event {
            ProposerEvent::Recovered(log) => {
                self.leads = true;
                self.found = log.records;
                match log.next_set.filter(|next| next.generation > self.proposer.set().generation) {
                    Some(next) => self.change_set(next),
                    None => self.append(),
                }
            }
            ProposerEvent::Decided(through) => {
                while self.appended.front().is_some_and(|(index, _)| *index <= through) {
                    self.acknowledged.extend(self.appended.pop_front().map(|(_, record)| record));
                }
                if let Some((_, next)) = self.pending_set.take_if(|(index, _)| *index <= through) {
                    self.change_set(next);
                }
            }
            ProposerEvent::Ended(EndReason::Replaced { next }) if !self.leads => {
                let change = self.reconfigurer(&next);
                self.change = Some((change, next));
            }
            ProposerEvent::Ended(EndReason::NotInstalled) => {
                let set = self.proposer.set().clone();
                let change = Reconfigurer::catch_up(set.clone(), self.transfer(), RETRANSMIT_AFTER);
                self.change = Some((change, set));
            }
            ProposerEvent::Ended(reason) => {
                self.ended = true;
                if let EndReason::Superseded { highest } = reason {
                    self.superseded_by = Some(highest);
                }
            }
        }
    }

    fn append(&mut self) {
        let record = format!("{} {}", self.name, self.proposer.set().generation).into_bytes();
        // With `keep_ballot` disabled it takes the shard over again first.
        if let Ok(index) = self.proposer.append(vec![record.clone()]) {
            self.appended.push_back((index, record));
        }
    }

    fn append_next_set(&mut self, next: ReplicaSet) {
        let through = self.proposer.append_next_set(next.clone()).expect("the owner leads");
        self.pending_set = Some((through, next));
    }

    fn change_set(&mut self, next: ReplicaSet) {
        let owner = ChangeOwner {
            ballot: self.proposer.ballot().clone(),
            decided_through: self.proposer.decided_through(),
        };
        let change = self.reconfigurer(&next).with_owner(owner);
        self.change = Some((change, next));
    }

    fn reconfigurer(&self, next: &ReplicaSet) -> Reconfigurer {
        Reconfigurer::new(self.proposer.set().clone(), next.clone(), self.transfer(), RETRANSMIT_AFTER)
    }

    fn transfer(&self) -> TransferId {
        TransferId(format!("{}/{}", self.name, self.take_overs))
    }

    fn restart_proposer(&mut self, set: &ReplicaSet) {
        self.take_overs += 1;
        let name = format!("{}/{}", self.name, self.take_overs);
        self.proposer = proposer(&name, set, self.proposer.epoch().next(), self.checks);
    }

    /// Exchanges messages until there is nothing to send, also after several retransmission times.
    fn run(&mut self, stores: &mut Stores) {
        for _ in 0..20 {
            while let Some(transmit) = self.poll() {
                if let Some(response) = stores.send(transmit.request) {
                    self.step(response);
                }
            }
            self.now = self.now + RETRANSMIT_AFTER;
        }
    }
}

fn proposer(name: &str, set: &ReplicaSet, minimum_epoch: Epoch, checks: ProposerChecks) -> Proposer {
    let config = ProposerConfig {
        retransmit_after: RETRANSMIT_AFTER,
        maximum_epoch_raises: 10,
        ..ProposerConfig::default()
    };
    Proposer::new(set.clone(), ProposerId::new(name), minimum_epoch, config).with_checks(checks)
}

fn four_stores() -> Stores {
    Stores::new(&["a", "b", "c", "d"])
}

/// Returns an owner with an acknowledged record and a next set that is appended but not decided.
fn owner_with_pending_set(stores: &mut Stores, checks: ProposerChecks) -> Owner {
    let mut owner = Owner::new("first", &first_set(), checks);
    owner.run(stores);
    assert_eq!(owner.acknowledged, [b"first 1".to_vec()]);
    owner.append_next_set(with_c_replaced_by_d(&first_set()));
    owner
}

/// Returns the records that the next owner recovers. A store may have promised a ballot to an owner that
/// never led. If the next owner learns of that ballot only after it leads, it is superseded and takes over
/// again above it.
fn recovered_by_next_owner(stores: &mut Stores) -> Vec<Vec<u8>> {
    stores.set_reachable(&["a", "b", "d"]);
    let mut last = Owner::new("last", &first_set(), ProposerChecks::default());
    last.run(stores);
    if let Some(highest) = last.superseded_by {
        let mut again = Owner::new("last again", &first_set(), ProposerChecks::default());
        again.proposer = proposer(again.name, &first_set(), highest.next(), again.checks);
        again.run(stores);
        last = again;
    }
    assert!(last.leads && !last.ended, "the log can be taken over");
    last.found
}

#[test]
fn owner_keeps_its_ballot_in_the_next_set_and_reads_nothing() {
    let mut stores = four_stores();
    let mut owner = owner_with_pending_set(&mut stores, ProposerChecks::default());
    let ballot = owner.proposer.ballot().clone();
    stores.set_reachable(&["a", "b", "d"]);
    owner.run(&mut stores);
    assert_eq!(owner.proposer.ballot(), &ballot);
    assert_eq!(owner.proposer.set(), &with_c_replaced_by_d(&first_set()));
    assert_eq!(owner.acknowledged, [b"first 1".to_vec(), b"first 2".to_vec()]);
    let is_take_over =
        |operation: &Operation| matches!(operation, Operation::Prepare(_) | Operation::Read(_));
    assert!(!owner.operations.iter().any(is_take_over));
    // Members must know what is decided, including by the old set, so that followers can read it.
    owner.append();
    owner.run(&mut stores);
    let (_, storage) = &stores.acceptors[&with_c_replaced_by_d(&first_set()).members[0].store];
    let decided = storage.groups().next().expect("a member").position.decided_through;
    // The record, the next set, the no-op that confirms it, and the record after that.
    assert_eq!(decided, LogIndex(4));
    assert_eq!(recovered_by_next_owner(&mut stores), owner.acknowledged);
}

/// The owner is partitioned during a reconfiguration and reconnects after another has taken over and
/// appended. Returns whether the successor can still append then.
fn successor_keeps_the_log(checks: ProposerChecks) -> bool {
    let mut stores = four_stores();
    let mut first = owner_with_pending_set(&mut stores, checks);
    // Until the next set is decided and the reconfiguration starts.
    while first.change.is_none() {
        let transmit = first.poll().expect("the next set is not decided");
        stores.send(transmit.request).into_iter().for_each(|response| first.step(response));
    }
    let mut successor = Owner::new("second", &first_set(), ProposerChecks::default());
    successor.run(&mut stores);
    assert_eq!(successor.acknowledged, [b"second 2".to_vec()]);
    first.now = successor.now;
    first.run(&mut stores);
    successor.append();
    successor.run(&mut stores);
    assert!(!first.acknowledged.contains(&b"first 2".to_vec()) || !checks.keep_ballot);
    successor.acknowledged.len() == 2
}

#[test]
fn owner_reconnecting_after_a_partition_is_superseded() {
    assert!(successor_keeps_the_log(ProposerChecks::default()));
}

#[test]
fn without_keeping_the_ballot_the_old_owner_takes_the_log_back() {
    assert!(!successor_keeps_the_log(ProposerChecks { keep_ballot: false, ..ProposerChecks::default() }));
}

/// The next set is installed after a majority of the old set promised a successor's ballot. Returns whether
/// the first owner then gets a record acknowledged in the next set.
fn superseded_owner_is_acknowledged(carry_promise: bool) -> bool {
    let mut stores = four_stores();
    let checks = AcceptorChecks { carry_promise, ..AcceptorChecks::default() };
    for (acceptor, _) in stores.acceptors.values_mut() {
        *acceptor = acceptor.clone().with_checks(checks);
    }
    let mut first = owner_with_pending_set(&mut stores, ProposerChecks::default());
    while first.change.is_none() {
        let transmit = first.poll().expect("the next set is not decided");
        stores.send(transmit.request).into_iter().for_each(|response| first.step(response));
    }
    // `a` and `d`, a majority of the next set, receive no request from the successor.
    stores.set_reachable(&["b", "c"]);
    let mut successor = Owner::new("second", &first_set(), ProposerChecks::default());
    while !successor.leads {
        let transmit = successor.poll().expect("the successor does not lead");
        stores.send(transmit.request).into_iter().for_each(|response| successor.step(response));
    }
    // Another node completes the reconfiguration, and `first` only learns that the next set is installed.
    stores.set_reachable(&["a", "b", "d"]);
    assert!(stores.reconfigure(&first_set(), &with_c_replaced_by_d(&first_set()), Default::default()));
    stores.set_reachable(&["a", "d"]);
    first.run(&mut stores);
    first.acknowledged.contains(&b"first 2".to_vec())
}

#[test]
fn next_set_keeps_the_promises_of_the_old_set() {
    assert!(!superseded_owner_is_acknowledged(true));
}

#[test]
fn without_carrying_promises_over_a_superseded_owner_is_acknowledged() {
    assert!(superseded_owner_is_acknowledged(false));
}

/// `c` has promised only the first owner's ballot and was repaired with entries of the second owner, when a
/// late request of the first owner arrives.
#[test]
fn late_request_does_not_overwrite_repaired_entries() {
    let mut stores = Stores::new(&["a", "b", "c"]);
    let mut first = Owner::new("first", &first_set(), ProposerChecks::default());
    first.run(&mut stores);
    let late = Operation::Accept(Accept {
        ballot: first.proposer.ballot().clone(),
        from: LogIndex(2),
        payloads: vec![Payload::Record { origin: first.proposer.epoch(), bytes: b"late".to_vec() }],
        decided_through: LogIndex(1),
        truncate_before: LogIndex::ZERO,
    });
    stores.set_reachable(&["a", "b"]);
    let mut second = Owner::new("second", &first_set(), ProposerChecks::default());
    second.run(&mut stores);
    second.append();
    second.run(&mut stores);
    stores.set_reachable(&["a", "b", "c"]);
    let set = first_set();
    let decided = stores.operate(&set, "a", Operation::ReadDecided(LogIndex(1)));
    let ReplicaAnswer::Decided { entries, .. } = decided else { panic!("{decided:?}") };
    let (acceptor, storage) = stores.acceptors.get_mut(&StoreId::new("c")).expect("a store");
    let Ok(_) = acceptor.repair(storage, &set.shard, set.generation, entries);
    stores.operate(&set, "c", late);
    stores.set_reachable(&["b", "c"]);
    let mut third = Owner::new("third", &set, ProposerChecks::default());
    third.run(&mut stores);
    assert!(!third.found.contains(&b"late".to_vec()), "{:?}", third.found);
    assert_eq!(third.found.len(), 3);
}

/// A sealed store must not promise a ballot: the owner continues in the next set without learning of the
/// promise.
#[test]
fn acknowledged_records_survive_promises_requested_from_sealed_stores() {
    let mut stores = four_stores();
    // `c` gets no entries, so that nothing can be read from it.
    stores.set_reachable(&["a", "b"]);
    let mut first = owner_with_pending_set(&mut stores, ProposerChecks::default());
    while first.change.is_none() {
        let transmit = first.poll().expect("the next set is not decided");
        stores.send(transmit.request).into_iter().for_each(|response| first.step(response));
    }
    // `b` learns that the next set is decided, so nothing has to be accepted again.
    let accept = Accept {
        ballot: first.proposer.ballot().clone(),
        from: LogIndex(3),
        payloads: Vec::new(),
        decided_through: LogIndex(2),
        truncate_before: LogIndex::ZERO,
    };
    stores.operate(&first_set(), "b", Operation::Accept(accept));
    stores.set_reachable(&["a", "c", "d"]);
    first.now = first.now + RETRANSMIT_AFTER;
    first.run(&mut stores);
    assert!(first.acknowledged.contains(&b"first 2".to_vec()));
    stores.set_reachable(&["b", "c"]);
    let mut successor = Owner::new("second", &first_set(), ProposerChecks::default());
    successor.run(&mut stores);
    stores.set_reachable(&["b", "d"]);
    successor.run(&mut stores);
    assert_eq!(recovered_by_next_owner(&mut stores)[..2], first.acknowledged);
}

proptest! {
    /// Two owners run the same reconfiguration, with messages in any order, lost and late ones, and a restart
    /// of the first.
    #[test]
    fn acknowledged_records_survive_any_message_order(
        steps in proptest::collection::vec((any::<bool>(), 0_u8..8), 0..160),
        restart_at in 0_usize..320,
    ) {
        let mut stores = four_stores();
        let first = owner_with_pending_set(&mut stores, ProposerChecks::default());
        let epoch = first.proposer.epoch();
        let second = Owner::new("second", &first_set(), ProposerChecks::default());
        let mut owners = [first, second];
        let mut late = VecDeque::new();
        for (number, (who, delivery)) in steps.into_iter().enumerate() {
            if number == restart_at {
                owners[0].ended = true;
            }
            let who = usize::from(who);
            if delivery == 0 {
                let Some((who, response)) = late.pop_front() else { continue };
                let owner: &mut Owner = &mut owners[who];
                owner.step(response);
                continue;
            }
            let owner = &mut owners[who];
            let Some(transmit) = owner.poll() else {
                owner.now = owner.now + RETRANSMIT_AFTER;
                continue;
            };
            let response = if delivery == 1 { None } else { stores.send(transmit.request) };
            match response {
                Some(response) if delivery == 2 => late.push_back((who, response)),
                Some(response) if delivery > 3 => owner.step(response),
                _ => {}
            }
        }
        prop_assert_eq!(owners[0].proposer.epoch(), epoch);
        let found = recovered_by_next_owner(&mut stores);
        for record in owners.iter().flat_map(|owner| &owner.acknowledged) {
            let times = found.iter().filter(|found| *found == record).count();
            prop_assert_eq!(times, 1, "{:?} in {:?}", record, &found);
        }
        // The owner with the higher epoch has recovered all records acknowledged under a lower one.
        if owners[1].leads && !owners[1].found.contains(&b"first 2".to_vec()) {
            prop_assert!(!owners[0].acknowledged.contains(&b"first 2".to_vec()));
        }
    }
}
