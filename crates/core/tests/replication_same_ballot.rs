//! An owner that changes its stores goes on under its ballot, or not at all.

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
use replication_support::{Stores, first_set, without_c};

/// A request without an answer is sent again after this time.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(500);

/// An owner with the change that it drives, or finishes on the way to the shard.
struct Owner {
    name: &'static str,
    proposer: Proposer,
    checks: ProposerChecks,
    change: Option<(Reconfigurer, ReplicaSet)>,
    /// A set that it chose itself, with the position of its entry.
    chosen: Option<(LogIndex, ReplicaSet)>,
    leads: bool,
    ended: bool,
    /// The higher epoch that ended it.
    superseded_by: Option<Epoch>,
    lives: u64,
    found: Vec<Vec<u8>>,
    appended: VecDeque<(LogIndex, Vec<u8>)>,
    acknowledged: Vec<Vec<u8>>,
    /// Names of the operations that it asked for while it led.
    asked: Vec<Operation>,
    now: Timestamp,
}

impl Owner {
    fn new(name: &'static str, set: &ReplicaSet, checks: ProposerChecks) -> Self {
        Self {
            name,
            proposer: proposer(name, set, Epoch(1), checks),
            checks,
            change: None,
            chosen: None,
            leads: false,
            ended: false,
            superseded_by: None,
            lives: 0,
            found: Vec::new(),
            appended: VecDeque::new(),
            acknowledged: Vec::new(),
            asked: Vec::new(),
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
            self.asked.push(transmit.request.operation.clone());
        }
        transmit
    }

    fn step(&mut self, response: ReplicaResponse) {
        match &mut self.change {
            Some((change, _)) => change.step(response),
            None => self.proposer.step(self.now, response),
        }
        self.take_change_events();
        while let Some(event) = self.proposer.poll_event() {
            self.take(event);
        }
    }

    fn take_change_events(&mut self) {
        while let Some(event) = self.change.as_mut().and_then(|(change, _)| change.poll_event()) {
            let Some((_, next)) = self.change.take() else { return };
            match event {
                ReconfigurerEvent::Installed | ReconfigurerEvent::Complete if self.leads => {
                    self.proposer.continue_in(next).expect("nothing is on its way");
                    self.append();
                }
                ReconfigurerEvent::Installed | ReconfigurerEvent::Complete => self.begin_anew(&next),
                ReconfigurerEvent::AlreadyReplaced(later) if !self.leads => self.begin_anew(&later),
                ReconfigurerEvent::AlreadyReplaced(_) | ReconfigurerEvent::Superseded { .. } => {
                    self.ended = true
                }
            }
        }
    }

