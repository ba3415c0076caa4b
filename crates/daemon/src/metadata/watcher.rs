//! Watches one kind of the platform's objects.
//!
//! Holds the objects of the kind as last read and publishes each copy through the handle. The core's `relay`
//! decides from which source to read, and its `lapse` which entries are retained after they lapsed while the
//! store was unreachable.

mod lapsed;
mod outage;
mod starting;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::lapse::LapsedEntries;
use lichenpulley_core::ingress::replica_subset::LayoutId;
use lichenpulley_core::relay::ReadSource;
use lichenpulley_core::time::Timestamp;
use lichenpulley_platform::objects::{self, Events, Object};
use lichenpulley_platform::quarantine::QUARANTINE;
use lichenpulley_protocol::internal::MetadataKind;
use tokio::sync::watch;
use tokio::time::Instant;

use super::client::{MetadataClient, WatchResult};
use super::freshness::ReadState;
use super::handle::ApplyOutcome;
use super::history::{CopyChange, ObjectTexts};
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
/// than this. A longer pause sends requests to draining replicas, a shorter one costs calls.
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
    /// Revision from which to continue; `None` if all objects must be read again.
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
                if self.kind == MetadataKind::Replicas {
                    // The readers have the list; reading it from the platform takes a call for each page.
                    self.revision = None;
                    return;
                }
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
        let Some((reader, change)) = response else { return };
        let is_applied = change.is_some_and(|change| self.apply_change(change, &reader));
        if !is_applied {
            // Limits the rate of requests to a peer that answers at once, such as one without a copy of its
            // own.
            let rest = FOLLOW_PAUSE.saturating_sub(began.elapsed());
            tokio::time::sleep(rest).await;
        }
    }

    /// Applies a change from a peer; returns whether the copy is now as late as the peer's.
    fn apply_change(&mut self, change: CopyChange, from: &NodeId) -> bool {
        let (revision, layout) = (change.revision, change.layout);
        if change.is_whole && self.kind == MetadataKind::Replicas {
            self.follower.set_long_list(layout.is_some());
        }
        let is_outdated = self.publish(change, from.as_str()) == ApplyOutcome::Outdated;
        // A copy that was ignored leaves the held one in its layout, to which later changes of the other layout
        // would not apply.
        let continues = !is_outdated || layout == self.held_layout();
        self.revision = continues.then_some(revision);
        !is_outdated
    }

    /// Performs one watch, or one list if the revision is not known.
    async fn watch_or_list(&mut self) -> Result<RoundEnd, PlatformError> {
        if self.held_layout().is_some() {
            // The changes of all replicas don't apply to a subset.
            self.revision = None;
        }
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
        self.revision = Some(events.at);
        if events.events.is_empty() {
            return;
        }
        let mut change = CopyChange { revision: events.at, ..CopyChange::default() };
        for event in events.events {
            let name: Arc<str> = event.object.metadata.name.into();
            if !event.is_removed {
                self.lapses.mark_listed(&name);
                change.removed.remove(&name);
                change.objects.insert(name, event.object.spec.to_string().into());
            } else if self.should_remove(&name, change.objects.contains_key(&name)) {
                change.objects.remove(&name);
                change.removed.insert(name);
            }
        }
        self.publish(change, PLATFORM);
    }

    /// Lists all objects again. If that fails, the revision stays unset and the next round lists again.
    async fn list_all(&mut self) -> Result<RoundEnd, PlatformError> {
        self.revision = None;
        self.list().await.map(|()| RoundEnd::Confirmed)
    }

    async fn list(&mut self) -> Result<(), PlatformError> {
        let list = self.client.list(kind_name(self.kind)).await?;
        self.store_answered();
        let objects = texts_by_name(list.items);
        objects.keys().for_each(|name| self.lapses.mark_listed(name));
        let held = self.context.metadata.history(self.kind);
        let change = match held.filter(|held| held.layout().is_none()) {
            Some(held) => {
                let missing = held.objects().keys().filter(|name| !objects.contains_key(*name)).cloned();
                let missing: Vec<Arc<str>> = missing.collect();
                let removed: BTreeSet<Arc<str>> =
                    missing.into_iter().filter(|name| self.should_remove(name, true)).collect();
                CopyChange { revision: list.at, objects, removed, ..CopyChange::default() }
            }
            None => CopyChange { revision: list.at, is_whole: true, objects, ..CopyChange::default() },
        };
        self.revision = Some(list.at);
        self.publish(change, PLATFORM);
        Ok(())
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn publish(&self, change: CopyChange, through: &str) -> ApplyOutcome {
        let metadata = &self.context.metadata;
        let (revision, evacuated) = (change.revision, metadata.evacuated.load_full());
        let outcome = metadata.apply(self.kind, change);
        let has_changed = outcome == ApplyOutcome::Changed;
        if self.kind == MetadataKind::Evacuations && has_changed {
            zones::record_changes(&self.context, &evacuated, revision, through);
        }
        // Peers need not fetch a copy of a rare kind that contains no change.
        let is_rare = matches!(self.kind, MetadataKind::Evacuations | MetadataKind::Quarantine);
        if !is_rare || has_changed {
            announcements::announce(&self.context, self.kind);
        }
        outcome
    }

    fn held_revision(&self) -> Option<u64> {
        self.context.metadata.revision(self.kind)
    }

    /// Returns the layout of the subset of replicas that this node holds.
    fn held_layout(&self) -> Option<LayoutId> {
        self.context.metadata.history(self.kind).and_then(|held| held.layout())
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
fn texts_by_name(objects: Vec<Object>) -> ObjectTexts {
    objects.into_iter().map(|object| (object.metadata.name.into(), object.spec.to_string().into())).collect()
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
    Announced(Arc<Member>),
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
