//! Any process of the simulation.

use lichenpulley_simulation::process_kinds;

use super::claims::ClaimProcess;
use super::engine::EngineProcess;
use super::gateway::GatewayProcess;
use super::message::Message;

process_kinds! {
    /// A gateway, an engine or a claim replica.
    pub enum Role(Message) {
        /// A gateway.
        Gateway(Box<GatewayProcess>),
        /// An engine.
        Engine(Box<EngineProcess>),
        /// A claim replica.
        Claims(ClaimProcess),
    }
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
