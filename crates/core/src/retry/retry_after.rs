//! The retry time given to a refused caller, by the reason of the refusal ([`RetryCause`]): the value of
//! `Retry-After` and of `retry_after_ms`. On the wire it is rounded to tenths of a second.
//!
//! For pools of engines, [`super::drain_rate`] estimates the time instead.

use std::time::Duration;

use crate::quarantine::TRIAL_DELAY;
use crate::time::whole_millis;

/// After no replica could take the request: another gateway may have capacity at once.
const AFTER_NO_REPLICA: Duration = Duration::from_millis(100);
/// After the node lacked something that it usually obtains within a second: the configuration, the evacuated
/// zones, the owner of batch jobs, replicas in allowed regions.
const AFTER_NODE_SHORTAGE: Duration = Duration::from_millis(400);
/// Maximum retry time if all replicas are cold: another gateway may be allowed to send to one of them earlier
/// than this node.
const MAX_WARMING: Duration = Duration::from_millis(1_000);
/// After a gateway refused a generation before dispatching it, since it drains for a planned stop; the caller's
/// next attempt reaches another gateway.
const AFTER_REFUSAL_BEFORE_DISPATCH: Duration = Duration::from_secs(1);
/// After no node answered for a shard, although the request was forwarded for seconds.
const AFTER_NO_SHARD_OWNER: Duration = Duration::from_secs(1);
/// After a shard's log could not be used: about the time of a takeover.
const AFTER_LOG_UNUSABLE: Duration = Duration::from_secs(1);
/// After the platform's object API did not answer a change.
const AFTER_PLATFORM_UNAVAILABLE: Duration = Duration::from_secs(5);

/// Why a caller is asked to retry later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// No replica of the service took the request.
    NoReplica,
    /// All suitable replicas are cold; this node may send to one of them after this time.
    Warming(Duration),
    /// The request is quarantined; it may be let through once after [`TRIAL_DELAY`].
    Quarantined,
    /// The node lacks something that it needs to serve the request.
    NodeShortage,
    /// The gateway refused the request before it contacted any replica.
    RefusedBeforeDispatch,
    /// No node answered for the shard.
    NoShardOwner,
    /// The shard's log could not be used.
    LogUnusable,
    /// The platform's object API did not answer.
    PlatformUnavailable,
}

impl RetryCause {
    /// Returns the time after which the caller should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NoReplica => AFTER_NO_REPLICA,
            Self::Warming(remaining) => remaining.clamp(AFTER_NO_REPLICA, MAX_WARMING),
            Self::Quarantined => TRIAL_DELAY,
            Self::NodeShortage => AFTER_NODE_SHORTAGE,
            Self::RefusedBeforeDispatch => AFTER_REFUSAL_BEFORE_DISPATCH,
            Self::NoShardOwner => AFTER_NO_SHARD_OWNER,
            Self::LogUnusable => AFTER_LOG_UNUSABLE,
            Self::PlatformUnavailable => AFTER_PLATFORM_UNAVAILABLE,
        }
    }

    /// Returns [`Self::retry_after`] in whole milliseconds, as reported in `retry_after_ms`.
    pub fn retry_after_ms(self) -> u64 {
        whole_millis(self.retry_after())
    }
}
