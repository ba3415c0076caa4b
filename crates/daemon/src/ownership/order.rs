//! Order in which coordinators become owners of a shard of batch jobs, and in which they read metadata for
//! the others.

use std::cmp::Reverse;

use lichenpulley_core::batch::election::CANDIDATES;
use lichenpulley_core::identity::{NodeId, RegionName, ZoneName};

use super::scope::Scope;
use crate::cluster::{Member, NodeCapacity, rendezvous_weight};
use crate::store::placement;

/// Returns whether this node owns the shard or is a candidate for it.
pub(crate) fn is_candidate(scope: &Scope) -> bool {
    let owns = scope.owner.load().as_ref().is_some_and(|owner| **owner == scope.context.node);
    owns || (scope.context.settings.roles.coordinator && rank(scope) < CANDIDATES)
}

/// Preference for a node as a metadata reader, the same on every node: by machine capacity, then by
/// rendezvous weight.
type Preference = (NodeCapacity, u64, NodeId);

fn preference(scope: &Scope, node: &NodeId, capacity: NodeCapacity) -> Preference {
    (capacity, rendezvous_weight(node, &scope.shard), node.clone())
}

fn preference_of(scope: &Scope, member: &Member) -> Preference {
    preference(scope, &member.node, member.capacity)
}

/// Preference for a node as the owner of a shard.
type OwnerKey = (bool, NodeCapacity, bool, u64, NodeId);

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

    fn key(&self, node: &NodeId, capacity: NodeCapacity, zone: &ZoneName) -> OwnerKey {
        let (capacity, weight, name) = preference(self.scope, node, capacity);
        (self.is_not_main_owner(node), capacity, self.is_home(zone), weight, name)
    }

    fn key_of(&self, member: &Member) -> OwnerKey {
        self.key(&member.node, member.capacity, &member.zone)
    }

    fn own_key(&self) -> OwnerKey {
        let context = &self.scope.context;
        self.key(&context.node, context.settings.machine.capacity(), &context.zone)
    }

    /// Returns the most preferred coordinator other than `excluded`.
    fn first_except(&self, excluded: &NodeId) -> Option<Member> {
        let others = self.scope.coordinators().into_iter().filter(|member| member.node != *excluded);
        others.max_by_key(|member| self.key_of(member))
    }
}

/// Returns the number of coordinators that are preferred to this node as owners.
pub(crate) fn rank(scope: &Scope) -> usize {
    let order = OwnerOrder::new(scope);
    let own = order.own_key();
    scope.coordinators().iter().filter(|member| order.key_of(member) > own).count()
}

/// Returns the number of coordinators that are preferred to this node as metadata readers, and the number of
/// all. Regions are ignored, since metadata readers exist in all of them.
pub(crate) fn preference_rank(scope: &Scope) -> (usize, usize) {
    let own = preference(scope, &scope.context.node, scope.context.settings.machine.capacity());
    let coordinators = scope.coordinators();
    let before = coordinators.iter().filter(|member| preference_of(scope, member) > own).count();
    (before, coordinators.len())
}

/// Returns the `count` most preferred coordinators as metadata readers.
pub(crate) fn first_coordinators(scope: &Scope, count: usize) -> Vec<Member> {
    let mut coordinators = scope.coordinators();
    coordinators.sort_by_cached_key(|member| Reverse(preference_of(scope, member)));
    coordinators.truncate(count);
    coordinators
}

/// Returns the most preferred coordinator other than this node.
pub(crate) fn preferred_successor(scope: &Scope) -> Option<Member> {
    OwnerOrder::new(scope).first_except(&scope.context.node)
}

/// Returns whether this node is the most preferred coordinator other than the owner.
pub(crate) fn is_first_successor(scope: &Scope, owner: &NodeId) -> bool {
    OwnerOrder::new(scope).first_except(owner).is_some_and(|next| next.node == scope.context.node)
}
