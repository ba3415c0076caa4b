//! Decides when a revision of a document is in force.
//!
//! A revision is staged until a majority of the quorum set confirms that it holds it, or another node announces
//! it as in force. Any starting node then finds it through a read quorum, so no node reverts to an earlier
//! revision.

use std::collections::BTreeSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::Message;
use super::disseminator::{Action, Disseminator};
use crate::configuration::document::Document;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// Evidence that a revision may be put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// This node counted a majority of the quorum set.
    Majority,
    /// Another node announced this or a later revision as in force.
    Announced,
}

impl Confirmation {
    /// Returns the reason used in the decision log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Majority => "majority_holds",
            Self::Announced => "in_force_elsewhere",
        }
    }
}

/// A revision that this node holds but that is not yet in force on it.
#[derive(Clone, Debug)]
pub(super) struct Staged {
    pub(super) document: Arc<Document>,
    /// Quorum set members known to hold the revision, if this node collects the majority; `None` if another node
    /// collects it.
    pub(super) holders: Option<BTreeSet<NodeId>>,
    /// When the revision was staged.
    pub(super) since: Timestamp,
}

impl Disseminator {
    /// Stages a revision and starts to collect a majority of the quorum set for it.
    pub(super) fn collect_majority(&mut self, document: Arc<Document>, now: Timestamp) {
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

    /// Takes over a staged revision if the node that offered it has not completed it in time.
    pub(super) fn take_over_staged(&mut self, now: Timestamp) {
        let is_overdue = |staged: &&Staged| {
            staged.holders.is_none() && now.saturating_since(staged.since) >= self.config.takeover_timeout
        };
        if let Some(staged) = self.staged.as_ref().filter(is_overdue) {
            let document = Arc::clone(&staged.document);
            self.collect_majority(document, now);
        }
    }

    /// Offers a revision to the quorum set members that are not known to hold it.
    pub(super) fn offer(&mut self, revision: Revision) {
        let Some(holders) = self.staged.as_ref().and_then(|staged| staged.holders.as_ref()) else { return };
        let missing = self.placement.quorum_set().filter(|member| !holders.contains(*member));
        let others = missing.filter(|member| **member != self.node);
        let offers = others.map(|to| Action::Send { to: to.clone(), message: Message::Offer { revision } });
        let offers: Vec<Action> = offers.collect();
        self.actions.extend(offers);
    }

    /// Puts the staged revision in force if a majority holds it or if another node announced it.
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
        self.announce_to_sample(revision);
    }

    /// Announces a revision to a random sample of members, which differs per node and revision.
    pub(super) fn announce_to_sample(&mut self, revision: Revision) {
        let seed = xxh3_64(format!("{}\n{}\n{revision}", self.node, self.document).as_bytes());
        let recipients = self.placement.sample(&self.node, seed, self.config.fanout);
        let announcements =
            recipients.map(|to| Action::Send { to: to.clone(), message: Message::Announce { revision } });
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

    pub(super) fn receive_holds(&mut self, from: NodeId, revision: Option<Revision>, authoritative: bool) {
        let Some(revision) = revision else { return };
        if let Some(staged) = &mut self.staged
            && staged.document.revision() <= revision
            && let Some(holders) = &mut staged.holders
        {
            holders.insert(from.clone());
        }
        if authoritative && self.in_force.is_none() {
            self.bootstrap.record_revision(from, revision);
        }
    }

    pub(super) fn send_holds(&mut self, to: NodeId, now: Timestamp) {
        let message = self.holds_message(now);
        self.actions.push_back(Action::Send { to, message });
    }

    /// Returns the message that reports the revision held by this node.
    pub(super) fn holds_message(&self, now: Timestamp) -> Message {
        let authoritative = self.in_force.is_some() && self.duties.sees_majority(&self.config, now);
        Message::Holds { revision: self.held(), authoritative }
    }

    pub(super) fn is_newer_or_unconfirmed(&self, revision: Revision) -> bool {
        self.config.ablation.without_monotone_guard
            || self.held().is_none_or(|held| revision > held)
            || self.is_unconfirmed(revision)
    }

    /// Returns whether a revision is staged here but its majority is collected by another node, which may never
    /// complete it.
    pub(super) fn is_unconfirmed(&self, revision: Revision) -> bool {
        let staged = self.staged.as_ref().filter(|staged| staged.holders.is_none());
        staged.is_some_and(|staged| staged.document.revision() == revision)
    }
}
