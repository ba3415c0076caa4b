//! Watches one kind of the platform's objects.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_platform::objects;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind, MetadataRequest};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::client::{MetadataClient, Watched};
use crate::configuration::platform::PlatformError;
use crate::context::Context;

/// The least pause between two watches, so that a burst of changes costs few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(80);
/// The pause after the first failure; doubled after each further one.
const RETRY_START: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const RETRY_LIMIT: Duration = Duration::from_millis(500);
/// How long a peer may take to hand over its copy.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The platform's name of a kind.
const fn kind_name(kind: MetadataKind) -> &'static str {
    match kind {
        MetadataKind::Configuration => objects::CONFIGURATION,
        MetadataKind::Replicas => objects::REPLICAS,
        MetadataKind::Versions => objects::VERSIONS,
    }
}

/// Watches until the node has stopped.
pub(super) async fn run(context: Context, client: MetadataClient, kind: MetadataKind) {
    let stopped = context.stopped.clone();
    let mut watcher =
        Watcher { context, client, kind, objects: BTreeMap::new(), revision: None, failures: 0 };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = watcher.watch() => {}
    }
}

struct Watcher {
    context: Context,
    client: MetadataClient,
    kind: MetadataKind,
    objects: BTreeMap<String, String>,
    /// What `objects` is of; none where it must be listed anew.
    revision: Option<u64>,
    failures: u32,
}

impl Watcher {
    async fn watch(&mut self) {
        loop {
            let began = Instant::now();
            match self.round().await {
                Ok(()) => self.succeeded(),
                Err(error) => self.failed(&error).await,
            }
            if let Some(rest) = WATCH_PAUSE.checked_sub(began.elapsed()) {
                tokio::time::sleep(rest).await;
            }
        }
    }

    async fn round(&mut self) -> Result<(), PlatformError> {
        let Some(revision) = self.revision else { return self.list().await };
        match self.client.watch(kind_name(self.kind), revision).await? {
            Watched::HistoryGone => {
                log::info!(target: "metadata", "The history of {:?} is gone: listing again.", self.kind);
                self.revision = None;
                self.list().await
            }
            Watched::Events(events) => {
                let has_changes = !events.events.is_empty();
                for event in events.events {
                    let name = event.object.metadata.name;
                    if event.is_removed {
                        self.objects.remove(&name);
                    } else {
                        self.objects.insert(name, event.object.spec.to_string());
                    }
                }
                self.revision = Some(events.at);
                if has_changes {
                    self.publish(events.at);
                }
                Ok(())
            }
        }
    }

    async fn list(&mut self) -> Result<(), PlatformError> {
        let list = self.client.list(kind_name(self.kind)).await?;
        let objects = list.items.into_iter().map(|object| (object.metadata.name, object.spec.to_string()));
        self.objects = objects.collect();
        self.revision = Some(list.at);
        self.publish(list.at);
        Ok(())
    }

    fn publish(&self, revision: u64) {
        let objects = self.objects.iter().map(|(name, spec)| (name.clone(), spec.clone())).collect();
        self.context.metadata.put(self.kind, MetadataCopy { revision, objects });
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            log::info!(target: "metadata", "{:?} is watched again after {} failures.", self.kind, self.failures);
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: &PlatformError) {
        if self.failures == 0 {
            log::warn!(target: "metadata", "{:?} can't be watched: {error}.", self.kind);
        }
        self.failures += 1;
        self.ask_peer().await;
        let pause = RETRY_START * 2_u32.saturating_pow(self.failures.min(4) - 1);
        tokio::time::sleep(pause.min(RETRY_LIMIT)).await;
    }

    /// Takes the copy of a random peer, where it is newer.
    async fn ask_peer(&mut self) {
        let peer = {
            let cluster = self.context.cluster.load();
            let others = cluster
                .members
                .iter()
                .filter(|member| member.node != self.context.node && member.roles.gateway);
            let others: Vec<_> = others.map(|member| member.peer_address).collect();
            others.choose(&mut rand::rng()).copied()
        };
        let Some(peer) = peer else { return };
        let newer_than = self.context.metadata.copy(self.kind).map(|copy| copy.revision);
        let request = MetadataRequest { kind: self.kind, newer_than };
        let Ok(response) = self.context.peers.metadata(peer, request, PEER_TIMEOUT).await else { return };
        let Some(copy) = response.copy else { return };
        log::info!(target: "metadata", "{:?} of revision {} came from a peer.", self.kind, copy.revision);
        self.objects = copy.objects.iter().cloned().collect();
        self.revision = Some(copy.revision);
        self.context.metadata.put(self.kind, copy);
    }
}
