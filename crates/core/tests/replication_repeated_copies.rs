//! A replica set change must not send a member entries that it has. The members that stay have nearly the
//! whole log, and several nodes may run the same change at the same time.

mod replication_support;

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::message::{
    Operation, ReplicaAnswer, ReplicaRequest, ReplicaResponse, TransferId,
};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig};
use lichenpulley_core::replication::reconfigurer::{Reconfigurer, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use lichenpulley_core::replication::storage::ShardStorage;
use lichenpulley_core::time::Timestamp;
use replication_support::{Stores, member, set_of_five};

const RETRANSMIT_AFTER: Duration = Duration::from_millis(500);
/// Maximum retransmissions, more than any change here needs.
const ROUNDS: u32 = 40;
/// The log has several pages of state.
const RECORDS: usize = 48;
const RECORD_BYTES: usize = 100_000;

/// A set of five with a long log that lost the disks of `d` and `e`, of which `e` is replaced by `f`.
struct TwoLostDisks {
    stores: Stores,
    old: ReplicaSet,
    next: ReplicaSet,
    /// The last position that every staying member knows to be decided before the change.
    decided: LogIndex,
    /// The number of times that each store was sent each entry up to `decided`.
    sent: BTreeMap<(StoreId, LogIndex), u32>,
}

impl TwoLostDisks {
    fn new() -> Self {
        let mut stores = Stores::new(&["a", "b", "c", "d", "e", "f"]);
        let old = set_of_five();
        let owner = ProposerId::new("first");
        let mut owner = Proposer::new(old.clone(), owner, Epoch(1), ProposerConfig::default());
        exchange(&mut owner, &mut stores);
        for _ in 0..RECORDS {
            owner.append(vec![vec![7; RECORD_BYTES]]).expect("the owner leads");
            exchange(&mut owner, &mut stores);
        }
        stores.set_reachable(&["a", "b", "c", "f"]);
        let next = old.with_replaced(&StoreId::new("e"), member("f")).expect("e is a member and f is not");
        let mut lost = Self { stores, old, next, decided: LogIndex::ZERO, sent: BTreeMap::new() };
        lost.decided =
            ["a", "b", "c"].map(|name| lost.decided_through(name)).into_iter().min().expect("three");
        assert!(lost.decided >= LogIndex(RECORDS as u64 - 1), "{}", lost.decided);
        lost
    }

    fn decided_through(&self, name: &str) -> LogIndex {
        let (_, storage) = &self.stores.acceptors[&StoreId::new(name)];
        let group = storage.group(&self.old.shard).expect("memory does not fail").expect("a member");
        group.position.decided_through
    }

    fn change(&self, name: &str) -> Reconfigurer {
        let transfer = TransferId(name.to_owned());
        Reconfigurer::new(self.old.clone(), self.next.clone(), transfer, RETRANSMIT_AFTER)
    }

    fn catch_up(&self, name: &str) -> Reconfigurer {
        Reconfigurer::catch_up(self.next.clone(), TransferId(name.to_owned()), RETRANSMIT_AFTER)
    }

    fn send(&mut self, request: ReplicaRequest) -> Option<ReplicaResponse> {
        if let Operation::Copy(copy) = &request.operation
            && self.stores.reachable.contains(&request.store)
        {
            let decided = copy.page.entries.iter().map(|entry| entry.index).filter(|at| *at <= self.decided);
            for index in decided {
                *self.sent.entry((request.store.clone(), index)).or_default() += 1;
            }
        }
        self.stores.send(request)
    }

    /// Sends the next request of a run. Returns whether there was one, and the response.
    fn exchange(&mut self, run: &mut Reconfigurer, round: u32) -> (bool, Option<ReplicaResponse>) {
        let now = Timestamp::ORIGIN + RETRANSMIT_AFTER * round;
        let Some(transmit) = run.poll_transmit(now) else { return (false, None) };
        let response = self.send(transmit.request);
        if let Some(response) = response.clone() {
            run.step(response);
        }
        (true, response)
    }

    /// Drives a run until a response for which `until` holds. Returns whether there was one.
    fn drive_until(&mut self, run: &mut Reconfigurer, until: impl Fn(&ReplicaResponse) -> bool) -> bool {
        for round in 0..ROUNDS {
            loop {
                let (sent, response) = self.exchange(run, round);
                if response.is_some_and(|response| until(&response)) {
                    return true;
                }
                if !sent {
                    break;
                }
            }
        }
        false
    }

    /// Drives a run until a majority is installed.
    fn install_majority(&mut self, run: &mut Reconfigurer) -> bool {
        for round in 0..ROUNDS {
            while self.exchange(run, round).0 {
                if run.poll_event() == Some(ReconfigurerEvent::Installed) {
                    return true;
                }
            }
        }
        false
    }

    /// Returns the number of decided entries that members with the whole log were sent.
    fn sent_to_staying(&self) -> u32 {
        let staying = self.sent.iter().filter(|((store, _), _)| store != &StoreId::new("f"));
        staying.map(|(_, times)| times).sum()
    }

    fn sent_to_joining(&self) -> u32 {
        let joining = self.sent.iter().filter(|((store, _), _)| store == &StoreId::new("f"));
        joining.map(|(_, times)| times).sum()
    }
}

fn exchange(owner: &mut Proposer, stores: &mut Stores) {
    while let Some(transmit) = owner.poll_transmit(Timestamp::ORIGIN) {
        if let Some(response) = stores.send(transmit.request) {
            owner.step(Timestamp::ORIGIN, response);
        }
        while owner.poll_event().is_some() {}
    }
}

fn is_installed(response: &ReplicaResponse) -> bool {
    matches!(response.outcome, ReplicaAnswer::Installed(_))
}

fn is_sealed(name: &str) -> impl Fn(&ReplicaResponse) -> bool {
    let store = StoreId::new(name);
    move |response| response.store == store && matches!(response.outcome, ReplicaAnswer::Sealed { .. })
}

/// Another run has installed one member, so its log is copied to the others.
#[test]
fn staying_members_get_no_entry_again_after_another_run_installed_one() {
    let mut lost = TwoLostDisks::new();
    let mut first = lost.change("first");
    assert!(lost.drive_until(&mut first, is_installed));
    let mut second = lost.change("second");
    assert!(lost.install_majority(&mut second));
    assert_eq!(lost.sent_to_staying(), 0);
}

/// A run that has sealed all members finds one of them installed by another run.
#[test]
fn staying_members_get_no_entry_again_when_a_source_is_installed_meanwhile() {
    let mut lost = TwoLostDisks::new();
    let mut second = lost.change("second");
    assert!(lost.drive_until(&mut second, is_sealed("c")));
    let mut first = lost.change("first");
    assert!(lost.drive_until(&mut first, is_installed));
    assert!(lost.install_majority(&mut second));
    assert_eq!(lost.sent_to_staying(), 0);
}

/// A member that is sealed late must not be sent the log before its position is known.
#[test]
fn member_that_answers_its_seal_late_gets_no_entry_again() {
    let mut lost = TwoLostDisks::new();
    let mut first = lost.change("first");
    assert!(lost.drive_until(&mut first, is_installed));
    let mut second = lost.change("second");
    lost.stores.set_reachable(&["a", "b", "f"]);
    while lost.exchange(&mut second, 0).0 {}
    lost.stores.set_reachable(&["a", "b", "c", "f"]);
    assert!(lost.install_majority(&mut second));
    assert_eq!(lost.sent_to_staying(), 0);
}

/// The stores of a sealed set and the owner run the same change at the same time.
#[test]
fn concurrent_runs_send_staying_members_no_entry_again() {
    let mut lost = TwoLostDisks::new();
    let mut runs = ["owner", "a", "b", "c"].map(|name| lost.change(name));
    for round in 0..ROUNDS {
        while runs.iter_mut().map(|run| lost.exchange(run, round).0).fold(false, |any, sent| any | sent) {}
    }
    let mut runs = ["a again", "b again", "c again", "f"].map(|name| lost.catch_up(name));
    for round in 0..ROUNDS {
        while runs.iter_mut().map(|run| lost.exchange(run, round).0).fold(false, |any, sent| any | sent) {}
    }
    assert_eq!(lost.sent_to_staying(), 0);
    assert_eq!(lost.decided_through("f"), lost.decided);
}

/// A joining member has part of the log when a staying member is found to be installed.
#[test]
fn joining_member_keeps_the_entries_that_it_has_when_a_source_is_installed() {
    let mut lost = TwoLostDisks::new();
    let mut slow = lost.change("slow");
    assert!(lost.drive_until(&mut slow, is_sealed("c")));
    lost.stores.set_reachable(&["a", "f"]);
    let stored = |response: &ReplicaResponse| matches!(response.outcome, ReplicaAnswer::Copied { next, .. } if next == 2);
    assert!(lost.drive_until(&mut slow, stored));
    lost.stores.set_reachable(&["a", "b", "c", "f"]);
    let mut other = lost.change("other");
    assert!(lost.drive_until(&mut other, is_installed));
    assert!(lost.sent_to_joining() > 0);
    let installed =
        |response: &ReplicaResponse| is_installed(response) && response.store == StoreId::new("f");
    assert!(lost.drive_until(&mut slow, installed));
    let twice = lost.sent.iter().filter(|(_, times)| **times > 1).count();
    assert_eq!(twice, 0);
}

/// Otherwise its repair reads the whole log a second time.
#[test]
fn member_copied_from_an_installed_one_knows_which_entries_are_decided() {
    let mut lost = TwoLostDisks::new();
    let mut change = lost.change("change");
    assert!(lost.install_majority(&mut change));
    let mut catch_up = lost.catch_up("catch-up");
    let installed =
        |response: &ReplicaResponse| is_installed(response) && response.store == StoreId::new("f");
    assert!(lost.drive_until(&mut catch_up, installed));
    assert!(lost.decided_through("f") >= lost.decided, "{}", lost.decided_through("f"));
}

/// The pages of the whole log for the joining member would delay the staying ones.
#[test]
fn joining_member_waits_for_staying_ones_after_another_run_installed_one() {
    let mut lost = TwoLostDisks::new();
    let mut first = lost.change("first");
    assert!(lost.drive_until(&mut first, is_installed));
    let mut second = lost.change("second");
    assert!(lost.drive_until(&mut second, is_sealed("c")));
    // The answers of `c` take longer.
    lost.stores.set_reachable(&["a", "b", "f"]);
    while lost.exchange(&mut second, 0).0 {}
    assert_eq!(lost.sent_to_joining(), 0);
    lost.stores.set_reachable(&["a", "b", "c", "f"]);
    assert!(lost.install_majority(&mut second));
}

/// The change of slow stores takes longer than the joining member waits for staying ones without progress.
#[test]
fn joining_member_waits_as_long_as_staying_ones_make_progress() {
    let mut lost = TwoLostDisks::new();
    let mut change = lost.change("change");
    let installed = (0..ROUNDS).any(|step| {
        let now = Timestamp::ORIGIN + RETRANSMIT_AFTER.mul_f64(0.8) * step;
        let mut answers = Vec::new();
        while let Some(transmit) = change.poll_transmit(now) {
            answers.extend(lost.send(transmit.request));
        }
        answers.into_iter().for_each(|answer| change.step(answer));
        change.poll_event() == Some(ReconfigurerEvent::Installed)
    });
    assert!(installed);
    assert_eq!(lost.sent_to_joining(), 0);
}
