//! Any process of the simulation.

use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::claims::ClaimProcess;
use super::engine::EngineProcess;
use super::gateway::GatewayProcess;
use super::message::Message;

/// A gateway, an engine or a claim replica.
pub enum Role {
    /// A gateway.
    Gateway(Box<GatewayProcess>),
    /// An engine.
    Engine(Box<EngineProcess>),
    /// A claim replica.
    Claims(ClaimProcess),
}

impl Role {
    /// The gateway that this is, if it is one.
    pub const fn gateway(&self) -> Option<&GatewayProcess> {
        match self {
            Self::Gateway(gateway) => Some(gateway),
            _ => None,
        }
    }

    /// The engine that this is, if it is one.
    pub const fn engine(&self) -> Option<&EngineProcess> {
        match self {
            Self::Engine(engine) => Some(engine),
            _ => None,
        }
    }
}

impl Process for Role {
    type Message = Message;

    fn start(&mut self, _now: Timestamp, _outbox: &mut Outbox<Message>) {}

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match self {
            Self::Gateway(gateway) => gateway.receive(now, from, message, outbox),
            Self::Engine(engine) => engine.receive(now, from, message, outbox),
            Self::Claims(claims) => claims.receive(from, message, outbox),
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        match self {
            Self::Gateway(gateway) => gateway.wake(now, outbox),
            Self::Engine(engine) => engine.wake(now, outbox),
            Self::Claims(_) => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        match self {
            Self::Gateway(gateway) => gateway.next_wake(),
            Self::Engine(engine) => engine.next_wake(),
            Self::Claims(_) => None,
        }
    }
}
