//! Watches one kind of the platform's objects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use lichenpulley_core::ingress::lapse::LapseKeeper;
use lichenpulley_core::relay::ReadSource;
use lichenpulley_core::time::Timestamp;
use lichenpulley_platform::objects;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind, MetadataRequest, MetadataUpdate};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::ANNOUNCED_NAME;
use super::client::{MetadataClient, Watched};
use super::freshness::Reading;
use super::reachability::Recoveries;
use super::relay::Follower;
use crate::batch::candidate;
use crate::batch::scope::Scope;
use crate::configuration::platform::PlatformError;
use crate::context::Context;
use crate::membership::{self, HeardRevisions};

/// The least pause between two watches, so that a burst of changes costs few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(80);
/// The least pause between two watches of replicas. A replica that begins to drain is known well within the time that
/// it goes on serving.
const REPLICA_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// How often a node that may not own the batch jobs looks whether it may now.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a node that heard of a newer configuration waits for its own watch to bring it.
const HEARD_PATIENCE: Duration = Duration::from_millis(200);
/// The pause after the first failure; doubled after each further one.
const RETRY_START: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const RETRY_LIMIT: Duration = Duration::from_millis(500);
/// The least pause between two questions to a peer that has nothing new.
const FOLLOW_PAUSE: Duration = Duration::from_millis(250);
/// How long a peer may take to hand over its copy.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// A node that heard of no others for so long knows those it will know soon: a few rounds of gossip.
const SETTLE_LOOK: Duration = Duration::from_millis(300);
/// Where hundreds of nodes start together, each hears of the first others after some 0.7 seconds.
const SETTLE_LEAST: Duration = Duration::from_millis(1_000);
/// A node reads after so long though it still hears of others.
const SETTLE_LIMIT: Duration = Duration::from_millis(2_000);

/// The platform's name of a kind.
const fn kind_name(kind: MetadataKind) -> &'static str {
    match kind {
        MetadataKind::Configuration => objects::CONFIGURATION,
        MetadataKind::Replicas => objects::REPLICAS,
        MetadataKind::Versions => objects::VERSIONS,
        MetadataKind::Evacuations => objects::EVACUATIONS,
    }
}

/// Watches until the node has stopped.
pub(super) async fn run(
    context: Context,
    client: MetadataClient,
    kind: MetadataKind,
    recoveries: Recoveries,
) {
    let stopped = context.stopped.clone();
    let follower = Follower::new(Arc::clone(&context), kind);
    let lapses = LapseKeeper::new(context.settings.configuration.lapse_grace);
    let mut watcher = Watcher {
        lapses,
        origin: Instant::now(),
        context,
        client,
        kind,
        recoveries,
        follower,
        objects: BTreeMap::new(),
        revision: None,
        failures: 0,
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = watcher.watch() => {}
    }
}

struct Watcher {
    context: Context,
    client: MetadataClient,
    kind: MetadataKind,
    recoveries: Recoveries,
    follower: Follower,
    objects: BTreeMap<String, String>,
    /// What `objects` is of; none where it must be listed anew.
    revision: Option<u64>,
    failures: u32,
    /// Entries of replicas that vanished while the store was away.
    lapses: LapseKeeper,
    origin: Instant,
}

