//! `quarantine` and `release`: list and release quarantined requests.

use hyper::Method;
use lichenpulley_core::quarantine::Fingerprint;
use lichenpulley_protocol::operator::{QuarantineReleased, QuarantinedRequest};

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the quarantined requests, which a node sends to no replica.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, output: &mut Output<'_>) -> Result<(), CliError> {
    let held: Vec<QuarantinedRequest> = client.get("/v1/quarantine").await?;
    output.result(&held, || describe(&held))
}

/// Releases a request from quarantine.
///
/// # Errors
/// See [`CliError`].
pub async fn release(
    client: &Client,
    fingerprint: &Fingerprint,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let path = format!("/v1/quarantine/{fingerprint}/release");
    let released: QuarantineReleased = client.send(Method::POST, &path, &serde_json::json!({})).await?;
    output.result(&released, || format!("{fingerprint} is let through again; all nodes are told"))
}

fn describe(held: &[QuarantinedRequest]) -> String {
    let mut table = Table::new(&["FINGERPRINT", "HELD FOR MS", "REPLICAS ENDED"]);
    for request in held {
        table.row(vec![
            request.fingerprint.clone(),
            request.held_for_ms.to_string(),
            request.replicas.join(" "),
        ]);
    }
    table.render()
}
