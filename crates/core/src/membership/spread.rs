//! Application and dissemination of member updates, including refutations of claims about this node.
//!
//! Updates are accepted by the precedence of their claims.

use std::time::Duration;

use super::event::{Cause, Event, EventKind};
use super::machine::Membership;
use super::member::{Incarnation, MemberClaim, MemberState};
use super::message::{ClaimedState, Update};
use super::table::ApplyOutcome;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// A suspicion that the member can refute until `expires_at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) expires_at: Timestamp,
}

impl Membership {
    /// Applies an update to the member table and reports the resulting event.
    pub(super) fn apply(&mut self, now: Timestamp, update: &Update, cause: Cause) {
        if update.node == self.own_id {
            return self.refute_claim(now, update);
        }
        match self.table.apply(now, update) {
            ApplyOutcome::Ignored => {}
            ApplyOutcome::Added => self.handle_added(update, cause),
            ApplyOutcome::Superseded { previous, since, info_changed } => {
                let after = now.saturating_since(since);
                self.handle_superseded(now, update, cause, (previous, after), info_changed);
            }
        }
    }

    fn handle_added(&mut self, update: &Update, cause: Cause) {
        // Members listed by a seed are already known to the other members.
        if cause != Cause::JoinList {
            self.updates.push(update.clone());
        }
        self.order.insert(&mut self.random, update.node.clone());
        self.report_view_change(update, EventKind::Joined, cause, None);
    }

    fn handle_superseded(
        &mut self,
        now: Timestamp,
        update: &Update,
        cause: Cause,
        (previous, after): (MemberState, Duration),
        info_changed: bool,
    ) {
        self.updates.push(update.clone());
        self.suspicions.remove(&update.node);
        let state = update.claim().state;
        if state == MemberState::Suspect {
            let expires_at = now + self.config.suspicion_timeout(self.table.live_count());
            self.suspicions.insert(update.node.clone(), Suspicion { expires_at });
        }
        if state.is_live() && !previous.is_live() {
            return self.handle_rejoined(now, update, cause, after);
        }
        match state {
            MemberState::Alive if info_changed => {
                self.report_view_change(update, EventKind::Changed, cause, None);
            }
            MemberState::Alive if previous == MemberState::Suspect => {
                self.report(update, EventKind::Refuted, cause, Some(after));
            }
            MemberState::Alive => {}
            MemberState::Suspect => self.report(update, EventKind::Suspected, cause, None),
            MemberState::Failed => {
                let suspected_for = (previous == MemberState::Suspect).then_some(after);
                self.report_view_change(update, EventKind::Failed, cause, suspected_for);
            }
            MemberState::Left => self.report_view_change(update, EventKind::Left, cause, None),
        }
    }

    /// Handles the return of a member. Brings the next reconnect forward, since other failed members may be
    /// reachable again too.
    fn handle_rejoined(&mut self, now: Timestamp, update: &Update, cause: Cause, after: Duration) {
        self.order.insert(&mut self.random, update.node.clone());
        let soon = now + self.config.probe_interval / 2;
        self.next_reconnect_at = self.next_reconnect_at.min(soon);
        self.report_view_change(update, EventKind::Rejoined, cause, Some(after));
    }

    /// Refutes a claim about this node that takes precedence over its own.
    ///
    /// Invariant: until this node leaves, no claim that it knows takes precedence over its own alive claim.
    fn refute_claim(&mut self, now: Timestamp, update: &Update) {
        let Some(record) = self.table.get(&self.own_id) else { return };
        let own_claim = record.claim;
        let claimed = update.claim();
        if claimed <= own_claim || self.leaving || !self.config.mechanisms.refutation {
            return;
        }
        let incarnation = claimed.incarnation.next();
        let refutation = Update::alive(&record.info, incarnation);
        let own_record = super::member::MemberRecord {
            info: record.info.clone(),
            claim: MemberClaim { incarnation, state: MemberState::Alive },
            since: now,
        };
        self.table.insert(own_record);
        self.updates.push(refutation.clone());
        let is_duplicate_id = matches!(update.state, ClaimedState::Alive { .. });
        let cause = if is_duplicate_id { Cause::DuplicateId } else { Cause::Gossip };
        self.report(&refutation, EventKind::Refuted, cause, None);
    }

    /// Returns the current incarnation of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.table.get(&self.own_id).map_or(Incarnation(0), |record| record.claim.incarnation)
    }

    /// Declares members failed whose suspicion has expired.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        let is_expired = |suspicion: &Suspicion| suspicion.expires_at <= now;
        let expired: Vec<NodeId> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| is_expired(suspicion))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.suspicions.remove(&node);
            self.declare(now, &node, ClaimedState::Failed, Cause::SuspicionExpired);
            self.counters.failures_declared += 1;
        }
    }

    /// Applies a claim about a member at its known incarnation.
    pub(super) fn declare(&mut self, now: Timestamp, node: &NodeId, state: ClaimedState, cause: Cause) {
        let Some(record) = self.table.get(node) else { return };
        let update = Update { node: node.clone(), incarnation: record.claim.incarnation, state };
        self.apply(now, &update, cause);
    }

    fn report_view_change(
        &mut self,
        update: &Update,
        kind: EventKind,
        cause: Cause,
        after: Option<Duration>,
    ) {
        self.view_version += 1;
        self.report(update, kind, cause, after);
    }

    fn report(&mut self, update: &Update, kind: EventKind, cause: Cause, after: Option<Duration>) {
        self.events.push_back(Event {
            node: update.node.clone(),
            incarnation: update.incarnation,
            kind,
            cause,
            after,
            live_members: self.table.live_count(),
        });
    }
}
