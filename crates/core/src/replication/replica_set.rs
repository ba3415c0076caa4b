//! The store replicas of a shard, versioned by generation.
//!
//! A set never changes; a change makes the next generation. Stored and sent as it stands.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::quorum::majority;
use crate::identity::{NodeId, ShardId, ZoneName};

/// One store: one disk in one life. A store draws a new id when it finds its folder empty, so a replica that
/// lost its disk is no longer the member that the replica set names, and abstains until it is made a member
/// again.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
#[serde(transparent)]
pub struct StoreId(String);

impl StoreId {
    /// Wraps an id as it stands.
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Counts the replica sets of a shard; the first is 1.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Readable,
    Writable,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation whose members begin empty.
    pub const FIRST: Self = Self(1);

    /// The generation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A member of a replica set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable)]
pub struct SetMember {
    /// The store.
    pub store: StoreId,
    /// The node that runs it.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its peer address when it was chosen; used where the node isn't in the member list.
    pub address: String,
}

/// The store replicas of a shard in one generation. Never changed: a change makes the next generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Readable, Writable)]
pub struct ReplicaSet {
    /// The shard.
    pub shard: ShardId,
    /// Which set of the shard this is.
    pub generation: Generation,
    /// Its members.
    pub members: Vec<SetMember>,
}

impl ReplicaSet {
    /// The member with this store.
    pub fn member(&self, store: &StoreId) -> Option<&SetMember> {
        self.members.iter().find(|member| &member.store == store)
    }

    /// How many members make a majority.
    pub fn majority(&self) -> usize {
        majority(self.members.len())
    }

    /// The next generation, with `leaving` replaced by `joining`. One member at a time, so that most of the
    /// next set already has most of the state. Where `leaving` is the joining store itself, nobody leaves and
    /// the set grows. `None` where `leaving` is no member otherwise or `joining` is one already.
    pub fn with_replaced(&self, leaving: &StoreId, joining: SetMember) -> Option<Self> {
        if self.member(&joining.store).is_some() {
            return None;
        }
        if leaving != &joining.store {
            self.member(leaving)?;
        }
        let mut members = self.members.clone();
        members.retain(|member| &member.store != leaving);
        members.push(joining);
        Some(Self { shard: self.shard.clone(), generation: self.generation.next(), members })
    }
}

/// What the object API holds at `replica-sets/<shard>`. A pending set is never withdrawn or changed: it becomes
/// current, so each generation names one set only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSetDocument {
    /// The set in force.
    pub current: ReplicaSet,
    /// The set that is taking its place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<ReplicaSet>,
}

impl ReplicaSetDocument {
    /// A document without a change under way.
    pub const fn settled(current: ReplicaSet) -> Self {
        Self { current, pending: None }
    }

    /// The document once its pending set has been installed at a majority.
    #[must_use]
    pub fn completed(self) -> Self {
        match self.pending {
            Some(pending) => Self::settled(pending),
            None => self,
        }
    }
}
