//! Watches one kind of the platform's objects.
//!
//! Holds the objects of the kind as last read and publishes each copy through the handle. The core's `relay`
//! decides from which source to read, and its `lapse` which entries are retained after they lapsed while the
//! store was unreachable.

mod lapsed;
mod outage;
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

use super::client::{MetadataClient, WatchResult};
use super::freshness::ReadState;
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

/// Minimum time between the starts of two watches, so that a burst of changes costs few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(80);
/// Minimum time between the starts of two watches of replicas. A draining replica keeps serving for longer
/// than this.
const REPLICA_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a node that can't own batch jobs checks whether it has become a candidate.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Source recorded for objects read from the platform itself.
const PLATFORM: &str = "platform";
/// Maximum pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Minimum time between two requests to a reader that answers at once without a change.
const FOLLOW_PAUSE: Duration = Duration::from_millis(250);

/// Returns the platform's name of a kind.
const fn kind_name(kind: MetadataKind) -> &'static str {
    match kind {
        MetadataKind::Configuration => objects::CONFIGURATION,
        MetadataKind::Replicas => objects::REPLICAS,
        MetadataKind::Versions => objects::VERSIONS,
        MetadataKind::Evacuations => objects::EVACUATIONS,
        MetadataKind::Quarantine => QUARANTINE,
    }
}

