//! Reports the protocol's events as decisions and log lines.
//!
//! The names in decisions are part of the operators' interface.

use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::membership::{Cause, Event, EventKind};
use tokio::time::Instant;

/// Returns the decision that represents an event.
pub(super) fn decision(event: &Event) -> Decision {
    let decision =
        Decision::new(Component::Membership, event.kind.as_str(), event.cause.as_str(), &event.node)
            .with("incarnation", event.incarnation.0)
            .with("live_members", event.live_members);
    match event.after {
        Some(after) => decision.with("after_ms", after.as_millis()),
        None => decision,
    }
}

/// Interval between two log lines about members that joined.
const JOIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Writes events to the log. Members that join are counted: at the start of a cluster every node learns of every
/// other one, and a line for each would make as many lines as the square of the nodes.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    joined: usize,
    reported_at: Option<Instant>,
}

impl EventLog {
    /// Writes an event, or counts it for [`Self::report_joins`].
    pub(super) fn record(&mut self, event: &Event) {
        if event.kind == EventKind::Joined {
            self.joined += 1;
        } else {
            write(event);
        }
    }

    /// Reports the members that have joined, at most once per [`JOIN_REPORT_INTERVAL`].
    pub(super) fn report_joins(&mut self, live: usize) {
        let is_due = self.reported_at.is_none_or(|at| at.elapsed() >= JOIN_REPORT_INTERVAL);
        if self.joined > 0 && is_due {
            log::info!(target: "membership", "{} members joined; {live} members are live.", self.joined);
            self.joined = 0;
            self.reported_at = Some(Instant::now());
        }
    }
}

fn write(event: &Event) {
    let node = &event.node;
    let live = event.live_members;
    match (event.kind, event.cause) {
        (EventKind::Refuted, Cause::DuplicateId) => log::warn!(
            target: "membership",
            "Another process claims the id {node}; give each node its own id, or wait if it has just restarted."
        ),
        (EventKind::Failed, _) => {
            log::warn!(target: "membership", "{node} has failed; {live} members are live.");
        }
        (kind, _) => {
            log::info!(target: "membership", "{node} {}; {live} members are live.", kind.as_str());
        }
    }
}
