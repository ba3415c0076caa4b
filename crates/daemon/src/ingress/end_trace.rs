//! Records as decisions what became of a caller's end of a batch job at this node: that it was read, and how
//! it was answered or that its caller left before.

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::BatchId;
use lichenpulley_protocol::internal::BatchResponse;
use std::sync::Arc;
use tokio::time::Instant;

use crate::context::Context;

/// One end that was read. Dropping it unanswered tells that its caller has left.
pub(super) struct EndTrace {
    context: Context,
    batch: BatchId,
    read_at: Instant,
    is_answered: bool,
}

impl EndTrace {
    /// An end was read.
    pub(super) fn begin(context: &Context, batch: &BatchId) -> Self {
        context.decisions.record(Decision::new(Component::Rollout, "end_read", "caller", batch));
        let (context, batch) = (Arc::clone(context), batch.clone());
        Self { context, batch, read_at: Instant::now(), is_answered: false }
    }

    /// It is answered by what the owner said.
    pub(super) fn answered(&mut self, response: &BatchResponse) {
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