/// Watches a kind until the node has stopped.
pub(super) async fn run(context: Context, client: MetadataClient, kind: MetadataKind, reach: Reachability) {
    let stopped = context.stopped.clone();
    let follower = Follower::new(Arc::clone(&context), kind);
    let lapses = LapsedEntries::new(context.settings.configuration.lapse_grace);
    let relist_requests = context.metadata.relist_requests[kind_index(kind)].subscribe();
    let mut watcher = Watcher {
        lapses,
        origin: Instant::now(),
        context,
        client,
        kind,
        reach,
        relist_requests,
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
    /// Changes when the kind is to be listed again.
    relist_requests: watch::Receiver<u64>,
    follower: Follower,
    objects: BTreeMap<String, String>,
    /// Revision of `objects`; `None` if they must be listed again.
    revision: Option<u64>,
    failures: u32,
    /// Entries of replicas that lapsed while the store was unreachable.
    lapses: LapsedEntries,
    origin: Instant,
}

impl Watcher {
    async fn watch(&mut self) {
        self.list_initial().await;
        self.wait_for_members().await;
        loop {
            let began = Instant::now();
            if self.kind == MetadataKind::Versions && !order::is_candidate(&Scope::main(&self.context)) {
                // Only an owner of batch jobs needs the versions.
                self.context.metadata.freshness.set_read_state(self.kind, ReadState::Followed);
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            match self.follower.source() {
                ReadSource::Peer => {
                    self.context.metadata.freshness.set_read_state(self.kind, ReadState::Followed);
                    self.follow().await;
                    continue;
                }
                ReadSource::Probe => {
                    self.follower.probe(&self.client).await;
                    continue;
                }
                ReadSource::Platform => {}
            }
            if *self.reach.borrow_and_update() == StoreReach::Unreachable {
                self.wait_for_store().await;
                continue;
            }
            match self.watch_or_list().await {
                Ok(RoundEnd::Confirmed) => self.watch_succeeded(),
                Ok(RoundEnd::Unconfirmed) => {}
                Err(error) => self.watch_failed(&error).await,
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

    /// Applies the changes from a peer that reads the platform.
    async fn follow(&mut self) {
        let began = Instant::now();
        let response = tokio::select! {
            response = self.follower.poll_reader(self.revision) => response,
            Ok(()) = self.relist_requests.changed() => {
                if let Err(error) = self.list().await {
                    log::info!(target: "metadata", "Listing {:?} again failed: {error}.", self.kind);
                }
                return;
            }
            holder = announcements::wait_for_newer(&self.context, self.kind) => {
                if let Err(error) = self.pull_announced(&holder).await {
                    log::info!(target: "metadata", "Listing {:?} failed: {error}.", self.kind);
                    tokio::time::sleep(MAX_RETRY_PAUSE).await;
                }
                return;
            }
        };
        let Some((reader, response)) = response else { return };
        let Some(update) = response.update else {
            // Limits the rate of requests to a peer that answers at once, such as one without a copy of its
            // own.
            let rest = FOLLOW_PAUSE.saturating_sub(began.elapsed());
            return tokio::time::sleep(rest).await;
        };
        self.apply_update(update, &reader);
    }

    fn apply_update(&mut self, update: MetadataUpdate, from: &NodeId) {
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

    /// Performs one watch, or one list if the revision is not known.
    async fn watch_or_list(&mut self) -> Result<RoundEnd, PlatformError> {
        let Some(revision) = self.revision else { return self.list_all().await };
        match self.wait_for_change(revision).await? {
            WatchEnd::Answered(watched) => self.apply_watch_result(watched).await,
            WatchEnd::ReachChanged => Ok(RoundEnd::Unconfirmed),
            WatchEnd::RelistRequested => self.list_all().await,
            WatchEnd::LapsesExpired => {
                self.remove_expired_lapses();
                Ok(RoundEnd::Unconfirmed)
            }
            WatchEnd::Announced(holder) => self.pull_announced(&holder).await.map(|()| RoundEnd::Unconfirmed),
            WatchEnd::PeerAhead(copy) => {
                log::info!(target: "metadata", "The watch of {:?} has missed changes that a peer has: using the peer's copy and starting a new watch.", self.kind);
                self.apply_peer_copy(copy);
                Ok(RoundEnd::Unconfirmed)
            }
        }
    }

    /// Watches until the store answers or another event ends the watch.
    async fn wait_for_change(&mut self, revision: u64) -> Result<WatchEnd, PlatformError> {
        let lapses_end =
            self.lapses.deadline().map(|at| self.origin + at.saturating_since(Timestamp::ORIGIN));
        let end = tokio::select! {
            watched = watch_once(&self.client, self.kind, revision, self.failures) => WatchEnd::Answered(watched?),
            Ok(()) = self.reach.changed() => WatchEnd::ReachChanged,
            Ok(()) = self.relist_requests.changed() => WatchEnd::RelistRequested,
            () = sleep_until(lapses_end) => WatchEnd::LapsesExpired,
            holder = announcements::wait_for_newer(&self.context, self.kind) => WatchEnd::Announced(holder),
            copy = peers::wait_until_behind(&self.context, self.kind) => WatchEnd::PeerAhead(copy),
        };
        Ok(end)
    }

    async fn apply_watch_result(&mut self, watched: WatchResult) -> Result<RoundEnd, PlatformError> {
        match watched {
            WatchResult::HistoryGone => {
                log::info!(target: "metadata", "The store no longer has the history of {:?}: listing again.", self.kind);
                self.list_all().await
            }
            WatchResult::Events(events) => {
                self.apply_events(events);
                Ok(RoundEnd::Confirmed)
            }
        }
    }

    fn apply_events(&mut self, events: Events) {
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

    /// Lists all objects again. If that fails, the revision stays unset and the next round lists again.
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
        // Peers need not fetch a copy of a rare kind that contains no change.
        let is_rare = matches!(self.kind, MetadataKind::Evacuations | MetadataKind::Quarantine);
        if !is_rare || has_changed {
            announcements::announce(&self.context, self.kind);
        }
    }

    fn held_revision(&self) -> Option<u64> {
        self.context.metadata.revision(self.kind)
    }

    fn watch_succeeded(&mut self) {
        self.context.metadata.freshness.set_read_state(self.kind, ReadState::Watched);
        self.context.metadata.freshness.confirm(self.kind, Duration::ZERO);
        if self.failures > 0 {
            log::info!(target: "metadata", "Watching {:?} works again after {} failures.", self.kind, self.failures);
        }
        self.failures = 0;
    }
}

/// Returns the content of each object as text, by name.
fn by_name(objects: Vec<Object>) -> BTreeMap<String, String> {
    objects.into_iter().map(|object| (object.metadata.name, object.spec.to_string())).collect()
}

/// Reason for the end of a watch.
enum WatchEnd {
    /// The store answered.
    Answered(WatchResult),
    /// The store became unreachable or reachable again; in both cases this watch may never be answered.
    ReachChanged,
    /// Another part of the node requested a new list.
    RelistRequested,
    /// The time in which lapsed entries may come back is over.
    LapsesExpired,
    /// A peer announced a newer revision.
    Announced(Member),
    /// Another reader has held a newer copy for longer than a working watch takes.
    PeerAhead(PeerCopy),
}

/// Result of one watch or list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundEnd {
    /// The platform answered, which confirms the copy.
    Confirmed,
    /// The watch ended without an answer of the platform.
    Unconfirmed,
}

/// Waits for changes. After failures the store is asked to answer at once: the copy counts as unconfirmed
/// until an answer arrives, and meanwhile followers would leave a healthy reader.
async fn watch_once(
    client: &MetadataClient,
    kind: MetadataKind,
    revision: u64,
    failures: u32,
) -> Result<WatchResult, PlatformError> {
    let kind = kind_name(kind);
    if failures > 0 { client.changes(kind, revision).await } else { client.watch(kind, revision).await }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
