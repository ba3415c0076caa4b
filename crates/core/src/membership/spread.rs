//! Taking in updates about members, and passing them on.
//!
//! Decides what is believed by the order of claims, and refutes what is claimed of this node.

use std::time::Duration;

use super::event::{Cause, Event, EventKind};
use super::machine::Membership;
use super::member::{Incarnation, MemberClaim, MemberState};
use super::message::{ClaimedState, Update};
use super::table::Applied;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// A member that has until `expires_at` to refute.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) expires_at: Timestamp,
}

impl Membership {
    /// Takes in one update.
    pub(super) fn apply(&mut self, now: Timestamp, update: &Update, cause: Cause) {
        if update.node == self.own {
            return self.hear_about_self(now, update);
        }
        match self.table.apply(now, update) {
            Applied::Nothing => {}
            Applied::Added => self.added(update, cause),
            Applied::Raised { previous, since, info_changed } => {
                let after = now.saturating_since(since);
                self.raised(now, update, cause, (previous, after), info_changed);
            }
        }
    }

    fn added(&mut self, update: &Update, cause: Cause) {
        // What stands in the list of a seed is known to the others.
        if cause != Cause::JoinList {
            self.updates.push(update.clone());
        }
        self.order.insert(&mut self.random, update.node.clone());
        self.changed_view(update, EventKind::Joined, cause, None);
    }

    fn raised(
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
            return self.rejoined(now, update, cause, after);
        }
        match state {
            MemberState::Alive if info_changed => {
                self.changed_view(update, EventKind::Changed, cause, None);
            }
            MemberState::Alive if previous == MemberState::Suspect => {
                self.report(update, EventKind::Refuted, cause, Some(after));
            }
            MemberState::Alive => {}
            MemberState::Suspect => self.report(update, EventKind::Suspected, cause, None),
            MemberState::Failed => {
                let suspected_for = (previous == MemberState::Suspect).then_some(after);
                self.changed_view(update, EventKind::Failed, cause, suspected_for);
            }
            MemberState::Left => self.changed_view(update, EventKind::Left, cause, None),
        }
    }

    /// One member that is back is a sign that more can be reached: the next is tried soon.
    fn rejoined(&mut self, now: Timestamp, update: &Update, cause: Cause, after: Duration) {
        self.order.insert(&mut self.random, update.node.clone());
        let soon = now + self.config.probe_interval / 2;
        self.next_reconnect_at = self.next_reconnect_at.min(soon);
        self.changed_view(update, EventKind::Rejoined, cause, Some(after));
    }

    /// Invariant: while this node takes part, no claim that is known here outranks its own claim to be alive.
    fn hear_about_self(&mut self, now: Timestamp, update: &Update) {
        let Some(record) = self.table.get(&self.own) else { return };
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
        let is_other_life = matches!(update.state, ClaimedState::Alive { .. });
        let cause = if is_other_life { Cause::DuplicateId } else { Cause::Gossip };
        self.report(&refutation, EventKind::Refuted, cause, None);
    }

    /// This node's present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.table.get(&self.own).map_or(Incarnation(0), |record| record.claim.incarnation)
    }

    /// Declares failed whoever did not refute in time.
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

    /// Makes a claim about a member at the incarnation that is known of it.
    pub(super) fn declare(&mut self, now: Timestamp, node: &NodeId, state: ClaimedState, cause: Cause) {
        let Some(record) = self.table.get(node) else { return };
        let update = Update { node: node.clone(), incarnation: record.claim.incarnation, state };
        self.apply(now, &update, cause);
    }

    fn changed_view(&mut self, update: &Update, kind: EventKind, cause: Cause, after: Option<Duration>) {
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
