//! Pulling a revision from a node that has it, and answering such pulls.
//!
//! Owns the pull under way; asks other holders in turn until one answers.

use std::sync::Arc;

use super::Message;
use super::disseminator::{Action, Disseminator};
use super::gather::{Confirmation, Staged};
use crate::configuration::document::{Document, Update};
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// A pull under way.
#[derive(Clone, Debug)]
pub(super) struct Pulling {
    pub(super) from: NodeId,
    /// The revision to reach.
    pub(super) target: Revision,
    /// How often it was asked again.
    pub(super) retries: usize,
}

impl Disseminator {
    /// Pulls what is announced and not held.
    pub(super) fn follow_announced(&mut self) {
        if self.in_force.is_none() && !self.config.ablation.without_quorum {
            return;
        }
        let Some((revision, holder)) = self.announced.clone() else { return };
        if self.in_force_revision().is_none_or(|in_force| in_force < revision) {
            self.pull(holder, revision);
        }
    }

    pub(super) fn pull(&mut self, from: NodeId, target: Revision) {
        if from == self.node || self.pulling.as_ref().is_some_and(|pulling| pulling.target >= target) {
            return;
        }
        self.pulling = Some(Pulling { from, target, retries: 0 });
        self.send_pull();
    }

    pub(super) fn send_pull(&mut self) {
        let Some(pulling) = &self.pulling else { return };
        let offered = self.in_force.is_none();
        let after = if offered { self.held() } else { self.in_force_revision() };
        let to = pulling.from.clone();
        self.actions.push_back(Action::Send { to, message: Message::Pull { after, offered } });
    }

    /// Pulls again: in turn from whoever is known to have the revision and from the members of the quorum
    /// set, a majority of which holds it.
    pub(super) fn turn_pull(&mut self) {
        let Some(pulling) = &mut self.pulling else { return };
        let announced = self.announced.iter().filter(|(revision, _)| *revision >= pulling.target);
        let holders = announced.map(|(_, holder)| holder).chain(self.placement.quorum_set());
        let holders: Vec<&NodeId> = holders.filter(|holder| **holder != self.node).collect();
        pulling.retries += 1;
        if let Some(holder) = holders.get(pulling.retries % holders.len().max(1)) {
            pulling.from = (*holder).clone();
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
        let message = answer.unwrap_or_else(|| self.holds(now));
        self.actions.push_back(Action::Send { to, message });
    }

    pub(super) fn receive_update(&mut self, from: NodeId, update: Update, in_force: bool, now: Timestamp) {
        let Some(document) = self.apply(&update) else {
            // The delta fits nothing that is held: only the whole document will do.
            let message = Message::Pull { after: None, offered: !in_force };
            return self.actions.push_back(Action::Send { to: from, message });
        };
        let document = Arc::new(document);
        if self.pulling.as_ref().is_some_and(|pulling| document.revision() >= pulling.target) {
            self.pulling = None;
        }
        let may_follow = self.in_force.is_some() || self.config.ablation.without_quorum;
        if in_force && may_follow {
            self.put_in_force(document, Confirmation::Announced);
        } else if self.is_news(document.revision()) {
            self.staged = Some(Staged { document, holders: None, since: now });
            self.send_holds(from, now);
        }
    }

    /// The document after an update of whichever document it is based on.
    pub(super) fn apply(&self, update: &Update) -> Option<Document> {
        let empty = Document::default();
        let staged = self.staged.as_ref().map(|staged| staged.document.as_ref());
        let in_force = self.in_force.as_deref();
        let bases = [staged, in_force, Some(&empty)].into_iter().flatten();
        bases.filter_map(|base| base.with_update(update.clone()).ok()).next()
    }
}
