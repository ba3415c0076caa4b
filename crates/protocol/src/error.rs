//! The JSON error body of all HTTP interfaces.
//!
//! It has a machine-readable kind, a message and a remedy for people, and whether the request has run.

use lichenpulley_core::identity::Revision;
use serde::{Deserialize, Serialize};

/// A typed error with a machine-readable kind, a message and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}; {remedy}")]
pub struct ErrorBody {
    /// Stable identifier for programs, in snake case.
    pub kind: String,
    /// Human-readable description of the error.
    pub message: String,
    /// How to resolve the error.
    pub remedy: String,
    /// Whether the request ran: `not_run` only if that is certain, else `unknown`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub execution: Option<Execution>,
    /// Delay before a retry, in milliseconds; also sent as `Retry-After` in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The current revision of the configuration, if a change was based on an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_revision: Option<Revision>,
}

/// What is known about whether a failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No engine admitted the request, so it did not run.
    NotRun,
    /// An engine may have run all or part of the request.
    Unknown,
}

impl ErrorBody {
    /// Creates an error without execution status, retry delay or revision.
    pub fn new(kind: &str, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            message: message.into(),
            remedy: remedy.into(),
            execution: None,
            retry_after_ms: None,
            current_revision: None,
        }
    }
}
