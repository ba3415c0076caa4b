//! The operators' interface over HTTP.

mod config;
mod decisions;
mod health;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::context::Context;
use crate::http::{Body, response};

/// Answers operators. Cheap to clone.
#[derive(Clone)]
pub struct Operators {
    context: Context,
}

impl Operators {
    /// For one node.
    pub fn new(context: Context) -> Self {
        Self { context }
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
            (&Method::GET, ["v1", "config"]) => config::whole(&self.context),
            (&Method::GET, ["v1", "config", "effective"]) => config::effective(&self.context, &request),
            (&Method::PUT, ["v1", "config"]) => config::change(&self.context, request).await,
            _ => response::not_found(&path),
        }
    }
}
