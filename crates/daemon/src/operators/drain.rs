//! Draining a replica: a fenced order, given by the owner of its pool's weights.

use hyper::{Response, StatusCode};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{PoolName, ReplicaId};
use lichenpulley_protocol::engine::{LoadReport, OrderAccepted};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};

use super::Operators;
use crate::coordinator;
use crate::directory::ReplicaEntry;
use crate::http::{Body, response};

impl Operators {
    /// Orders a replica to finish what runs and to take nothing new.
    pub(super) async fn drain(&self, replica: &ReplicaId) -> Response<Body> {
        let Some((pool, entry)) = self.find(replica) else { return unknown_replica(replica) };
        let request =
            CoordinatorRequest::ChangeRole { pool: pool.clone(), replica: replica.clone(), draining: true };
        match coordinator::ask_owner(&self.context, &self.coordinator, request).await {
            CoordinatorResponse::RoleChanged => {
                self.record_drain(&pool, replica);
                self.accepted(entry).await
            }
            refusal => coordinator::http::answer(refusal),
        }
    }

    fn find(&self, replica: &ReplicaId) -> Option<(PoolName, ReplicaEntry)> {
        let directory = self.context.directory.load();
        let mut entries =
            directory.pools.iter().flat_map(|(pool, entries)| entries.iter().map(move |entry| (pool, entry)));
        let found = entries.find(|(_, entry)| &entry.replica == replica);
        found.map(|(pool, entry)| (pool.clone(), entry.clone()))
    }

    fn record_drain(&self, pool: &PoolName, replica: &ReplicaId) {
        let decision =
            Decision::new(Component::Drain, "drained", "operator_asked", replica).with("pool", pool);
        self.context.decisions.record(decision);
    }

    /// The order was taken; the engine itself says what still runs there.
    async fn accepted(&self, entry: ReplicaEntry) -> Response<Body> {
        let timeout = self.context.settings.coordinator.call_timeout;
        let load: Result<LoadReport, _> = self.client.get_json(entry.address, "/v1/load", timeout).await;
        match load {
            Ok(load) => {
                let accepted = OrderAccepted { replica: entry.replica, load };
                response::json(StatusCode::OK, &accepted)
            }
            Err(error) => {
                let body = ErrorBody::new(
                    "load_unknown",
                    format!("{} drains, but its load can't be read: {error}", entry.replica),
                    "the order stands; look at `lichenpulley pool list` for what still runs there",
                );
                response::error(StatusCode::BAD_GATEWAY, &body)
            }
        }
    }
}

fn unknown_replica(replica: &ReplicaId) -> Response<Body> {
    let body = ErrorBody::new(
        "unknown_replica",
        format!("no pool has a replica {replica}"),
        "`lichenpulley pool list` shows the replicas",
    );
    response::error(StatusCode::NOT_FOUND, &body)
}
