//! Write-once claims on the ids of requests that may run at most once (brief point 6).

use lichenpulley_core::identity::{AttemptId, RequestId};

use crate::context::Context;

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// A majority granted it to this attempt: only this attempt may send the request to an engine.
    Granted,
    /// Another attempt holds the id, or may: this one must not send.
    Held,
    /// The id is older than claims are kept: refused, since an earlier claim may have been forgotten.
    Expired,
    /// No majority answered. This attempt must not send, and nobody else can be sure either.
    NoMajority,
}

/// Claims a request id for one attempt. Only `Granted` allows a dispatch.
pub async fn claim(
    _context: &Context,
    _request: &RequestId,
    _issued_at_unix_ms: u64,
    _attempt: &AttemptId,
) -> ClaimOutcome {
    ClaimOutcome::NoMajority
}
