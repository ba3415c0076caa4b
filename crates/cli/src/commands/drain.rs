//! `drain` and `undrain`: change whether a replica accepts new requests.

use hyper::Method;
use lichenpulley_core::identity::ReplicaId;
use lichenpulley_protocol::engine::OrderAccepted;

use crate::client::{Client, percent_encode};
use crate::error::CliError;
use crate::output::Output;

/// Orders a replica to finish its running requests and to accept no new ones. The order is idempotent.
///
/// # Errors
/// See [`CliError`].
pub async fn drain(client: &Client, replica: &ReplicaId, output: &mut Output<'_>) -> Result<(), CliError> {
    let accepted = order(client, replica, "drain").await?;
    output.result(&accepted, || {
        let load = &accepted.load;
        format!(
            "{} takes no new work; {} requests run and {} wait there",
            accepted.replica, load.running, load.queued
        )
    })
}

/// Orders a drained replica to accept requests again. The order is idempotent.
///
/// # Errors
/// See [`CliError`].
pub async fn undrain(client: &Client, replica: &ReplicaId, output: &mut Output<'_>) -> Result<(), CliError> {
    let accepted = order(client, replica, "undrain").await?;
    output.result(&accepted, || format!("{} takes work again", accepted.replica))
}

async fn order(client: &Client, replica: &ReplicaId, order: &str) -> Result<OrderAccepted, CliError> {
    let path = format!("/v1/replicas/{}/{order}", percent_encode(replica.as_str()));
    client.send(Method::POST, &path, &serde_json::json!({})).await
}
