//! The operators' interface, on a port of its own.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `GET /healthz` | | 200 while the process runs |
//! | `GET /readyz` | | 200 while it takes work, else 503 with the reason |
//! | `GET /metrics` | | Prometheus text |
//! | `GET /v1/config` | | [`ConfigurationDocument`] |
//! | `GET /v1/config/effective?path={path}&key={key}` | | [`EffectiveSetting`] |
//! | `PUT /v1/config` | [`ChangeConfiguration`] | [`ConfigurationChanged`]; 409 with the current revision |
//! | `GET /v1/pools` | | a list of [`PoolStatus`] |
//! | `GET /v1/regions` | | [`RegionsDocument`] |
//! | `GET /v1/replicas` | | a list of [`ReplicaSendStatus`]; empty where the platform lists none |
//! | `POST /v1/replicas/{replica}/drain` | | [`crate::engine::OrderAccepted`] |
//! | `POST /v1/replicas/{replica}/undrain` | | [`crate::engine::OrderAccepted`] |
//! | `GET /v1/zones` | | a list of [`ZoneStatus`] |
//! | `POST /v1/zones/{zone}/evacuate` | | [`ZoneChanged`] |
//! | `POST /v1/zones/{zone}/return` | | [`ZoneChanged`] |
//! | `GET /v1/quarantine` | | a list of [`QuarantinedRequest`] |
//! | `POST /v1/quarantine/{fingerprint}/release` | | [`QuarantineReleased`] |
//! | `GET /v1/ends` | | a list of [`PendingEndStatus`] |
//! | `GET /v1/decisions` | | server-sent [`DecisionEvent`]s |

use lichenpulley_core::decision::Decision;
use lichenpulley_core::identity::{NodeId, PoolName, ReplicaId, Revision, WeightVersion, ZoneName};
use serde::{Deserialize, Serialize};

/// A decision with where and when it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionEvent {
    /// The node that decided.
    pub node: NodeId,
    /// Number on that node since it started; a jump means that the reader was too slow and lost some.
    pub sequence: u64,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// The settings tree: values by level path and key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Its revision.
    pub revision: Revision,
    /// Values that are set, each at its level.
    pub settings: Vec<SettingValue>,
}

/// A value set at one level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingValue {
    /// The level's path, from the organisation down: `/`, `/ramsaran`, `/ramsaran/bench-assistant`.
    pub path: String,
    /// The setting's key.
    pub key: String,
    /// Its value.
    pub value: serde_json::Value,
}

/// An effective value and where it came from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveSetting {
    /// The path asked for.
    pub path: String,
    /// The key asked for.
    pub key: String,
    /// The value in force there.
    pub value: serde_json::Value,
    /// The level that set it; `None` where it is the built-in default.
    pub source: Option<String>,
    /// The revision in force on the answering node.
    pub revision: Revision,
}

/// Changes a setting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeConfiguration {
    /// The revision the change was based on; a race loses.
    pub base_revision: Revision,
    /// Names the change, so that a repeat after a lost answer takes effect once.
    pub change_id: String,
    /// The level.
    pub path: String,
    /// The key.
    pub key: String,
    /// The new value; `None` removes it, so that the level inherits again.
    pub value: Option<serde_json::Value>,
}

/// The change is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChanged {
    /// The revision that holds it.
    pub revision: Revision,
}

/// A pool as one node sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// Its replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// A replica as one node sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether this node sends it new work, and why not.
    pub eligibility: String,
    /// Requests that this node has there now.
    pub in_flight: u32,
    /// How many this node would send at once.
    pub concurrency_limit: u32,
    /// The weights it last reported.
    pub weight_version: Option<WeightVersion>,
}

/// Regions as one node sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionsDocument {
    /// The regions that the settings name, and what stands there.
    pub regions: Vec<RegionStatus>,
    /// The shards of batch jobs, each with the regions where it is kept.
    pub shards: Vec<BatchShardStatus>,
    /// Requests bound to some regions that this node refused since it started.
    pub refusals: Vec<RegionRefusals>,
}

