//! Follows a peer that reads the platform.
//!
//! Selects the reader to ask next; the core's `relay` decides when to follow a reader and when to leave it.

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

/// How long a reader may wait for a change before it answers.
const READER_HOLD_TIME: Duration = Duration::from_millis(500);
/// Additional time for a reader's answer to arrive before the request is given up.
const READER_ANSWER_SLACK: Duration = Duration::from_millis(350);

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
        let settings = &context.settings.configuration;
        let (readers, min_nodes) = (settings.readers, settings.follow_from_nodes);
        let config = RelayConfig { readers, min_nodes, ..RelayConfig::default() };
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
    pub(super) fn source(&self) -> ReadSource {
        let (rank, nodes) = order::preference_rank(&Scope::main(&self.context));
        if order::is_candidate(&Scope::main(&self.context)) {
            return ReadSource::Platform;
        }
        self.selector.source(self.now(), rank, nodes)
    }

    /// Asks a reader for changes since the held revision; `None` if it gave no answer.
    pub(super) async fn poll_reader(
        &mut self,
        newer_than: Option<u64>,
    ) -> Option<(NodeId, MetadataResponse)> {
        let reader = self.current_reader()?;
        // After a stale or missing answer, the next reader is asked to answer without waiting.
        let may_wait = newer_than.is_some() && !self.last_was_stale;
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
                let is_fresh = self.selector.record_answer(now, age);
                if !is_fresh && !self.last_was_stale {
                    log::info!(target: "metadata", "{:?} of {} is {} ms old: asking another.", self.kind, reader.node, response.age_ms);
                }
                self.reader_offset += usize::from(!is_fresh);
                self.last_was_stale = !is_fresh;
                if self.source() == ReadSource::Platform {
                    log::info!(target: "metadata", "{:?} of all readers is old and the platform answers: reading it.", self.kind);
                }
                Some((reader.node, response))
            }
            Err(error) => {
                self.reader_offset += 1;
                self.last_was_stale = true;
                self.selector.record_failure(now);
                log::info!(target: "metadata", "{} did not answer a request for {:?}, asking another: {error}.", reader.node, self.kind);
                None
            }
        }
    }

    /// Probes the platform while all readers are stale.
    pub(super) async fn probe(&mut self, client: &MetadataClient) {
        let is_reached = client.probe().await.is_ok();
        self.selector.record_probe(self.now(), is_reached);
    }

    /// Returns the reader to ask. Followers start with different readers, by their rank.
    fn current_reader(&self) -> Option<Member> {
        let mut readers = order::first_coordinators(&Scope::main(&self.context), self.config.readers);
        readers.retain(|member| member.node != self.context.node);
        let (rank, _) = order::preference_rank(&Scope::main(&self.context));
        let position = (rank + self.reader_offset).checked_rem(readers.len())?;
        Some(readers.swap_remove(position))
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }
}
