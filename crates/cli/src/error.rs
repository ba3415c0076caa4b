//! Errors of the commands, each with a remedy and an exit code.
//!
//! Each error has a kind, which is a stable identifier for programs. A refusal by a node keeps the kind and the remedy that
//! the node sent.

use std::io;
use std::net::SocketAddr;

use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::error::ErrorBody;

use crate::client::Interface;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// No address is configured for the interface that the command needs.
    #[error("no address is configured for the {interface} interface")]
    NoAddress {
        /// The interface.
        interface: Interface,
    },
    /// No connection could be established, so no request was sent.
    #[error("no node could be reached at {addresses}: {cause}")]
    Unreachable {
        /// Every address that was tried.
        addresses: String,
        /// The error of the last attempt.
        cause: String,
    },
    /// The request was sent, but no complete response arrived.
    #[error("no complete response from {address}: {cause}")]
    ReplyLost {
        /// Address of the node.
        address: SocketAddr,
        /// Why the response is missing.
        cause: String,
    },
    /// The node refused the request.
    #[error("{} (HTTP {status})", body.message)]
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason and remedy that the node sent.
        body: ErrorBody,
    },
    /// The response has a format that this version of the command doesn't know.
    #[error("unexpected response from {address}: {cause}")]
    Undecodable {
        /// Address of the node.
        address: SocketAddr,
        /// The decoding error.
        cause: String,
    },
    /// A change was sent, but it is unknown whether it took effect.
    #[error("it is unknown whether the change took effect: {cause}")]
    InDoubt {
        /// Id of the change, which makes a repeat idempotent.
        change_id: String,
        /// Revision that the change is based on.
        base: Revision,
        /// Why the last attempt got no response.
        cause: String,
    },
    /// A file named on the command line can't be used.
    #[error("{path}: {cause}")]
    File {
        /// Path of the file.
        path: String,
        /// Why it can't be used.
        cause: String,
    },
    /// The output could not be written.
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// Returns what the operator can do about the error.
    pub fn remedy(&self) -> String {
        match self {
            Self::Usage(_) => "see `lichenpulley --help`".to_owned(),
            Self::NoAddress { interface } => {
                format!("give --{} IP:PORT or set {}", interface.flag(), interface.variable())
            }
            Self::Unreachable { .. } => "check that a node runs there, or give another address".to_owned(),
            Self::ReplyLost { .. } => "check the current state before repeating the command".to_owned(),
            Self::Refused { body, .. } => body.remedy.clone(),
            Self::Undecodable { .. } => "use the version of `lichenpulley` that matches the node".to_owned(),
            Self::InDoubt { change_id, base, .. } => format!(
                "repeat the command with `--change-id {change_id} --base {base}`: it takes effect at most once"
            ),
            Self::File { .. } => "check the path, its permissions and the format of the file".to_owned(),
            Self::Output(_) => "check that standard output and standard error can be written".to_owned(),
        }
    }

    /// Returns the stable identifier of the error for programs, in snake case.
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

    /// Returns the exit code: 2 if the command line or an input file is invalid, 1 on every other failure.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::NoAddress { .. } | Self::File { .. } => 2,
            _ => 1,
        }
    }

    /// Returns whether the reader closed the output.
    pub fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Returns the message for standard error, as text or as one JSON object.
    pub fn describe(&self, json: bool) -> String {
        if json {
            let body = ErrorBody::new(self.kind(), self.to_string(), self.remedy());
            return serde_json::to_string(&body).unwrap_or_else(|error| error.to_string());
        }
        format!("lichenpulley: {self}\n  remedy: {}", self.remedy())
    }
}
