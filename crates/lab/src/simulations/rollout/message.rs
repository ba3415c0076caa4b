//! What the simulated processes send each other, and who is who.

use lichenpulley_core::identity::{AttemptId, WeightVersion};
use lichenpulley_core::replication::message::{ReplicaRequest, ReplicaResponse};
use lichenpulley_core::rollout::{PullRefusal, PullRequest, PullResponse};
use lichenpulley_simulation::ProcessId;

/// Stores in the world.
pub(super) const STORES: usize = 3;
/// Owners in the world.
pub(super) const OWNERS: usize = 2;
/// Engines in the world.
pub(super) const ENGINES: usize = 3;
/// The first owner; stores come before it.
pub(super) const FIRST_OWNER: usize = STORES;
/// The first engine; owners come before it.
pub(super) const FIRST_ENGINE: usize = FIRST_OWNER + OWNERS;
/// The trainer comes last.
pub(super) const TRAINER: ProcessId = ProcessId(FIRST_ENGINE + ENGINES);

/// A token's value holds the version that made it: version times this, plus the token's number.
const TOKENS_PER_VERSION: u32 = 10_000;

/// The token that a version makes at a position.
pub(super) fn token(version: WeightVersion, position: u32) -> u32 {
    u32::try_from(version.0).unwrap_or(u32::MAX / TOKENS_PER_VERSION) * TOKENS_PER_VERSION + position
}

/// The version that truly made a token.
pub(super) fn true_version(token: u32) -> WeightVersion {
    WeightVersion(u64::from(token / TOKENS_PER_VERSION))
}

/// A message of the world.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// An owner asks a store; `term` tells its take-overs apart.
    Store { term: u64, request: ReplicaRequest },
    /// A store answers.
    StoreAnswer { term: u64, response: ReplicaResponse },
    /// An owner starts an attempt at an engine.
    Start { attempt: AttemptId, seed: u64, minimum_version: WeightVersion },
    /// An owner asks for an attempt's tokens from a number on.
    Poll { attempt: AttemptId, from: u32 },
    /// An engine refuses an attempt, or no longer knows it.
    Refused { attempt: AttemptId },
    /// Tokens of an attempt, all made by one version as far as the engine says.
    Tokens { attempt: AttemptId, first_token: u32, tokens: Vec<u32>, version: WeightVersion, finished: bool },
    /// An owner stops an attempt.
    Cancel { attempt: AttemptId },
    /// A trainer pulls.
    Pull { request_id: u64, request: PullRequest },
    /// An owner answers a pull.
    PullAnswer { request_id: u64, answer: Result<PullResponse, PullRefusal> },
    /// An engine is to load a version.
    Load { version: WeightVersion },
}
