//! Readiness check for load balancers.

use hyper::{Response, StatusCode};

use crate::context::Context;
use crate::http::{Body, response};

/// Answers a readiness check. The node is ready once the configuration, the replicas and the evacuated
/// zones are known, until it starts draining.
pub fn answer(context: &Context) -> Response<Body> {
    let knows_metadata = context.metadata.routes.load().is_some() && context.metadata.is_routable();
    let is_ready = knows_metadata && !context.draining.is_cancelled();
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    response::empty(status)
}