impl Watcher {
    async fn watch(&mut self) {
        self.begin().await;
        self.settle().await;
        loop {
            let began = Instant::now();
            if self.kind == MetadataKind::Versions && !candidate::is_candidate(&Scope::main(&self.context)) {
                // Only the owner of the batch jobs has versions loaded.
                self.context.metadata.freshness.set_reading(self.kind, Reading::Followed);
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            match self.follower.source() {
                ReadSource::Peer => {
                    self.context.metadata.freshness.set_reading(self.kind, Reading::Followed);
                    self.follow().await;
                    continue;
                }
                ReadSource::Probe => {
                    self.follower.probe(&self.client).await;
                    continue;
                }
                ReadSource::Platform => {}
            }
            match self.round().await {
                Ok(()) => self.succeeded(),
                Err(error) => self.failed(&error).await,
            }
            let pause = match self.kind {
                MetadataKind::Replicas => REPLICA_WATCH_PAUSE,
                MetadataKind::Configuration | MetadataKind::Versions | MetadataKind::Evacuations => {
                    WATCH_PAUSE
                }
            };
            if let Some(rest) = pause.checked_sub(began.elapsed()) {
                tokio::time::sleep(rest).await;
            }
        }
    }

    /// Serves by what the platform gives cheaply until it is known from where to read. Only a beginning: the revision stays
    /// unknown, so that all is read anew.
    async fn begin(&mut self) {
        if self.kind == MetadataKind::Versions {
            return;
        }
        match self.client.list_stale(kind_name(self.kind)).await {
            Ok(list) => {
                let listed =
                    list.items.into_iter().map(|object| (object.metadata.name, object.spec.to_string()));
                self.objects = listed.collect();
                self.publish(list.at);
            }
            Err(error) => log::info!(target: "metadata", "No first {:?} yet: {error}.", self.kind),
        }
    }

    /// Waits until the node has heard who else there is: which nodes read the platform depends on all of them, and each
    /// one that starts would take itself for the first. Takes a peer's copy meanwhile, where there is one.
    async fn settle(&mut self) {
        let began = Instant::now();
        let mut nodes = 0;
        loop {
            tokio::time::sleep(SETTLE_LOOK).await;
            let heard = self.context.cluster.load().members.len();
            // In a large deployment more nodes change nothing; a small one may be the beginning of a large one.
            let is_known = heard == nodes || heard >= self.context.settings.configuration.follow_from_nodes;
            if (is_known && began.elapsed() >= SETTLE_LEAST) || began.elapsed() >= SETTLE_LIMIT {
                return;
            }
            nodes = heard;
            if self.revision.is_none() {
                self.ask_peer().await;
            }
        }
    }

    /// Takes what changed from a peer that reads the platform.
    async fn follow(&mut self) {
        let began = Instant::now();
        let response = tokio::select! {
            response = self.follower.ask(self.revision) => response,
            () = heard_newer(&self.context, self.kind) => {
                log::info!(target: "metadata", "A peer has a newer {:?} than the reader: listing.", self.kind);
                if let Err(error) = self.list().await {
                    log::info!(target: "metadata", "{:?} can't be listed: {error}.", self.kind);
                    tokio::time::sleep(RETRY_LIMIT).await;
                }
                return;
            }
        };
        let Some(response) = response else { return };
        let Some(update) = response.update else {
            // A peer that answers at once, as one does that is itself without a copy, is not asked without end.
            let rest = FOLLOW_PAUSE.saturating_sub(began.elapsed());
            return tokio::time::sleep(rest).await;
        };
        self.take(update);
    }

    fn take(&mut self, update: MetadataUpdate) {
        if update.is_whole {
            self.objects.clear();
        }
        for name in &update.removed {
            self.objects.remove(name);
        }
        self.objects.extend(update.objects);
        self.revision = Some(update.revision);
        self.publish(update.revision);
    }

    async fn round(&mut self) -> Result<(), PlatformError> {
        let Some(revision) = self.revision else { return self.list().await };
        let lapses_end =
            self.lapses.deadline().map(|at| self.origin + at.saturating_since(Timestamp::ORIGIN));
        let watched = tokio::select! {
            watched = self.client.watch(kind_name(self.kind), revision) => watched?,
            // This watch may have been sent while nobody listened: it is sent again.
            Ok(()) = self.recoveries.changed() => {
                self.lapses.failed();
                return Ok(());
            }
            () = sleep_until(lapses_end) => {
                self.drop_lapsed();
                return Ok(());
            }
            () = heard_newer(&self.context, self.kind) => {
                log::info!(target: "metadata", "A peer has a newer {:?}: listing again.", self.kind);
                return self.list().await;
            }
        };
        match watched {
            Watched::HistoryGone => {
                log::info!(target: "metadata", "The history of {:?} is gone: listing again.", self.kind);
                self.revision = None;
                self.list().await
            }
            Watched::Events(events) => {
                self.store_answered();
                let has_changes = !events.events.is_empty();
                for event in events.events {
                    let name = event.object.metadata.name;
                    if event.is_removed {
                        self.remove(&name);
                    } else {
                        self.lapses.is_there(&name);
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
        self.store_answered();
        let listed = list.items.into_iter().map(|object| (object.metadata.name, object.spec.to_string()));
        let listed: BTreeMap<String, String> = listed.collect();
        let missing: Vec<String> =
            self.objects.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
        listed.keys().for_each(|name| self.lapses.is_there(name));
        missing.iter().for_each(|name| self.remove(name));
        self.objects.extend(listed);
        self.revision = Some(list.at);
        self.publish(list.at);
        Ok(())
    }

    /// The store answered: from now on entries that lapsed meanwhile may come back.
    fn store_answered(&mut self) {
        if self.kind == MetadataKind::Replicas {
            let was_away = self.failures > 0 || self.context.metadata.freshness.is_away();
            self.lapses.answered(self.now(), was_away);
        }
    }

    /// An object is gone, unless it lapsed while the store was away.
    fn remove(&mut self, name: &str) {
        if self.lapses.keeps(name) {
            return;
        }
        if self.objects.contains_key(name) && self.lapses.vanished(name) {
            log::info!(target: "metadata", "The entry of {name} vanished while the store was away: it is kept for now.");
            return;
        }
        self.objects.remove(name);
    }

    /// Entries that did not come back are gone. All are listed anew, so that this is told under a later revision: followers
    /// ask for what came after the one they have.
    fn drop_lapsed(&mut self) {
        let gone = self.lapses.expire(self.now());
        if !gone.is_empty() {
            log::info!(target: "metadata", "{} entries did not come back after the store did: they are gone.", gone.len());
            self.revision = None;
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn publish(&self, revision: u64) {
        self.put(revision);
        self.announce();
    }

    /// Tells the peers which configuration this node has, so that one whose watch is stuck reads again.
    fn announce(&self) {
        let version = self.context.metadata.routes.load().as_ref().map(|table| table.version);
        if let Some(version) = version.filter(|_| self.kind == MetadataKind::Configuration) {
            membership::announce_revision(&self.context, ANNOUNCED_NAME, Revision(version));
        }
    }

    fn put(&self, revision: u64) {
        let objects = self.objects.iter().map(|(name, spec)| (name.clone(), spec.clone())).collect();
        self.context.metadata.put(self.kind, MetadataCopy { revision, objects });
    }

    fn succeeded(&mut self) {
        self.context.metadata.freshness.set_reading(self.kind, Reading::Watched);
        self.context.metadata.freshness.confirm(self.kind, Duration::ZERO);
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
        self.lapses.failed();
        // The probe goes on: it tells when the platform is reached again. The copy's age grows meanwhile.
        self.context.metadata.freshness.set_reading(self.kind, Reading::Failing);
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
        let newer_than = self.context.metadata.revision(self.kind);
        let request = MetadataRequest { kind: self.kind, newer_than, wait_ms: 0 };
        let Ok(response) = self.context.peers.metadata(peer, request, PEER_TIMEOUT).await else { return };
        let Some(update) = response.update else { return };
        log::info!(target: "metadata", "{:?} of revision {} came from a peer.", self.kind, update.revision);
        self.take(update);
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Waits until a peer has announced a newer configuration than this node has, and its own watch had time to bring it.
async fn heard_newer(context: &Context, kind: MetadataKind) {
    if kind != MetadataKind::Configuration {
        return std::future::pending().await;
    }
    let mut heard = membership::watch_revisions(context);
    let is_newer = |heard: &HeardRevisions| {
        let held = context.metadata.routes.load().as_ref().map_or(0, |table| table.version);
        heard.get(ANNOUNCED_NAME).is_some_and(|announced| announced.revision.0 > held)
    };
    loop {
        if heard.wait_for(is_newer).await.is_err() {
            return std::future::pending().await;
        }
        tokio::time::sleep(HEARD_PATIENCE).await;
        if is_newer(&heard.borrow()) {
            return;
        }
    }
}
