//! Endpoint that lists the tenants of the configuration in force on this node. Keys and their digests are never shown.

use hyper::{Response, StatusCode};
use lichenpulley_core::ingress::tenants::{Tenant, TenantDirectory};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use lichenpulley_protocol::operator::{TenantStatus, TenantsDocument};

use crate::context::Context;
use crate::http::{Body, response};

/// Lists the tenants in the order of the configuration.
pub(super) fn list(context: &Context) -> Response<Body> {
    let Some(table) = context.metadata.routes.load_full() else { return no_configuration() };
    let tenants = table.tenants.as_ref().map(TenantDirectory::tenants);
    let document = TenantsDocument {
        version: table.version,
        tenants: tenants.map(|tenants| tenants.iter().map(status).collect()),
    };
    response::json(StatusCode::OK, &document)
}

fn status(tenant: &Tenant) -> TenantStatus {
    TenantStatus {
        tenant: tenant.name.clone(),
        priority: tenant.priority,
        regions: tenant.regions.named().map(ToString::to_string).collect(),
        keys: tenant.keys.len(),
    }
}

fn no_configuration() -> Response<Body> {
    let body = ErrorBody {
        execution: Some(Execution::NotRun),
        ..ErrorBody::new(
            "no_configuration",
            "this node has no configuration of the platform",
            "ask a node that has read it; a node reads it only if `platform.metadata_store` is set",
        )
    };
    response::error(StatusCode::SERVICE_UNAVAILABLE, &body)
}
