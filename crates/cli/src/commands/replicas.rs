//! `replicas`: lists what a gateway may send to each replica.

use lichenpulley_protocol::operator::{ColdStatus, ReplicaSendStatus};

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows, for each replica that the platform lists, whether a gateway may send requests to it and at which rate.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, service: Option<&str>, output: &mut Output<'_>) -> Result<(), CliError> {
    let mut replicas: Vec<ReplicaSendStatus> = client.get("/v1/replicas").await?;
    replicas.retain(|status| service.is_none_or(|service| service == status.service));
    output.result(&replicas, || describe(&replicas))
}

fn describe(replicas: &[ReplicaSendStatus]) -> String {
    let mut table = Table::new(&[
        "SERVICE", "REPLICA", "ZONE", "STATE", "CAUSE", "SINCE MS", "LEFT MS", "EVERY MS", "SENT",
    ]);
    for status in replicas {
        let cold =
            |show: fn(&ColdStatus) -> String| status.cold.as_ref().map_or_else(|| "-".to_owned(), show);
        table.row(vec![
            status.service.clone(),
            status.replica.clone(),
            status.zone.clone(),
            status.state.as_str().to_owned(),
            cold(|cold| cold.cause.clone()),
            cold(|cold| cold.since_ms.to_string()),
            cold(|cold| cold.left_ms.to_string()),
            cold(|cold| cold.interval_ms.map_or_else(|| "never".to_owned(), |interval| interval.to_string())),
            cold(|cold| cold.sent.to_string()),
        ]);
    }
    table.render()
}
