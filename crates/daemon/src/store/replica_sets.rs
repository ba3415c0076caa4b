//! Finds the store replicas of a shard, and chooses the first ones.
//!
//! A set that is out of date does no harm: its members are sealed, refuse, and name their successor. So any source
//! will do, and the ones that need no platform are asked first.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::future::join_all;
use lichenpulley_core::batch::regional::regions_of;
use lichenpulley_core::identity::{Revision, ShardId};
use lichenpulley_core::replication::placement::TooFewStores;
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, SetMember, StoreId};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use tokio::time::Instant;

use super::placement;
use crate::cluster::Member;
use crate::configuration::platform::{ObjectClient, PlatformError, WriteError};
use crate::context::Context;
use crate::metadata::client::MetadataClient;
use crate::settings::Settings;

/// Where the object API holds the replica sets of shards; also the kind under which a metadata store holds them.
const KIND: &str = "replica-sets";

/// What keeps the documents of replica sets: the object API, or the platform's metadata store where one is named.
#[derive(Clone, Debug)]
pub(super) enum DocumentClient {
    Objects(ObjectClient),
    Metadata(MetadataClient),
}

impl DocumentClient {
    /// A client by the settings of this node.
    pub(super) fn from_settings(settings: &Settings) -> Result<Self, ReplicaSetError> {
        if let Some(client) = MetadataClient::from_settings(settings) {
            return Ok(Self::Metadata(client));
        }
        let client = ObjectClient::from_settings(settings).ok_or(ReplicaSetError::NoObjectApi)?;
        Ok(Self::Objects(client))
    }

    async fn read(&self, shard: &ShardId) -> Result<Option<(serde_json::Value, Revision)>, PlatformError> {
        match self {
            Self::Objects(client) => {
                let object = client.read(&document_key(shard)).await?;
                Ok(object.map(|object| (object.value, object.version)))
            }
            Self::Metadata(client) => {
                let object = client.read(KIND, &document_name(shard)).await?;
                let object = object.map(|object| (object.spec, object.metadata.rev.unwrap_or_default()));
                Ok(object.map(|(value, revision)| (value, Revision(revision))))
            }
        }
    }

    async fn write(
        &self,
        shard: &ShardId,
        base: Option<Revision>,
        value: serde_json::Value,
    ) -> Result<(), WriteError> {
        match self {
            Self::Objects(client) => client.write(&document_key(shard), base, value).await.map(drop),
            Self::Metadata(client) => {
                let base = base.map(|revision| revision.0);
                client.write(KIND, &document_name(shard), base, value).await
            }
        }
    }
}

/// Replica sets that this node has met.
#[derive(Debug, Default)]
pub struct ReplicaSetCache {
    sets: ArcSwap<HashMap<ShardId, ReplicaSet>>,
    shortages: Mutex<HashMap<ShardId, Shortage>>,
}

impl ReplicaSetCache {
    /// The set last met for a shard.
    pub fn get(&self, shard: &ShardId) -> Option<ReplicaSet> {
        self.sets.load().get(shard).cloned()
    }

    /// Keeps a set, unless a later one is kept.
    pub fn put(&self, set: &ReplicaSet) {
        self.sets.rcu(|sets| {
            let mut sets = HashMap::clone(sets);
            let known = sets.get(&set.shard);
            if known.is_none_or(|known| known.generation < set.generation) {
                sets.insert(set.shard.clone(), set.clone());
            }
            sets
        });
    }

    /// Forgets a set that led nowhere, so that it is looked for again.
    pub fn forget(&self, shard: &ShardId) {
        self.sets.rcu(|sets| {
            let mut sets = HashMap::clone(sets);
            sets.remove(shard);
            sets
        });
    }
}

/// Fewer stores than a shard should have, as this node has seen them.
#[derive(Debug)]
struct Shortage {
    seen: HashSet<StoreId>,
    /// When the last of them was seen first.
    since: Instant,
}

