//! In which order coordinators come to own the batch jobs, and which of them read for the others.

use lichenpulley_core::batch::election::CANDIDATES;
use lichenpulley_core::identity::{NodeId, RegionName, ZoneName};

use super::shard;
use crate::cluster::{Member, NodeCapacity, rendezvous_weight};
use crate::context::Context;
use crate::store::placement;

/// Whether this node may come to own the batch jobs, or owns them.
pub(crate) fn is_candidate(context: &Context) -> bool {
    let owns = context.batch_owner.load().as_ref().is_some_and(|owner| **owner == context.node);
    owns || (context.settings.roles.coordinator && rank(context) < CANDIDATES)
}

/// The order of coordinators, the same on every node: the most capable machines first, among equals by their weights.
fn preference(member: &Member) -> (NodeCapacity, u64, NodeId) {
    (member.capacity, rendezvous_weight(&member.node, &shard()), member.node.clone())
}

/// The order of coordinators as owners of the shard: among machines that are alike those go first from which an append
/// does not cross to another region. Time alone hangs on it: nodes that know of different sets may differ in it.
struct OwnerOrder<'a> {
    context: &'a Context,
    home: Option<RegionName>,
}

impl<'a> OwnerOrder<'a> {
    fn new(context: &'a Context) -> Self {
        Self { context, home: placement::home_region(context, &shard()) }
    }

    fn is_home(&self, zone: &ZoneName) -> bool {
        let region = self.context.settings.places.zones.region(zone.as_str());
        self.home.as_ref().is_none_or(|home| region == Some(home))
    }

    fn key(&self, member: &Member) -> (NodeCapacity, bool, u64, NodeId) {
        let (capacity, weight, node) = preference(member);
        (capacity, self.is_home(&member.zone), weight, node)
    }

    fn own_key(&self) -> (NodeCapacity, bool, u64, NodeId) {
        let (capacity, node) = (self.context.settings.machine.capacity(), self.context.node.clone());
        (capacity, self.is_home(&self.context.zone), rendezvous_weight(&node, &shard()), node)
    }

    /// The first of the coordinators that are not `without`.
    fn first(&self, without: &NodeId) -> Option<Member> {
        let cluster = self.context.cluster.load();
        let others = cluster.members.iter();
        let others = others.filter(|member| member.roles.coordinator && member.node != *without);
        others.max_by_key(|member| self.key(member)).cloned()
    }
}

/// This node's place among the coordinators as owners.
pub(super) fn rank(context: &Context) -> usize {
    let order = OwnerOrder::new(context);
    let own = order.own_key();
    let cluster = context.cluster.load();
    let coordinators = cluster.members.iter().filter(|member| member.roles.coordinator);
    coordinators.filter(|member| order.key(member) > own).count()
}

/// This node's place among the coordinators, and how many there are. Regions don't count: those that read the platform's
/// metadata store stand in all of them.
pub(crate) fn rank_among(context: &Context) -> (usize, usize) {
    let capacity = context.settings.machine.capacity();
    let own = (capacity, rendezvous_weight(&context.node, &shard()), context.node.clone());
    let cluster = context.cluster.load();
    let coordinators = cluster.members.iter().filter(|member| member.roles.coordinator);
    let (before, all) = coordinators
        .fold((0, 0), |(before, all), member| (before + usize::from(preference(member) > own), all + 1));
    (before, all)
}

/// The first coordinators in the order of preference.
pub(crate) fn first_coordinators(context: &Context, count: usize) -> Vec<Member> {
    let cluster = context.cluster.load();
    let mut coordinators: Vec<&Member> =
        cluster.members.iter().filter(|member| member.roles.coordinator).collect();
    coordinators.sort_by_cached_key(|member| std::cmp::Reverse(preference(member)));
    coordinators.into_iter().take(count).cloned().collect()
}

/// The coordinator that should come after this node, or before it.
pub(super) fn best_other(context: &Context) -> Option<Member> {
    OwnerOrder::new(context).first(&context.node)
}

/// Whether this node is the first coordinator beside the owner.
pub(super) fn is_next(context: &Context, owner: &NodeId) -> bool {
    OwnerOrder::new(context).first(owner).is_some_and(|next| next.node == context.node)
}
