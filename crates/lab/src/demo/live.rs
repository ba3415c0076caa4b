//! Live requests to a pool while the job runs.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::identity::PoolName;
use lichenpulley_protocol::caller::Priority;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::error::LabError;
use crate::load::{self, CallOptions, LoadOptions, LoadReport, Pacing, Target};

const REQUESTS_PER_SECOND: f64 = 50.0;
const MAX_TOKENS: u32 = 32;
const DEADLINE: Duration = Duration::from_secs(5);

/// Live requests of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct LiveSummary {
    /// The pool.
    pub pool: PoolName,
    /// What became of them, and how long they took.
    #[serde(flatten)]
    pub report: LoadReport,
}

/// Callers of one pool, who send until they are stopped.
pub struct LiveLoad {
    pool: PoolName,
    stop: CancellationToken,
    running: JoinHandle<LoadReport>,
}

impl LiveLoad {
    /// Begins to send to the gateways in turn, for `longest` at most.
    pub fn start(gateways: &[SocketAddr], pool: PoolName, longest: Duration) -> Self {
        let options = LoadOptions {
            targets: gateways.iter().copied().map(Target::Gateway).collect(),
            call: CallOptions {
                pool: pool.clone(),
                max_tokens: MAX_TOKENS,
                priority: Priority::Live,
                deadline: DEADLINE,
            },
            pacing: Pacing::Open { per_second: REQUESTS_PER_SECOND },
            duration: longest,
        };
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let running = tokio::spawn(async move { load::generate(options, &stopped).await });
        Self { pool, stop, running }
    }

    /// Sends nothing more, waits for the answers that are due, and sums up.
    ///
    /// # Errors
    /// When the load generator broke down.
    pub async fn finish(self) -> Result<LiveSummary, LabError> {
        self.stop.cancel();
        let ended = self.running.await;
        let report = ended.map_err(|error| LabError::Part { part: "load", message: error.to_string() })?;
        Ok(LiveSummary { pool: self.pool, report })
    }
}
