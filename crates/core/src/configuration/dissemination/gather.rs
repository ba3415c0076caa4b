//! When a revision of a document is in force: the one place that holds it until a majority of the quorum set
//! holds it too.
//!
//! Inputs: the members of the quorum set that said that they hold a revision, and announcements of nodes
//! where it is in force. Reason: what a majority of the quorum set holds is found again by any node that
//! starts, so that no node goes back to an earlier revision. Without the quorum set or without the guard
//! against lower revisions the simulations show nodes going back.

use std::collections::BTreeSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::Message;
use super::disseminator::{Action, Disseminator};
use crate::configuration::document::Document;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// How a node knows that a revision may be put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It counted a majority of the quorum set itself.
    Majority,
    /// The revision, or a later one, is in force on another node.
    Announced,
}

impl Confirmation {
    /// The reason in the stream of decisions.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Majority => "majority_holds",
            Self::Announced => "in_force_elsewhere",
        }
    }
}

/// A revision that is held and not yet in force here.
#[derive(Clone, Debug)]
pub(super) struct Staged {
    pub(super) document: Arc<Document>,
    /// Members of the quorum set known to hold it, while this node gathers a majority; `None` where another
    /// node does, and this one only holds it.
    pub(super) holders: Option<BTreeSet<NodeId>>,
    /// Since when it is held.
    pub(super) since: Timestamp,
}

impl Disseminator {
    /// Begins to gather a majority of the quorum set for a revision.
    pub(super) fn gather(&mut self, document: Arc<Document>, now: Timestamp) {
        if self.config.ablation.without_quorum {
            return self.put_in_force(document, Confirmation::Majority);
        }
        let revision = document.revision();
        let mut holders = BTreeSet::new();
        if self.placement.in_quorum_set(&self.node) {
            holders.insert(self.node.clone());
        }
        self.staged = Some(Staged { document, holders: Some(holders), since: now });
        self.offer(revision);
    }

    /// Gathers a majority for a revision whose own gatherer seems to have gone.
    pub(super) fn take_over_staged(&mut self, now: Timestamp) {
        let waits = |staged: &&Staged| {
            staged.holders.is_none() && now.saturating_since(staged.since) >= self.config.takeover
        };
        if let Some(staged) = self.staged.as_ref().filter(waits) {
            let document = Arc::clone(&staged.document);
            self.gather(document, now);
        }
    }

    pub(super) fn offer(&mut self, revision: Revision) {
        let Some(holders) = self.staged.as_ref().and_then(|staged| staged.holders.as_ref()) else { return };
        let missing = self.placement.quorum_set().filter(|member| !holders.contains(*member));
        let others = missing.filter(|member| **member != self.node);
        let offers = others.map(|to| Action::Send { to: to.clone(), message: Message::Offer { revision } });
        let offers: Vec<Action> = offers.collect();
        self.actions.extend(offers);
    }

    /// Puts the staged revision in force where a majority holds it or where it is announced by others.
    pub(super) fn confirm_staged(&mut self) {
        let Some(staged) = &self.staged else { return };
        let revision = staged.document.revision();
        let majority = staged.holders.as_ref().is_some_and(|holders| {
            let counted = holders.iter().filter(|holder| self.placement.in_quorum_set(holder));
            counted.count() >= self.placement.write_quorum()
        });
        let announced = self.in_force.is_some()
            && self.announced.as_ref().is_some_and(|(announced, _)| *announced >= revision);
        if majority || announced {
            let document = Arc::clone(&staged.document);
            let confirmation = if majority { Confirmation::Majority } else { Confirmation::Announced };
            self.put_in_force(document, confirmation);
        }
    }

    pub(super) fn put_in_force(&mut self, document: Arc<Document>, confirmation: Confirmation) {
        let revision = document.revision();
        let higher = self.in_force_revision().is_none_or(|in_force| revision > in_force);
        if !higher && !self.config.ablation.without_monotone_guard {
            return;
        }
        if self.staged.as_ref().is_some_and(|staged| staged.document.revision() <= revision) {
            self.staged = None;
        }
        if self.announced.as_ref().is_none_or(|(announced, _)| *announced < revision) {
            self.announced = Some((revision, self.node.clone()));
        }
        self.in_force = Some(Arc::clone(&document));
        self.actions.push_back(Action::PutInForce { document, confirmation });
        self.tell_some(revision);
    }

    /// Tells a few random members, others for each revision.
    pub(super) fn tell_some(&mut self, revision: Revision) {
        let seed = xxh3_64(format!("{}\n{}\n{revision}", self.node, self.document).as_bytes());
        let told = self.placement.sample(&self.node, seed, self.config.fanout);
        let announcements =
            told.map(|to| Action::Send { to: to.clone(), message: Message::Announce { revision } });
        let announcements: Vec<Action> = announcements.collect();
        self.actions.extend(announcements);
    }

    pub(super) fn receive_offer(&mut self, from: NodeId, revision: Revision, now: Timestamp) {
        if self.held().is_some_and(|held| held >= revision) {
            return self.send_holds(from, now);
        }
        let after = self.held();
        self.actions.push_back(Action::Send { to: from, message: Message::Pull { after, offered: true } });
    }

    pub(super) fn receive_holds(&mut self, from: NodeId, revision: Option<Revision>, settled: bool) {
        let Some(revision) = revision else { return };
        if let Some(staged) = &mut self.staged
            && staged.document.revision() <= revision
            && let Some(holders) = &mut staged.holders
        {
            holders.insert(from.clone());
        }
        if settled && self.in_force.is_none() {
            self.bootstrap.note_revision(from, revision);
        }
    }

    pub(super) fn send_holds(&mut self, to: NodeId, now: Timestamp) {
        let message = self.holds(now);
        self.actions.push_back(Action::Send { to, message });
    }

    /// What this node says it holds.
    pub(super) fn holds(&self, now: Timestamp) -> Message {
        let settled = self.in_force.is_some() && self.duties.sees_majority(&self.config, now);
        Message::Holds { revision: self.held(), settled }
    }

    pub(super) fn is_news(&self, revision: Revision) -> bool {
        self.config.ablation.without_monotone_guard
            || self.held().is_none_or(|held| revision > held)
            || self.is_unconfirmed(revision)
    }

    /// Whether a revision is held for another node that may never finish what it began.
    pub(super) fn is_unconfirmed(&self, revision: Revision) -> bool {
        let staged = self.staged.as_ref().filter(|staged| staged.holders.is_none());
        staged.is_some_and(|staged| staged.document.revision() == revision)
    }
}
