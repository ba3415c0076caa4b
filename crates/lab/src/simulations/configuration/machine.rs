//! Any process of the simulation.

use lichenpulley_simulation::process_kinds;

use super::node::Node;
use super::operator::Operator;
use super::packet::Packet;
use super::platform::Platform;

process_kinds! {
    /// A process.
    #[derive(Debug)]
    pub enum Machine(Packet) {
        /// The object API.
        Platform(Box<Platform>),
        /// One of our nodes.
        Node(Box<Node>),
        /// An operator.
        Operator(Box<Operator>),
    }
}

impl Machine {
    /// The node, where it is one.
    pub fn node(&self) -> Option<&Node> {
        match self {
            Self::Node(node) => Some(node),
            Self::Platform(_) | Self::Operator(_) => None,
        }
    }

    /// The operator, where it is one.
    pub fn operator(&self) -> Option<&Operator> {
        match self {
            Self::Operator(operator) => Some(operator),
            Self::Platform(_) | Self::Node(_) => None,
        }
    }

    /// The platform, where it is that.
    pub fn platform(&self) -> Option<&Platform> {
        match self {
            Self::Platform(platform) => Some(platform),
            Self::Node(_) | Self::Operator(_) => None,
        }
    }
}
