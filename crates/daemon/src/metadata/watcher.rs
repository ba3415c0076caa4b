//! Watches one kind of the platform's objects.
//!
//! Owns the objects of the kind as last read and where to read next; puts each copy into the handle. Relies
//! on the core's `relay` for the source and on `lapse` for entries that vanished while the store was away.

mod away;
mod lapsed;
mod starting;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::lapse::LapsedEntries;
use lichenpulley_core::relay::ReadSource;
use lichenpulley_core::time::Timestamp;
use lichenpulley_platform::objects::{self, Events, Object};
use lichenpulley_platform::quarantine::QUARANTINE;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind, MetadataUpdate};
use tokio::sync::watch;
use tokio::time::Instant;

use super::client::{MetadataClient, Watched};
use super::freshness::Reading;
use super::kind_index::kind_index;
use super::peers::PeerCopy;
use super::reachability::{Reachability, StoreReach};
use super::relay::Follower;
use super::{announcements, peers, zones};
use crate::cluster::Member;
use crate::configuration::platform::PlatformError;
use crate::context::Context;
use crate::ownership::order;
use crate::ownership::scope::Scope;

/// The least pause between two watches, so that a burst of changes costs few calls. Chosen, not measured:
/// longer delays a change by as much, shorter costs priced calls.
const WATCH_PAUSE: Duration = Duration::from_millis(80);
/// The least pause between two watches of replicas. A replica that begins to drain is known well within the
/// time that it goes on serving. Chosen, not measured: longer sends requests to replicas that drain,
/// shorter costs priced calls.
const REPLICA_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// How often a node that may not own the batch jobs looks whether it may now. Chosen, not measured: longer
/// delays the versions at a node that may own jobs since a moment ago.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Through whom what is read from the platform itself is known.
const PLATFORM: &str = "platform";
/// The longest pause between two tries. Chosen, not measured: longer delays what the store has to say after
/// an outage, shorter costs refused calls, which are priced too.
const RETRY_LIMIT: Duration = Duration::from_millis(500);
/// The least pause between two questions to a peer that has nothing new. Chosen, not measured: it keeps a
/// follower from asking without end a reader that answers at once.
const FOLLOW_PAUSE: Duration = Duration::from_millis(250);

/// The platform's name of a kind.
const fn kind_name(kind: MetadataKind) -> &'static str {
    match kind {
        MetadataKind::Configuration => objects::CONFIGURATION,
        MetadataKind::Replicas => objects::REPLICAS,
        MetadataKind::Versions => objects::VERSIONS,
        MetadataKind::Evacuations => objects::EVACUATIONS,
        MetadataKind::Quarantine => QUARANTINE,
    }
}

