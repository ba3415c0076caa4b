//! `drain`.

use hyper::Method;
use lichenpulley_core::identity::ReplicaId;
use lichenpulley_protocol::engine::OrderAccepted;

use crate::client::{Client, percent_encode};
use crate::error::CliError;
use crate::output::Output;

/// Orders a replica to finish what runs and to take nothing new. Repeating it changes nothing.
///
/// # Errors
/// See [`CliError`].
pub async fn drain(client: &Client, replica: &ReplicaId, output: &mut Output<'_>) -> Result<(), CliError> {
    let path = format!("/v1/replicas/{}/drain", percent_encode(replica.as_str()));
    let accepted: OrderAccepted = client.send(Method::POST, &path, &serde_json::json!({})).await?;
    output.result(&accepted, || {
        let load = &accepted.load;
        format!(
            "{} takes no new work; {} requests run and {} wait there",
            accepted.replica, load.running, load.queued
        )
    })
}
