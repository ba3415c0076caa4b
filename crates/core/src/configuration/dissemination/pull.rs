//! Pulls a revision from a holder, trying further holders until one answers, and answers such requests.

use std::sync::Arc;

use super::Message;
use super::disseminator::{Action, Disseminator};
use super::gather::{Confirmation, Staged};
use crate::configuration::document::{Document, Update};
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// A pull request without an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingPull {
    pub(super) from: NodeId,
    /// The revision to reach, or a later one.
    pub(super) target: Revision,
    /// Number of retries so far.
    pub(super) retries: usize,
}

impl Disseminator {
    /// Pulls the announced revision if it is higher than the one in force.
    pub(super) fn pull_announced(&mut self) {
        if self.in_force.is_none() && !self.config.ablation.without_quorum {
            return;
        }
        let Some((revision, holder)) = self.announced.clone() else { return };
        if self.in_force_revision().is_none_or(|in_force| in_force < revision) {
            self.pull(holder, revision);
        }
    }

    pub(super) fn pull(&mut self, from: NodeId, target: Revision) {
        if from == self.node
            || self.pending_pull.as_ref().is_some_and(|pending_pull| pending_pull.target >= target)
        {
            return;
        }
        self.pending_pull = Some(PendingPull { from, target, retries: 0 });
        self.send_pull();
    }

    pub(super) fn send_pull(&mut self) {
        let Some(pending_pull) = &self.pending_pull else { return };
        let offered = self.in_force.is_none();
        let after = if offered { self.held() } else { self.in_force_revision() };
        let to = pending_pull.from.clone();
        self.actions.push_back(Action::Send { to, message: Message::Pull { after, offered } });
    }

    /// Repeats the pull, cycling through the announced holder and the members of the quorum set, a majority of
    /// which holds the revision.
    pub(super) fn retry_pull(&mut self) {
        let Some(pending_pull) = &mut self.pending_pull else { return };
        let announced = self.announced.iter().filter(|(revision, _)| *revision >= pending_pull.target);
        let holders = announced.map(|(_, holder)| holder).chain(self.placement.quorum_set());
        let holders: Vec<&NodeId> = holders.filter(|holder| **holder != self.node).collect();
        pending_pull.retries += 1;
        if let Some(holder) = holders.get(pending_pull.retries % holders.len().max(1)) {
            pending_pull.from = (*holder).clone();
        }
        self.send_pull();
    }

    pub(super) fn answer_pull(&mut self, to: NodeId, after: Option<Revision>, offered: bool, now: Timestamp) {
        let staged = self.staged.as_ref().filter(|_| offered).map(|staged| &staged.document);
        let Some(document) = staged.or(self.in_force.as_ref()) else { return };
        let update = match after {
            Some(after) => document.update_after(after),
            None => Some(Update::Snapshot(Document::clone(document))),
        };
        let in_force = self.in_force_revision() == Some(document.revision());
        let answer = update.map(|update| Message::Update { update, in_force });
        let message = answer.unwrap_or_else(|| self.holds_message(now));
        self.actions.push_back(Action::Send { to, message });
    }

    pub(super) fn receive_update(&mut self, from: NodeId, update: Update, in_force: bool, now: Timestamp) {
        let Some(document) = self.apply(&update) else {
            // The delta applies to none of the held documents, so the whole document is needed.
            let message = Message::Pull { after: None, offered: !in_force };
            return self.actions.push_back(Action::Send { to: from, message });
        };
        let document = Arc::new(document);
        if self.pending_pull.as_ref().is_some_and(|pending_pull| document.revision() >= pending_pull.target) {
            self.pending_pull = None;
        }
        let may_accept = self.in_force.is_some() || self.config.ablation.without_quorum;
        if in_force && may_accept {
            self.put_in_force(document, Confirmation::Announced);
        } else if self.is_newer_or_unconfirmed(document.revision()) {
            self.staged = Some(Staged { document, holders: None, since: now });
            self.send_holds(from, now);
        }
    }

    /// Applies an update to the held document that it is based on. Returns `None` if there is no such document.
    pub(super) fn apply(&self, update: &Update) -> Option<Document> {
        let empty = Document::default();
        let staged = self.staged.as_ref().map(|staged| staged.document.as_ref());
        let in_force = self.in_force.as_deref();
        let bases = [staged, in_force, Some(&empty)].into_iter().flatten();
        bases.filter_map(|base| base.with_update(update.clone()).ok()).next()
    }
}
