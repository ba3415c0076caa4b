//! One node's part in spreading one document.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use super::bootstrap::Bootstrap;
use super::placement::{Peer, Placement};
use super::{Config, Message};
use crate::configuration::document::{Document, Update};
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
    /// Read the platform once and hand the document to [`Disseminator::read_from_platform`].
    ReadOnce,
    /// Keep watching the platform, and hand over each document.
    StartReading,
    /// Stop watching.
    StopReading,
}

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
struct Staged {
    document: Arc<Document>,
    /// Members of the quorum set known to hold it, while this node gathers a majority; `None` where another node
    /// does, and this one only holds it.
    holders: Option<BTreeSet<NodeId>>,
    /// Since when it is held.
    since: Timestamp,
}

/// A pull under way.
#[derive(Clone, Debug)]
struct Pulling {
    from: NodeId,
    /// The revision to reach.
    target: Revision,
}

/// Spreads one document, as one node takes part in it.
///
/// Invariant (brief point 9): the revision in force never goes down, and it goes up only to a revision that a
/// majority of the quorum set holds: by this node's own count, or by the announcement of a node where it is in force.
#[derive(Clone, Debug)]
pub struct Disseminator {
    node: NodeId,
    document: &'static str,
    config: Config,
    placement: Placement,
    in_force: Option<Arc<Document>>,
    staged: Option<Staged>,
    /// The highest revision known to be in force anywhere, and a node that has it.
    announced: Option<(Revision, NodeId)>,
    pulling: Option<Pulling>,
    bootstrap: Bootstrap,
    /// Since when this node is among the readers.
    chosen_since: Option<Timestamp>,
    /// Since when this node is in the quorum set.
    quorum_since: Option<Timestamp>,
    reading: bool,
    retry_at: Option<Timestamp>,
    actions: VecDeque<Action>,
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
            chosen_since: None,
            quorum_since: None,
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
        let settled = self.chosen_since.filter(|_| !self.reading).map(|since| since + self.config.settle);
        [settled, self.retry_at].into_iter().flatten().min()
    }

    /// The live members changed; this node is among them.
    pub fn members_changed(&mut self, members: &[Peer], now: Timestamp) {
        self.placement = Placement::new(self.document, members, self.config.quorum_size);
        self.bootstrap.members_changed(&self.placement);
        if self.pulling.as_ref().is_some_and(|pulling| !self.placement.contains(&pulling.from)) {
            self.pulling = None;
        }
        let in_quorum_set = self.placement.in_quorum_set(&self.node);
        self.quorum_since = self.quorum_since.or(Some(now)).filter(|_| in_quorum_set);
        if !self.placement.is_reader(&self.node, self.config.readers_per_region) {
            self.chosen_since = None;
            if std::mem::take(&mut self.reading) {
                self.actions.push_back(Action::StopReading);
            }
        } else if self.chosen_since.is_none() {
            self.chosen_since = Some(now);
        }
        self.advance(now);
    }

    /// A heartbeat says that a revision is in force on a member.
    pub fn heard(&mut self, revision: Revision, holder: NodeId, now: Timestamp) {
        if self.announced.as_ref().is_some_and(|(highest, _)| *highest > revision) {
            return;
        }
        self.announced = Some((revision, holder));
        self.advance(now);
    }

    /// The platform gave this document, by a read that began after this node had started, or by a write.
    pub fn read_from_platform(&mut self, document: Document, now: Timestamp) {
        let revision = document.revision();
        if self.is_news(revision) || self.is_unconfirmed(revision) {
            self.gather(Arc::new(document), now);
        }
        self.advance(now);
    }

    /// A message arrived. It may be late, doubled or out of order.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Timestamp) {
        match message {
            Message::Query => self.send_holds(from),
            Message::Holds { revision, settled } => self.receive_holds(from, revision, settled),
            Message::Offer { revision } => self.receive_offer(from, revision),
            Message::Pull { after, offered } => self.answer_pull(from, after, offered),
            Message::Update { update, in_force } => self.receive_update(from, update, in_force, now),
        }
        self.advance(now);
    }

    /// The time of [`Self::next_wake`] has come.
    pub fn wake(&mut self, now: Timestamp) {
        let settled =
            self.chosen_since.is_some_and(|since| now.saturating_since(since) >= self.config.settle);
        if settled && !self.reading {
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

    fn in_force_revision(&self) -> Option<Revision> {
        self.in_force.as_ref().map(|document| document.revision())
    }

    fn is_news(&self, revision: Revision) -> bool {
        self.config.ablation.without_monotone_guard
            || self.held().is_none_or(|held| revision > held)
            || self.is_unconfirmed(revision)
    }

    /// Whether a revision is held for another node that may never finish what it began.
    fn is_unconfirmed(&self, revision: Revision) -> bool {
        let staged = self.staged.as_ref().filter(|staged| staged.holders.is_none());
        staged.is_some_and(|staged| staged.document.revision() == revision)
    }

    /// Begins to gather a majority of the quorum set for a revision.
    fn gather(&mut self, document: Arc<Document>, now: Timestamp) {
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
    fn take_over_staged(&mut self, now: Timestamp) {
        let waits = |staged: &&Staged| {
            staged.holders.is_none() && now.saturating_since(staged.since) >= self.config.takeover
        };
        if let Some(staged) = self.staged.as_ref().filter(waits) {
            let document = Arc::clone(&staged.document);
            self.gather(document, now);
        }
    }

    fn offer(&mut self, revision: Revision) {
        let Some(holders) = self.staged.as_ref().and_then(|staged| staged.holders.as_ref()) else { return };
        let missing = self.placement.quorum_set().filter(|member| !holders.contains(*member));
        let others = missing.filter(|member| **member != self.node);
        let offers = others.map(|to| Action::Send { to: to.clone(), message: Message::Offer { revision } });
        let offers: Vec<Action> = offers.collect();
        self.actions.extend(offers);
    }

    /// Does whatever has become possible.
    fn advance(&mut self, now: Timestamp) {
        self.finish_bootstrap(now);
        self.confirm_staged();
        self.follow_announced();
        if self.has_unanswered() && self.retry_at.is_none() {
            self.retry_at = Some(now + self.config.retry);
        }
    }

    /// Puts the staged revision in force where a majority holds it or where it is announced by others.
    fn confirm_staged(&mut self) {
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

    fn put_in_force(&mut self, document: Arc<Document>, confirmation: Confirmation) {
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
    }

    /// Pulls what is announced and not held.
    fn follow_announced(&mut self) {
        if self.in_force.is_none() && !self.config.ablation.without_quorum {
            return;
        }
        let Some((revision, holder)) = self.announced.clone() else { return };
        if self.in_force_revision().is_none_or(|in_force| in_force < revision) {
            self.pull(holder, revision);
        }
    }

    fn pull(&mut self, from: NodeId, target: Revision) {
        if from == self.node || self.pulling.as_ref().is_some_and(|pulling| pulling.target >= target) {
            return;
        }
        self.pulling = Some(Pulling { from, target });
        self.send_pull();
    }

    fn send_pull(&mut self) {
        let Some(pulling) = &self.pulling else { return };
        let offered = self.in_force.is_none();
        let after = if offered { self.held() } else { self.in_force_revision() };
        let to = pulling.from.clone();
        self.actions.push_back(Action::Send { to, message: Message::Pull { after, offered } });
    }

    /// A starting node goes on once a read quorum has answered: it pulls the highest revision heard, and makes sure
    /// that a majority holds it before it puts it in force.
    fn finish_bootstrap(&mut self, now: Timestamp) {
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

    fn send_holds(&mut self, to: NodeId) {
        let message = Message::Holds { revision: self.held(), settled: self.in_force.is_some() };
        self.actions.push_back(Action::Send { to, message });
    }

    fn receive_holds(&mut self, from: NodeId, revision: Option<Revision>, settled: bool) {
        let Some(revision) = revision else { return };
        if let Some(staged) = &mut self.staged
            && staged.document.revision() <= revision
            && let Some(holders) = &mut staged.holders
        {
            holders.insert(from.clone());
        }
        if settled && self.in_force.is_none() {
            self.bootstrap.heard(from, revision);
        }
    }

    fn receive_offer(&mut self, from: NodeId, revision: Revision) {
        if self.held().is_some_and(|held| held >= revision) {
            return self.send_holds(from);
        }
        let after = self.held();
        self.actions.push_back(Action::Send { to: from, message: Message::Pull { after, offered: true } });
    }

    fn answer_pull(&mut self, to: NodeId, after: Option<Revision>, offered: bool) {
        let staged = self.staged.as_ref().filter(|_| offered).map(|staged| &staged.document);
        let Some(document) = staged.or(self.in_force.as_ref()) else { return };
        let update = match after {
            Some(after) => document.update_after(after),
            None => Some(Update::Snapshot(Document::clone(document))),
        };
        let in_force = self.in_force_revision() == Some(document.revision());
        let answer = update.map(|update| Message::Update { update, in_force });
        let message =
            answer.unwrap_or(Message::Holds { revision: self.held(), settled: self.in_force.is_some() });
        self.actions.push_back(Action::Send { to, message });
    }

    fn receive_update(&mut self, from: NodeId, update: Update, in_force: bool, now: Timestamp) {
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
            self.send_holds(from);
        }
    }

    /// The document after an update of whichever document it is based on.
    fn apply(&self, update: &Update) -> Option<Document> {
        let empty = Document::default();
        let staged = self.staged.as_ref().map(|staged| staged.document.as_ref());
        let in_force = self.in_force.as_deref();
        let bases = [staged, in_force, Some(&empty)].into_iter().flatten();
        bases.filter_map(|base| base.updated(update.clone()).ok()).next()
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

    /// Pulls again, from whoever was heard last to have the revision.
    fn turn_pull(&mut self) {
        let Some(pulling) = &mut self.pulling else { return };
        let others = self.announced.as_ref().filter(|(_, holder)| *holder != self.node);
        if let Some((_, holder)) = others.filter(|(revision, _)| *revision >= pulling.target) {
            pulling.from = holder.clone();
        }
        self.send_pull();
    }

    fn ask_quorum_set(&mut self, now: Timestamp) {
        let unheard = self.bootstrap.unheard(&self.placement, &self.node);
        let queries = unheard.into_iter().map(|to| Action::Send { to: to.clone(), message: Message::Query });
        let queries: Vec<Action> = queries.collect();
        self.actions.extend(queries);
        let settled = |since: &Timestamp| now.saturating_since(*since) >= self.config.settle;
        if self.quorum_since.as_ref().is_some_and(settled) {
            self.actions.push_back(Action::ReadOnce);
        }
    }
}
