//! The retry time given to a refused caller, by the reason of the refusal ([`RetryCause`]): the value of
//! `Retry-After` and of `retry_after_ms`. On the wire it is rounded to tenths of a second.
//!
//! For pools of engines, [`super::drain_rate`] estimates the time instead. For services whose replicas report their
//! pace, it is the time in which the reported queues drain ([`QueueDrain`]).

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

/// Maximum retry time after a refusal because of queues, as a fraction of the request's remaining time: callers ignore
/// longer values.
const MAX_DRAIN_FRACTION: u32 = 3;
/// Resolution of `Retry-After` on the wire.
const RESOLUTION: Duration = Duration::from_millis(100);

/// The queues of the replicas that could have served a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueDrain {
    /// Expected time until the queue of one of the replicas has drained.
    pub drain_time: Duration,
    /// The time that the request had left.
    pub remaining: Duration,
}

impl QueueDrain {
    /// Returns the retry time: the drain time rounded up to tenths of a second, at most a third of the remaining time
    /// rounded down, and at least one tenth.
    fn retry_after(self) -> Duration {
        let tenths = |time: Duration| u32::try_from(time.as_millis() / 100).unwrap_or(u32::MAX / 2);
        let drained = tenths(self.drain_time.saturating_add(RESOLUTION - Duration::from_nanos(1)));
        let limit = tenths(self.remaining / MAX_DRAIN_FRACTION);
        RESOLUTION * drained.min(limit).max(1)
    }
}

/// Why a caller is asked to retry later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// No replica of the service took the request.
    NoReplica,
    /// No replica of the service can serve the request in time, or all rejected it, and replicas report their queues.
    Queues(QueueDrain),
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
            Self::Queues(queues) => queues.retry_after(),
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
