//! Submits the demonstration's job and asks how it stands.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lichenpulley_core::identity::JobId;
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_protocol::caller::{JobSpecification, JobStatus};

use crate::error::LabError;

/// How long an owner of the job may take to be found.
const SUBMIT_LIMIT: Duration = Duration::from_secs(10);

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Waited before the job is submitted again; repeating a submission changes nothing.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Samples of one step.
pub fn samples_per_step(specification: &JobSpecification) -> u32 {
    let prompts = u32::try_from(specification.prompts.len()).unwrap_or(u32::MAX);
    prompts.saturating_mul(specification.samples_per_prompt)
}

/// Submits a job, at one gateway after the other until one has taken it.
///
/// # Errors
/// When none takes it in time.
pub async fn submit(
    gateways: &[SocketAddr],
    specification: &JobSpecification,
) -> Result<JobStatus, LabError> {
    let client = HttpClient::new(CALL_TIMEOUT);
    let begin = Instant::now();
    let mut refusal = "no gateway is named".to_owned();
    for gateway in gateways.iter().cycle() {
        match client.post_json(*gateway, "/v1/jobs", specification, CALL_TIMEOUT).await {
            Ok(status) => return Ok(status),
            Err(error) => refusal = error.to_string(),
        }
        if begin.elapsed() > SUBMIT_LIMIT {
            break;
        }
        tokio::time::sleep(REPEAT_DELAY).await;
    }
    Err(LabError::Part { part: "job", message: format!("not taken within {SUBMIT_LIMIT:?}: {refusal}") })
}

/// How a job stands, from the first gateway that knows.
///
/// # Errors
/// When none knows.
pub async fn status(gateways: &[SocketAddr], job: &JobId) -> Result<JobStatus, LabError> {
    let client = HttpClient::new(CALL_TIMEOUT);
    let mut refusal = "no gateway is named".to_owned();
    for gateway in gateways {
        match client.get_json(*gateway, &format!("/v1/jobs/{job}"), CALL_TIMEOUT).await {
            Ok(status) => return Ok(status),
            Err(error) => refusal = error.to_string(),
        }
    }
    Err(LabError::Part { part: "job", message: refusal })
}