/// What stands in a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// The region; `-` for what stands in zones that the settings give no region.
    pub region: String,
    /// Its zones.
    pub zones: Vec<String>,
    /// Live nodes.
    pub nodes: usize,
    /// Those among them that can own shards of batch jobs.
    pub coordinators: usize,
    /// Those among them that keep logs.
    pub stores: usize,
    /// Replicas that take new work.
    pub replicas: usize,
}

/// A shard of batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchShardStatus {
    /// Its name.
    pub shard: String,
    /// Where what it keeps may stand; `all` where that is anywhere.
    pub regions: String,
    /// Who owns it, by the stores' word.
    pub owner: Option<NodeId>,
    /// The nodes that keep its log.
    pub stores: Vec<NodeId>,
    /// Why it can't be kept there, where it can't.
    pub shortage: Option<String>,
}

/// Requests that were refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRefusals {
    /// The regions in which they may be served; `none` where their route and tenant have none in common.
    pub regions: String,
    /// Why.
    pub reason: String,
    /// How many.
    pub count: u64,
}

/// A request that reaches no replica, since replicas ended under it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The digest of its method, host, path, tenant and body.
    pub fingerprint: String,
    /// The lives of replicas that ended while it ran there.
    pub replicas: Vec<String>,
    /// For how long the answering node has held it back, in milliseconds.
    pub held_for_ms: u64,
}

/// A request is let through again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReleased {
    /// Its fingerprint.
    pub fingerprint: String,
}

/// Whether replicas of a zone are sent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// They are.
    Open,
    /// They are sent nothing new.
    Evacuated,
    /// The answering node has not learnt it yet, and sends nothing to any replica.
    Unknown,
}

impl ZoneState {
    /// The word that is shown.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Evacuated => "evacuated",
            Self::Unknown => "unknown",
        }
    }
}

/// What a gateway may send to a replica of the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaSendState {
    /// Whatever it has room for.
    Warm,
    /// This gateway's share of what it bears while it is cold.
    Cold,
    /// Nothing: its zone is evacuated.
    Evacuated,
    /// Nothing: it will leave.
    Draining,
}

impl ReplicaSendState {
    /// The name used in the operators' interface.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Evacuated => "evacuated",
            Self::Draining => "draining",
        }
    }
}

/// A zone as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: String,
    /// Whether its replicas are sent work.
    pub state: ZoneState,
    /// Replicas that are listed there.
    pub replicas: usize,
    /// How long ago this node learnt that the zone is evacuated.
    pub evacuated_for_ms: Option<u64>,
    /// Through whom: the platform, or the peer that told.
    pub through: Option<String>,
    /// How long ago the platform last confirmed what this node knows of evacuations; `None` where it never did.
    pub age_ms: Option<u64>,
}

/// The platform holds the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChanged {
    /// The zone.
    pub zone: String,
    /// What it is to be.
    pub state: ZoneState,
}

/// A replica of the platform as one gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSendStatus {
    /// The replica.
    pub replica: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// What it may be sent.
    pub state: ReplicaSendState,
    /// Its cold time, where it is cold; also while its zone is evacuated.
    pub cold: Option<ColdStatus>,
}

/// The cold time of a replica, and what one gateway makes of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStatus {
    /// Why it is taken to be cold: `recorded`, `unknown` or `zone_returned`.
    pub cause: String,
    /// Milliseconds since it was found cold.
    pub since_ms: u64,
    /// Milliseconds until it is warm.
    pub left_ms: u64,
    /// Milliseconds between two requests of this gateway; none where it sends none.
    pub interval_ms: Option<u64>,
    /// Requests that this gateway has sent meanwhile.
    pub sent: u64,
}

/// An end of a batch job that a node has read and that is not known to be kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingEndStatus {
    /// The job.
    pub batch: String,
    /// From whom the node has it: `caller` or `peer`.
    pub source: String,
    /// For how long it has been held, in milliseconds.
    pub held_for_ms: u64,
    /// How often the owner was asked.
    pub questions: u32,
}
