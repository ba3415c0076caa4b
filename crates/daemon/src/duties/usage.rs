//! Counts requests for the usage duty and reports the counts to its holder, the owner of the main shard of
//! batch jobs. [`super::node_usage`] holds the counts that are not yet acknowledged.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lichenpulley_core::identity::TenantName;
use lichenpulley_core::time::{Timestamp, whole_millis};
use lichenpulley_core::usage::window::WallTime;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use tokio::time::Instant;

use crate::batch::BatchJobs;
use crate::context::Context;

/// Delay between the first unreported count and its report, so that a busy node sends few reports. A power
/// loss loses at most the counts of this time. A draining node reports at once.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Delay before a report that was not acknowledged is repeated.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Counts a request that was sent to a replica when it is dropped, unless [`Self::has_not_run`] was called.
/// A request whose caller disconnected, or whose answer was lost, counts as run.
pub struct RunCount {
    context: Context,
    at: Instant,
    tenant: Option<TenantName>,
}

impl RunCount {
    /// Starts counting a request of a tenant that is sent now.
    pub fn begin(context: &Context, tenant: Option<&TenantName>) -> Self {
        let tenant = tenant.filter(|_| context.usage.is_enabled).cloned();
        Self { context: Context::clone(context), at: Instant::now(), tenant }
    }

    /// Marks the request as not run, so that it is not counted.
    pub fn has_not_run(&mut self) {
        self.tenant = None;
    }
}

impl Drop for RunCount {
    fn drop(&mut self) {
        if let Some(tenant) = self.tenant.take() {
            self.context.usage.count(self.at, tenant);
        }
    }
}

/// Returns the wall-clock time of this machine.
pub(crate) fn wall_time() -> WallTime {
    // A clock before 1970 counts as 1970; the holder of the duty uses the median of the nodes' clocks.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(whole_millis(since))
}

/// Reports usage counts to the holder of the duty until the node has stopped.
pub(crate) async fn report_usage(context: Context, batch: BatchJobs) {
    if !context.usage.is_enabled {
        return;
    }
    tokio::select! {
        () = context.stopped.cancelled() => {}
        () = report_loop(&context, &batch) => {}
    }
}

async fn report_loop(context: &Context, batch: &BatchJobs) {
    let usage = &context.usage;
    let mut dropped = 0;
    loop {
        usage.counted.notified().await;
        tokio::select! {
            () = tokio::time::sleep(REPORT_DELAY) => {}
            () = context.draining.cancelled() => {}
        }
        loop {
            let now = Timestamp::ORIGIN + usage.origin.elapsed();
            let report = usage.meter().report(&usage.source, now, wall_time());
            let Some(report) = report else { break };
            let through = report.through();
            match batch.ask(BatchRequest::Usage(report)).await {
                BatchResponse::UsageKept => usage.meter().acknowledge(through),
                _ => tokio::time::sleep(REPORT_RETRY_DELAY).await,
            }
        }
        let dropped_now = usage.meter().dropped();
        if dropped_now > dropped {
            let lost = dropped_now - dropped;
            log::warn!(target: "duties", "{lost} requests are missing from the usage: no holder accepted them in time. Check that the batch jobs have an owner.");
            dropped = dropped_now;
        }
    }
}
