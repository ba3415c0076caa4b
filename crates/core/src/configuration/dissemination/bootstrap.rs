//! A starting node's question to the quorum set: which revision may have been in force before?
//!
//! Owns the answers so far; relies on the placement for who is in the quorum set.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Message;
use super::disseminator::{Action, Disseminator};
use super::placement::Placement;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// The answers heard so far.
///
/// Invariant (brief point 9): a node that was restarted puts nothing in force below what it may have had
/// before. Whatever was in force anywhere is held by a majority of the quorum set; so it asks until it has
/// heard a read quorum of settled members, and starts at no less than the highest revision among them.
#[derive(Clone, Debug, Default)]
pub(super) struct Bootstrap {
    answers: BTreeMap<NodeId, Revision>,
}

impl Bootstrap {
    /// Takes in what a member holds. Only settled members count: one that is starting too may have forgotten.
    pub(super) fn note_revision(&mut self, from: NodeId, revision: Revision) {
        let highest = self.answers.entry(from).or_default();
        *highest = revision.max(*highest);
    }

    /// Forgets the answers of members that are gone: what they hold can't be pulled any more.
    pub(super) fn members_changed(&mut self, placement: &Placement) {
        self.answers.retain(|node, _| placement.contains(node));
    }

    /// Members of the quorum set that are still to be asked.
    pub(super) fn unheard<'placement>(
        &self,
        placement: &'placement Placement,
        own: &NodeId,
    ) -> Vec<&'placement NodeId> {
        let others = placement.quorum_set().filter(|member| *member != own);
        others.filter(|member| !self.answers.contains_key(*member)).collect()
    }

    /// The least revision to start at and a member that holds it, once a read quorum has answered.
    pub(super) fn floor(&self, placement: &Placement, own: &NodeId) -> Option<(Revision, NodeId)> {
        let counted = self.answers.iter().filter(|(node, _)| *node != own && placement.in_quorum_set(node));
        if counted.count() < placement.read_quorum() {
            return None;
        }
        let highest = self.answers.iter().max_by_key(|(_, revision)| **revision)?;
        Some((*highest.1, highest.0.clone()))
    }
}

impl Disseminator {
    /// A starting node goes on once a read quorum has answered: it pulls the highest revision heard, and
    /// makes sure that a majority holds it before it puts it in force.
    pub(super) fn finish_bootstrap(&mut self, now: Timestamp) {
        if self.in_force.is_some() || self.config.ablation.without_quorum {
            return;
        }
        let Some((floor, holder)) = self.bootstrap.floor(&self.placement, &self.node) else { return };
        match &self.staged {
            Some(staged) if staged.document.revision() >= floor => {
                if staged.holders.is_none() {
                    let document = Arc::clone(&staged.document);
                    self.gather(document, now);
                }
            }
            _ => self.pull(holder, floor),
        }
    }

    pub(super) fn ask_quorum_set(&mut self, now: Timestamp) {
        let unheard = self.bootstrap.unheard(&self.placement, &self.node);
        let queries = unheard.into_iter().map(|to| Action::Send { to: to.clone(), message: Message::Query });
        let queries: Vec<Action> = queries.collect();
        self.actions.extend(queries);
        if self.may_read_once(now) {
            self.actions.push_back(Action::ReadOnce);
        }
    }

    /// Members of the quorum set read the platform themselves while they start, so that a cluster which
    /// starts as a whole finds its way; any other node only where the quorum set has not answered for a
    /// while.
    fn may_read_once(&self, now: Timestamp) -> bool {
        let waited =
            self.started.is_some_and(|since| now.saturating_since(since) >= self.config.bootstrap_timeout);
        waited || self.duties.in_quorum_set(self.config.settle, now)
    }
}
