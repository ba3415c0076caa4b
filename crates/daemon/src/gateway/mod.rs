//! Serves callers of the project's own interface: routes each request to an engine and returns its answer.
//!
//! `completions` reads requests and writes answers, [`dispatcher`] starts a run for each request, `runner`
//! drives the run with the core's `request::execution`, and `pools` holds the state of the engines. Relies on
//! the machine list and the settings tree.

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

/// Handles requests on the callers' port. Cheap to clone.
#[derive(Clone)]
pub struct Gateway {
    context: Context,
    dispatcher: Dispatcher,
    coordinator: Coordinator,
}

impl Gateway {
    /// Creates a gateway that runs generations through the node's dispatcher and forwards requests about jobs
    /// and weights to the owners of their shards.
    pub const fn new(context: Context, dispatcher: Dispatcher, coordinator: Coordinator) -> Self {
        Self { context, dispatcher, coordinator }
    }

    /// Handles one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/v1/completions" && request.method() == Method::POST {
            return completions::handle(&self.dispatcher, request).await;
        }
        if coordinator::http::handles_path(&path) {
            return coordinator::http::handle(&self.context, &self.coordinator, request).await;
        }
        response::not_found(&path)
    }
}