impl ReplicaSetCache {
    /// How long no store has come that was not seen before, while a shard has too few.
    fn short_for(&self, shard: &ShardId, stores: &[SetMember]) -> Duration {
        let mut shortages = self.shortages.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let none = || Shortage { seen: HashSet::new(), since: now };
        let shortage = shortages.entry(shard.clone()).or_insert_with(none);
        let before = shortage.seen.len();
        shortage.seen.extend(stores.iter().map(|member| member.store.clone()));
        if shortage.seen.len() > before {
            shortage.since = now;
        }
        shortage.since.elapsed()
    }
}

/// Why no replica set is known.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaSetError {
    /// No object API is named in the settings, and no store knows the shard.
    #[error("no store knows the shard and no object API is set; set platform.object_api")]
    NoObjectApi,
    /// The object API gave no answer, and no store knows the shard.
    #[error("no store knows the shard: {0}")]
    Platform(#[from] PlatformError),
    /// The object API may have kept the set or not.
    #[error("the first replica set is in doubt: {0}")]
    Write(#[from] WriteError),
    /// The object holds something else.
    #[error("the object {key} is no replica set: {source}; mend or delete it")]
    Unreadable {
        /// The object's key.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// What was written is not there.
    #[error("the first replica set was taken and is not kept; it is written again")]
    NotKept,
    /// There are fewer stores than the smallest set has members.
    #[error("{0}, or lower store.tolerated_losses")]
    TooFewStores(#[from] TooFewStores),
    /// There are fewer stores than a set should have, and others may be about to come.
    #[error(
        "{live} stores answer and {wanted} are wanted; a smaller set is made once no other store has come for \
         {small_set_after:?} (store.small_set_after_ms)"
    )]
    WaitingForStores {
        /// How many answer.
        live: usize,
        /// Members of a set, by the settings.
        wanted: usize,
        /// How long others are waited for.
        small_set_after: Duration,
    },
}

/// The replica set of a shard; chosen now where it has none.
///
/// # Errors
/// When no store knows the shard and the platform doesn't help.
pub async fn find(context: &Context, shard: &ShardId) -> Result<ReplicaSet, ReplicaSetError> {
    if let Some(set) = find_among_stores(context, shard).await {
        return Ok(set);
    }
    let set = read_or_create(context, shard).await?;
    context.replica_sets.put(&set);
    Ok(set)
}

/// A replica set document and the version under which the object API holds it.
#[derive(Clone, Debug)]
pub(super) struct StoredDocument {
    pub(super) document: ReplicaSetDocument,
    pub(super) version: Revision,
}

/// Whether the platform says that it holds no set of a shard; not where it gives no answer.
pub(crate) async fn is_unwritten(context: &Context, shard: &ShardId) -> bool {
    let Ok(client) = DocumentClient::from_settings(&context.settings) else { return false };
    matches!(read(&client, shard).await, Ok(None))
}

/// Reads a shard's document.
pub(super) async fn read(
    client: &DocumentClient,
    shard: &ShardId,
) -> Result<Option<StoredDocument>, ReplicaSetError> {
    let key = document_key(shard);
    let Some((value, version)) = client.read(shard).await? else { return Ok(None) };
    let document = serde_json::from_value(value);
    let document = document.map_err(|source| ReplicaSetError::Unreadable { key, source })?;
    Ok(Some(StoredDocument { document, version }))
}

/// Writes a shard's document if its version is still `base`.
pub(super) async fn write(
    client: &DocumentClient,
    shard: &ShardId,
    base: Option<Revision>,
    document: &ReplicaSetDocument,
) -> Result<(), ReplicaSetError> {
    let key = document_key(shard);
    let value = serde_json::to_value(document);
    let value = value.map_err(|source| ReplicaSetError::Unreadable { key: key.clone(), source })?;
    client.write(shard, base, value).await?;
    Ok(())
}

/// Live stores that could be members of a shard's set.
pub(crate) async fn candidates(context: &Context, shard: &ShardId) -> Vec<SetMember> {
    let asked = store_nodes(context, shard);
    let answers = asked.iter().map(|member| candidate(context, member));
    join_all(answers).await.into_iter().flatten().collect()
}

fn document_key(shard: &ShardId) -> String {
    format!("{KIND}/{shard}")
}

/// A name within a kind holds no slash.
fn document_name(shard: &ShardId) -> String {
    shard.as_str().replace('/', ".")
}

/// Live stores in the regions where the shard may be kept.
fn store_nodes(context: &Context, shard: &ShardId) -> Vec<Member> {
    let regions = regions_of(shard);
    let allows = |member: &&Member| regions.allows_zone(&context.settings.places.zones, member.zone.as_str());
    let cluster = context.cluster.load();
    cluster.members.iter().filter(|member| member.roles.store).filter(allows).cloned().collect()
}

async fn candidate(context: &Context, member: &Member) -> Option<SetMember> {
    let deadline = context.settings.store.call_timeout;
    let answer = context.peers.store(member.peer_address, StoreRequest::Identity, deadline).await;
    let Ok(StoreResponse::Identity(store)) = answer else { return None };
    let (node, zone) = (member.node.clone(), member.zone.clone());
    Some(SetMember { store, node, zone, address: member.peer_address.to_string() })
}

/// The replica set of a shard as this node or a live store knows it; the platform is not asked.
pub(crate) async fn find_among_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    if let Some(set) = context.replica_sets.get(shard) {
        return Some(set);
    }
    let set = ask_stores(context, shard).await?;
    context.replica_sets.put(&set);
    Some(set)
}

