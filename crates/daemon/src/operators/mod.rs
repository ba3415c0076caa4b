//! The operators' HTTP API: health, metrics, decisions, and the state and orders that the `lichenpulley` CLI uses.
//!
//! Stateless: reads the state of the other subsystems and forwards orders to them. Like `node`, it may depend on all
//! subsystems.

mod config;
mod decisions;
mod drain;
mod health;
mod quarantine;
mod queue;
mod regions;
mod tenants;
mod zones;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::identity::ReplicaId;

use crate::batch::BatchJobs;
use crate::context::Context;
use crate::coordinator::Coordinator;
use crate::gateway::Dispatcher;
use crate::http::client::HttpClient;
use crate::http::request::percent_decode;
use crate::http::{Body, response};
use crate::ingress::Ingress;
use drain::DrainOrder;
use lichenpulley_protocol::operator::ReplicaSendStatus;
use zones::ZoneChange;

/// Handles of the subsystems that the operators' API uses.
pub struct OperatorDependencies {
    /// Dispatcher of the native API.
    pub dispatcher: Dispatcher,
    /// Control shards of the native API.
    pub coordinator: Coordinator,
    /// Batch jobs.
    pub batch: BatchJobs,
    /// The platform API; set if the node serves it.
    pub ingress: Option<Ingress>,
}

/// Routes and answers operators' requests. Cheap to clone.
#[derive(Clone)]
pub struct OperatorApi {
    context: Context,
    dispatcher: Dispatcher,
    coordinator: Coordinator,
    batch: BatchJobs,
    client: HttpClient,
    /// The platform API; set if the node serves it.
    ingress: Option<Ingress>,
}

impl OperatorApi {
    /// Creates the API of a node.
    pub fn new(context: Context, dependencies: OperatorDependencies) -> Self {
        let client = HttpClient::new(context.settings.gateway.connect_timeout);
        let OperatorDependencies { dispatcher, coordinator, batch, ingress } = dependencies;
        Self { context, dispatcher, coordinator, batch, client, ingress }
    }

    /// Handles one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["healthz"]) => health::alive(),
            (&Method::GET, ["readyz"]) => health::ready(&self.context),
            (&Method::GET, ["metrics"]) => health::metrics(&self.context),
            (&Method::GET, ["v1", "decisions"]) => decisions::watch(&self.context),
            (&Method::GET, ["v1", "pools"]) => response::json(StatusCode::OK, &self.dispatcher.pools()),
            (&Method::GET, ["v1", "queue"]) => queue::list(&self.batch).await,
            (&Method::GET, ["v1", "regions"]) => regions::list(&self.context, &self.batch).await,
            (&Method::GET, ["v1", "replicas"]) => response::json(StatusCode::OK, &self.replica_states()),
            (&Method::POST, ["v1", "replicas", replica, order]) => match DrainOrder::from_path(order) {
                Some(order) => self.send_order(&ReplicaId::new(percent_decode(replica)), order).await,
                None => response::not_found(&path),
            },
            (&Method::GET, ["v1", "tenants"]) => tenants::list(&self.context),
            (&Method::GET, ["v1", "zones"]) => zones::list(&self.context),
            (&Method::POST, ["v1", "zones", zone, change]) => match ZoneChange::from_path(change) {
                Some(change) => zones::change(&self.context, &percent_decode(zone), change).await,
                None => response::not_found(&path),
            },
            (&Method::GET, ["v1", "ends"]) => response::json(StatusCode::OK, &self.batch.ends().list()),
            (&Method::GET, ["v1", "quarantine"]) => quarantine::list(&self.context),
            (&Method::POST, ["v1", "quarantine", fingerprint, "release"]) => {
                quarantine::release(&self.context, fingerprint)
            }
            (&Method::GET, ["v1", "config"]) => config::list(&self.context),
            (&Method::GET, ["v1", "config", "effective"]) => config::effective(&self.context, &request),
            (&Method::PUT, ["v1", "config"]) => config::change(&self.context, request).await,
            _ => response::not_found(&path),
        }
    }

    fn replica_states(&self) -> Vec<ReplicaSendStatus> {
        self.ingress.as_ref().map(Ingress::replica_states).unwrap_or_default()
    }
}
