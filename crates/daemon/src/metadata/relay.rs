//! Following a peer that reads the platform.
//!
//! Owns which reader is asked next; the core's `relay` decides when a reader is followed or left.

use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::relay::{ReadSource, ReadSourceSelector, RelayConfig};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::{MetadataKind, MetadataRequest, MetadataResponse};
use tokio::time::Instant;

use super::client::MetadataClient;
use crate::cluster::Member;
use crate::context::Context;
use crate::ownership::order;
use crate::ownership::scope::Scope;

/// How long a reader may wait for a change before it answers. Chosen, not measured: shorter costs calls
/// between nodes; longer delays finding out that a reader is silent.
const READER_HOLD_TIME: Duration = Duration::from_millis(500);
/// How long an answer may take beyond that. Chosen, not measured: shorter leaves readers that are only
/// slow, longer delays the change to another.
const READER_ANSWER_SLACK: Duration = Duration::from_millis(350);

/// One kind of metadata on a node that may follow.
pub(super) struct Follower {
    context: Context,
    kind: MetadataKind,
    config: RelayConfig,
    choice: ReadSourceSelector,
    origin: Instant,
    /// Readers that gave nothing fresh: the next one is another.
    turn: usize,
    /// Whether the last reader gave nothing fresh.
    was_let_down: bool,
}

impl Follower {
    /// A follower that has not read yet.
    pub(super) fn new(context: Context, kind: MetadataKind) -> Self {
        let settings = &context.settings.configuration;
        let (readers, min_nodes) = (settings.readers, settings.follow_from_nodes);
        let config = RelayConfig { readers, min_nodes, ..RelayConfig::default() };
        let choice = ReadSourceSelector::new(config.clone());
        Self { context, kind, config, choice, origin: Instant::now(), turn: 0, was_let_down: false }
    }

    /// From where to read next.
    pub(super) fn source(&self) -> ReadSource {
        let (rank, nodes) = order::rank_among(&Scope::main(&self.context));
        if order::is_candidate(&Scope::main(&self.context)) {
            return ReadSource::Platform;
        }
        self.choice.source(self.now(), rank, nodes)
    }

    /// Asks a reader what changed since the revision held; `None` where it gave no answer.
    pub(super) async fn ask(&mut self, newer_than: Option<u64>) -> Option<(NodeId, MetadataResponse)> {
        let reader = self.reader()?;
        // After a reader that knew nothing fresh, the next one says at once what it knows.
        let may_wait = newer_than.is_some() && !self.was_let_down;
        let wait_ms = if may_wait { READER_HOLD_TIME.as_millis() as u64 } else { 0 };
        let request = MetadataRequest { kind: self.kind, newer_than, wait_ms };
        let answer = self
            .context
            .peers
            .metadata(reader.peer_address, request, READER_HOLD_TIME + READER_ANSWER_SLACK)
            .await;
        let now = self.now();
        match answer {
            Ok(response) => {
                let age = Duration::from_millis(response.age_ms);
                self.context.metadata.freshness.confirm(self.kind, age);
                let is_fresh = self.choice.record_answer(now, age);
                if !is_fresh && !self.was_let_down {
                    log::info!(target: "metadata", "{:?} of {} is {} ms old: asking another.", self.kind, reader.node, response.age_ms);
                }
                self.turn += usize::from(!is_fresh);
                self.was_let_down = !is_fresh;
                if self.source() == ReadSource::Platform {
                    log::info!(target: "metadata", "{:?} of all readers is old and the platform answers: reading it.", self.kind);
                }
                Some((reader.node, response))
            }
            Err(error) => {
                self.turn += 1;
                self.was_let_down = true;
                self.choice.record_failure(now);
                log::info!(target: "metadata", "{} gave no {:?}: {error}.", reader.node, self.kind);
                None
            }
        }
    }

    /// Sees whether the platform answers this node while readers give nothing fresh.
    pub(super) async fn probe(&mut self, client: &MetadataClient) {
        let is_reached = client.probe().await.is_ok();
        self.choice.record_probe(self.now(), is_reached);
    }

    /// The reader whose turn it is. Followers begin with different ones.
    fn reader(&self) -> Option<Member> {
        let mut readers = order::first_coordinators(&Scope::main(&self.context), self.config.readers);
        readers.retain(|member| member.node != self.context.node);
        let (rank, _) = order::rank_among(&Scope::main(&self.context));
        let position = (rank + self.turn).checked_rem(readers.len())?;
        Some(readers.swap_remove(position))
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }
}
