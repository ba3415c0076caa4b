//! A starting node's question to the quorum set: which revision may have been in force before?

use std::collections::BTreeMap;

use super::placement::Placement;
use crate::identity::{NodeId, Revision};

/// The answers heard so far.
///
/// Invariant (brief point 9): a node that was restarted puts nothing in force below what it may have had before.
/// Whatever was in force anywhere is held by a majority of the quorum set; so it asks until it has heard a read
/// quorum of settled members, and starts at no less than the highest revision among them.
#[derive(Clone, Debug, Default)]
pub(super) struct Bootstrap {
    answers: BTreeMap<NodeId, Revision>,
}

impl Bootstrap {
    /// Takes in what a member holds. Only settled members count: one that is starting too may have forgotten.
    pub(super) fn heard(&mut self, from: NodeId, revision: Revision) {
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
