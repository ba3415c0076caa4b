//! Serves callers of the project's own interface: takes a request, picks an engine, brings the whole answer
//! back.
//!
//! `completions` reads requests and writes answers, [`dispatcher`] starts a run of each, `runner` drives
//! it by the core's `request::execution`, `pools` holds what the node knows of engines. Relies on the
//! machine list and the settings tree.

mod clock;
mod completions;
pub mod dispatcher;
mod engine_client;
mod pools;
mod refusal;
mod runner;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::context::Context;
use crate::coordinator::{self, Coordinator};
use crate::http::{Body, response};
pub use dispatcher::{Dispatcher, Generation, Repetition};

/// Answers callers. Cheap to clone.
#[derive(Clone)]
pub struct Gateway {
    context: Context,
    dispatcher: Dispatcher,
    coordinator: Coordinator,
}

impl Gateway {
    /// A gateway that runs its generations through the node's dispatcher, and hands jobs and weights to the
    /// owners of their shards.
    pub const fn new(context: Context, dispatcher: Dispatcher, coordinator: Coordinator) -> Self {
        Self { context, dispatcher, coordinator }
    }

    /// Answers one request on the callers' port.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/v1/completions" && request.method() == Method::POST {
            return completions::handle(&self.dispatcher, request).await;
        }
        if coordinator::http::serves(&path) {
            return coordinator::http::handle(&self.context, &self.coordinator, request).await;
        }
        response::not_found(&path)
    }
}
