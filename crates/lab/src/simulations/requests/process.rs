//! Any process of the simulation.

use lichenpulley_simulation::process_kinds;

use super::claims::ClaimProcess;
use super::engine::EngineProcess;
use super::gateway::GatewayProcess;
use super::message::Message;

process_kinds! {
    /// A gateway, an engine or a claim replica.
    pub enum WorldProcess(Message) {
        /// A gateway.
        Gateway(GatewayProcess),
        /// An engine.
        Engine(EngineProcess),
        /// A claim replica.
        Claims(ClaimProcess),
    }
}
