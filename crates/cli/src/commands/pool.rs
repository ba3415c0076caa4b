//! `pool list`: lists pools and their replicas.

use lichenpulley_core::identity::PoolName;
use lichenpulley_protocol::operator::PoolStatus;

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the pools and their replicas, as known to one node.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, pool: Option<&PoolName>, output: &mut Output<'_>) -> Result<(), CliError> {
    let mut pools: Vec<PoolStatus> = client.get("/v1/pools").await?;
    pools.retain(|status| pool.is_none_or(|pool| pool == &status.pool));
    output.result(&pools, || describe(&pools))
}

fn describe(pools: &[PoolStatus]) -> String {
    let mut table = Table::new(&["POOL", "REPLICA", "ZONE", "ELIGIBILITY", "IN FLIGHT", "LIMIT", "WEIGHTS"]);
    for pool in pools {
        for replica in &pool.replicas {
            let weights =
                replica.weight_version.map_or_else(|| "-".to_owned(), |version| version.to_string());
            table.row(vec![
                pool.pool.to_string(),
                replica.replica.to_string(),
                replica.zone.to_string(),
                replica.eligibility.clone(),
                replica.in_flight.to_string(),
                replica.concurrency_limit.to_string(),
                weights,
            ]);
        }
    }
    table.render()
}
