//! Which requests count, and how the counts reach the holder of the duty.
//!
//! Owns the hand-over; what was counted and not yet taken is [`super::node_usage`]'s. Relies on the batch jobs for the
//! way to the holder.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lichenpulley_core::identity::TenantName;
use lichenpulley_core::time::{Timestamp, whole_millis};
use lichenpulley_core::usage::window::WallTime;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use tokio::time::Instant;

use crate::batch::BatchJobs;
use crate::context::Context;

/// How long counts are gathered before they are reported: one report for a busy node, and a loss of power
/// loses no more. A node that stops gathers none.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// The pause after a report that did not arrive: shorter storms a new owner, longer loses more counts with the
/// node.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A request that was sent to a replica. It counts as begun when this is dropped, unless it is known not to
/// have run: a request whose caller left, or whose answer was lost, has run.
pub struct RunCount {
    context: Context,
    at: Instant,
    tenant: Option<TenantName>,
}

impl RunCount {
    /// The request of a tenant is sent now.
    pub fn begin(context: &Context, tenant: Option<&TenantName>) -> Self {
        let tenant = tenant.filter(|_| context.usage.is_enabled).cloned();
        Self { context: Context::clone(context), at: Instant::now(), tenant }
    }

    /// It has not run.
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

/// The time of day by this machine's clock.
pub(crate) fn wall_time() -> WallTime {
    // A clock before 1970 counts as 1970: the holder of the duty goes by the clock in the middle.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(whole_millis(since))
}

/// Hands over what was counted until the node has stopped.
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
            log::warn!(target: "duties", "{lost} requests are missing from the usage: no holder took them in time.");
            dropped = dropped_now;
        }
    }
}
