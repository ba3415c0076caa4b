//! Dissemination state of one document on one node, and its interface to the driver.
//!
//! The sibling modules implement the individual tasks of [`Disseminator`].

use std::collections::VecDeque;
use std::sync::Arc;

use super::bootstrap::Bootstrap;
use super::duties::Duties;
use super::gather::{Confirmation, Staged};
use super::placement::{Peer, Placement};
use super::pull::PendingPull;
use super::{Config, Message};
use crate::configuration::document::Document;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. Delivery is not required to be reliable.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Publish the document, which is now in force on this node, and announce its revision through membership.
    PutInForce {
        /// The document.
        document: Arc<Document>,
        /// Evidence that a majority of the quorum set holds it.
        confirmation: Confirmation,
    },
    /// Read the platform once and pass the document to [`Disseminator::receive_platform_document`].
    ReadOnce,
    /// Watch the platform and pass each document to [`Disseminator::receive_platform_document`].
    StartReading,
    /// Stop watching the platform.
    StopReading,
}

/// State machine that disseminates one document on one node.
///
/// Invariant: the revision in force never decreases. It increases only to a revision that a
/// majority of the quorum set holds, as counted by this node or as implied by the announcement of a node on
/// which the revision is in force.
#[derive(Clone, Debug)]
pub struct Disseminator {
    pub(super) node: NodeId,
    pub(super) document: &'static str,
    pub(super) config: Config,
    pub(super) placement: Placement,
    pub(super) in_force: Option<Arc<Document>>,
    pub(super) staged: Option<Staged>,
    /// The highest revision known to be in force on any node, and a node that holds it.
    pub(super) announced: Option<(Revision, NodeId)>,
    pub(super) pending_pull: Option<PendingPull>,
    pub(super) bootstrap: Bootstrap,
    pub(super) duties: Duties,
    /// Time of the first event.
    pub(super) started_at: Option<Timestamp>,
    pub(super) reading: bool,
    pub(super) retry_at: Option<Timestamp>,
    pub(super) actions: VecDeque<Action>,
}

impl Disseminator {
    /// Creates the state of a node that holds no revision.
    pub fn new(node: NodeId, document: &'static str, config: Config) -> Self {
        Self {
            node,
            document,
            config,
            placement: Placement::default(),
            in_force: None,
            staged: None,
            announced: None,
            pending_pull: None,
            bootstrap: Bootstrap::default(),
            duties: Duties::default(),
            started_at: None,
            reading: false,
            retry_at: None,
            actions: VecDeque::new(),
        }
    }

    /// Returns the document in force, or `None` until bootstrap has finished.
    pub fn in_force(&self) -> Option<&Arc<Document>> {
        self.in_force.as_ref()
    }

    /// Returns the highest revision held, in force or staged.
    pub fn held(&self) -> Option<Revision> {
        let staged = self.staged.as_ref().map(|staged| staged.document.revision());
        staged.max(self.in_force_revision())
    }

    /// Returns the document with the highest revision held, in force or staged.
    pub fn latest(&self) -> Option<&Arc<Document>> {
        self.staged.as_ref().map(|staged| &staged.document).or(self.in_force.as_ref())
    }

    /// Returns whether this node is watching the platform.
    pub fn is_reading(&self) -> bool {
        self.reading
    }

    /// Returns the next action.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns when to call [`Self::wake`].
    pub fn next_wake(&self) -> Option<Timestamp> {
        let reading_starts_at =
            self.duties.reading_starts_at(self.config.settle_time).filter(|_| !self.reading);
        [reading_starts_at, self.retry_at].into_iter().flatten().min()
    }

    /// Handles a change of the live members, which include this node.
    pub fn members_changed(&mut self, members: &[Peer], now: Timestamp) {
        self.placement = Placement::new(self.document, members, self.config.quorum_size);
        self.bootstrap.members_changed(&self.placement);
        if self.pending_pull.as_ref().is_some_and(|pending_pull| !self.placement.contains(&pending_pull.from))
        {
            self.pending_pull = None;
        }
        self.duties.members_changed(&self.placement, &self.node, &self.config, now);
        if self.reading && !self.duties.is_reader() {
            self.reading = false;
            self.actions.push_back(Action::StopReading);
        }
        self.advance(now);
    }

    /// Handles an announcement that a revision is in force on a member.
    pub fn receive_announcement(&mut self, revision: Revision, holder: NodeId, now: Timestamp) {
        if self.announced.as_ref().is_some_and(|(highest, _)| *highest > revision) {
            return;
        }
        self.announced = Some((revision, holder));
        self.advance(now);
    }

    /// Handles a document returned by the platform, from a read started after this node or from a write.
    pub fn receive_platform_document(&mut self, document: Document, now: Timestamp) {
        let revision = document.revision();
        if self.is_newer_or_unconfirmed(revision) || self.is_unconfirmed(revision) {
            self.collect_majority(Arc::new(document), now);
        }
        self.advance(now);
    }

    /// Handles a message. Messages may be delayed, duplicated or reordered.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Timestamp) {
        match message {
            Message::Query => self.send_holds(from, now),
            Message::Holds { revision, authoritative } => self.receive_holds(from, revision, authoritative),
            Message::Offer { revision } => self.receive_offer(from, revision, now),
            Message::Announce { revision } => return self.receive_announcement(revision, from, now),
            Message::Pull { after, offered } => self.answer_pull(from, after, offered, now),
            Message::Update { update, in_force } => self.receive_update(from, update, in_force, now),
        }
        self.advance(now);
    }

    /// Runs all due timers; see [`Self::next_wake`].
    pub fn wake(&mut self, now: Timestamp) {
        let should_read =
            self.duties.reading_starts_at(self.config.settle_time).is_some_and(|from| from <= now);
        if should_read && !self.reading {
            self.reading = true;
            self.actions.push_back(Action::StartReading);
        }
        if self.retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.retry_at = None;
            self.take_over_staged(now);
            self.resend_requests(now);
        }
        self.advance(now);
    }

    pub(super) fn in_force_revision(&self) -> Option<Revision> {
        self.in_force.as_ref().map(|document| document.revision())
    }

    /// Makes all state transitions that have become possible and schedules retries.
    fn advance(&mut self, now: Timestamp) {
        self.started_at = self.started_at.or(Some(now));
        self.finish_bootstrap(now);
        self.confirm_staged();
        self.pull_announced();
        if self.has_pending_requests() && self.retry_at.is_none() {
            self.retry_at = Some(now + self.config.retry_interval);
        }
    }

    /// Returns whether there are requests without an answer, which may have been lost.
    fn has_pending_requests(&self) -> bool {
        self.in_force.is_none() || self.staged.is_some() || self.pending_pull.is_some()
    }

    fn resend_requests(&mut self, now: Timestamp) {
        if let Some(revision) = self.staged.as_ref().map(|staged| staged.document.revision()) {
            self.offer(revision);
        }
        self.retry_pull();
        if self.in_force.is_none() {
            self.query_quorum_set(now);
        }
    }
}
