//! `zones`, `evacuate` and `return`: list zones and change whether they are evacuated.

use hyper::Method;
use lichenpulley_protocol::operator::{ZoneChanged, ZoneStatus};

use crate::client::{Client, percent_encode};
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the zones and their state, as known to one node.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, output: &mut Output<'_>) -> Result<(), CliError> {
    let zones: Vec<ZoneStatus> = client.get("/v1/zones").await?;
    output.result(&zones, || describe(&zones))
}

/// Orders the evacuation of a zone: its replicas get no new requests.
///
/// # Errors
/// See [`CliError`].
pub async fn evacuate(client: &Client, zone: &str, output: &mut Output<'_>) -> Result<(), CliError> {
    let changed = change(client, zone, "evacuate").await?;
    output.result(&changed, || {
        format!("{zone} is to be evacuated; `lichenpulley zones` shows when a node has it in force")
    })
}

/// Ends the evacuation of a zone.
///
/// # Errors
/// See [`CliError`].
pub async fn readmit(client: &Client, zone: &str, output: &mut Output<'_>) -> Result<(), CliError> {
    let changed = change(client, zone, "return").await?;
    output.result(&changed, || format!("{zone} takes work again"))
}

async fn change(client: &Client, zone: &str, change: &str) -> Result<ZoneChanged, CliError> {
    let path = format!("/v1/zones/{}/{change}", percent_encode(zone));
    client.send(Method::POST, &path, &serde_json::json!({})).await
}

fn describe(zones: &[ZoneStatus]) -> String {
    let mut table = Table::new(&["ZONE", "STATE", "REPLICAS", "FOR MS", "THROUGH", "AGE MS"]);
    let number = |number: Option<u64>| number.map_or_else(|| "-".to_owned(), |number| number.to_string());
    for zone in zones {
        table.row(vec![
            zone.zone.clone(),
            zone.state.as_str().to_owned(),
            zone.replicas.to_string(),
            number(zone.evacuated_for_ms),
            zone.through.clone().unwrap_or_else(|| "-".to_owned()),
            number(zone.age_ms),
        ]);
    }
    table.render()
}