    fn take(&mut self, event: ProposerEvent) {
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
                if let Some((_, next)) = self.chosen.take_if(|(chosen, _)| *chosen <= through) {
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
        // With `keep_ballot` off it asks for the shard first.
        if let Ok(index) = self.proposer.append(vec![record.clone()]) {
            self.appended.push_back((index, record));
        }
    }

    fn choose(&mut self, next: ReplicaSet) {
        let through = self.proposer.append_next_set(next.clone()).expect("it leads");
        self.chosen = Some((through, next));
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
        TransferId(format!("{}/{}", self.name, self.lives))
    }

    fn begin_anew(&mut self, set: &ReplicaSet) {
        self.lives += 1;
        let name = format!("{}/{}", self.name, self.lives);
        self.proposer = proposer(&name, set, self.proposer.epoch().next(), self.checks);
    }

    /// Exchanges messages until nothing more is asked for, also after some pauses.
    fn run(&mut self, stores: &mut Stores) {
        for _ in 0..20 {
            while let Some(transmit) = self.poll() {
                if let Some(response) = stores.answer(transmit.request) {
                    self.step(response);
                }
            }
            self.now = self.now + RETRANSMIT_AFTER;
        }
    }
}

fn proposer(name: &str, set: &ReplicaSet, at_least: Epoch, checks: ProposerChecks) -> Proposer {
    let config = ProposerConfig {
        retransmit_after: RETRANSMIT_AFTER,
        maximum_epoch_raises: 10,
        ..ProposerConfig::default()
    };
    Proposer::new(set.clone(), ProposerId::new(name), at_least, config).with_checks(checks)
}

fn four_stores() -> Stores {
    Stores::new(&["a", "b", "c", "d"])
}

/// An owner that has appended a record and chosen the next set, and nothing of the latter is decided yet.
fn owner_that_chose(stores: &mut Stores, checks: ProposerChecks) -> Owner {
    let mut owner = Owner::new("first", &first_set(), checks);
    owner.run(stores);
    assert_eq!(owner.acknowledged, [b"first 1".to_vec()]);
    owner.choose(without_c(&first_set()));
    owner
}

/// What the next owner finds, whichever set it knew last. A store may have promised an owner that never came to lead: who
/// hears of it only once it leads is superseded, as it must be, and takes over again above that promise.
fn found_afterwards(stores: &mut Stores) -> Vec<Vec<u8>> {
    stores.reach(&["a", "b", "d"]);
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
fn an_owner_goes_on_in_the_next_set_under_its_ballot_and_reads_nothing() {
    let mut stores = four_stores();
    let mut owner = owner_that_chose(&mut stores, ProposerChecks::default());
    let ballot = owner.proposer.ballot().clone();
    stores.reach(&["a", "b", "d"]);
    owner.run(&mut stores);
    assert_eq!(owner.proposer.ballot(), &ballot);
    assert_eq!(owner.proposer.set(), &without_c(&first_set()));
    assert_eq!(owner.acknowledged, [b"first 1".to_vec(), b"first 2".to_vec()]);
    let asks_anew = |operation: &Operation| matches!(operation, Operation::Prepare(_) | Operation::Read(_));
    assert!(!owner.asked.iter().any(asks_anew));
    // Members know what is decided, of what the old set decided too: otherwise nobody could follow the log.
    owner.append();
    owner.run(&mut stores);
    let (_, storage) = &stores.acceptors[&without_c(&first_set()).members[0].store];
    let decided = storage.groups().next().expect("a member").position.decided_through;
    // The record, the choice, what confirms the set, and the record after that.
    assert_eq!(decided, LogIndex(4));
    assert_eq!(found_afterwards(&mut stores), owner.acknowledged);
}

/// The owner is cut off while it changes the stores, another takes over and works, the cut heals. Whether the successor
/// still works then.
fn successor_works_on(checks: ProposerChecks) -> bool {
    let mut stores = four_stores();
    let mut first = owner_that_chose(&mut stores, checks);
    // Until the choice is decided and the first requests of the change are on their way.
    while first.change.is_none() {
        let transmit = first.poll().expect("the choice is not decided");
        stores.answer(transmit.request).into_iter().for_each(|response| first.step(response));
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
fn an_owner_that_comes_back_from_a_cut_is_superseded() {
    assert!(successor_works_on(ProposerChecks::default()));
}

#[test]
fn with_a_ballot_of_its_own_a_change_takes_the_log_from_the_successor() {
    assert!(!successor_works_on(ProposerChecks { keep_ballot: false, ..ProposerChecks::default() }));
}

/// The next set is in force and the first owner about to go on in it, when a successor that the old set had promised to
/// goes on there first. Whether the first owner gets something acknowledged.
fn late_owner_is_acknowledged(carry_promise: bool) -> bool {
    let mut stores = four_stores();
    let checks = AcceptorChecks { carry_promise, ..AcceptorChecks::default() };
    for (acceptor, _) in stores.acceptors.values_mut() {
        *acceptor = acceptor.clone().with_checks(checks);
    }
    let mut first = owner_that_chose(&mut stores, ProposerChecks::default());
    while first.change.is_none() {
        let transmit = first.poll().expect("the choice is not decided");
        stores.answer(transmit.request).into_iter().for_each(|response| first.step(response));
    }
    // `a` and `d`, which make a majority of the next set, know nothing of the successor by themselves.
    stores.reach(&["b", "c"]);
    let mut successor = Owner::new("second", &first_set(), ProposerChecks::default());
    while !successor.leads {
        let transmit = successor.poll().expect("it does not lead");
        stores.answer(transmit.request).into_iter().for_each(|response| successor.step(response));
    }
    // A store finishes the change by itself: `first` only hears that the next set is in force.
    stores.reach(&["a", "b", "d"]);
    assert!(stores.change(&first_set(), &without_c(&first_set()), Default::default()));
    stores.reach(&["a", "d"]);
    first.run(&mut stores);
    first.acknowledged.contains(&b"first 2".to_vec())
}

#[test]
fn the_next_set_keeps_to_what_the_old_one_promised() {
    assert!(!late_owner_is_acknowledged(true));
}

#[test]
fn without_carrying_promises_over_a_superseded_owner_is_acknowledged() {
    assert!(late_owner_is_acknowledged(false));
}

/// `c` missed the second owner and was repaired since; a late request of the first owner, whom alone it promised, comes.
#[test]
fn a_late_request_does_not_undo_what_was_repaired() {
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
    stores.reach(&["a", "b"]);
    let mut second = Owner::new("second", &first_set(), ProposerChecks::default());
    second.run(&mut stores);
    second.append();
    second.run(&mut stores);
    stores.reach(&["a", "b", "c"]);
    let set = first_set();
    let decided = stores.ask(&set, "a", Operation::ReadDecided(LogIndex(1)));
    let ReplicaAnswer::Decided { entries, .. } = decided else { panic!("{decided:?}") };
    let (acceptor, storage) = stores.acceptors.get_mut(&StoreId::new("c")).expect("a store");
    let Ok(_) = acceptor.repair(storage, &set.shard, set.generation, entries);
    stores.ask(&set, "c", late);
    stores.reach(&["b", "c"]);
    let mut third = Owner::new("third", &set, ProposerChecks::default());
    third.run(&mut stores);
    assert!(!third.found.contains(&b"late".to_vec()), "{:?}", third.found);
    assert_eq!(third.found.len(), 3);
}

/// A store that is sealed must not count as having promised: what a majority sealed before, the owner goes on without
/// hearing of the promise.
#[test]
fn what_an_owner_got_acknowledged_in_the_next_set_is_kept_though_another_asked_sealed_stores() {
    let mut stores = four_stores();
    // `c` stays behind, so that there is nothing to be read from it.
    stores.reach(&["a", "b"]);
    let mut first = owner_that_chose(&mut stores, ProposerChecks::default());
    while first.change.is_none() {
        let transmit = first.poll().expect("the choice is not decided");
        stores.answer(transmit.request).into_iter().for_each(|response| first.step(response));
    }
    // `b` hears that the choice is decided: nothing has to be accepted again.
    let accept = Accept {
        ballot: first.proposer.ballot().clone(),
        from: LogIndex(3),
        payloads: Vec::new(),
        decided_through: LogIndex(2),
        truncate_before: LogIndex::ZERO,
    };
    stores.ask(&first_set(), "b", Operation::Accept(accept));
    stores.reach(&["a", "c", "d"]);
    first.now = first.now + RETRANSMIT_AFTER;
    first.run(&mut stores);
    assert!(first.acknowledged.contains(&b"first 2".to_vec()));
    stores.reach(&["b", "c"]);
    let mut successor = Owner::new("second", &first_set(), ProposerChecks::default());
    successor.run(&mut stores);
    stores.reach(&["b", "d"]);
    successor.run(&mut stores);
    assert_eq!(found_afterwards(&mut stores)[..2], first.acknowledged);
}

proptest! {
    /// Two owners, both with the change in hand, in any order, with lost and late messages and a restart of the first.
    #[test]
    fn nothing_acknowledged_is_lost_in_any_order(
        steps in proptest::collection::vec((any::<bool>(), 0_u8..8), 0..160),
        restart_at in 0_usize..320,
    ) {
        let mut stores = four_stores();
        let first = owner_that_chose(&mut stores, ProposerChecks::default());
        let epoch = first.proposer.epoch();
        let second = Owner::new("second", &first_set(), ProposerChecks::default());
        let mut owners = [first, second];
        let mut late = VecDeque::new();
        for (number, (who, fate)) in steps.into_iter().enumerate() {
            if number == restart_at {
                owners[0].ended = true;
            }
            let who = usize::from(who);
            if fate == 0 {
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
            let response = if fate == 1 { None } else { stores.answer(transmit.request) };
            match response {
                Some(response) if fate == 2 => late.push_back((who, response)),
                Some(response) if fate > 3 => owner.step(response),
                _ => {}
            }
        }
        prop_assert_eq!(owners[0].proposer.epoch(), epoch);
        let found = found_afterwards(&mut stores);
        for record in owners.iter().flat_map(|owner| &owner.acknowledged) {
            let times = found.iter().filter(|found| *found == record).count();
            prop_assert_eq!(times, 1, "{:?} in {:?}", record, &found);
        }
        // Whoever is ahead has seen all that was acknowledged under a lower epoch.
        if owners[1].leads && !owners[1].found.contains(&b"first 2".to_vec()) {
            prop_assert!(!owners[0].acknowledged.contains(&b"first 2".to_vec()));
        }
    }
}
