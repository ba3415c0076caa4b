//! The object API: replica sets with compare-and-set, and outages.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{Revision, ShardId};
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::Message;

/// The object API's state. Never killed; it is down for a while instead.
#[derive(Clone)]
pub(super) struct Platform {
    documents: BTreeMap<ShardId, (Revision, ReplicaSetDocument)>,
    down: bool,
    lose_replies: bool,
}

impl Platform {
    pub(super) fn new(sets: &[ReplicaSet]) -> Self {
        let documents = sets
            .iter()
            .map(|set| (set.shard.clone(), (Revision(1), ReplicaSetDocument::settled(set.clone()))));
        Self { documents: documents.collect(), down: false, lose_replies: false }
    }

    /// The platform after a restart: it keeps everything.
    pub(super) fn restarted(&self) -> Self {
        self.clone()
    }

    /// Stops or resumes answering; `lose_replies` lets writes take effect without an answer.
    pub(super) fn set_faults(&mut self, down: bool, lose_replies: bool) {
        self.down = down;
        self.lose_replies = lose_replies;
    }

    /// What it holds for a shard.
    pub(super) fn document(&self, shard: &ShardId) -> Option<&ReplicaSetDocument> {
        self.documents.get(shard).map(|(_, document)| document)
    }

    fn write(&mut self, shard: &ShardId, base: Revision, document: ReplicaSetDocument) {
        if let Some((version, current)) =
            self.documents.get_mut(shard).filter(|(version, _)| *version == base)
        {
            *version = version.next();
            *current = document;
        }
    }
}

impl Process for Platform {
    type Message = Message;

    fn receive(&mut self, _now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        if self.down {
            return;
        }
        let shard = match message {
            Message::Read(shard) => shard,
            Message::Write { base, document } => {
                let shard = document.current.shard.clone();
                self.write(&shard, base, document);
                shard
            }
            _ => return,
        };
        let Some((version, document)) = self.documents.get(&shard) else { return };
        if !self.lose_replies {
            outbox.send(from, Message::Document { version: *version, document: document.clone() });
        }
    }
}