/// The latest set that any live store knows.
pub(crate) async fn ask_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    let deadline = context.settings.store.call_timeout;
    let nodes = store_nodes(context, shard);
    let answers = nodes.iter().map(|member| {
        context.peers.store(member.peer_address, StoreRequest::KnownSet(shard.clone()), deadline)
    });
    let known = join_all(answers).await.into_iter().filter_map(|answer| match answer {
        Ok(StoreResponse::KnownSet(known)) => known.map(|known| known.set),
        _ => None,
    });
    known.max_by_key(|set| set.generation)
}

async fn read_or_create(context: &Context, shard: &ShardId) -> Result<ReplicaSet, ReplicaSetError> {
    let client = DocumentClient::from_settings(&context.settings)?;
    if let Some(stored) = read(&client, shard).await? {
        return Ok(stored.document.current);
    }
    let set = choose_first(context, shard, &candidates(context, shard).await)?;
    let written = write(&client, shard, None, &ReplicaSetDocument::settled(set)).await;
    // Whoever was first, or whatever became of a lost reply: what the object API holds now is the set.
    let stored = read(&client, shard).await?;
    let Some(stored) = stored else {
        written?;
        return Err(ReplicaSetError::NotKept);
    };
    let set = stored.document.current;
    let is_small = set.members.len() < context.settings.store.set_size.members();
    placement::tell(context, &set, "placed", if is_small { "fewer_stores" } else { "first_replica_set" });
    Ok(set)
}

/// The first set of a shard. One smaller than wanted only after others were waited for: what is decided before the set has
/// grown tolerates fewer losses.
fn choose_first(
    context: &Context,
    shard: &ShardId,
    candidates: &[SetMember],
) -> Result<ReplicaSet, ReplicaSetError> {
    let policy = placement::policy(context);
    let set = policy.first_set(shard, candidates)?;
    let (live, wanted) = (set.members.len(), policy.size.members());
    let small_set_after = context.settings.store.small_set_after;
    if live < wanted && context.replica_sets.short_for(shard, candidates) < small_set_after {
        return Err(ReplicaSetError::WaitingForStores { live, wanted, small_set_after });
    }
    Ok(set)
}
