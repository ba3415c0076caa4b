//! The callers' interface: completions, rollout jobs and the trainer's pull.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /v1/completions` | [`CompletionRequest`] | [`CompletionResponse`], or server-sent [`CompletionChunk`]s |
//! | `POST /v1/jobs` | [`JobSpecification`] | [`JobStatus`] |
//! | `GET /v1/jobs/{job}` | | [`JobStatus`] |
//! | `POST /v1/jobs/{job}/pull` | [`PullRequest`] | [`PullResponse`] |
//! | `POST /v1/pools/{pool}/weights` | [`PublishWeights`] | [`PublishWeights`] |
//! | `GET /v1/pools/{pool}/weights` | | [`WeightsStatus`] |

use lichenpulley_core::identity::{PoolName, RequestId, WeightVersion};
pub use lichenpulley_core::request::answer::{FinishReason, Priority, VersionSpan};
pub use lichenpulley_core::rollout::{JobSpecification, JobStatus, PullRequest, PullResponse, Sample, Slot};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// The header that names a request; the same as `request_id` in the body.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A request to generate text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The model pool.
    #[serde(alias = "model")]
    pub pool: PoolName,
    /// The prompt.
    pub prompt: String,
    /// At most this many tokens are generated.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Who waits.
    #[serde(default)]
    pub priority: Priority,
    /// Milliseconds from arrival after which the answer is of no use; the pool's setting where absent.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether running it twice does no harm. A request marked `false` runs at most once (brief point 6).
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The caller's own id; required where `repeatable` is `false`.
    #[serde(default)]
    pub request_id: Option<RequestId>,
    /// Milliseconds since the Unix epoch when the caller first issued this id; required where `repeatable` is
    /// `false`, so that an id older than the claims kept can be refused.
    #[serde(default)]
    pub issued_at_unix_ms: Option<u64>,
    /// The seed of sampling: the same prompt, seed and weights give the same tokens.
    #[serde(default)]
    pub seed: u64,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max_tokens() -> u32 {
    256
}

const fn default_repeatable() -> bool {
    true
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The id the caller gave, or the one given to it.
    pub request_id: RequestId,
    /// The text.
    pub text: String,
    /// The tokens.
    pub tokens: Vec<u32>,
    /// Which weights produced which tokens; covers every token.
    pub spans: Vec<VersionSpan>,
    /// Why it ended.
    pub finish_reason: FinishReason,
    /// How many attempts were made.
    pub attempts: u32,
}

/// One server-sent event of a streamed answer: `data: {json}`. The last carries `finish_reason`; a stream that
/// can't be made whole ends with `event: error` and an [`crate::error::ErrorBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The request.
    pub request_id: RequestId,
    /// Number of the first token in this chunk, counted from 0 over the whole answer.
    pub first_token: u32,
    /// The tokens, in order, without gaps to the chunk before.
    pub tokens: Vec<u32>,
    /// The text of these tokens.
    pub text: String,
    /// The weights that produced them.
    pub weight_version: WeightVersion,
    /// Set on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<FinishReason>,
}

/// A trainer says that a version of a pool's weights is in the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct PublishWeights {
    /// The new version; a version at or below the current one changes nothing.
    pub weight_version: WeightVersion,
}

/// How far a pool's weights have come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct WeightsStatus {
    /// The version that all replicas are to have; `None` before the first was published.
    pub target: Option<WeightVersion>,
    /// Replicas of the pool.
    pub replicas: u32,
    /// Replicas that have been ordered to load it and have not reported it.
    pub loading: u32,
    /// Replicas that have reported it.
    pub confirmed: u32,
}
