//! Records of decisions for logs, metrics and watchers: what was decided, why, and from which inputs.

use serde::{Deserialize, Serialize};

/// The part of the system that made a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Component {
    /// Selection of a replica for a request.
    Routing,
    /// Retries, refusals and limits of requests.
    Request,
    /// Job slots, staleness and takeovers.
    Rollout,
    /// Rolling updates of weights.
    Weights,
    /// The settings tree.
    Configuration,
    /// Liveness of nodes.
    Membership,
    /// Epochs, replicated logs and claims.
    Replication,
    /// Draining and shutdown.
    Drain,
    /// Calls to the platform that only one holder at a time may make.
    Duty,
}

impl Component {
    /// Returns the name used in logs, metrics and the decision stream.
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

/// One input of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Input {
    /// The name of the input, such as `in_flight` or `staleness`.
    pub name: String,
    /// Its value, with its unit if it has one.
    pub value: String,
}

/// One decision made by one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The part that made it.
    pub component: Component,
    /// What was done, such as `routed`, `refused` or `taken_over`. Used as a metric label, so it must have few
    /// distinct values.
    pub action: String,
    /// Why, such as `least_load` or `budget_exhausted`. Used as a metric label, so it must have few distinct
    /// values.
    pub reason: String,
    /// The id of the request, replica, slot or shard concerned.
    pub subject: String,
    /// The inputs that determined it.
    pub inputs: Vec<Input>,
}

impl Decision {
    /// Creates a decision without inputs.
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
