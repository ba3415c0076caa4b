//! Any process of the simulation.

use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::node::Node;
use super::operator::Operator;
use super::packet::Packet;
use super::platform::Platform;

/// A process.
#[derive(Debug)]
pub enum Machine {
    /// The object API.
    Platform(Box<Platform>),
    /// One of our nodes.
    Node(Box<Node>),
    /// An operator.
    Operator(Box<Operator>),
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

impl Process for Machine {
    type Message = Packet;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Packet>) {
        match self {
            Self::Platform(_) => {}
            Self::Node(node) => node.start(now),
            Self::Operator(operator) => operator.start(now),
        }
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, packet: Packet, outbox: &mut Outbox<Packet>) {
        match self {
            Self::Platform(platform) => {
                if let Packet::PlatformCall { call, request } = packet {
                    platform.receive(now, from, call, request, outbox);
                }
            }
            Self::Node(node) => node.receive(now, from, packet, outbox),
            Self::Operator(operator) => operator.receive(now, packet, outbox),
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        match self {
            Self::Platform(platform) => platform.wake(now, outbox),
            Self::Node(node) => node.wake(now, outbox),
            Self::Operator(operator) => operator.wake(now, outbox),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        match self {
            Self::Platform(platform) => platform.next_wake(),
            Self::Node(node) => node.next_wake(),
            Self::Operator(operator) => operator.next_wake(),
        }
    }
}
