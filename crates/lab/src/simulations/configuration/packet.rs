//! What processes of the simulation send each other.

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::configuration::register::{Change, Register};
use lichenpulley_core::identity::Revision;
use lichenpulley_simulation::ProcessId;

/// One message.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Dissemination between nodes.
    Spread(Message),
    /// A probe of the membership, which carries the sender's revision; the receiver answers.
    Probe {
        /// The revision in force on the sender.
        revision: Option<Revision>,
    },
    /// The answer to a probe.
    ProbeAnswer {
        /// The revision in force on the sender.
        revision: Option<Revision>,
    },
    /// A call of the platform.
    PlatformCall {
        /// Names the call for its caller.
        call: u64,
        /// What is asked.
        request: PlatformRequest,
    },
    /// The platform's answer.
    PlatformAnswer {
        /// The call.
        call: u64,
        /// The answer.
        answer: PlatformAnswer,
    },
    /// An operator asks for a node's revision.
    AskRevision {
        /// Names the question.
        question: u64,
    },
    /// Its answer; `None` while the node does not know.
    Revision {
        /// The question.
        question: u64,
        /// The revision in force.
        revision: Option<Revision>,
    },
    /// An operator asks for a change.
    AskChange {
        /// Names the question.
        question: u64,
        /// The change.
        change: Change,
    },
    /// Its answer.
    Changed {
        /// The question.
        question: u64,
        /// What became of it.
        answer: ChangeAnswer,
    },
}

/// What the platform is asked.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// The register as it stands.
    Read,
    /// The register once its version is above this.
    Watch {
        /// The version.
        after: Revision,
    },
    /// Write the register if its version is still this.
    Write {
        /// The version; `None` where there is no object yet.
        base_version: Option<Revision>,
        /// The new content.
        register: Register,
    },
}

/// What the platform answers.
#[derive(Clone, Debug)]
pub enum PlatformAnswer {
    /// The register with the object's version.
    Register {
        /// The version; `None` where there is no object yet.
        version: Option<Revision>,
        /// The content.
        register: Register,
    },
    /// The write took effect.
    Written,
    /// The base version was not current.
    Conflict,
}

/// What an operator is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// It is written, and a majority of the quorum set holds it.
    Accepted(Revision),
    /// It lost a race against this revision.
    Conflict(Revision),
    /// It was refused for another reason.
    Refused,
    /// Nothing was written.
    Unavailable,
    /// It may have been written, or too few nodes hold it yet.
    InDoubt,
}

/// The platform's process.
pub const PLATFORM: ProcessId = ProcessId(0);

/// The process of the node with this number, from 0.
pub fn node_process(number: usize) -> ProcessId {
    ProcessId(number + 1)
}
