//! Endpoints of liveness, readiness and metrics.

use hyper::{Response, StatusCode};
use lichenpulley_protocol::error::ErrorBody;

use crate::context::Context;
use crate::http::{Body, response};

/// Answers the liveness check.
pub(super) fn alive() -> Response<Body> {
    response::text(StatusCode::OK, "alive\n")
}

/// Answers the readiness check: whether the node accepts new work.
pub(super) fn ready(context: &Context) -> Response<Body> {
    if context.draining.is_cancelled() {
        let body = ErrorBody::new(
            "stopping",
            format!("{} finishes what runs and takes nothing new", context.node),
            "send new work to another node",
        );
        return response::error(StatusCode::SERVICE_UNAVAILABLE, &body);
    }
    if !context.configuration.load().known {
        let body = ErrorBody::new(
            "configuration_unknown",
            format!("{} has not learnt yet which configuration is in force", context.node),
            "wait; if it lasts, bring up the object API or a node that has been running",
        );
        return response::error(StatusCode::SERVICE_UNAVAILABLE, &body);
    }
    response::text(StatusCode::OK, "ready\n")
}

/// Returns the metrics in the Prometheus text format.
pub(super) fn metrics(context: &Context) -> Response<Body> {
    context.metrics.set_request_body_bytes(context.body_memory.held_bytes());
    match context.metrics.encode() {
        Ok(text) => response::text(StatusCode::OK, text),
        Err(error) => {
            log::error!(target: "operators", "Failed to encode the metrics: {error}.");
            let body = ErrorBody::new(
                "metrics_failed",
                format!("the metrics can't be written: {error}"),
                "restart the node and report this as a fault",
            );
            response::error(StatusCode::INTERNAL_SERVER_ERROR, &body)
        }
    }
}
