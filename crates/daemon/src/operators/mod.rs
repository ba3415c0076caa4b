//! The operators' interface over HTTP: health, metrics, decisions, and the state and orders that `lichenpulley` asks for.
//!
//! Owns no state: it shows what the parts hold and hands orders to the part that carries them out. Like `node` it stands above
//! all parts.

mod config;
mod decisions;
mod drain;
mod health;
mod quarantine;
mod regions;
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

/// The parts of a node that operators ask about.
pub struct OperatorParts {
    /// The gateway of the product's own interface.
    pub dispatcher: Dispatcher,
    /// The owner of shards of control work.
    pub coordinator: Coordinator,
    /// The way to the batch jobs.
    pub batch: BatchJobs,
    /// Where the node serves callers in the platform's form.
    pub ingress: Option<Ingress>,
}

/// Answers operators. Cheap to clone.
#[derive(Clone)]
pub struct Operators {
    context: Context,
    dispatcher: Dispatcher,
    coordinator: Coordinator,
    batch: BatchJobs,
    client: HttpClient,
    /// Where the node serves callers in the platform's form.
    ingress: Option<Ingress>,
}

impl Operators {
    /// For one node.
    pub fn new(context: Context, parts: OperatorParts) -> Self {
        let client = HttpClient::new(context.settings.gateway.connect_timeout);
        let OperatorParts { dispatcher, coordinator, batch, ingress } = parts;
        Self { context, dispatcher, coordinator, batch, client, ingress }
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["healthz"]) => health::alive(),
            (&Method::GET, ["readyz"]) => health::ready(&self.context),
            (&Method::GET, ["metrics"]) => health::metrics(&self.context),
            (&Method::GET, ["v1", "decisions"]) => decisions::watch(&self.context),
            (&Method::GET, ["v1", "pools"]) => response::json(StatusCode::OK, &self.dispatcher.pools()),
            (&Method::GET, ["v1", "regions"]) => regions::answer(&self.context, &self.batch).await,
            (&Method::GET, ["v1", "replicas"]) => response::json(StatusCode::OK, &self.replicas()),
            (&Method::POST, ["v1", "replicas", replica, order]) => match DrainOrder::from_path(order) {
                Some(order) => self.order(&ReplicaId::new(percent_decode(replica)), order).await,
                None => response::not_found(&path),
            },
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
            (&Method::GET, ["v1", "config"]) => config::whole(&self.context),
            (&Method::GET, ["v1", "config", "effective"]) => config::effective(&self.context, &request),
            (&Method::PUT, ["v1", "config"]) => config::change(&self.context, request).await,
            _ => response::not_found(&path),
        }
    }

    fn replicas(&self) -> Vec<ReplicaSendStatus> {
        self.ingress.as_ref().map(Ingress::replica_states).unwrap_or_default()
    }
}
