//! `regions`: lists regions, shards of batch jobs and refusals.

use lichenpulley_protocol::operator::RegionsDocument;

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the regions, the shards of batch jobs, and the requests that a node refused because of region restrictions.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, output: &mut Output<'_>) -> Result<(), CliError> {
    let document: RegionsDocument = client.get("/v1/regions").await?;
    output.result(&document, || describe(&document))
}

fn describe(document: &RegionsDocument) -> String {
    let mut regions = Table::new(&["REGION", "ZONES", "NODES", "COORDINATORS", "STORES", "REPLICAS"]);
    for status in &document.regions {
        let counts = [status.nodes, status.coordinators, status.stores, status.replicas];
        let mut row = vec![status.region.clone(), status.zones.join(" ")];
        row.extend(counts.map(|count| count.to_string()));
        regions.row(row);
    }
    let mut shards = Table::new(&["SHARD", "REGIONS", "OWNER", "STORES", "SHORTAGE"]);
    for status in &document.shards {
        let stores: Vec<&str> = status.stores.iter().map(|store| store.as_str()).collect();
        let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        shards.row(vec![
            status.shard.clone(),
            status.regions.clone(),
            or_dash(status.owner.as_ref().map(ToString::to_string)),
            stores.join(" "),
            or_dash(status.shortage.clone()),
        ]);
    }
    let mut refusals = Table::new(&["REFUSED FOR", "REASON", "REQUESTS"]);
    for refused in &document.refusals {
        refusals.row(vec![refused.regions.clone(), refused.reason.clone(), refused.count.to_string()]);
    }
    [regions, shards, refusals].map(|table| table.render()).join("\n")
}
