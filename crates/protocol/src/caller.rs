//! The callers' interface: completions, rollout jobs and the trainer's pull.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /v1/completions` | [`CompletionRequest`] | [`CompletionResponse`], or server-sent [`CompletionChunk`]s |
//! | `POST /v1/jobs` | [`JobSpecification`] | [`JobStatus`] |
//! | `GET /v1/jobs/{job}` | | [`JobStatus`] |
//! | `POST /v1/jobs/{job}/pull` | [`PullRequest`] | [`PullResponse`] |
//! | `POST /v1/pools/{pool}/weights` | [`PublishWeights`] | [`PublishWeights`] |

use lichenpulley_core::identity::{JobId, PoolName, RequestId, WeightVersion};
pub use lichenpulley_core::request::answer::{FinishReason, Priority, VersionSpan};
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

/// A rollout job: for each step, `samples_per_prompt` samples of each prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct JobSpecification {
    /// The job's name, unique.
    pub job: JobId,
    /// The pool that generates.
    pub pool: PoolName,
    /// The prompts of each step, used in turn.
    pub prompts: Vec<String>,
    /// Samples for each prompt in a step.
    pub samples_per_prompt: u32,
    /// How many steps the job has.
    pub steps: u32,
    /// At most this many tokens for each sample.
    pub max_tokens: u32,
    /// The greatest allowed difference between the trainer's weight version and the oldest version in a sample
    /// (brief point 2).
    pub staleness_bound: u64,
    /// What to weigh more when long samples hold up a step: 0 is staleness only, 100 is idle time only.
    #[serde(default = "default_idle_weight")]
    pub idle_weight_percent: u8,
}

const fn default_idle_weight() -> u8 {
    50
}

/// How a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The step being filled.
    pub step: u32,
    /// Steps in all.
    pub steps: u32,
    /// Samples decided in this step and not yet handed over.
    pub ready: u32,
    /// Samples handed over in all.
    pub delivered: u64,
    /// Slots filled anew because their sample had grown too old.
    pub reopened: u64,
    /// Attempts running.
    pub in_flight: u32,
    /// Whether every step has been taken by the trainer.
    pub finished: bool,
}

/// A trainer asks for samples from its cursor on. The cursor moves only by this word: everything before `cursor`
/// is taken as saved by the trainer (brief point 3).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// The position after the last sample that the trainer has saved.
    pub cursor: u64,
    /// At most this many samples.
    pub max_samples: u32,
    /// The version the trainer is about to train; the staleness bound is tested against it.
    pub trainer_version: WeightVersion,
}

/// Samples in the order of their positions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct PullResponse {
    /// The samples from the asked cursor on; may be empty when none is ready.
    pub samples: Vec<Sample>,
    /// The cursor to ask with next, once these are saved.
    pub next_cursor: u64,
    /// Whether the job has nothing more to give.
    pub finished: bool,
}

/// One sample. Its slot is decided once, however many attempts ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct Sample {
    /// Which sample of which prompt in which step.
    pub slot: Slot,
    /// Its prompt.
    pub prompt: String,
    /// Its tokens.
    pub tokens: Vec<u32>,
    /// Which weights produced which tokens.
    pub spans: Vec<VersionSpan>,
    /// The scorer's reward.
    pub reward: f64,
}

/// The place of a sample in a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct Slot {
    /// The step, from 0.
    pub step: u32,
    /// The prompt's number in the job, from 0.
    pub prompt: u32,
    /// Which sample of that prompt, from 0.
    pub index: u32,
}

/// A trainer says that a version of a pool's weights is in the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct PublishWeights {
    /// The new version; a version at or below the current one changes nothing.
    pub weight_version: WeightVersion,
}
