//! A record that a superseded owner left on one store must not be recovered after records of a later owner.

use std::time::Duration;

use lichenpulley_core::identity::{Epoch, NodeId, ShardId, ZoneName};
use lichenpulley_core::replication::acceptor::Acceptor;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::log::RecoveredLog;
use lichenpulley_core::replication::memory_storage::MemoryStorage;
use lichenpulley_core::replication::proposer::{Proposer, ProposerChecks, ProposerConfig, ProposerEvent};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;

/// Retry delay longer than any test, so that an unreachable store is not tried again.
const NEVER: Duration = Duration::from_secs(3_600);

struct Stores(Vec<(StoreId, Acceptor, MemoryStorage)>);

impl Stores {
    fn new() -> Self {
        let store = |number: usize| {
            let id = StoreId::new(format!("store-{number}"));
            (id.clone(), Acceptor::new(id, ClaimWindow::default()), MemoryStorage::default())
        };
        Self((0..3).map(store).collect())
    }

    fn set(&self) -> ReplicaSet {
        let member = |(id, _, _): &(StoreId, Acceptor, MemoryStorage)| SetMember {
            store: id.clone(),
            node: NodeId::new(id.as_str()),
            zone: ZoneName::new(id.as_str()),
            address: String::new(),
        };
        let members = self.0.iter().map(member).collect();
        ReplicaSet { shard: ShardId::new("job/overtaken"), generation: Generation::FIRST, members }
    }

    /// Exchanges messages with the reachable stores until there is nothing to send. Returns the recovered
    /// log, if any.
    fn exchange(&mut self, proposer: &mut Proposer, reachable: &[usize]) -> Option<RecoveredLog> {
        let now = Timestamp::ORIGIN;
        while let Some(transmit) = proposer.poll_transmit(now) {
            let number = self.0.iter().position(|(id, _, _)| id == &transmit.to).expect("a member");
            if !reachable.contains(&number) {
                proposer.unreachable(now, &transmit.to, NEVER);
                continue;
            }
            let (_, acceptor, storage) = &mut self.0[number];
            let response = acceptor.answer(storage, 0, transmit.request).expect("memory does not fail");
            proposer.step(now, response);
        }
        let mut recovered = None;
        while let Some(event) = proposer.poll_event() {
            if let ProposerEvent::Recovered(log) = event {
                recovered = Some(log);
            }
        }
        recovered
    }

    fn take_over(
        &mut self,
        epoch: u64,
        reachable: &[usize],
        checks: ProposerChecks,
    ) -> (Proposer, RecoveredLog) {
        let id = ProposerId::new(format!("owner-{epoch}"));
        let proposer = Proposer::new(self.set(), id, Epoch(epoch), ProposerConfig::default());
        let mut proposer = proposer.with_checks(checks);
        let recovered = self.exchange(&mut proposer, reachable).expect("a majority is reachable");
        (proposer, recovered)
    }

    fn append(&mut self, proposer: &mut Proposer, records: &[&str], reachable: &[usize]) {
        let records = records.iter().map(|record| record.as_bytes().to_vec()).collect();
        proposer.append(records).expect("the owner leads");
        self.exchange(proposer, reachable);
    }
}

/// The first owner leaves two records on one store. The second never reaches that store and appends one
/// record. The third reads both stores.
fn records_recovered_by_third_owner(checks: ProposerChecks) -> Vec<String> {
    let mut stores = Stores::new();
    let (mut first, _) = stores.take_over(1, &[0, 1, 2], checks);
    stores.append(&mut first, &["kept"], &[0, 1, 2]);
    stores.append(&mut first, &["left behind", "left behind too"], &[0]);
    let (mut second, _) = stores.take_over(2, &[1, 2], checks);
    stores.append(&mut second, &["kept by the second"], &[1, 2]);
    let (_, recovered) = stores.take_over(3, &[0, 1], checks);
    recovered.records.iter().map(|record| String::from_utf8_lossy(record).into_owned()).collect()
}

#[test]
fn record_of_a_superseded_owner_is_skipped() {
    assert_eq!(records_recovered_by_third_owner(ProposerChecks::default()), ["kept", "kept by the second"]);
}

#[test]
fn record_of_a_superseded_owner_reappears_without_the_check() {
    let checks = ProposerChecks { skip_superseded: false, ..ProposerChecks::default() };
    let expected = ["kept", "kept by the second", "left behind too"];
    assert_eq!(records_recovered_by_third_owner(checks), expected);
}
