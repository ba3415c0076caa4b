//! Records decisions about a caller's request to end a batch job: when it was read, and how it was answered
//! or that the caller disconnected first; or that it is not held, and why.

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::BatchId;
use lichenpulley_protocol::internal::BatchResponse;
use std::sync::Arc;
use tokio::time::Instant;

use crate::context::Context;

/// Records that an end is not held, because its caller's key is not in the configuration or no configuration came in
/// time.
pub(super) fn record_refused(context: &Context, batch: &BatchId, reason: &str) {
    context.decisions.record(Decision::new(Component::Rollout, "end_refused", reason, batch));
}

/// Traces one request to end a batch job. Dropping it unanswered records that the caller disconnected.
pub(super) struct EndTrace {
    context: Context,
    batch: BatchId,
    read_at: Instant,
    is_answered: bool,
}

impl EndTrace {
    /// Records that the request was read.
    pub(super) fn begin(context: &Context, batch: &BatchId) -> Self {
        context.decisions.record(Decision::new(Component::Rollout, "end_read", "caller", batch));
        let (context, batch) = (Arc::clone(context), batch.clone());
        Self { context, batch, read_at: Instant::now(), is_answered: false }
    }

    /// Records the owner's response as the answer.
    pub(super) fn record_answer(&mut self, response: &BatchResponse) {
        self.is_answered = true;
        let reason = match response {
            BatchResponse::Ended => "kept",
            BatchResponse::Unknown => "unknown",
            BatchResponse::InDoubt => "in_doubt",
            _ => "no_owner",
        };
        self.record("end_answered", reason);
    }

    fn record(&self, action: &str, reason: &str) {
        let decision = Decision::new(Component::Rollout, action, reason, &self.batch);
        let waited_ms = self.read_at.elapsed().as_millis();
        self.context.decisions.record(decision.with("waited_ms", waited_ms));
    }
}

impl Drop for EndTrace {
    fn drop(&mut self) {
        if !self.is_answered {
            self.record("end_unanswered", "caller_left");
        }
    }
}
