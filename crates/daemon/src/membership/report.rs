//! Reports the protocol's events as decisions and log lines.
//!
//! The names in decisions are part of the operators' interface.

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::membership::{Cause, Event, EventKind};

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

/// Writes an event to the log.
pub(super) fn log(event: &Event) {
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
