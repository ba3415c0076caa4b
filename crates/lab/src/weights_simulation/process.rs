//! Any process of the world.

use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::log::Log;
use super::message::Message;
use super::owner::Owner;
use super::publisher::Publisher;
use super::replica::Replica;
use super::weight_store::WeightStore;

/// A process of the world.
pub(super) enum WorldProcess {
    Log(Log),
    WeightStore(WeightStore),
    Publisher(Publisher),
    Owner(Box<Owner>),
    Replica(Replica),
}

impl WorldProcess {
    /// The process after a restart, with what was durable. Only owners and replicas are killed.
    pub(super) fn restarted(&self) -> Self {
        match self {
            Self::Log(log) => Self::Log(log.clone()),
            Self::WeightStore(store) => Self::WeightStore(store.restarted()),
            Self::Publisher(publisher) => Self::Publisher(publisher.clone()),
            Self::Owner(owner) => Self::Owner(Box::new(owner.restarted())),
            Self::Replica(replica) => Self::Replica(replica.restarted()),
        }
    }

    fn inner(&mut self) -> &mut dyn Process<Message = Message> {
        match self {
            Self::Log(log) => log,
            Self::WeightStore(store) => store,
            Self::Publisher(publisher) => publisher,
            Self::Owner(owner) => owner.as_mut(),
            Self::Replica(replica) => replica,
        }
    }
}

impl Process for WorldProcess {
    type Message = Message;

    fn start(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.inner().start(now, outbox);
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        self.inner().receive(now, from, message, outbox);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.inner().wake(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        match self {
            Self::Log(log) => log.next_wake(),
            Self::WeightStore(store) => store.next_wake(),
            Self::Publisher(publisher) => publisher.next_wake(),
            Self::Owner(owner) => owner.next_wake(),
            Self::Replica(replica) => replica.next_wake(),
        }
    }
}
