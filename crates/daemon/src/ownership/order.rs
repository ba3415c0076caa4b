//! Order in which coordinators become owners of a shard of batch jobs.

use std::sync::Arc;

use lichenpulley_core::batch::election::CANDIDATES;
use lichenpulley_core::identity::{NodeId, RegionName, ZoneName};

use super::scope::Scope;
use crate::cluster::{Member, NodeCapacity, rendezvous_weight};
use crate::store::placement;

/// Returns whether this node owns the shard or is a candidate for it.
pub(crate) fn is_candidate(scope: &Scope) -> bool {
    is_owner(scope) || (scope.context.settings.roles.coordinator && is_among_first(scope, CANDIDATES))
}

/// Returns whether this node owns the shard.
pub(crate) fn is_owner(scope: &Scope) -> bool {
    scope.owner.load().as_ref().is_some_and(|owner| **owner == scope.context.node)
}

/// The part of a node's preference as the owner of a shard that needs no hash: whether it does not own the
/// main shard, its capacity, and whether it is in the home region.
type OwnerClass = (bool, NodeCapacity, bool);
/// Preference for a node as the owner of a shard; within a class, the rendezvous weight decides.
type OwnerKey = (OwnerClass, u64, NodeId);

/// Order of coordinators as owners of a shard. Of machines with equal capacity, those in the home region come
/// first, since their appends don't cross regions. The owner of the main shard comes last for other shards,
/// as its machine is already loaded. The order only affects when a node takes over, so nodes that know
/// different replica sets may disagree on it.
struct OwnerOrder<'a> {
    scope: &'a Scope,
    home: Option<RegionName>,
}

impl<'a> OwnerOrder<'a> {
    fn new(scope: &'a Scope) -> Self {
        Self { scope, home: placement::home_region(&scope.context, &scope.shard) }
    }

    fn is_home(&self, zone: &ZoneName) -> bool {
        let region = self.scope.context.settings.places.zones.region(zone.as_str());
        self.home.as_ref().is_none_or(|home| region == Some(home))
    }

    fn is_not_main_owner(&self, node: &NodeId) -> bool {
        let owns_main =
            || self.scope.context.batch_owner.load().as_ref().is_some_and(|owner| **owner == *node);
        self.scope.is_main() || !owns_main()
    }

    fn class(&self, node: &NodeId, capacity: NodeCapacity, zone: &ZoneName) -> OwnerClass {
        (self.is_not_main_owner(node), capacity, self.is_home(zone))
    }

    fn key(&self, node: &NodeId, capacity: NodeCapacity, zone: &ZoneName) -> OwnerKey {
        (self.class(node, capacity, zone), rendezvous_weight(node, &self.scope.shard), node.clone())
    }

    fn key_of(&self, member: &Member) -> OwnerKey {
        self.key(&member.node, member.capacity, &member.zone)
    }

    /// Returns whether a member is preferred to the owner of `key`. Hashes only members of the same class.
    fn is_preferred(&self, member: &Member, key: &OwnerKey) -> bool {
        let class = self.class(&member.node, member.capacity, &member.zone);
        class > key.0 || (class == key.0 && self.key_of(member) > *key)
    }

    /// Iterates over the coordinators that are preferred to this node.
    fn preferred(&self) -> impl Iterator<Item = Arc<Member>> {
        let own = self.own_key();
        self.scope.coordinators().into_iter().filter(move |member| self.is_preferred(member, &own))
    }

    fn own_key(&self) -> OwnerKey {
        let context = &self.scope.context;
        self.key(&context.node, context.settings.machine.capacity(), &context.zone)
    }

    /// Returns the most preferred coordinator other than `excluded`.
    fn first_except(&self, excluded: &NodeId) -> Option<Arc<Member>> {
        let others = self.scope.coordinators().into_iter().filter(|member| member.node != *excluded);
        others.max_by_key(|member| self.key_of(member))
    }
}

/// Returns the number of coordinators that are preferred to this node as owners.
pub(crate) fn rank(scope: &Scope) -> usize {
    OwnerOrder::new(scope).preferred().count()
}

/// Returns whether fewer than `count` coordinators are preferred to this node as owners.
fn is_among_first(scope: &Scope, count: usize) -> bool {
    OwnerOrder::new(scope).preferred().take(count).count() < count
}

/// Returns the most preferred coordinator other than this node.
pub(crate) fn preferred_successor(scope: &Scope) -> Option<Arc<Member>> {
    OwnerOrder::new(scope).first_except(&scope.context.node)
}

/// Returns whether this node is the most preferred coordinator other than the owner.
pub(crate) fn is_first_successor(scope: &Scope, owner: &NodeId) -> bool {
    OwnerOrder::new(scope).first_except(owner).is_some_and(|next| next.node == scope.context.node)
}
