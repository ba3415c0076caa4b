//! The error body that every HTTP interface of ours answers with.
//!
//! A kind for programs, a message and a remedy for people, and whether the request has run.

use lichenpulley_core::identity::Revision;
use serde::{Deserialize, Serialize};

/// A typed error as JSON: what kind, what happened, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}; {remedy}")]
pub struct ErrorBody {
    /// A stable word that programs can match, in snake case.
    pub kind: String,
    /// What happened, for people.
    pub message: String,
    /// What the reader can do about it.
    pub remedy: String,
    /// Whether the request ran: `not_run` only where that is proved; `unknown` where it is in doubt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub execution: Option<Execution>,
    /// When to come back, in milliseconds; also sent as `Retry-After` in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The current revision of the configuration, where a change lost a race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_revision: Option<Revision>,
}

/// What is known about whether a failed request ran (brief point 5).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Proved: no engine admitted it.
    NotRun,
    /// An engine may have run all or part of it.
    Unknown,
}

impl ErrorBody {
    /// An error that says nothing about execution.
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
