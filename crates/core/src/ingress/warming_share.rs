//! How much of the rate that a cold replica can take each sender may send, agreed on without a message.
//!
//! Inputs: the service's cold bounds and the routes, the gateways that this node observed, the time. Units:
//! requests a second, [`Duration`] between two requests. What was weighed: docs/design/cold-replicas.md.
//!
//! The owner of the batch jobs and the gateways split the budget of a service by what its routes let each of
//! them send. The gateways' part of a replica's budget goes to a few of them, chosen by rendezvous hashing;
//! the others send nothing there. A sender's share never grows with what it fails to see: one that knows few
//! members has the same small share as any other, so the sum is bounded by how far the views differ.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::routes::{ColdBounds, Route, RouteKind, RouteTable};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// What a cold replica survives in one second, as a multiple of its rate. See
/// docs/design/cold-replicas.md.
const OVERLOAD_FACTOR: f64 = 1.5;
/// What it survives in one second beyond that, in requests. See docs/design/cold-replicas.md.
const OVERLOAD_SLACK: f64 = 5.0;
/// Requests counted at intervals of at least this over a second don't come closer than a second: one may wait
/// 0.3 s for its connection, the longest time-out of a sender, while the next leaves at once.
pub const SEND_WINDOW: Duration = Duration::from_millis(1_300);
/// The most gateways that send to one cold replica. With more of them, each seldom, a caller's gateway is
/// more likely to be one; a replica with a high rate gives each more. Chosen, not measured.
const MAX_GATEWAYS: f64 = 10.0;
/// A gateway that is not observed any more keeps its place in the order for this time: during a cut both
/// sides leave the places of the other free. Chosen, not measured: a cut that lasts longer than this lets
/// both sides use all places.
const GATEWAY_RETENTION: Duration = Duration::from_secs(60);
/// The least time from the start of a node until its view of the members counts. Chosen, not measured:
/// shorter lets a node that knows few gateways take the place of others.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// A node that starts learns of no further member for this time before its view counts. Chosen, not measured,
/// as above.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Who sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderRole {
    /// The owner of the batch jobs: items, and the requests that score them.
    Owner,
    /// A gateway: plain requests and streams of callers.
    Gateway,
}

/// How many senders of a role send to one cold replica, and how often each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderShare {
    /// Senders; the first so many in the replica's order.
    pub senders: usize,
    /// The time between two requests of one of them.
    pub interval: Duration,
}

/// The rate of the replicas of a service while they are cold, split by role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingBudget {
    /// The bounds of the service.
    pub bounds: ColdBounds,
    owner_rate: f64,
    gateway_rate: f64,
}

impl WarmingBudget {
    /// The budget of a service. Both roles get half of it where both may send; otherwise the one that does
    /// gets all. `None` where its replicas are never cold.
    pub fn of(routes: &RouteTable, service: &str) -> Option<Self> {
        let bounds = routes.services.get(service)?.cold?;
        let leads_here = |route: &&Route| route.services.iter().any(|part| part.service == service);
        let is_batch = |route: &Route| route.kind == RouteKind::Batch;
        let takes_items = routes.routes.iter().filter(leads_here).any(is_batch);
        let takes_callers = routes.routes.iter().filter(leads_here).any(|route| !is_batch(route));
        // Items may name any plain service as their scorer.
        let takes_scores = takes_callers && routes.routes.iter().any(is_batch);
        let (owner_part, gateway_part) = match (takes_items || takes_scores, takes_callers) {
            (true, true) => (0.5, 0.5),
            (true, false) => (1.0, 0.0),
            (false, _) => (0.0, 1.0),
        };
        let rate = bounds.per_second;
        Some(Self { bounds, owner_rate: rate * owner_part, gateway_rate: rate * gateway_part })
    }

    /// What each sender of a role may send to one replica; `None` where the role sends nothing there.
    pub fn share(&self, role: SenderRole) -> Option<SenderShare> {
        match role {
            SenderRole::Owner => {
                let interval = Duration::try_from_secs_f64(1.0 / self.owner_rate).ok()?;
                Some(SenderShare { senders: 1, interval })
            }
            SenderRole::Gateway => self.gateway_share(),
        }
    }

    /// Invariant: two sets of gateways that know nothing of each other, with the owner, stay within what a
    /// replica stands.
    fn gateway_share(&self) -> Option<SenderShare> {
        if self.gateway_rate <= 0.0 {
            return None;
        }
        let stands = self.bounds.per_second * OVERLOAD_FACTOR + OVERLOAD_SLACK;
        let of_owner = (self.owner_rate * SEND_WINDOW.as_secs_f64()).ceil();
        let of_each_set = (stands - of_owner) / 2.0;
        let senders = of_each_set.floor().clamp(1.0, MAX_GATEWAYS);
        let in_a_window = (self.gateway_rate.min(of_each_set) / senders).floor().max(1.0);
        let interval_s = (SEND_WINDOW.as_secs_f64() / in_a_window).max(senders / self.gateway_rate);
        let interval = Duration::try_from_secs_f64(interval_s).ok()?;
        Some(SenderShare { senders: senders as usize, interval })
    }
}

/// The gateways as one of them knows them, for the order in which they may send to a cold replica.
#[derive(Clone, Debug)]
pub struct GatewayOrder {
    own: NodeId,
    /// When each was observed last.
    observed: BTreeMap<NodeId, Timestamp>,
    began_at: Timestamp,
    newest_at: Timestamp,
    is_settled: bool,
}

impl GatewayOrder {
    /// The order as a node knows it that has just started.
    pub const fn new(own: NodeId, now: Timestamp) -> Self {
        Self { own, observed: BTreeMap::new(), began_at: now, newest_at: now, is_settled: false }
    }

    /// Takes the gateways that are believed alive, itself among them. `is_joined` says whether the node has
    /// met another member, or there is none to meet.
    pub fn observe<'a>(&mut self, live: impl Iterator<Item = &'a NodeId>, is_joined: bool, now: Timestamp) {
        for node in live {
            match self.observed.get_mut(node) {
                Some(observed_at) => *observed_at = now,
                None => {
                    self.observed.insert(node.clone(), now);
                    self.newest_at = now;
                }
            }
        }
        self.observed.retain(|_, observed_at| now.saturating_since(*observed_at) < GATEWAY_RETENTION);
        let is_quiet = now.saturating_since(self.newest_at) >= QUIET_TIME;
        let is_old = now.saturating_since(self.began_at) >= SETTLE_TIME;
        self.is_settled |= is_joined && is_quiet && is_old;
    }

    /// A number of this node's own.
    pub fn seed(&self) -> u64 {
        xxh3_64(self.own.as_str().as_bytes())
    }

    /// Whether this node stands among the first `senders` for a replica.
    pub(crate) fn is_sender(&self, replica: &str, senders: usize) -> bool {
        if !self.is_settled {
            return false;
        }
        let own = rank(&self.own, replica);
        let before = self.observed.keys().filter(|node| **node != self.own && rank(node, replica) > own);
        before.take(senders).count() < senders
    }
}

/// Highest random weight hashing (Thaler and Ravishankar 1998), the same on every node.
fn rank<'a>(node: &'a NodeId, replica: &str) -> (u64, &'a NodeId) {
    (xxh3_64_with_seed(node.as_str().as_bytes(), xxh3_64(replica.as_bytes())), node)
}
