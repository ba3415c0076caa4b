//! A store: its acceptor, its disk, its clock, and the repair of its logs.

use std::time::Duration;

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::acceptor::{Acceptor, AcceptorChecks};
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::entry::IndexedEntry;
use lichenpulley_core::replication::group::{GroupPhase, GroupRecord};
use lichenpulley_core::replication::memory_storage::MemoryStorage;
use lichenpulley_core::replication::message::{Operation, ReplicaAnswer, ReplicaRequest, ReplicaResponse};
use lichenpulley_core::replication::replica_set::{Generation, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::Message;
use super::process_of;

/// Time between two rounds of repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Rounds between two syncs of a store that does not sync before it replies.
const LAZY_SYNC_ROUNDS: u64 = 8;
/// The wall clock at the origin of the simulation, in milliseconds since the Unix epoch.
pub(super) const EPOCH_UNIX_MS: u64 = 1_000_000_000;

/// How a store behaves.
#[derive(Clone, Debug)]
pub(super) struct StoreConfig {
    pub(super) window: ClaimWindow,
    pub(super) checks: AcceptorChecks,
    pub(super) sync_before_reply: bool,
}

/// A store process.
pub(super) struct Store {
    config: StoreConfig,
    acceptor: Acceptor,
    disk: MemoryStorage,
    clock_offset_ms: i64,
    next_repair: Timestamp,
    rounds: u64,
    /// What went wrong, found by the store itself.
    pub(super) violations: Vec<String>,
}

impl Store {
    /// A store with an empty disk.
    pub(super) fn new(id: StoreId, config: StoreConfig) -> Self {
        Self::open(id, MemoryStorage::default(), config)
    }

    fn open(id: StoreId, disk: MemoryStorage, config: StoreConfig) -> Self {
        let acceptor = Acceptor::new(id, config.window.clone()).with_checks(config.checks);
        let (next_repair, violations) = (Timestamp::ORIGIN, Vec::new());
        Self { config, acceptor, disk, clock_offset_ms: 0, next_repair, rounds: 0, violations }
    }

    /// The store after a crash.
    pub(super) fn restarted(&self) -> Self {
        let disk = self.disk.after_crash();
        let mut store = Self::open(self.acceptor.store().clone(), disk, self.config.clone());
        store.clock_offset_ms = self.clock_offset_ms;
        store.violations.clone_from(&self.violations);
        store
    }

    pub(super) fn id(&self) -> &StoreId {
        self.acceptor.store()
    }

    /// Sets the wall clock off by some milliseconds.
    pub(super) fn set_clock_offset(&mut self, offset_ms: i64) {
        self.clock_offset_ms = offset_ms;
    }

    /// The store's part in a shard.
    pub(super) fn group(&self, shard: &ShardId) -> Option<&GroupRecord> {
        self.disk.groups().find(|group| &group.set.shard == shard)
    }

    fn answer(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        request: ReplicaRequest,
        outbox: &mut Outbox<Message>,
    ) {
        let shard = request.shard.clone();
        let before = self.promised(&shard);
        let unix_ms = self.unix_ms(now);
        let Ok(response) = self.acceptor.answer(&mut self.disk, unix_ms, request);
        let after = self.promised(&shard);
        if after < before {
            self.violations.push(format!("promise went back from {before} to {after}"));
        }
        if self.config.sync_before_reply {
            self.disk.sync();
        }
        outbox.send(from, Message::Response(response));
    }

    fn promised(&self, shard: &ShardId) -> Epoch {
        self.group(shard).map(|group| group.position.promised.epoch).unwrap_or_default()
    }

    fn ask_for_repair(&self, group: &GroupRecord, outbox: &mut Outbox<Message>) {
        let members: Vec<&SetMember> =
            group.set.members.iter().filter(|member| &member.store != self.id()).collect();
        let Some(source) = members.get(self.rounds as usize % members.len().max(1)) else { return };
        let request = ReplicaRequest {
            shard: group.set.shard.clone(),
            generation: group.set.generation,
            store: source.store.clone(),
            operation: Operation::ReadDecided(group.position.decided_through.next()),
        };
        outbox.send(process_of(source), Message::Request(request));
    }

    fn take_repair(&mut self, response: ReplicaResponse) {
        if let ReplicaAnswer::Decided { entries, .. } = response.outcome {
            self.repair(&response.shard, response.generation, entries);
        }
    }

    fn repair(&mut self, shard: &ShardId, generation: Generation, entries: Vec<IndexedEntry>) {
        let Ok(_) = self.acceptor.repair(&mut self.disk, shard, generation, entries);
        if self.config.sync_before_reply {
            self.disk.sync();
        }
    }

    fn unix_ms(&self, now: Timestamp) -> u64 {
        let milliseconds = EPOCH_UNIX_MS + now.as_micros() / 1_000;
        milliseconds.saturating_add_signed(self.clock_offset_ms)
    }
}

impl Process for Store {
    type Message = Message;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Message>) {
        self.next_repair = now + REPAIR_INTERVAL;
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Request(request) => self.answer(now, from, request, outbox),
            Message::Response(response) => self.take_repair(response),
            _ => {}
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.next_repair = now + REPAIR_INTERVAL;
        self.rounds += 1;
        let groups: Vec<GroupRecord> = self.disk.groups().cloned().collect();
        let unix_ms = self.unix_ms(now);
        for group in groups {
            let Ok(()) = self.acceptor.remove_expired_claims(&mut self.disk, unix_ms, &group.set.shard);
            if group.phase == GroupPhase::Active {
                self.ask_for_repair(&group, outbox);
            }
        }
        if self.config.sync_before_reply || self.rounds.is_multiple_of(LAZY_SYNC_ROUNDS) {
            self.disk.sync();
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        Some(self.next_repair)
    }
}
