//! Answers load balancers whether this node takes new connections: it must know what it may send to which
//! replica.

use hyper::{Response, StatusCode};

use crate::context::Context;
use crate::http::{Body, response};

/// Ready once the configuration and the evacuated zones are known, until a planned stop begins.
pub fn answer(context: &Context) -> Response<Body> {
    let has_routes = context.metadata.routes.load().is_some() && context.metadata.knows_evacuations();
    let is_ready = has_routes && !context.draining.is_cancelled();
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    response::empty(status)
}
