//! One node's part in spreading one document.
//!
//! Owns what is in force, what is held and what is asked; the modules beside it extend it by one job each.

use std::collections::VecDeque;
use std::sync::Arc;

use super::bootstrap::Bootstrap;
use super::duties::Duties;
use super::gather::{Confirmation, Staged};
use super::placement::{Peer, Placement};
use super::pull::Pulling;
use super::{Config, Message};
use crate::configuration::document::Document;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// What the driver does for the disseminator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// The document is in force on this node: publish it, and announce its revision on the heartbeats.
    PutInForce {
        /// The document.
        document: Arc<Document>,
        /// How it is known that a majority of the quorum set holds it.
        confirmation: Confirmation,
    },
    /// Read the platform once and hand the document to [`Disseminator::receive_platform_document`].
    ReadOnce,
    /// Keep watching the platform, and hand over each document.
    StartReading,
    /// Stop watching.
    StopReading,
}

/// Spreads one document, as one node takes part in it.
///
/// Invariant (brief point 9): the revision in force never goes down, and it goes up only to a revision that a
/// majority of the quorum set holds: by this node's own count, or by the announcement of a node where it is
/// in force.
#[derive(Clone, Debug)]
pub struct Disseminator {
    pub(super) node: NodeId,
    pub(super) document: &'static str,
    pub(super) config: Config,
    pub(super) placement: Placement,
    pub(super) in_force: Option<Arc<Document>>,
    pub(super) staged: Option<Staged>,
    /// The highest revision known to be in force anywhere, and a node that has it.
    pub(super) announced: Option<(Revision, NodeId)>,
    pub(super) pulling: Option<Pulling>,
    pub(super) bootstrap: Bootstrap,
    pub(super) duties: Duties,
    /// When it began, by its first event.
    pub(super) started: Option<Timestamp>,
    pub(super) reading: bool,
    pub(super) retry_at: Option<Timestamp>,
    pub(super) actions: VecDeque<Action>,
}

impl Disseminator {
    /// A node that holds nothing.
    pub fn new(node: NodeId, document: &'static str, config: Config) -> Self {
        Self {
            node,
            document,
            config,
            placement: Placement::default(),
            in_force: None,
            staged: None,
            announced: None,
            pulling: None,
            bootstrap: Bootstrap::default(),
            duties: Duties::default(),
            started: None,
            reading: false,
            retry_at: None,
            actions: VecDeque::new(),
        }
    }

    /// The document in force, `None` until the node knows enough to put one in force.
    pub fn in_force(&self) -> Option<&Arc<Document>> {
        self.in_force.as_ref()
    }

    /// The highest revision held, in force or not.
    pub fn held(&self) -> Option<Revision> {
        let staged = self.staged.as_ref().map(|staged| staged.document.revision());
        staged.max(self.in_force_revision())
    }

    /// The highest document held, in force or not.
    pub fn latest(&self) -> Option<&Arc<Document>> {
        self.staged.as_ref().map(|staged| &staged.document).or(self.in_force.as_ref())
    }

    /// Whether this node is one of the readers of the platform now.
    pub fn is_reading(&self) -> bool {
        self.reading
    }

    /// The next thing to do.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When to call [`Self::wake`].
    pub fn next_wake(&self) -> Option<Timestamp> {
        let settled = self.duties.reads_from(self.config.settle).filter(|_| !self.reading);
        [settled, self.retry_at].into_iter().flatten().min()
    }

    /// The live members changed; this node is among them.
    pub fn members_changed(&mut self, members: &[Peer], now: Timestamp) {
        self.placement = Placement::new(self.document, members, self.config.quorum_size);
        self.bootstrap.members_changed(&self.placement);
        if self.pulling.as_ref().is_some_and(|pulling| !self.placement.contains(&pulling.from)) {
            self.pulling = None;
        }
        self.duties.members_changed(&self.placement, &self.node, &self.config, now);
        if self.reading && !self.duties.is_reader() {
            self.reading = false;
            self.actions.push_back(Action::StopReading);
        }
        self.advance(now);
    }

    /// A heartbeat says that a revision is in force on a member.
    pub fn receive_announcement(&mut self, revision: Revision, holder: NodeId, now: Timestamp) {
        if self.announced.as_ref().is_some_and(|(highest, _)| *highest > revision) {
            return;
        }
        self.announced = Some((revision, holder));
        self.advance(now);
    }

    /// The platform gave this document, by a read that began after this node had started, or by a write.
    pub fn receive_platform_document(&mut self, document: Document, now: Timestamp) {
        let revision = document.revision();
        if self.is_news(revision) || self.is_unconfirmed(revision) {
            self.gather(Arc::new(document), now);
        }
        self.advance(now);
    }

    /// A message arrived. It may be late, doubled or out of order.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Timestamp) {
        match message {
            Message::Query => self.send_holds(from, now),
            Message::Holds { revision, settled } => self.receive_holds(from, revision, settled),
            Message::Offer { revision } => self.receive_offer(from, revision, now),
            Message::Announce { revision } => return self.receive_announcement(revision, from, now),
            Message::Pull { after, offered } => self.answer_pull(from, after, offered, now),
            Message::Update { update, in_force } => self.receive_update(from, update, in_force, now),
        }
        self.advance(now);
    }

    /// The time of [`Self::next_wake`] has come.
    pub fn wake(&mut self, now: Timestamp) {
        let reads = self.duties.reads_from(self.config.settle).is_some_and(|from| from <= now);
        if reads && !self.reading {
            self.reading = true;
            self.actions.push_back(Action::StartReading);
        }
        if self.retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.retry_at = None;
            self.take_over_staged(now);
            self.send_again(now);
        }
        self.advance(now);
    }

    pub(super) fn in_force_revision(&self) -> Option<Revision> {
        self.in_force.as_ref().map(|document| document.revision())
    }

    /// Does whatever has become possible.
    fn advance(&mut self, now: Timestamp) {
        self.started = self.started.or(Some(now));
        self.finish_bootstrap(now);
        self.confirm_staged();
        self.follow_announced();
        if self.has_unanswered() && self.retry_at.is_none() {
            self.retry_at = Some(now + self.config.retry);
        }
    }

    /// Whether something was asked that may have been lost.
    fn has_unanswered(&self) -> bool {
        self.in_force.is_none() || self.staged.is_some() || self.pulling.is_some()
    }

    fn send_again(&mut self, now: Timestamp) {
        if let Some(revision) = self.staged.as_ref().map(|staged| staged.document.revision()) {
            self.offer(revision);
        }
        self.turn_pull();
        if self.in_force.is_none() {
            self.ask_quorum_set(now);
        }
    }
}
