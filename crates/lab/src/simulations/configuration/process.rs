//! Any process of the simulation.

use lichenpulley_simulation::process_kinds;

use super::node::Node;
use super::operator::Operator;
use super::packet::Packet;
use super::platform::Platform;

process_kinds! {
    /// A process.
    #[derive(Debug)]
    pub enum WorldProcess(Packet) {
        /// The object API.
        Platform(Platform),
        /// One of our nodes.
        Node(Node),
        /// An operator.
        Operator(Operator),
    }
}
