//! `ends`: lists the ends of jobs that are not known to be committed.

use lichenpulley_protocol::operator::PendingEndStatus;

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the ends of jobs that a node has read and that are not known to be committed.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, output: &mut Output<'_>) -> Result<(), CliError> {
    let pending: Vec<PendingEndStatus> = client.get("/v1/ends").await?;
    output.result(&pending, || describe(&pending))
}

fn describe(pending: &[PendingEndStatus]) -> String {
    let mut table = Table::new(&["JOB", "FROM", "HELD FOR MS", "TIMES ASKED"]);
    for end in pending {
        table.row(vec![
            end.batch.clone(),
            end.source.clone(),
            end.held_for_ms.to_string(),
            end.questions.to_string(),
        ]);
    }
    table.render()
}
