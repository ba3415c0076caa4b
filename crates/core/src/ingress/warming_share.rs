//! Computes each sender's share of the rate that a cold replica can handle, without coordination messages.
//!
//! The owner of batch jobs and the gateways split the rate according to the routes of the service. The gateways'
//! part is given to a few of them, chosen by rendezvous hashing for each replica; the others send nothing there.
//! A sender's share does not depend on the number of gateways it observes. A node with an incomplete view has the
//! same small share as any other, so the total is bounded by how far the views differ. For the rationale, see
//! docs/design/cold-replicas.md.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::routes::{ColdBounds, Route, RouteKind, RouteTable};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Load that a cold replica tolerates within one second, as a multiple of its rate. See
/// docs/design/cold-replicas.md.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Requests that a cold replica tolerates within one second in addition. See docs/design/cold-replicas.md.
const OVERLOAD_SLACK: f64 = 5.0;
/// Interval at which requests must be admitted to arrive at least one second apart: one second plus 0.3 s, the
/// maximum time that a request may wait for its connection after it was admitted.
pub const SEND_WINDOW: Duration = Duration::from_millis(1_300);
/// Maximum number of gateways that send to one cold replica.
const MAX_GATEWAYS: f64 = 10.0;
/// Time for which a gateway that is no longer observed keeps its place in the order. During a network partition
/// of up to this length, neither side uses the places of the other.
const GATEWAY_RETENTION: Duration = Duration::from_secs(60);
/// Minimum time from the start of a node until its view of the members is used; keeps a node that knows few
/// gateways from taking the places of others.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Minimum time without a newly observed member before the view of a starting node is used.
const MIN_QUIET_TIME: Duration = Duration::from_secs(2);

/// The role of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderRole {
    /// The owner of batch jobs; sends items and the requests that score them.
    Owner,
    /// A gateway; sends callers' plain requests and streams.
    Gateway,
}

/// The share of a role's senders in the rate of one cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderShare {
    /// Number of senders: the first ones in the replica's order.
    pub senders: usize,
    /// Minimum time between two requests of one sender.
    pub interval: Duration,
}

/// The rate of a service's cold replicas, split by role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingBudget {
    /// The service's bounds.
    pub bounds: ColdBounds,
    owner_rate: f64,
    gateway_rate: f64,
}

impl WarmingBudget {
    /// Returns the budget of a service; `None` if its replicas are never cold. If both roles may send, each gets
    /// half; otherwise one gets all of it.
    pub fn of(routes: &RouteTable, service: &str) -> Option<Self> {
        let bounds = routes.services.get(service)?.cold?;
        let targets_service = |route: &&Route| route.services.iter().any(|part| part.service == service);
        let is_batch = |route: &Route| route.kind == RouteKind::Batch;
        let sends_items = routes.routes.iter().filter(targets_service).any(is_batch);
        let serves_callers = routes.routes.iter().filter(targets_service).any(|route| !is_batch(route));
        // Items may be scored by any plain service.
        let sends_scores = serves_callers && routes.routes.iter().any(is_batch);
        let (owner_part, gateway_part) = match (sends_items || sends_scores, serves_callers) {
            (true, true) => (0.5, 0.5),
            (true, false) => (1.0, 0.0),
            (false, _) => (0.0, 1.0),
        };
        let rate = bounds.per_second;
        Some(Self { bounds, owner_rate: rate * owner_part, gateway_rate: rate * gateway_part })
    }

    /// Returns the share of each sender of a role in one replica's rate; `None` if the role sends nothing there.
    pub fn share(&self, role: SenderRole) -> Option<SenderShare> {
        match role {
            SenderRole::Owner => {
                let interval = Duration::try_from_secs_f64(1.0 / self.owner_rate).ok()?;
                Some(SenderShare { senders: 1, interval })
            }
            SenderRole::Gateway => self.gateway_share(),
        }
    }

    /// Returns the share of each gateway.
    ///
    /// Invariant: two disjoint sets of gateways that don't observe each other, together with the owner, stay within
    /// the load that a replica tolerates.
    fn gateway_share(&self) -> Option<SenderShare> {
        if self.gateway_rate <= 0.0 {
            return None;
        }
        let tolerated_load = self.bounds.per_second * OVERLOAD_FACTOR + OVERLOAD_SLACK;
        let owner_load = (self.owner_rate * SEND_WINDOW.as_secs_f64()).ceil();
        let load_per_set = (tolerated_load - owner_load) / 2.0;
        let senders = load_per_set.floor().clamp(1.0, MAX_GATEWAYS);
        let requests_per_window = (self.gateway_rate.min(load_per_set) / senders).floor().max(1.0);
        let interval_s = (SEND_WINDOW.as_secs_f64() / requests_per_window).max(senders / self.gateway_rate);
        let interval = Duration::try_from_secs_f64(interval_s).ok()?;
        Some(SenderShare { senders: senders as usize, interval })
    }
}

/// One gateway's view of the gateways, which determines their order for each cold replica.
#[derive(Clone, Debug)]
pub struct GatewayOrder {
    own_node: NodeId,
    /// When each gateway was last observed.
    observed: BTreeMap<NodeId, Timestamp>,
    started_at: Timestamp,
    last_joined_at: Timestamp,
    is_settled: bool,
}

impl GatewayOrder {
    /// Creates the view of a node that has just started.
    pub const fn new(own_node: NodeId, now: Timestamp) -> Self {
        Self { own_node, observed: BTreeMap::new(), started_at: now, last_joined_at: now, is_settled: false }
    }

    /// Records the gateways that are believed alive, including this one. `is_joined` states whether the node has
    /// met another member, or has none to meet.
    pub fn observe<'a>(&mut self, live: impl Iterator<Item = &'a NodeId>, is_joined: bool, now: Timestamp) {
        for node in live {
            match self.observed.get_mut(node) {
                Some(observed_at) => *observed_at = now,
                None => {
                    self.observed.insert(node.clone(), now);
                    self.last_joined_at = now;
                }
            }
        }
        self.observed.retain(|_, observed_at| now.saturating_since(*observed_at) < GATEWAY_RETENTION);
        let is_quiet = now.saturating_since(self.last_joined_at) >= MIN_QUIET_TIME;
        let is_old = now.saturating_since(self.started_at) >= MIN_SETTLE_TIME;
        self.is_settled |= is_joined && is_quiet && is_old;
    }

    /// Returns a hash seed specific to this node.
    pub fn seed(&self) -> u64 {
        xxh3_64(self.own_node.as_str().as_bytes())
    }

    /// Whether this node is among the first `senders` gateways for a replica.
    pub(crate) fn is_sender(&self, replica: &str, senders: usize) -> bool {
        if !self.is_settled {
            return false;
        }
        let own_rank = rank(&self.own_node, replica);
        let before =
            self.observed.keys().filter(|node| **node != self.own_node && rank(node, replica) > own_rank);
        before.take(senders).count() < senders
    }
}

/// Returns the rank of a node for a replica, by highest random weight hashing (Thaler and Ravishankar 1998). It is
/// the same on every node.
fn rank<'a>(node: &'a NodeId, replica: &str) -> (u64, &'a NodeId) {
    (xxh3_64_with_seed(node.as_str().as_bytes(), xxh3_64(replica.as_bytes())), node)
}
