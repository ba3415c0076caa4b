//! Endpoints that drain and undrain a replica of the native API.
//!
//! Forwards the order to the owner of the pool's weights, which fences it by its epoch, and waits until the engine reports
//! the new role.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Response, StatusCode};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{PoolName, ReplicaId};
use lichenpulley_protocol::engine::{EngineRole, LoadReport, OrderAccepted};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::time::{sleep, timeout};

use super::OperatorApi;
use crate::coordinator;
use crate::directory::ReplicaEntry;
use crate::http::{Body, response};

/// Interval between two queries of the engine's role.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An operator's order to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainOrder {
    /// Finish running work and accept nothing new.
    Drain,
    /// Accept new work again.
    Undrain,
}

impl DrainOrder {
    /// Parses the path segment of a request.
    pub(super) fn from_path(segment: &str) -> Option<Self> {
        match segment {
            "drain" => Some(Self::Drain),
            "undrain" => Some(Self::Undrain),
            _ => None,
        }
    }

    /// Returns the role that the engine reports after the order.
    const fn role(self) -> EngineRole {
        match self {
            Self::Drain => EngineRole::Draining,
            Self::Undrain => EngineRole::Serving,
        }
    }

    /// Returns the action of the recorded decision.
    const fn action(self) -> &'static str {
        match self {
            Self::Drain => "drained",
            Self::Undrain => "undrained",
        }
    }
}

impl OperatorApi {
    /// Sends a replica an order. Idempotent.
    pub(super) async fn send_order(&self, replica: &ReplicaId, order: DrainOrder) -> Response<Body> {
        let Some((pool, entry)) = self.find_replica(replica) else { return unknown_replica(replica) };
        let request = CoordinatorRequest::ChangeRole {
            pool: pool.clone(),
            replica: replica.clone(),
            draining: order == DrainOrder::Drain,
        };
        match coordinator::ask_owner(&self.context, &self.coordinator, request).await {
            CoordinatorResponse::RoleChanged => {
                self.record_order(&pool, replica, order);
                self.await_confirmation(entry, order).await
            }
            refusal => coordinator::http::answer(refusal),
        }
    }

    fn find_replica(&self, replica: &ReplicaId) -> Option<(PoolName, ReplicaEntry)> {
        let directory = self.context.directory.load();
        let mut entries =
            directory.pools.iter().flat_map(|(pool, entries)| entries.iter().map(move |entry| (pool, entry)));
        let found = entries.find(|(_, entry)| &entry.replica == replica);
        found.map(|(pool, entry)| (pool.clone(), entry.clone()))
    }

    fn record_order(&self, pool: &PoolName, replica: &ReplicaId, order: DrainOrder) {
        let decision =
            Decision::new(Component::Drain, order.action(), "operator_asked", replica).with("pool", pool);
        self.context.decisions.record(decision);
    }

    /// Waits until the engine reports the role. The order is in the shard's log by now and is sent again until the engine
    /// accepts it; the response claims success only once the engine has changed its role.
    async fn await_confirmation(&self, entry: ReplicaEntry, order: DrainOrder) -> Response<Body> {
        let limit = self.context.settings.coordinator.call_timeout;
        match timeout(limit, self.poll_until_role(entry.address, order.role(), limit)).await {
            Ok(load) => response::json(StatusCode::OK, &OrderAccepted { replica: entry.replica, load }),
            Err(_) => not_confirmed(&entry.replica),
        }
    }

    /// Queries the engine until it reports the role.
    async fn poll_until_role(&self, engine: SocketAddr, role: EngineRole, deadline: Duration) -> LoadReport {
        loop {
            let load: Result<LoadReport, _> = self.client.get_json(engine, "/v1/load", deadline).await;
            match load {
                Ok(load) if load.role == role => return load,
                Ok(_) => {}
                Err(error) => log::info!(target: "operators", "Can't read the engine's role: {error}."),
            }
            sleep(ROLE_POLL_INTERVAL).await;
        }
    }
}

fn not_confirmed(replica: &ReplicaId) -> Response<Body> {
    let body = ErrorBody::new(
        "not_confirmed",
        format!("the order stands, but {replica} has not confirmed it yet"),
        "it is sent until the replica takes it; `lichenpulley pool list` shows when it has",
    );
    response::error(StatusCode::GATEWAY_TIMEOUT, &body)
}

fn unknown_replica(replica: &ReplicaId) -> Response<Body> {
    let body = ErrorBody::new(
        "unknown_replica",
        format!("no pool has a replica {replica}"),
        "`lichenpulley pool list` shows the replicas",
    );
    response::error(StatusCode::NOT_FOUND, &body)
}