/// Watches until the node has stopped.
pub(super) async fn run(context: Context, client: MetadataClient, kind: MetadataKind, reach: Reachability) {
    let stopped = context.stopped.clone();
    let follower = Follower::new(Arc::clone(&context), kind);
    let lapses = LapsedEntries::new(context.settings.configuration.lapse_grace);
    let rereads = context.metadata.rereads[kind_index(kind)].subscribe();
    let mut watcher = Watcher {
        lapses,
        origin: Instant::now(),
        context,
        client,
        kind,
        reach,
        rereads,
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
    reach: Reachability,
    /// Changes when the kind is to be listed anew.
    rereads: watch::Receiver<u64>,
    follower: Follower,
    objects: BTreeMap<String, String>,
    /// What `objects` is of; none where it must be listed anew.
    revision: Option<u64>,
    failures: u32,
    /// Entries of replicas that vanished while the store was away.
    lapses: LapsedEntries,
    origin: Instant,
}

impl Watcher {
    async fn watch(&mut self) {
        self.begin().await;
        self.settle().await;
        loop {
            let began = Instant::now();
            if self.kind == MetadataKind::Versions && !order::is_candidate(&Scope::main(&self.context)) {
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
            if *self.reach.borrow_and_update() == StoreReach::Away {
                self.wait_for_store().await;
                continue;
            }
            match self.round().await {
                Ok(RoundEnd::Confirmed) => self.succeeded(),
                Ok(RoundEnd::Unconfirmed) => {}
                Err(error) => self.failed(&error).await,
            }
            let pause = match self.kind {
                MetadataKind::Replicas => REPLICA_WATCH_PAUSE,
                MetadataKind::Configuration
                | MetadataKind::Versions
                | MetadataKind::Evacuations
                | MetadataKind::Quarantine => WATCH_PAUSE,
            };
            if let Some(rest) = pause.checked_sub(began.elapsed()) {
                tokio::time::sleep(rest).await;
            }
        }
    }

    /// Takes what changed from a peer that reads the platform.
    async fn follow(&mut self) {
        let began = Instant::now();
        let response = tokio::select! {
            response = self.follower.ask(self.revision) => response,
            Ok(()) = self.rereads.changed() => {
                if let Err(error) = self.list().await {
                    log::info!(target: "metadata", "{:?} can't be listed anew: {error}.", self.kind);
                }
                return;
            }
            holder = announcements::heard_newer(&self.context, self.kind) => {
                if let Err(error) = self.take_announced(&holder).await {
                    log::info!(target: "metadata", "{:?} can't be listed: {error}.", self.kind);
                    tokio::time::sleep(RETRY_LIMIT).await;
                }
                return;
            }
        };
        let Some((reader, response)) = response else { return };
        let Some(update) = response.update else {
            // A peer that answers at once, as one does that is itself without a copy, is not asked without end.
            let rest = FOLLOW_PAUSE.saturating_sub(began.elapsed());
            return tokio::time::sleep(rest).await;
        };
        self.take(update, &reader);
    }

    fn take(&mut self, update: MetadataUpdate, from: &NodeId) {
        if update.is_whole {
            self.objects.clear();
        }
        for name in &update.removed {
            self.objects.remove(name);
        }
        self.objects.extend(update.objects);
        self.revision = Some(update.revision);
        self.publish(update.revision, from.as_str());
    }

    /// One watch, or one list where the revision is not known.
    async fn round(&mut self) -> Result<RoundEnd, PlatformError> {
        let Some(revision) = self.revision else { return self.list_all().await };
        match self.wait_for_change(revision).await? {
            WatchEnd::Answered(watched) => self.take_watched(watched).await,
            WatchEnd::ReachChanged => Ok(RoundEnd::Unconfirmed),
            WatchEnd::RereadWanted => self.list_all().await,
            WatchEnd::LapsesOver => {
                self.drop_lapsed();
                Ok(RoundEnd::Unconfirmed)
            }
            WatchEnd::Announced(holder) => self.take_announced(&holder).await.map(|()| RoundEnd::Unconfirmed),
            WatchEnd::PeerAhead(copy) => {
                log::info!(target: "metadata", "A peer has had newer {:?} for long: its copy is taken, and watched anew.", self.kind);
                self.take_peer_copy(copy);
                Ok(RoundEnd::Unconfirmed)
            }
        }
    }

    /// Watches until the store answers or something else asks for another step.
    async fn wait_for_change(&mut self, revision: u64) -> Result<WatchEnd, PlatformError> {
        let lapses_end =
            self.lapses.deadline().map(|at| self.origin + at.saturating_since(Timestamp::ORIGIN));
        let end = tokio::select! {
            watched = watch_once(&self.client, self.kind, revision, self.failures) => WatchEnd::Answered(watched?),
            Ok(()) = self.reach.changed() => WatchEnd::ReachChanged,
            Ok(()) = self.rereads.changed() => WatchEnd::RereadWanted,
            () = sleep_until(lapses_end) => WatchEnd::LapsesOver,
            holder = announcements::heard_newer(&self.context, self.kind) => WatchEnd::Announced(holder),
            copy = peers::behind(&self.context, self.kind) => WatchEnd::PeerAhead(copy),
        };
        Ok(end)
    }

    async fn take_watched(&mut self, watched: Watched) -> Result<RoundEnd, PlatformError> {
        match watched {
            Watched::HistoryGone => {
                log::info!(target: "metadata", "The history of {:?} is gone: listing again.", self.kind);
                self.list_all().await
            }
            Watched::Events(events) => {
                self.take_events(events);
                Ok(RoundEnd::Confirmed)
            }
        }
    }

    fn take_events(&mut self, events: Events) {
        self.store_answered();
        let has_changes = !events.events.is_empty();
        for event in events.events {
            let name = event.object.metadata.name;
            if event.is_removed {
                self.remove(&name);
            } else {
                self.lapses.mark_listed(&name);
                self.objects.insert(name, event.object.spec.to_string());
            }
        }
        self.revision = Some(events.at);
        if has_changes {
            self.publish(events.at, PLATFORM);
        }
    }

    /// Lists anew. Where that fails the next round lists again, since the revision is unknown until then.
    async fn list_all(&mut self) -> Result<RoundEnd, PlatformError> {
        self.revision = None;
        self.list().await.map(|()| RoundEnd::Confirmed)
    }

    async fn list(&mut self) -> Result<(), PlatformError> {
        let list = self.client.list(kind_name(self.kind)).await?;
        self.store_answered();
        let listed = by_name(list.items);
        let missing: Vec<String> =
            self.objects.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
        listed.keys().for_each(|name| self.lapses.mark_listed(name));
        missing.iter().for_each(|name| self.remove(name));
        self.objects.extend(listed);
        self.revision = Some(list.at);
        self.publish(list.at, PLATFORM);
        Ok(())
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn publish(&self, revision: u64, through: &str) {
        let objects = self.objects.iter().map(|(name, spec)| (name.clone(), spec.clone())).collect();
        let metadata = &self.context.metadata;
        let evacuated = metadata.evacuated.load_full();
        let has_changed = metadata.put(self.kind, MetadataCopy { revision, objects });
        if self.kind == MetadataKind::Evacuations && has_changed {
            zones::record_changes(&self.context, &evacuated, revision, through);
        }
        // A copy that says nothing new is not worth asking for.
        let is_rare = matches!(self.kind, MetadataKind::Evacuations | MetadataKind::Quarantine);
        if !is_rare || has_changed {
            announcements::announce(&self.context, self.kind);
        }
    }

    fn held(&self) -> Option<u64> {
        self.context.metadata.revision(self.kind)
    }

    fn succeeded(&mut self) {
        self.context.metadata.freshness.set_reading(self.kind, Reading::Watched);
        self.context.metadata.freshness.confirm(self.kind, Duration::ZERO);
        if self.failures > 0 {
            log::info!(target: "metadata", "{:?} is watched again after {} failures.", self.kind, self.failures);
        }
        self.failures = 0;
    }
}

/// What stands in each object, as text.
fn by_name(objects: Vec<Object>) -> BTreeMap<String, String> {
    objects.into_iter().map(|object| (object.metadata.name, object.spec.to_string())).collect()
}

/// Why a watch ended.
enum WatchEnd {
    /// The store answered it.
    Answered(Watched),
    /// The store fell silent or is back: this watch hears nothing, whether it was sent before or since.
    ReachChanged,
    /// The kind is to be listed anew.
    RereadWanted,
    /// Entries that lapsed while the store was away had their time to come back.
    LapsesOver,
    /// A peer announced something newer.
    Announced(Member),
    /// Another reader has had something newer for too long.
    PeerAhead(PeerCopy),
}

/// How a round of watching ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundEnd {
    /// The platform answered: the copy is as new as can be.
    Confirmed,
    /// Something else came first.
    Unconfirmed,
}

/// Waits for changes. After failures the first answer is asked for at once: until one came the copy counts as
/// unconfirmed, and followers would leave a reader that is well.
async fn watch_once(
    client: &MetadataClient,
    kind: MetadataKind,
    revision: u64,
    failures: u32,
) -> Result<Watched, PlatformError> {
    let kind = kind_name(kind);
    if failures > 0 { client.changes(kind, revision).await } else { client.watch(kind, revision).await }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
