//! What gateways are asked, what they answer, and what they send.

use std::rc::Rc;

use lichenpulley_core::identity::{ReplicaId, RequestId};
use lichenpulley_core::request::outcome::RequestOutcome;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::StreamRequest;

/// A caller's request as a gateway gets it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Which submission of the schedule this is.
    pub number: usize,
    /// The request as it goes to an engine.
    pub stream: StreamRequest,
    /// Its id.
    pub request: RequestId,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When the answer is of no use any more.
    pub deadline: Timestamp,
}

/// What a caller was answered.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Which submission.
    pub number: usize,
    /// The outcome.
    pub outcome: Rc<RequestOutcome>,
    /// Chunks as they were streamed.
    pub streamed: Vec<u32>,
}

/// New work sent to a replica.
#[derive(Clone, Debug)]
pub struct SentWork {
    /// The replica.
    pub replica: ReplicaId,
    /// When.
    pub at: Timestamp,
}
