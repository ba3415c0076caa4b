//! Endpoints that list and release quarantined requests, which are sent to no replica because replicas ended while they ran.
//!
//! Uses the handle of `quarantine`, which announces a release to the other nodes.

use hyper::{Response, StatusCode};
use lichenpulley_core::quarantine::Fingerprint;
use lichenpulley_protocol::error::ErrorBody;

use crate::context::Context;
use crate::http::{Body, response};

/// Lists the requests that are quarantined on this node.
pub(super) fn list(context: &Context) -> Response<Body> {
    response::json(StatusCode::OK, &context.quarantine.list())
}

/// Releases a request on all nodes.
pub(super) fn release(context: &Context, fingerprint: &str) -> Response<Body> {
    let fingerprint: Fingerprint = match fingerprint.parse() {
        Ok(fingerprint) => fingerprint,
        Err(error) => {
            let body = ErrorBody::new(
                "bad_fingerprint",
                format!("{fingerprint:?} is no fingerprint: {error}"),
                "`lichenpulley quarantine` shows those that are held",
            );
            return response::error(StatusCode::BAD_REQUEST, &body);
        }
    };
    match context.quarantine.release(context, fingerprint) {
        Some(released) => response::json(StatusCode::OK, &released),
        None => response::error(StatusCode::NOT_FOUND, &not_quarantined(fingerprint)),
    }
}

fn not_quarantined(fingerprint: Fingerprint) -> ErrorBody {
    ErrorBody::new(
        "not_quarantined",
        format!("this node knows of no replica that ended under {fingerprint}"),
        "nothing need be done; `lichenpulley quarantine` shows what is held",
    )
}
