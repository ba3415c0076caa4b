//! One shard of batch jobs as a node sees it: its name, where what it keeps may stand, and who owns it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use lichenpulley_core::batch::regional;
use lichenpulley_core::identity::{NodeId, ShardId};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use std::net::SocketAddr;

use crate::cluster::Member;
use crate::context::Context;
use crate::peers::PeerError;
use crate::store::replica_sets;

/// Why a shard can't be kept in its regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{coordinators} coordinators and {stores} stores stand there, 1 and {needed} are needed; start more, or allow \
     another region"
)]
pub(crate) struct Shortage {
    coordinators: usize,
    stores: usize,
    needed: usize,
}

/// A shard of batch jobs. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Scope {
    pub(crate) context: Context,
    pub(crate) shard: ShardId,
    /// Where its owner, its stores and those who read its log may stand.
    pub(crate) regions: AllowedRegions,
    /// Who owns it, as far as this node has heard.
    pub(crate) owner: Arc<ArcSwapOption<NodeId>>,
}

impl Scope {
    /// The shard of the jobs that may be kept anywhere.
    pub(crate) fn main(context: &Context) -> Self {
        let regions = AllowedRegions::all();
        let owner = Arc::clone(&context.batch_owner);
        Self { context: Arc::clone(context), shard: regional::shard_of(&regions), regions, owner }
    }

    /// The shard of the jobs that may be kept in these regions alone.
    pub(crate) fn in_regions(context: &Context, regions: AllowedRegions) -> Self {
        let shard = regional::shard_of(&regions);
        Self { context: Arc::clone(context), shard, regions, owner: Arc::default() }
    }

    /// Whether this is the shard of the jobs that may be kept anywhere. Its owner alone gives orders and has
    /// duties.
    pub(crate) fn is_main(&self) -> bool {
        self.regions.is_all()
    }

    /// The shard's name in metrics; `None` for the main one, whose metrics have no such label.
    pub(crate) fn metric_label(&self) -> Option<&str> {
        (!self.is_main()).then_some(self.shard.as_str())
    }

    /// Whether a member may own this shard or keep its log.
    pub(crate) fn allows(&self, member: &Member) -> bool {
        self.regions.allows_zone(&self.context.settings.places.zones, member.zone.as_str())
    }

    /// Whether this node may own it.
    pub(crate) fn allows_this_node(&self) -> bool {
        self.regions.allows_zone(&self.context.settings.places.zones, self.context.zone.as_str())
    }

    /// The members that can come to own it.
    pub(crate) fn coordinators(&self) -> Vec<Member> {
        let cluster = self.context.cluster.load();
        let coordinators = cluster.members.iter().filter(|member| member.roles.coordinator);
        coordinators.filter(|member| self.allows(member)).cloned().collect()
    }

    /// The stores that may keep its log.
    pub(crate) fn stores(&self) -> Vec<Member> {
        let cluster = self.context.cluster.load();
        let stores = cluster.members.iter().filter(|member| member.roles.store);
        stores.filter(|member| self.allows(member)).cloned().collect()
    }

    /// What is lacking for the shard to get an owner and a log; `None` where nothing is, or where it has
    /// them.
    pub(crate) fn shortage(&self) -> Option<Shortage> {
        let (coordinators, stores) = (self.coordinators().len(), self.stores().len());
        let stands = self.known_owner().is_some() || self.context.replica_sets.get(&self.shard).is_some();
        // What a set that stands has lost is for its owner to replace.
        let needed = if stands { 1 } else { self.context.settings.store.set_size.minimum_members() };
        (coordinators == 0 || stores < needed).then_some(Shortage { coordinators, stores, needed })
    }

    /// Whether nothing was ever kept in this shard, by the word of the stores and of the platform.
    pub(crate) async fn was_never_created(&self) -> bool {
        replica_sets::find_among_stores(&self.context, &self.shard).await.is_none()
            && replica_sets::has_no_document(&self.context, &self.shard).await
    }

    /// Who owns it, as far as this node has heard.
    pub(crate) fn known_owner(&self) -> Option<NodeId> {
        self.owner.load().as_ref().map(|owner| NodeId::clone(owner))
    }

    /// Asks a node that may own it.
    pub(crate) async fn call_peer(
        &self,
        address: SocketAddr,
        request: BatchRequest,
        deadline: Duration,
    ) -> Result<BatchResponse, PeerError> {
        let peers = &self.context.peers;
        if self.is_main() {
            return peers.batch(address, request, deadline).await;
        }
        peers.regional_batch(address, self.shard.clone(), request, deadline).await
    }
}
