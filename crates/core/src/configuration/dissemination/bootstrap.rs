//! Bootstrap of a starting node: queries the quorum set for the revision that may already be in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Message;
use super::disseminator::{Action, Disseminator};
use super::placement::Placement;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// Answers received from the quorum set.
///
/// Invariant: after a restart, a node never puts a revision in force that is lower than the one
/// it may have had before. Any revision in force is held by a majority of the quorum set. The node therefore
/// queries until a read quorum of authoritative members has answered, and starts at the highest revision among
/// the answers or a later one.
#[derive(Clone, Debug, Default)]
pub(super) struct Bootstrap {
    answers: BTreeMap<NodeId, Revision>,
}

impl Bootstrap {
    /// Records the revision that an authoritative member holds. Other members, for example ones that are starting
    /// too, may have lost a revision and must not be recorded.
    pub(super) fn record_revision(&mut self, from: NodeId, revision: Revision) {
        let highest = self.answers.entry(from).or_default();
        *highest = revision.max(*highest);
    }

    /// Removes the answers of members that are no longer live, since their revisions can't be pulled.
    pub(super) fn members_changed(&mut self, placement: &Placement) {
        self.answers.retain(|node, _| placement.contains(node));
    }

    /// Returns the members of the quorum set that have not answered.
    pub(super) fn unanswered<'placement>(
        &self,
        placement: &'placement Placement,
        own: &NodeId,
    ) -> Vec<&'placement NodeId> {
        let others = placement.quorum_set().filter(|member| *member != own);
        others.filter(|member| !self.answers.contains_key(*member)).collect()
    }

    /// Returns the lowest revision that this node may start at and a member that holds it, once a read quorum has
    /// answered.
    pub(super) fn lower_bound(&self, placement: &Placement, own: &NodeId) -> Option<(Revision, NodeId)> {
        let counted = self.answers.iter().filter(|(node, _)| *node != own && placement.in_quorum_set(node));
        if counted.count() < placement.read_quorum() {
            return None;
        }
        let highest = self.answers.iter().max_by_key(|(_, revision)| **revision)?;
        Some((*highest.1, highest.0.clone()))
    }
}

impl Disseminator {
    /// Once a read quorum has answered, pulls the highest revision among the answers, and collects a majority of
    /// holders before putting it in force.
    pub(super) fn finish_bootstrap(&mut self, now: Timestamp) {
        if self.in_force.is_some() || self.config.ablation.without_quorum {
            return;
        }
        let Some((bound, holder)) = self.bootstrap.lower_bound(&self.placement, &self.node) else { return };
        match &self.staged {
            Some(staged) if staged.document.revision() >= bound => {
                if staged.holders.is_none() {
                    let document = Arc::clone(&staged.document);
                    self.collect_majority(document, now);
                }
            }
            _ => self.pull(holder, bound),
        }
    }

    pub(super) fn query_quorum_set(&mut self, now: Timestamp) {
        let unanswered = self.bootstrap.unanswered(&self.placement, &self.node);
        let queries =
            unanswered.into_iter().map(|to| Action::Send { to: to.clone(), message: Message::Query });
        let queries: Vec<Action> = queries.collect();
        self.actions.extend(queries);
        if self.may_read_once(now) {
            self.actions.push_back(Action::ReadOnce);
        }
    }

    /// Returns whether a starting node may read the platform once.
    ///
    /// Members of the quorum set may, so that a cluster can start when no node has a revision in force. Other
    /// nodes may once the quorum set has not answered within the bootstrap timeout.
    fn may_read_once(&self, now: Timestamp) -> bool {
        let timed_out =
            self.started_at.is_some_and(|since| now.saturating_since(since) >= self.config.bootstrap_timeout);
        timed_out || self.duties.in_quorum_set(self.config.settle_time, now)
    }
}
