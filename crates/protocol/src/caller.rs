//! The HTTP interface for callers: completions, rollout jobs, sample pulls by trainers, and weight publication.
//!
//! | method and path | request body | response |
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

/// HTTP header that carries the request id; equivalent to `request_id` in the body.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A request to generate text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The model pool.
    #[serde(alias = "model")]
    pub pool: PoolName,
    /// The prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// The scheduling priority.
    #[serde(default)]
    pub priority: Priority,
    /// Deadline in milliseconds from arrival; defaults to the pool's setting.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the request may run more than once. A request marked `false` runs at most once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// An id chosen by the caller; required if `repeatable` is `false`.
    #[serde(default)]
    pub request_id: Option<RequestId>,
    /// When the caller first issued this id, in milliseconds since the Unix epoch; required if `repeatable` is
    /// `false`, so that an id older than the retained claims can be refused.
    #[serde(default)]
    pub issued_at_unix_ms: Option<u64>,
    /// The sampling seed: the same prompt, seed and weights give the same tokens.
    #[serde(default)]
    pub seed: u64,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max_tokens() -> u32 {
    256
}

const fn default_repeatable() -> bool {
    true
}

/// A complete response to a [`CompletionRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The id that the caller supplied or the gateway generated.
    pub request_id: RequestId,
    /// The generated text.
    pub text: String,
    /// The generated tokens.
    pub tokens: Vec<u32>,
    /// The weight version of each range of tokens; the ranges cover every token.
    pub spans: Vec<VersionSpan>,
    /// Why generation ended.
    pub finish_reason: FinishReason,
    /// Number of attempts made.
    pub attempts: u32,
}

/// One server-sent event of a streamed response, sent as `data: {json}`. The last one carries `finish_reason`; a
/// stream that can't be completed ends with `event: error` and an [`crate::error::ErrorBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The request's id.
    pub request_id: RequestId,
    /// Index of the first token of this chunk within the whole response, from 0.
    pub first_token: u32,
    /// The tokens, contiguous with those of the previous chunk.
    pub tokens: Vec<u32>,
    /// The text of these tokens.
    pub text: String,
    /// The version of the weights that produced the tokens.
    pub weight_version: WeightVersion,
    /// Why generation ended; set on the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<FinishReason>,
}

/// Announces that a version of a pool's weights is available in the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct PublishWeights {
    /// The new version; one at or below the current version has no effect.
    pub weight_version: WeightVersion,
}

/// Rollout progress of a pool's weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct WeightsStatus {
    /// The version that all replicas should load; `None` until the first is published.
    pub target: Option<WeightVersion>,
    /// Number of replicas in the pool.
    pub replicas: u32,
    /// Replicas ordered to load the target version that have not reported it yet.
    pub loading: u32,
    /// Replicas that have reported the target version.
    pub confirmed: u32,
}
