//! Errors of the command, each with its remedy and its exit code.
//!
//! One type for all commands. The kind is a stable word for programs; what a node refused keeps the node's own kind and remedy.

use std::io;
use std::net::SocketAddr;

use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::error::ErrorBody;

use crate::client::Interface;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line can't be understood.
    #[error("{0}")]
    Usage(String),
    /// No address was given for the interface that the command needs.
    #[error("no address for the {interface} interface")]
    NoAddress {
        /// The interface.
        interface: Interface,
    },
    /// No connection came about, so nothing was asked.
    #[error("no node answers at {addresses}: {cause}")]
    Unreachable {
        /// Every address that was tried.
        addresses: String,
        /// What the last one said.
        cause: String,
    },
    /// The request was sent and its answer did not arrive.
    #[error("the answer of {address} was lost: {cause}")]
    ReplyLost {
        /// Who was asked.
        address: SocketAddr,
        /// How it was lost.
        cause: String,
    },
    /// The node refused.
    #[error("{} (HTTP {status})", body.message)]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The typed reason with its remedy.
        body: ErrorBody,
    },
    /// The answer is not what this version of the command knows.
    #[error("{address} answered with something else than expected: {cause}")]
    Undecodable {
        /// Who answered.
        address: SocketAddr,
        /// What did not fit.
        cause: String,
    },
    /// A change was sent, and whether it took effect is not known.
    #[error("whether the change took effect is in doubt: {cause}")]
    InDoubt {
        /// The id that makes a repeat harmless.
        change_id: String,
        /// The revision that the change was based on.
        base: Revision,
        /// Why the last repeat gave no answer.
        cause: String,
    },
    /// A file named on the command line can't be used.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The result could not be printed.
    #[error("the result can't be printed: {0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// What the reader can do.
    pub fn remedy(&self) -> String {
        match self {
            Self::Usage(_) => "see `lichenpulley --help`".to_owned(),
            Self::NoAddress { interface } => {
                format!("give --{} IP:PORT or set {}", interface.flag(), interface.variable())
            }
            Self::Unreachable { .. } => "check that a node runs there, or name another address".to_owned(),
            Self::ReplyLost { .. } => "read the state before repeating the command".to_owned(),
            Self::Refused { body, .. } => body.remedy.clone(),
            Self::Undecodable { .. } => "use the command of the same version as the node".to_owned(),
            Self::InDoubt { change_id, base, .. } => format!(
                "repeat the command with `--change-id {change_id} --base {base}`: it takes effect at most once"
            ),
            Self::File { .. } => "name a file that can be read and holds a job as JSON".to_owned(),
            Self::Output(_) => "check where the output goes".to_owned(),
        }
    }

    /// A stable word for programs, in snake case.
    pub fn kind(&self) -> &str {
        match self {
            Self::Usage(_) => "usage",
            Self::NoAddress { .. } => "no_address",
            Self::Unreachable { .. } => "unreachable",
            Self::ReplyLost { .. } => "reply_lost",
            Self::Refused { body, .. } => &body.kind,
            Self::Undecodable { .. } => "undecodable",
            Self::InDoubt { .. } => "in_doubt",
            Self::File { .. } => "file",
            Self::Output(_) => "output",
        }
    }

    /// The process's exit code: 2 where the command line is wrong, 1 for every other failure.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::NoAddress { .. } | Self::File { .. } => 2,
            _ => 1,
        }
    }

    /// Whether the reader of the output went away.
    pub fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// The text for standard error: for people, or one JSON object.
    pub fn describe(&self, json: bool) -> String {
        if json {
            let body = ErrorBody::new(self.kind(), self.to_string(), self.remedy());
            return serde_json::to_string(&body).unwrap_or_else(|error| error.to_string());
        }
        format!("lichenpulley: {self}\n  remedy: {}", self.remedy())
    }
}
