//! `job submit` and `job status`: create a rollout job and show its progress.

use hyper::Method;
use lichenpulley_core::identity::JobId;
use lichenpulley_protocol::caller::{JobSpecification, JobStatus};

use crate::client::{Client, percent_encode};
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Creates a job. Submitting the same specification again has no effect.
///
/// # Errors
/// See [`CliError`].
pub async fn submit(
    client: &Client,
    specification: &JobSpecification,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let status: JobStatus = client.send(Method::POST, "/v1/jobs", specification).await?;
    output.result(&status, || describe(&status))
}

/// Shows the progress of a job.
///
/// # Errors
/// See [`CliError`].
pub async fn status(client: &Client, job: &JobId, output: &mut Output<'_>) -> Result<(), CliError> {
    let path = format!("/v1/jobs/{}", percent_encode(job.as_str()));
    let status: JobStatus = client.get(&path).await?;
    output.result(&status, || describe(&status))
}

fn describe(status: &JobStatus) -> String {
    let mut table =
        Table::new(&["JOB", "STEP", "STEPS", "READY", "DELIVERED", "REOPENED", "IN FLIGHT", "FINISHED"]);
    table.row(vec![
        status.job.to_string(),
        status.step.to_string(),
        status.steps.to_string(),
        status.ready.to_string(),
        status.delivered.to_string(),
        status.reopened.to_string(),
        status.in_flight.to_string(),
        if status.finished { "yes" } else { "no" }.to_owned(),
    ]);
    table.render()
}
