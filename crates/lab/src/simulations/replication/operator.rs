//! Replaces lost stores in the replica sets, racing other operators, with the platform up or down.

use std::time::Duration;

use lichenpulley_core::identity::{Revision, ShardId};
use lichenpulley_core::replication::placement::best_addition;
use lichenpulley_core::replication::reconfigurer::ReconfigurerChecks;
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, SetMember};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::PLATFORM;
use super::change::{Change, ChangeEnd};
use super::message::Message;

/// Time between two polls of a replica set.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// An operator process.
pub(super) struct Operator {
    name: String,
    checks: ReconfigurerChecks,
    random: Pcg64Mcg,
    shards: Vec<ShardId>,
    /// Every store as it is now.
    stores: Vec<SetMember>,
    next_poll: Timestamp,
    polls: u64,
    /// A change, and the document that it is about.
    change: Option<(Change, Revision, ReplicaSetDocument)>,
}

impl Operator {
    pub(super) fn new(
        name: String,
        seed: u64,
        shards: Vec<ShardId>,
        stores: Vec<SetMember>,
        checks: ReconfigurerChecks,
    ) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let next_poll = Timestamp::ORIGIN + POLL_INTERVAL;
        Self { name, checks, random, shards, stores, next_poll, polls: 0, change: None }
    }

    /// The operator after a crash: a change that it had begun is found in the platform.
    pub(super) fn restarted(&self) -> Self {
        let mut random = self.random.clone();
        let seed = random.random();
        let (name, shards, stores) = (self.name.clone(), self.shards.clone(), self.stores.clone());
        let mut operator = Self::new(name, seed, shards, stores, self.checks);
        operator.polls = self.polls;
        operator.next_poll = self.next_poll;
        operator
    }

    /// Tells which stores there are.
    pub(super) fn set_stores(&mut self, stores: Vec<SetMember>) {
        self.stores = stores;
    }

    fn advance(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if let Some((change, version, document)) = &mut self.change {
            let Some(end) = change.advance(now, true, outbox) else { return };
            if let (ChangeEnd::InForce(_), Some(_)) = (end, &document.pending) {
                let settled = document.clone().completed();
                outbox.send(PLATFORM, Message::Write { base: *version, document: settled });
            }
            self.change = None;
            self.next_poll = now + POLL_INTERVAL;
            return;
        }
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            self.polls += 1;
            let shard = &self.shards[self.polls as usize % self.shards.len()];
            outbox.send(PLATFORM, Message::Read(shard.clone()));
        }
    }

    fn judge_set(
        &mut self,
        now: Timestamp,
        version: Revision,
        document: ReplicaSetDocument,
        outbox: &mut Outbox<Message>,
    ) {
        let transfer = format!("{}/{}/{}", self.name, self.polls, now.as_micros());
        if let Some(pending) = &document.pending {
            let change = Change::new(&document.current, pending, transfer, self.checks, now);
            self.change = Some((change, version, document));
            return;
        }
        if let Some(next) = self.replacement(&document.current) {
            let document = ReplicaSetDocument { current: document.current, pending: Some(next) };
            outbox.send(PLATFORM, Message::Write { base: version, document });
            return;
        }
        if document.current.generation.0 > 1 {
            let change = Change::catch_up(&document.current, transfer, now);
            self.change = Some((change, version, document));
        }
    }

    /// The next set, where a member's disk is gone. Operators differ in whom they choose.
    fn replacement(&mut self, set: &ReplicaSet) -> Option<ReplicaSet> {
        let is_here = |member: &&SetMember| self.stores.iter().any(|store| store.store == member.store);
        let lost = set.members.iter().find(|member| !is_here(member))?;
        let mut staying = set.members.clone();
        staying.retain(|member| member.store != lost.store);
        let skipped = self.random.random_range(0..self.stores.len());
        let mut candidates = self.stores.clone();
        candidates.remove(skipped);
        let joining = best_addition(&set.shard, &staying, &candidates)?;
        set.with_replaced(&lost.store, joining)
    }
}

impl Process for Operator {
    type Message = Message;

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.advance(now, outbox);
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Response(response) => {
                if let Some((change, ..)) = &mut self.change {
                    change.step(response);
                }
            }
            Message::Document { version, document } if self.change.is_none() => {
                self.judge_set(now, version, document, outbox);
            }
            _ => {}
        }
        self.advance(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        Some(self.change.as_ref().map_or(self.next_poll, |(change, ..)| change.next_wake()))
    }
}
