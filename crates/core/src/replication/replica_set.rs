//! The store replicas of a shard, versioned by generation.
//!
//! A set is immutable; every change creates the next generation. These types are stored and sent, so the
//! order and names of fields must not change.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::quorum::majority;
use crate::identity::{NodeId, ShardId, ZoneName};

/// Identifies one store with one disk. A store generates a new id when its data folder is empty. A replica
/// that lost its disk is therefore no longer a member of its replica set, until it is added again.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
#[serde(transparent)]
pub struct StoreId(String);

impl StoreId {
    /// Wraps an id without checking it.
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The number of a replica set of a shard, from 1.
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
    /// The first generation, whose members begin empty.
    pub const FIRST: Self = Self(1);

    /// Returns the generation after this one.
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
    /// Its peer address when it was chosen, used if the node isn't in the member list.
    pub address: String,
}

/// The store replicas of a shard in one generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Readable, Writable)]
pub struct ReplicaSet {
    /// The shard.
    pub shard: ShardId,
    /// The generation.
    pub generation: Generation,
    /// Its members.
    pub members: Vec<SetMember>,
}

impl ReplicaSet {
    /// Returns the member with this store.
    pub fn member(&self, store: &StoreId) -> Option<&SetMember> {
        self.members.iter().find(|member| &member.store == store)
    }

    /// Returns the number of members of a majority.
    pub fn majority(&self) -> usize {
        majority(self.members.len())
    }

    /// Returns the next generation, with `leaving` replaced by `joining`. Only one member changes, so that
    /// most members of the next set already have most of the state. If `leaving` is the joining store itself,
    /// the set grows by it. Returns `None` if `joining` is a member already, or if another `leaving` is not a
    /// member.
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

/// The document of a shard in the object API, at `replica-sets/<shard>`. A pending set is never withdrawn or
/// changed and always becomes current, so there is only one set of each generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSetDocument {
    /// The set in force.
    pub current: ReplicaSet,
    /// The set that is replacing it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<ReplicaSet>,
}

impl ReplicaSetDocument {
    /// Creates a document without a pending set.
    pub const fn settled(current: ReplicaSet) -> Self {
        Self { current, pending: None }
    }

    /// Returns the document after its pending set, if any, was installed at a majority.
    #[must_use]
    pub fn completed(self) -> Self {
        match self.pending {
            Some(pending) => Self::settled(pending),
            None => self,
        }
    }
}
