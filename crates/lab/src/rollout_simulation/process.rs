//! Any process of the world.

use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::engine::Engine;
use super::message::Message;
use super::owner::Owner;
use super::store::Store;
use super::trainer::Trainer;

/// A process of the world.
pub(super) enum WorldProcess {
    Store(Box<Store>),
    Owner(Box<Owner>),
    Engine(Engine),
    Trainer(Box<Trainer>),
}

impl WorldProcess {
    /// The process after a restart, with what was durable.
    pub(super) fn restarted(&self) -> Self {
        match self {
            Self::Store(store) => Self::Store(Box::new(store.restarted())),
            Self::Owner(owner) => Self::Owner(Box::new(owner.restarted())),
            Self::Engine(engine) => Self::Engine(engine.restarted()),
            Self::Trainer(trainer) => Self::Trainer(Box::new(trainer.restarted())),
        }
    }

    fn inner(&mut self) -> &mut dyn Process<Message = Message> {
        match self {
            Self::Store(store) => store.as_mut(),
            Self::Owner(owner) => owner.as_mut(),
            Self::Engine(engine) => engine,
            Self::Trainer(trainer) => trainer.as_mut(),
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
            Self::Store(store) => store.next_wake(),
            Self::Owner(owner) => owner.next_wake(),
            Self::Engine(engine) => engine.next_wake(),
            Self::Trainer(trainer) => trainer.next_wake(),
        }
    }
}
