//! `tenants`: lists the tenants of the configuration in force.

use lichenpulley_protocol::operator::{TenantStatus, TenantsDocument};

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the tenants with their priorities, regions and numbers of keys, as one node has them in force.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, output: &mut Output<'_>) -> Result<(), CliError> {
    let document: TenantsDocument = client.get("/v1/tenants").await?;
    output.result(&document, || describe(&document))
}

fn describe(document: &TenantsDocument) -> String {
    let Some(tenants) = &document.tenants else {
        return format!(
            "Version {} of the configuration has no tenants: callers need no keys.\n",
            document.version
        );
    };
    let mut table = Table::new(&["TENANT", "PRIORITY", "REGIONS", "KEYS"]);
    for status in tenants {
        table.row(vec![
            status.tenant.to_string(),
            status.priority.map_or_else(|| "-".to_owned(), |priority| priority.to_string()),
            regions(status),
            status.keys.to_string(),
        ]);
    }
    table.render()
}

fn regions(status: &TenantStatus) -> String {
    if status.regions.is_empty() { "all".to_owned() } else { status.regions.join(" ") }
}
