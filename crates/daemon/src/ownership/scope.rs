//! A shard of batch jobs as seen by a node: its name, the regions where its data may be stored, and its
//! owner.

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
use crate::peers::{PeerClients, PeerError};
use crate::store::replica_sets;

/// Lack of live coordinators or stores in the regions of a shard.
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

/// Shard of batch jobs. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Scope {
    pub(crate) context: Context,
    pub(crate) shard: ShardId,
    /// Regions in which its owner, its stores and the readers of its log may run.
    pub(crate) regions: AllowedRegions,
    /// Last known owner.
    pub(crate) owner: Arc<ArcSwapOption<NodeId>>,
}

impl Scope {
    /// Returns the main shard, for jobs without a restriction to regions.
    pub(crate) fn main(context: &Context) -> Self {
        let regions = AllowedRegions::all();
        let owner = Arc::clone(&context.batch_owner);
        Self { context: Arc::clone(context), shard: regional::shard_of(&regions), regions, owner }
    }

    /// Returns the shard of the jobs that are restricted to these regions.
    pub(crate) fn in_regions(context: &Context, regions: AllowedRegions) -> Self {
        let shard = regional::shard_of(&regions);
        Self { context: Arc::clone(context), shard, regions, owner: Arc::default() }
    }

    /// Returns whether this is the main shard, for jobs without a restriction to regions. Only its owner
    /// gives orders and has duties.
    pub(crate) fn is_main(&self) -> bool {
        self.regions.is_all()
    }

    /// Returns the shard's name for metrics; `None` for the main shard, whose metrics have no such label.
    pub(crate) fn metric_label(&self) -> Option<&str> {
        (!self.is_main()).then_some(self.shard.as_str())
    }

    /// Returns whether a member may own this shard or store its log.
    pub(crate) fn allows(&self, member: &Member) -> bool {
        self.regions.allows_zone(&self.context.settings.places.zones, member.zone.as_str())
    }

    /// Returns whether this node may own it.
    pub(crate) fn allows_this_node(&self) -> bool {
        self.regions.allows_zone(&self.context.settings.places.zones, self.context.zone.as_str())
    }

    /// Returns the members that can become its owner.
    pub(crate) fn coordinators(&self) -> Vec<Arc<Member>> {
        let cluster = self.context.cluster.load();
        let coordinators = cluster.members.iter().filter(|member| member.roles.coordinator);
        coordinators.filter(|member| self.allows(member)).cloned().collect()
    }

    /// Returns the stores that may store its log.
    pub(crate) fn stores(&self) -> Vec<Arc<Member>> {
        let cluster = self.context.cluster.load();
        let stores = cluster.members.iter().filter(|member| member.roles.store);
        stores.filter(|member| self.allows(member)).cloned().collect()
    }

    /// Returns the lack of members that keeps the shard from getting an owner and a log; `None` if there are
    /// enough or it has them already.
    pub(crate) fn shortage(&self) -> Option<Shortage> {
        let (coordinators, stores) = (self.coordinators().len(), self.stores().len());
        let exists = self.known_owner().is_some() || self.context.replica_sets.get(&self.shard).is_some();
        // The owner replaces lost members of an existing set, so one store is enough.
        let needed = if exists { 1 } else { self.context.settings.store.set_size.minimum_members() };
        (coordinators == 0 || stores < needed).then_some(Shortage { coordinators, stores, needed })
    }

    /// Returns whether nothing was ever stored in this shard, according to the stores and the platform.
    pub(crate) async fn was_never_created(&self) -> bool {
        replica_sets::find_among_stores(&self.context, &self.shard).await.is_none()
            && replica_sets::has_no_document(&self.context, &self.shard).await
    }

    /// Returns the last known owner.
    pub(crate) fn known_owner(&self) -> Option<NodeId> {
        self.owner.load().as_ref().map(|owner| NodeId::clone(owner))
    }

    /// Sends a request to a node that may own the shard.
    pub(crate) async fn call_peer(
        &self,
        address: SocketAddr,
        request: BatchRequest,
        deadline: Duration,
    ) -> Result<BatchResponse, PeerError> {
        self.call_through(&self.context.peers, address, request, deadline).await
    }

    /// Like [`Self::call_peer`], through other connections than those of this node's other calls.
    pub(crate) async fn call_through(
        &self,
        peers: &PeerClients,
        address: SocketAddr,
        request: BatchRequest,
        deadline: Duration,
    ) -> Result<BatchResponse, PeerError> {
        if self.is_main() {
            return peers.batch(address, request, deadline).await;
        }
        peers.regional_batch(address, self.shard.clone(), request, deadline).await
    }
}
