//! The engines' interface, as the stand-in serves it.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /v1/streams` | [`StreamRequest`] | server-sent [`StreamEvent`]s; [`RefusalBody`] with 503 before admission |
//! | `GET /v1/streams/{attempt}?from={token}` | | server-sent [`StreamEvent`]s from that token on; 404 if unknown |
//! | `DELETE /v1/streams/{attempt}` | | 204; stops generating and forgets the stream |
//! | `GET /v1/load` | | [`LoadReport`] |
//! | `GET /v1/cache-events?after={sequence}` | | [`CacheEvents`] |
//! | `POST /v1/orders` | [`Order`] | [`OrderAccepted`], or [`OrderRefused`] with 409 |

use lichenpulley_core::identity::{AttemptId, Epoch, ReplicaId, ShardId, WeightVersion};
pub use lichenpulley_core::routing::load::{EngineRole, LoadReport};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::caller::{FinishReason, Priority};

/// Starts a stream. Repeating an attempt id never starts a second one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Names the attempt; the stream can be resumed or cancelled by it.
    pub attempt: AttemptId,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer that are known already: generation goes on after them.
    #[serde(default)]
    pub prior_tokens: Vec<u32>,
    /// At most this many tokens, counting `prior_tokens`.
    pub max_tokens: u32,
    /// Who waits.
    pub priority: Priority,
    /// The seed of sampling.
    pub seed: u64,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// The engine has taken the request into its queue. Always first, and never sent after a refusal.
    Admitted {
        /// The engine.
        replica: ReplicaId,
        /// Load and role at this moment; load rides on answers.
        load: LoadReport,
    },
    /// Some tokens.
    Tokens {
        /// Number of the first, counted from 0 over the whole answer with `prior_tokens`.
        first_token: u32,
        /// The tokens.
        tokens: Vec<u32>,
        /// The weights that produced them.
        weight_version: WeightVersion,
    },
    /// Nothing follows.
    Finished {
        /// Tokens in all, with `prior_tokens`.
        token_count: u32,
        /// Why it ended.
        finish_reason: FinishReason,
        /// Load and role at this moment.
        load: LoadReport,
    },
    /// The engine gave the stream up.
    Failed {
        /// Why.
        reason: String,
    },
}

/// The engine did not admit the request: proof that it did not run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The attempt that was refused.
    pub attempt: AttemptId,
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds, where the engine knows.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Why an engine refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Its queue is full.
    Overloaded,
    /// It has been ordered to drain, or it is stopping.
    Draining,
    /// It has no weights whose version is known.
    NoWeights,
}

/// Cache events after a sequence number. Late, and with gaps.
///
/// An engine publishes them. No node reads them: the stand-in in the lab answers with them, and its tests alone read them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// A prompt prefix came into an engine's cache or left it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a jump means that events were lost.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is cached now.
    pub cached: bool,
}

/// A fenced order: refused where the epoch is below the highest that the engine has seen for the shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The shard whose owner orders.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// What to do.
    pub command: Command,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Fetch a version from the weight store and swap to it; running streams go on with it.
    LoadWeights {
        /// The version.
        weight_version: WeightVersion,
    },
    /// Take new streams, or drain.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// The order was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAccepted {
    /// The engine.
    pub replica: ReplicaId,
    /// Load and role after the order; weights load in the background.
    pub load: LoadReport,
}

/// The order came from an owner that has been superseded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefused {
    /// The highest epoch seen for the shard.
    pub highest_epoch: Epoch,
}

/// Bytes of prompt in one block of an engine's prefix cache, as the stand-in has it.
const PREFIX_BLOCK_BYTES: usize = 64;

/// The hashes by which engines name a prompt's cached prefixes: one for each whole block, covering everything from
/// the start of the prompt to the end of that block. No node computes them, as none reads [`CacheEvents`].
pub fn prefix_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let bytes = prompt.as_bytes();
    let whole_blocks = bytes.len() / PREFIX_BLOCK_BYTES;
    let mut hasher = Xxh3::new();
    (0..whole_blocks).map(move |block| {
        let start = block * PREFIX_BLOCK_BYTES;
        hasher.update(&bytes[start..start + PREFIX_BLOCK_BYTES]);
        hasher.digest()
    })
}
