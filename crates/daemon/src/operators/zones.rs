//! Endpoints that list zones, evacuate a zone and return it to service.
//!
//! A change is written to the platform's metadata store, which every node watches. `metadata::zones` makes the calls and holds
//! this node's view.

use hyper::{Response, StatusCode};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use lichenpulley_protocol::operator::{ZoneChanged, ZoneState};

use crate::configuration::platform::WriteError;
use crate::context::Context;
use crate::http::{Body, response};
use crate::metadata::client::MetadataClient;
use crate::metadata::zones;

/// An operator's change of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ZoneChange {
    /// Send no new work to its replicas.
    Evacuate,
    /// Send work to its replicas again.
    Return,
}

impl ZoneChange {
    /// Parses the path segment of a request.
    pub(super) fn from_path(segment: &str) -> Option<Self> {
        match segment {
            "evacuate" => Some(Self::Evacuate),
            "return" => Some(Self::Return),
            _ => None,
        }
    }

    /// Returns the action of the recorded decision.
    const fn action(self) -> &'static str {
        match self {
            Self::Evacuate => "evacuation_asked",
            Self::Return => "return_asked",
        }
    }
}

/// Lists all zones in the view of this node.
pub(super) fn list(context: &Context) -> Response<Body> {
    response::json(StatusCode::OK, &zones::list(context))
}

/// Writes a change to the metadata store; responds once the store has acknowledged it.
pub(super) async fn change(context: &Context, zone: &str, change: ZoneChange) -> Response<Body> {
    let Some(client) = MetadataClient::from_settings(&context.settings) else { return no_metadata_store() };
    let (written, state) = match change {
        ZoneChange::Evacuate if !zones::is_known(context, zone) => return unknown_zone(zone),
        ZoneChange::Evacuate => (zones::evacuate(&client, zone).await, ZoneState::Evacuated),
        ZoneChange::Return => match zones::is_evacuation_requested(&client, zone).await {
            Ok(true) => (zones::readmit(&client, zone).await, ZoneState::Open),
            Ok(false) => return not_evacuated(zone),
            Err(error) => return store_unreachable(error.to_string(), Execution::NotRun),
        },
    };
    match written {
        Ok(()) => {
            let decision = Decision::new(Component::Routing, change.action(), "operator", zone);
            context.decisions.record(decision);
            response::json(StatusCode::OK, &ZoneChanged { zone: zone.to_owned(), state })
        }
        Err(WriteError::Conflict { .. }) => already_evacuated(zone),
        Err(error @ WriteError::NotWritten(_)) => store_unreachable(error.to_string(), Execution::NotRun),
        Err(error @ WriteError::InDoubt(_)) => store_unreachable(error.to_string(), Execution::Unknown),
    }
}

fn no_metadata_store() -> Response<Body> {
    let body = ErrorBody::new(
        "no_metadata_store",
        "this node knows no metadata store of the platform",
        "set `platform.metadata_store`, or ask a node that has it set",
    );
    response::error(StatusCode::NOT_FOUND, &body)
}

fn unknown_zone(zone: &str) -> Response<Body> {
    let body = ErrorBody::new(
        "unknown_zone",
        format!("neither a replica nor a node stands in zone {zone}"),
        "`lichenpulley zones` shows the zones",
    );
    response::error(StatusCode::NOT_FOUND, &body)
}

fn already_evacuated(zone: &str) -> Response<Body> {
    let body = ErrorBody::new(
        "already_evacuated",
        format!("zone {zone} is evacuated already"),
        "nothing need be done; `lichenpulley zones` shows since when it is in force",
    );
    response::error(StatusCode::CONFLICT, &body)
}

fn not_evacuated(zone: &str) -> Response<Body> {
    let body = ErrorBody::new(
        "not_evacuated",
        format!("zone {zone} is not evacuated"),
        "nothing need be done; `lichenpulley zones` shows the zones",
    );
    response::error(StatusCode::CONFLICT, &body)
}

fn store_unreachable(message: String, execution: Execution) -> Response<Body> {
    let remedy = "ask another node, or try again when the metadata store answers; repeating it does no harm";
    let mut body = ErrorBody::new("store_unreachable", message, remedy);
    body.execution = Some(execution);
    response::error(StatusCode::SERVICE_UNAVAILABLE, &body)
}
