//! Follows a peer that reads the platform.
//!
//! Selects the reader to ask next; the core's `relay` decides when to follow a reader and when to leave it.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::relay::{ReadSource, ReadSourceSelector, RelayConfig};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::MetadataKind;
use tokio::time::Instant;

use super::announcements;
use super::client::MetadataClient;
use super::freshness;
use super::history::CopyChange;
use super::peers::{self, CopyQuery, PeerCopy};
use crate::cluster::{ClusterView, Member};
use crate::context::Context;
use crate::ownership::order;
use crate::ownership::scope::Scope;

/// How long a reader may wait for a change of the replicas or the versions before it answers.
const READER_HOLD_TIME: Duration = Duration::from_millis(500);
/// How long a reader may wait for a change of a kind whose revisions are announced, so that a follower learns of a
/// change also while a request is lost.
const ANNOUNCED_HOLD_TIME: Duration = Duration::from_millis(1_000);
/// Additional time for a reader's answer to arrive before the request is given up.
const READER_ANSWER_SLACK: Duration = Duration::from_millis(700);

/// Pause while no reader is known.
const NO_READER_PAUSE: Duration = Duration::from_millis(100);

/// Follows readers for one kind of metadata.
pub(super) struct Follower {
    context: Context,
    kind: MetadataKind,
    config: RelayConfig,
    selector: ReadSourceSelector,
    origin: Instant,
    /// Number of failed or stale answers so far, by which the choice of the reader rotates.
    reader_offset: usize,
    /// Whether the last answer was stale or missing.
    last_was_stale: bool,
}

impl Follower {
    /// Creates a follower that has not read yet.
    pub(super) fn new(context: Context, kind: MetadataKind) -> Self {
        let config = peers::relay_config(&context.settings);
        let selector = ReadSourceSelector::new(config.clone());
        Self {
            context,
            kind,
            config,
            selector,
            origin: Instant::now(),
            reader_offset: 0,
            last_was_stale: false,
        }
    }

    /// Returns the source to read from next.
    pub(super) fn source(&mut self) -> ReadSource {
        let scope = Scope::main(&self.context);
        if order::is_owner(&scope) {
            return ReadSource::Platform;
        }
        let (rank, nodes) = self.rank_among(&self.context.cluster.load());
        let rank = if order::is_candidate(&scope) { 0 } else { rank };
        let now = self.now();
        self.selector.observe_rank(now, rank, nodes);
        self.selector.source(now, rank, nodes)
    }

    /// Records whether the list has several pages.
    pub(super) const fn set_long_list(&mut self, is_long: bool) {
        self.selector.set_long_list(is_long);
    }

    /// Asks a reader for changes since the held revision; `None` if it gave no answer.
    pub(super) async fn poll_reader(
        &mut self,
        newer_than: Option<u64>,
    ) -> Option<(NodeId, Option<CopyChange>)> {
        let Some(reader) = self.current_reader() else {
            tokio::time::sleep(NO_READER_PAUSE).await;
            return None;
        };
        // After a stale or missing answer, the next reader is asked to answer without waiting.
        let may_wait = newer_than.is_some() && !self.last_was_stale;
        let wait = if may_wait { self.hold_time() } else { Duration::ZERO };
        let query = CopyQuery { kind: self.kind, newer_than, wait, timeout: wait + READER_ANSWER_SLACK };
        match peers::query_reader(&self.context, &reader, query).await {
            Ok(copy) => {
                self.record_answer(&copy);
                Some((copy.from, copy.change))
            }
            Err(error) => {
                self.reader_offset += 1;
                self.last_was_stale = true;
                self.selector.record_failure(self.now());
                log::info!(target: "metadata", "{} did not answer a request for {:?}, asking another: {error}.", reader.node, self.kind);
                None
            }
        }
    }

    fn hold_time(&self) -> Duration {
        if announcements::is_announced(self.kind) { ANNOUNCED_HOLD_TIME } else { READER_HOLD_TIME }
    }

    fn record_answer(&mut self, copy: &PeerCopy) {
        self.context.metadata.freshness.confirm(self.kind, copy.age);
        let is_fresh = self.selector.record_answer(self.now(), copy.age);
        if !is_fresh && !self.last_was_stale {
            let age = freshness::describe_age(copy.age);
            log::info!(target: "metadata", "{:?} of {} {age}: asking another.", self.kind, copy.from);
        }
        self.reader_offset += usize::from(!is_fresh);
        self.last_was_stale = !is_fresh;
        if self.source() == ReadSource::Platform {
            log::info!(target: "metadata", "{:?} of all readers is old and the platform answers: reading it.", self.kind);
        }
    }

    /// Probes the platform while all readers are stale.
    pub(super) async fn probe(&mut self, client: &MetadataClient) {
        let is_reached = client.probe().await.is_ok();
        self.selector.record_probe(self.now(), is_reached);
    }

    /// Returns the reader to ask. Followers start with different readers, by their rank.
    fn current_reader(&self) -> Option<Arc<Member>> {
        let cluster = self.context.cluster.load();
        let (rank, nodes) = self.rank_among(&cluster);
        let owner = self.context.batch_owner.load();
        let is_owner = |member: &Member| owner.as_ref().is_some_and(|owner| **owner == member.node);
        let readers = cluster.readers().take(self.config.readers_among(nodes));
        let others = readers.filter(|member| member.node != self.context.node);
        // The owner of the batch jobs is asked last, since it has the most other work.
        let (owners, mut others): (Vec<&Arc<Member>>, Vec<&Arc<Member>>) =
            others.partition(|member| is_owner(member));
        if others.is_empty() {
            others = owners;
        }
        let position = (rank + self.reader_offset).checked_rem(others.len())?;
        others.get(position).map(|reader| Arc::clone(reader))
    }

    fn rank_among(&self, cluster: &ClusterView) -> (usize, usize) {
        cluster.reader_rank(&self.context.node, self.context.settings.machine.capacity())
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }
}
