//! A store replica: the acceptor of the replication core on a disk in memory.

use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use lichenpulley_core::replication::acceptor::{Acceptor, AcceptorChecks};
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::memory_storage::MemoryStorage;
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::{Message, STORES};

/// A store replica.
pub(super) struct Store {
    number: usize,
    refuse_lower_ballots: bool,
    acceptor: Acceptor,
    disk: MemoryStorage,
}

/// The name of a store.
fn store_id(number: usize) -> StoreId {
    StoreId::new(format!("store-{number}"))
}

/// The process of a store.
pub(super) fn process_of(store: &StoreId) -> Option<ProcessId> {
    (0..STORES).find(|number| &store_id(*number) == store).map(ProcessId)
}

/// The shard of the job.
pub(super) fn shard() -> ShardId {
    ShardId::new("job/simulated")
}

/// The replica set of the shard.
pub(super) fn replica_set() -> ReplicaSet {
    let member = |number: usize| SetMember {
        store: store_id(number),
        node: NodeId::new(format!("node-{number}")),
        zone: ZoneName::new(format!("zone-{number}")),
        address: String::new(),
    };
    ReplicaSet { shard: shard(), generation: Generation::FIRST, members: (0..STORES).map(member).collect() }
}

impl Store {
    pub(super) fn new(number: usize, refuse_lower_ballots: bool) -> Self {
        Self::on_disk(number, refuse_lower_ballots, MemoryStorage::default())
    }

    /// The store after a restart: nothing but its disk is left.
    pub(super) fn restarted(&self) -> Self {
        Self::on_disk(self.number, self.refuse_lower_ballots, self.disk.clone())
    }

    fn on_disk(number: usize, refuse_lower_ballots: bool, disk: MemoryStorage) -> Self {
        let checks = AcceptorChecks { refuse_lower_ballots, ..AcceptorChecks::default() };
        let acceptor = Acceptor::new(store_id(number), ClaimWindow::default()).with_checks(checks);
        Self { number, refuse_lower_ballots, acceptor, disk }
    }
}

impl Process for Store {
    type Message = Message;

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        let Message::Store { term, request } = message else { return };
        let Ok(response) = self.acceptor.answer(&mut self.disk, now.as_micros() / 1_000, request);
        outbox.send(from, Message::StoreAnswer { term, response });
    }
}
