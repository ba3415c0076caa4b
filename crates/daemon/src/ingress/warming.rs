//! Tells the gateway's gate of services, replicas and other gateways, and operators of what it makes of them.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::warmups::ColdSpell;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::operator::{ColdStatus, ReplicaSendState, ReplicaSendStatus};
use tokio::time::MissedTickBehavior;

use super::{Ingress, ReplicaChoice};

/// The pause between two looks. A record that says that a replica turned cold counts at once; what a look comes later only
/// holds a replica cold for longer.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Looks at what has changed until the node has stopped.
pub(super) async fn watch(ingress: Ingress) {
    let mut looks = tokio::time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = ingress.context.stopped.cancelled() => return,
            _ = looks.tick() => ingress.look(),
        }
    }
}

impl Ingress {
    fn look(&self) {
        let (context, now) = (&self.context, self.now());
        let mut choice = self.choice();
        choice.take_routes(context.metadata.routes.load_full());
        choice.gate.set_evacuated(context.metadata.evacuated.load_full(), now);
        let warmups = choice.gate.warmups_mut();
        if let Some(order) = warmups.order_mut() {
            let cluster = context.cluster.load();
            let is_joined = cluster.members.len() > 1 || context.settings.peers.seeds.is_empty();
            let gateways = cluster.members.iter().filter(|member| member.roles.gateway);
            order.observe(gateways.map(|member| &member.node), is_joined, now);
        }
        let replicas = context.metadata.replicas.load_full();
        let is_news = !Arc::ptr_eq(&replicas, &choice.replicas);
        let warmups = choice.gate.warmups_mut();
        if !warmups.is_needed() || (!is_news && !warmups.has_cold()) {
            return;
        }
        let changes = warmups.set_replicas(replicas.records.values(), now);
        context.metrics.set_cold_replicas(warmups.count(now));
        choice.replicas = replicas;
        drop(choice);
        // The owner tells of each; of the gateways those that send there.
        for change in changes.iter().filter(|change| change.interval.is_some()) {
            context.decisions.record(change.decision("gateway"));
        }
    }

    /// What this node's gateway may send to each replica now.
    pub fn replica_states(&self) -> Vec<ReplicaSendStatus> {
        let now = self.now();
        let replicas = self.context.metadata.replicas.load();
        let choice = self.choice();
        replicas.records.values().map(|record| choice.status(record, now)).collect()
    }
}

impl ReplicaChoice {
    fn take_routes(&mut self, routes: Option<Arc<super::RouteTable>>) {
        let Some(routes) = routes else { return };
        if self.routes.as_ref().is_some_and(|taken| Arc::ptr_eq(taken, &routes)) {
            return;
        }
        self.gate.warmups_mut().set_routes(&routes);
        self.routes = Some(routes);
        // Services that have bounds from now on have replicas that the gate was not told of.
        self.replicas = Arc::default();
    }

    fn status(&self, record: &ReplicaRecord, now: Timestamp) -> ReplicaSendStatus {
        let spell = self.gate.warmups().spell(&record.id, now);
        let state = if self.gate.is_evacuated(record) {
            ReplicaSendState::Evacuated
        } else if record.is_draining {
            ReplicaSendState::Draining
        } else if spell.is_some() {
            ReplicaSendState::Cold
        } else {
            ReplicaSendState::Warm
        };
        ReplicaSendStatus {
            replica: record.id.clone(),
            service: record.service.clone(),
            zone: record.zone.clone(),
            state,
            cold: spell.map(|spell| cold_status(spell, now)),
        }
    }
}

fn cold_status(spell: &ColdSpell, now: Timestamp) -> ColdStatus {
    ColdStatus {
        cause: spell.cause.as_str().to_owned(),
        since_ms: milliseconds(now.saturating_since(spell.since)),
        left_ms: milliseconds(spell.until.saturating_since(now)),
        interval_ms: spell.interval.map(milliseconds),
        sent: spell.sent,
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
