//! When a refused caller should come back: the value of `Retry-After` and of `retry_after_ms`.
//!
//! Inputs: why the request was refused ([`RetryCause`]), with the time until a replica opens where that is
//! known. Unit: [`Duration`]; the wire rounds to tenths of a second. A time that is too short has callers
//! spend their tries before anything can have changed; one that is too long leaves replicas idle and callers
//! waiting.
//!
//! A pool of engines, whose drain rate this node measures, gives its time by [`super::drain_rate`] in place
//! of these.

use std::time::Duration;

use crate::quarantine::TRIAL_DELAY;
use crate::time::whole_millis;

/// After no replica could take the request: another gateway, or a replica that has just answered, may have
/// room at once.
const AFTER_NO_REPLICA: Duration = Duration::from_millis(100);
/// After the node lacked something that it reads or reaches within a second as a rule: the configuration, the
/// evacuated zones, the owner of batch jobs, places in allowed regions.
const AFTER_NODE_SHORTAGE: Duration = Duration::from_millis(400);
/// The longest time after which a caller comes back that met cold replicas only: this node may have no share
/// of what they can be sent, and another gateway then has one more often than once in this time.
const MAX_WARMING: Duration = Duration::from_millis(1_000);
/// After a gateway refused a generation before it asked a pool: it is draining for a planned stop, so that
/// the caller's next try reaches another gateway.
const AFTER_REFUSAL_AT_ONCE: Duration = Duration::from_secs(1);
/// After no node answered for a shard: the request has been forwarded from node to node for seconds already.
const AFTER_NO_SHARD_OWNER: Duration = Duration::from_secs(1);
/// After a shard's log could not be used: about the time of a takeover. Sooner, and callers repeat requests
/// that nobody can answer yet.
const AFTER_LOG_UNUSABLE: Duration = Duration::from_secs(1);
/// After the platform's object API gave no answer to a change. Sooner repeats changes against a platform that
/// is away, later keeps operators waiting after its return.
const AFTER_PLATFORM_UNAVAILABLE: Duration = Duration::from_secs(5);

/// Why a caller is asked to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// No replica of the service took the request.
    NoReplica,
    /// All replicas that could take it are cold; this node may send to one of them after this time.
    Warming(Duration),
    /// The request is quarantined; after this long it may be let through once.
    Quarantined,
    /// The node lacks something that it needs to serve the request.
    NodeShortage,
    /// The gateway refused before it asked any replica.
    RefusedBeforeDispatch,
    /// No node answered for the shard.
    NoShardOwner,
    /// The shard's log could not be used.
    LogUnusable,
    /// The platform's object API gave no answer.
    PlatformUnavailable,
}

impl RetryCause {
    /// The time after which the caller should come back.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NoReplica => AFTER_NO_REPLICA,
            Self::Warming(left) => left.clamp(AFTER_NO_REPLICA, MAX_WARMING),
            Self::Quarantined => TRIAL_DELAY,
            Self::NodeShortage => AFTER_NODE_SHORTAGE,
            Self::RefusedBeforeDispatch => AFTER_REFUSAL_AT_ONCE,
            Self::NoShardOwner => AFTER_NO_SHARD_OWNER,
            Self::LogUnusable => AFTER_LOG_UNUSABLE,
            Self::PlatformUnavailable => AFTER_PLATFORM_UNAVAILABLE,
        }
    }

    /// The same in whole milliseconds, as `retry_after_ms` names it.
    pub fn retry_after_ms(self) -> u64 {
        // No time above comes near the bound.
        whole_millis(self.retry_after())
    }
}
