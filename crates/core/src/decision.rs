//! Decisions as they are watched: what was decided, why, and from which inputs.

use serde::{Deserialize, Serialize};

/// The part of the system that decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Component {
    /// Choice of a replica for a request.
    Routing,
    /// Retries, refusals and limits of requests.
    Request,
    /// Job slots, staleness and hand-over.
    Rollout,
    /// Weight waves.
    Weights,
    /// The settings tree.
    Configuration,
    /// Liveness of nodes.
    Membership,
    /// Epochs, logs and claims.
    Replication,
    /// Draining and stopping.
    Drain,
    /// Calls to the platform that one holder makes at a time.
    Duty,
}

impl Component {
    /// The name used in logs, metrics and the decision stream.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Request => "request",
            Self::Rollout => "rollout",
            Self::Weights => "weights",
            Self::Configuration => "configuration",
            Self::Membership => "membership",
            Self::Replication => "replication",
            Self::Drain => "drain",
            Self::Duty => "duty",
        }
    }
}

/// One input that a decision was made from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Input {
    /// What was looked at, such as `in_flight` or `staleness`.
    pub name: String,
    /// Its value, with its unit where it has one.
    pub value: String,
}

/// One decision of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Which part decided.
    pub component: Component,
    /// What was done, such as `routed`, `refused`, `taken_over`. A metrics label: few distinct values.
    pub action: String,
    /// Why, such as `least_load` or `budget_exhausted`. A metrics label: few distinct values.
    pub reason: String,
    /// What it was about: a request, replica, slot or shard.
    pub subject: String,
    /// The inputs that decided it.
    pub inputs: Vec<Input>,
}

impl Decision {
    /// A decision without inputs.
    pub fn new(component: Component, action: &str, reason: &str, subject: impl ToString) -> Self {
        Self {
            component,
            action: action.to_owned(),
            reason: reason.to_owned(),
            subject: subject.to_string(),
            inputs: Vec::new(),
        }
    }

    /// Adds an input.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        let value = value.to_string();
        self.inputs.push(Input { name: name.to_owned(), value });
        self
    }
}
