//! In which order coordinators come to own a shard of batch jobs, and which of them read for the others.

use std::cmp::Reverse;

use lichenpulley_core::batch::election::CANDIDATES;
use lichenpulley_core::identity::{NodeId, RegionName, ZoneName};

use super::scope::Scope;
use crate::cluster::{Member, NodeCapacity, rendezvous_weight};
use crate::store::placement;

/// Whether this node may come to own the shard, or owns it.
pub(crate) fn is_candidate(scope: &Scope) -> bool {
    let owns = scope.owner.load().as_ref().is_some_and(|owner| **owner == scope.context.node);
    owns || (scope.context.settings.roles.coordinator && rank(scope) < CANDIDATES)
}

/// How much a node is preferred as one that reads for others, the same on every node: the most capable
/// machines first, among equals by their weights.
type Preference = (NodeCapacity, u64, NodeId);

fn preference(scope: &Scope, node: &NodeId, capacity: NodeCapacity) -> Preference {
    (capacity, rendezvous_weight(node, &scope.shard), node.clone())
}

fn preference_of(scope: &Scope, member: &Member) -> Preference {
    preference(scope, &member.node, member.capacity)
}

/// How much a node is preferred as the owner of a shard.
type OwnerKey = (bool, NodeCapacity, bool, u64, NodeId);

/// The order of coordinators as owners of the shard: among machines that are alike those go first from which
/// an append does not cross to another region. The owner of the main shard comes last as the owner of
/// another, since its machine has enough to do. Time alone hangs on it: nodes that know of different sets may
/// differ in it.
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

    fn is_free(&self, node: &NodeId) -> bool {
        let owns_main =
            || self.scope.context.batch_owner.load().as_ref().is_some_and(|owner| **owner == *node);
        self.scope.is_main() || !owns_main()
    }

    fn key(&self, node: &NodeId, capacity: NodeCapacity, zone: &ZoneName) -> OwnerKey {
        let (capacity, weight, name) = preference(self.scope, node, capacity);
        (self.is_free(node), capacity, self.is_home(zone), weight, name)
    }

    fn key_of(&self, member: &Member) -> OwnerKey {
        self.key(&member.node, member.capacity, &member.zone)
    }

    fn own_key(&self) -> OwnerKey {
        let context = &self.scope.context;
        self.key(&context.node, context.settings.machine.capacity(), &context.zone)
    }

    /// The first of the coordinators that are not `without`.
    fn first(&self, without: &NodeId) -> Option<Member> {
        let others = self.scope.coordinators().into_iter().filter(|member| member.node != *without);
        others.max_by_key(|member| self.key_of(member))
    }
}

/// This node's place among the coordinators as owners.
pub(crate) fn rank(scope: &Scope) -> usize {
    let order = OwnerOrder::new(scope);
    let own = order.own_key();
    scope.coordinators().iter().filter(|member| order.key_of(member) > own).count()
}

/// This node's place among the coordinators, and how many there are. Regions don't count: those that read the
/// platform's metadata store stand in all of them.
pub(crate) fn preference_rank(scope: &Scope) -> (usize, usize) {
    let own = preference(scope, &scope.context.node, scope.context.settings.machine.capacity());
    let coordinators = scope.coordinators();
    let before = coordinators.iter().filter(|member| preference_of(scope, member) > own).count();
    (before, coordinators.len())
}

/// The first coordinators in the order of preference.
pub(crate) fn first_coordinators(scope: &Scope, count: usize) -> Vec<Member> {
    let mut coordinators = scope.coordinators();
    coordinators.sort_by_cached_key(|member| Reverse(preference_of(scope, member)));
    coordinators.truncate(count);
    coordinators
}

/// The coordinator that should come after this node, or before it.
pub(crate) fn preferred_successor(scope: &Scope) -> Option<Member> {
    OwnerOrder::new(scope).first(&scope.context.node)
}

/// Whether this node is the first coordinator beside the owner.
pub(crate) fn is_first_successor(scope: &Scope, owner: &NodeId) -> bool {
    OwnerOrder::new(scope).first(owner).is_some_and(|next| next.node == scope.context.node)
}
