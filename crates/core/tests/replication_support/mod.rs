//! In-memory stores that respond immediately, for tests of reconfiguration.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, Epoch, NodeId, RequestId, ShardId, ZoneName};
use lichenpulley_core::replication::acceptor::Acceptor;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::memory_storage::MemoryStorage;
use lichenpulley_core::replication::message::{
    ClaimRequest, Operation, ReplicaAnswer, ReplicaRequest, ReplicaResponse, TransferId,
};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig, ProposerEvent};
use lichenpulley_core::replication::reconfigurer::{Reconfigurer, ReconfigurerChecks, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;

pub const NOW_UNIX_MS: u64 = 1_000_000;

/// In-memory stores, of which only the reachable ones respond.
pub struct Stores {
    pub acceptors: BTreeMap<StoreId, (Acceptor, MemoryStorage)>,
    pub reachable: Vec<StoreId>,
    pub now_unix_ms: u64,
}

impl Stores {
    pub fn new(names: &[&str]) -> Self {
        let stores = names.iter().map(|name| {
            let acceptor = Acceptor::new(StoreId::new(*name), ClaimWindow::default());
            (StoreId::new(*name), (acceptor, MemoryStorage::default()))
        });
        let mut all = Self { acceptors: stores.collect(), reachable: Vec::new(), now_unix_ms: NOW_UNIX_MS };
        all.set_reachable(names);
        all
    }

    pub fn set_reachable(&mut self, names: &[&str]) {
        self.reachable = names.iter().map(|name| StoreId::new(*name)).collect();
    }

    pub fn send(&mut self, request: ReplicaRequest) -> Option<ReplicaResponse> {
        if !self.reachable.contains(&request.store) {
            return None;
        }
        let (acceptor, storage) = self.acceptors.get_mut(&request.store)?;
        let Ok(response) = acceptor.answer(storage, self.now_unix_ms, request);
        Some(response)
    }

    /// Takes the shard over and appends `records`. Returns the recovered records, or `None` if the take-over
    /// failed.
    pub fn take_over_and_append(
        &mut self,
        set: &ReplicaSet,
        owner: &str,
        records: &[&[u8]],
    ) -> Option<Vec<Vec<u8>>> {
        let config = ProposerConfig { maximum_epoch_raises: 10, ..ProposerConfig::default() };
        let mut proposer = Proposer::new(set.clone(), ProposerId::new(owner), Epoch(1), config);
        let mut found = None;
        while let Some(transmit) = proposer.poll_transmit(Timestamp::ORIGIN) {
            if let Some(response) = self.send(transmit.request) {
                proposer.step(Timestamp::ORIGIN, response);
            }
            while let Some(event) = proposer.poll_event() {
                if let ProposerEvent::Recovered(log) = event {
                    found = Some(log.records);
                    let appended = proposer.append(records.iter().map(|record| record.to_vec()).collect());
                    appended.expect("the owner leads");
                }
            }
        }
        found
    }

    pub fn reconfigure(&mut self, old: &ReplicaSet, next: &ReplicaSet, checks: ReconfigurerChecks) -> bool {
        let transfer = TransferId(format!("to {}", next.generation));
        let mut change = Reconfigurer::new(old.clone(), next.clone(), transfer, Duration::from_secs(1));
        change = change.with_checks(checks);
        let mut installed = false;
        while let Some(transmit) = change.poll_transmit(Timestamp::ORIGIN) {
            if let Some(response) = self.send(transmit.request) {
                change.step(response);
            }
            while let Some(event) = change.poll_event() {
                installed |= event == ReconfigurerEvent::Installed;
            }
        }
        installed
    }

    pub fn claim(
        &mut self,
        set: &ReplicaSet,
        store: &str,
        attempt: &str,
        issued_at_unix_ms: u64,
    ) -> ReplicaAnswer {
        let claim = ClaimRequest {
            request: RequestId::new("ticket-7"),
            issued_at_unix_ms,
            attempt: AttemptId::new(attempt),
        };
        self.operate(set, store, Operation::Claim(claim))
    }

    pub fn operate(&mut self, set: &ReplicaSet, store: &str, operation: Operation) -> ReplicaAnswer {
        let (shard, generation, store) = (set.shard.clone(), set.generation, StoreId::new(store));
        let request = ReplicaRequest { shard, generation, store, operation };
        self.send(request).expect("a reachable store").outcome
    }
}

pub fn member(name: &str) -> SetMember {
    SetMember {
        store: StoreId::new(name),
        node: NodeId::new(name),
        zone: ZoneName::new(name),
        address: String::new(),
    }
}

pub fn first_set() -> ReplicaSet {
    let members = ["a", "b", "c"].map(member).to_vec();
    ReplicaSet { shard: ShardId::new("job/pricing"), generation: Generation::FIRST, members }
}

pub fn with_c_replaced_by_d(set: &ReplicaSet) -> ReplicaSet {
    set.with_replaced(&StoreId::new("c"), member("d")).expect("c is a member and d is not")
}

pub fn set_of_five() -> ReplicaSet {
    let members = ["a", "b", "c", "d", "e"].map(member).to_vec();
    ReplicaSet { shard: ShardId::new("batch/main"), generation: Generation::FIRST, members }
}
