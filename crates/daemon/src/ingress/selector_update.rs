//! Keeps the gateway's replica selector up to date and reports the send state of each replica to operators.
//!
//! A task polls the configuration, the replicas, the evacuated zones and the cluster members. The limits for
//! cold replicas are implemented in the core's `ingress::warmups`.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::warmups::ColdPeriod;
use lichenpulley_core::time::{Timestamp, whole_millis};
use lichenpulley_protocol::operator::{ColdStatus, ReplicaSendState, ReplicaSendStatus};
use tokio::time::MissedTickBehavior;

use super::{Ingress, SelectionState};

/// Interval between polls. A replica that turns cold is limited at once, without a poll; polling delays only
/// the end of a cold period.
const METADATA_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Updates the selector at each poll until the node has stopped.
pub(super) async fn run(ingress: Ingress) {
    let mut polls = tokio::time::interval(METADATA_POLL_INTERVAL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = ingress.context.stopped.cancelled() => return,
            _ = polls.tick() => ingress.update_selector(),
        }
    }
}

impl Ingress {
    fn update_selector(&self) {
        let (context, now) = (&self.context, self.now());
        let mut selection = self.selection();
        selection.update_routes(context.metadata.routes.load_full());
        selection.selector.gate_mut().set_evacuated(context.metadata.evacuated.load_full(), now);
        let warmups = selection.selector.gate_mut().warmups_mut();
        if let Some(order) = warmups.order_mut() {
            let cluster = context.cluster.load();
            let is_joined = cluster.members.len() > 1 || context.settings.peers.seeds.is_empty();
            let gateways = cluster.members.iter().filter(|member| member.roles.gateway);
            order.observe(gateways.map(|member| &member.node), is_joined, now);
        }
        let replicas = context.metadata.replicas.load_full();
        let is_changed = !Arc::ptr_eq(&replicas, &selection.replicas);
        let warmups = selection.selector.gate_mut().warmups_mut();
        if !warmups.is_needed() || (!is_changed && !warmups.has_cold()) {
            return;
        }
        let changes = warmups.set_replicas(replicas.records.values().map(Arc::as_ref), now);
        context.metrics.set_cold_replicas(warmups.count(now));
        selection.replicas = replicas;
        drop(selection);
        // The owner of the batch jobs records every change, a gateway only those of replicas that it may send
        // to.
        for change in changes.iter().filter(|change| change.interval.is_some()) {
            context.decisions.record(change.decision("gateway"));
        }
    }

    /// Returns the current send state of each replica at this gateway.
    pub(crate) fn replica_states(&self) -> Vec<ReplicaSendStatus> {
        let now = self.now();
        let replicas = self.context.metadata.replicas.load();
        let selection = self.selection();
        replicas.records.values().map(|record| selection.status(record, now)).collect()
    }
}

impl SelectionState {
    fn update_routes(&mut self, routes: Option<Arc<super::RouteTable>>) {
        let Some(routes) = routes else { return };
        if self.routes.as_ref().is_some_and(|current| Arc::ptr_eq(current, &routes)) {
            return;
        }
        self.selector.gate_mut().warmups_mut().set_routes(&routes);
        let early_moves = self.selector.early_moves_mut();
        early_moves.retain_services(|service| routes.services.contains_key(service));
        self.probing.retain_services(|service| routes.services.contains_key(service));
        self.routes = Some(routes);
        // Forces an update with all replicas, since services that have bounds from now on were not tracked
        // before.
        self.replicas = Arc::default();
    }

    fn status(&self, record: &ReplicaRecord, now: Timestamp) -> ReplicaSendStatus {
        let gate = self.selector.gate();
        let period = gate.warmups().cold_period(&record.id, now);
        let state = if gate.is_evacuated(record) {
            ReplicaSendState::Evacuated
        } else if record.is_draining {
            ReplicaSendState::Draining
        } else if period.is_some() {
            ReplicaSendState::Cold
        } else {
            ReplicaSendState::Warm
        };
        ReplicaSendStatus {
            replica: record.id.clone(),
            service: record.service.clone(),
            zone: record.zone.clone(),
            state,
            cold: period.map(|period| cold_status(period, now)),
        }
    }
}

fn cold_status(period: &ColdPeriod, now: Timestamp) -> ColdStatus {
    ColdStatus {
        cause: period.cause.as_str().to_owned(),
        since_ms: whole_millis(now.saturating_since(period.since)),
        left_ms: whole_millis(period.until.saturating_since(now)),
        interval_ms: period.interval.map(whole_millis),
        sent: period.sent,
    }
}
