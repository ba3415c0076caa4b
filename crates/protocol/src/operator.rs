//! The HTTP interface for operators, served on a separate port.
//!
//! | method and path | request body | response |
//! |---|---|---|
//! | `GET /healthz` | | 200 while the process runs |
//! | `GET /readyz` | | 200 while the process accepts work, else 503 with the reason |
//! | `GET /metrics` | | Prometheus text |
//! | `GET /v1/config` | | [`ConfigurationDocument`] |
//! | `GET /v1/config/effective?path={path}&key={key}` | | [`EffectiveSetting`] |
//! | `PUT /v1/config` | [`ChangeConfiguration`] | [`ConfigurationChanged`]; 409 with the current revision |
//! | `GET /v1/pools` | | a list of [`PoolStatus`] |
//! | `GET /v1/queue` | | a list of [`ShardQueue`] |
//! | `GET /v1/regions` | | [`RegionsDocument`] |
//! | `GET /v1/replicas` | | a list of [`ReplicaSendStatus`]; empty if the platform lists none |
//! | `POST /v1/replicas/{replica}/drain` | | [`crate::engine::OrderAccepted`] |
//! | `POST /v1/replicas/{replica}/undrain` | | [`crate::engine::OrderAccepted`] |
//! | `GET /v1/tenants` | | [`TenantsDocument`]; 503 without a configuration |
//! | `GET /v1/zones` | | a list of [`ZoneStatus`] |
//! | `POST /v1/zones/{zone}/evacuate` | | [`ZoneChanged`] |
//! | `POST /v1/zones/{zone}/return` | | [`ZoneChanged`] |
//! | `GET /v1/quarantine` | | a list of [`QuarantinedRequest`] |
//! | `POST /v1/quarantine/{fingerprint}/release` | | [`QuarantineReleased`] |
//! | `GET /v1/ends` | | a list of [`PendingEndStatus`] |
//! | `GET /v1/decisions` | | server-sent [`DecisionEvent`]s |

use lichenpulley_core::batch::queue_report::QueueReport;
use lichenpulley_core::decision::Decision;
use lichenpulley_core::identity::{
    NodeId, PoolName, ReplicaId, Revision, TenantName, WeightVersion, ZoneName,
};
use serde::{Deserialize, Serialize};

/// A decision with the node and time at which it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionEvent {
    /// The node that made the decision.
    pub node: NodeId,
    /// Sequence number on that node since its start; a gap means that a slow reader missed events.
    pub sequence: u64,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// The settings tree, as values by level path and key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Revision of the tree.
    pub revision: Revision,
    /// The values that are set, each with its level.
    pub settings: Vec<SettingValue>,
}

/// A value set at one level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingValue {
    /// The level's path, from the organisation down: `/`, `/ramsaran`, `/ramsaran/bench-assistant`.
    pub path: String,
    /// The setting's key.
    pub key: String,
    /// The setting's value.
    pub value: serde_json::Value,
}

/// A setting's effective value and its source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveSetting {
    /// The requested path.
    pub path: String,
    /// The requested key.
    pub key: String,
    /// The value in force at that path.
    pub value: serde_json::Value,
    /// The level that sets the value; `None` for the built-in default.
    pub source: Option<String>,
    /// The revision in force on the responding node.
    pub revision: Revision,
}

/// Changes a setting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeConfiguration {
    /// The revision that the change is based on; the change is refused if it is not current.
    pub base_revision: Revision,
    /// Idempotency id: a change repeated after a lost response takes effect once.
    pub change_id: String,
    /// The path of the level to change.
    pub path: String,
    /// The setting's key.
    pub key: String,
    /// The new value; `None` removes the value, so that the level inherits it.
    pub value: Option<serde_json::Value>,
}

/// Confirmation that a change was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChanged {
    /// The revision that contains the change.
    pub revision: Revision,
}

/// The state of a pool on one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The pool's replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// The state of a replica on one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// The replica's zone.
    pub zone: ZoneName,
    /// Whether this node sends new work to the replica, or the reason why not.
    pub eligibility: String,
    /// Requests from this node in flight on the replica.
    pub in_flight: u32,
    /// Maximum number of concurrent requests from this node.
    pub concurrency_limit: u32,
    /// Limit on those requests up to which rollouts are admitted.
    #[serde(default)]
    pub rollout_limit: u32,
    /// The weight version that the replica last reported.
    pub weight_version: Option<WeightVersion>,
}

/// Regions, batch shards and refused requests as known to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionsDocument {
    /// The regions named in the settings.
    pub regions: Vec<RegionStatus>,
    /// The shards of batch jobs, each with its permitted regions.
    pub shards: Vec<BatchShardStatus>,
    /// Region-restricted requests that this node has refused since its start.
    pub refusals: Vec<RegionRefusals>,
}

/// The nodes and replicas in a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// The region's name; `-` for zones that the settings assign to no region.
    pub region: String,
    /// The region's zones.
    pub zones: Vec<String>,
    /// Number of live nodes.
    pub nodes: usize,
    /// Live nodes that can own shards of batch jobs.
    pub coordinators: usize,
    /// Live nodes that store logs.
    pub stores: usize,
    /// Replicas that accept new work.
    pub replicas: usize,
}

/// A shard of batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchShardStatus {
    /// The shard's name.
    pub shard: String,
    /// The regions in which the shard's data may be stored; `all` if unrestricted.
    pub regions: String,
    /// The shard's owner according to the stores.
    pub owner: Option<NodeId>,
    /// The nodes that store the shard's log.
    pub stores: Vec<NodeId>,
    /// The reason why the shard can't be placed in its regions, if it can't.
    pub shortage: Option<String>,
}

/// Number of requests refused for one set of regions and one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRefusals {
    /// The regions in which the requests may be served; `none` if route and tenant have none in common.
    pub regions: String,
    /// The reason for the refusal.
    pub reason: String,
    /// Number of refused requests.
    pub count: u64,
}

/// A request that is no longer sent to replicas because replicas ended while running it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Digest of the request's method, host, path, tenant and body.
    pub fingerprint: String,
    /// The replica instances that ended while running the request.
    pub replicas: Vec<String>,
    /// How long the responding node has quarantined the request, in milliseconds.
    pub held_for_ms: u64,
}

/// Confirmation that a request was released from quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReleased {
    /// The request's fingerprint.
    pub fingerprint: String,
}

/// Whether the replicas of a zone receive work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The replicas receive work.
    Open,
    /// The replicas receive no new work.
    Evacuated,
    /// The responding node does not know the zone's state yet and sends no work to any replica.
    Unknown,
}

impl ZoneState {
    /// Returns the name used in the operators' interface.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Evacuated => "evacuated",
            Self::Unknown => "unknown",
        }
    }
}

/// How much work a gateway may currently send to a replica of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaSendState {
    /// As much as the replica has capacity for.
    Warm,
    /// This gateway's share of the reduced rate for cold replicas.
    Cold,
    /// No work: the replica's zone is evacuated.
    Evacuated,
    /// No work: the replica is scheduled for removal.
    Draining,
}

impl ReplicaSendState {
    /// Returns the name used in the operators' interface.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Evacuated => "evacuated",
            Self::Draining => "draining",
        }
    }
}

/// The state of a zone on one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: String,
    /// Whether the zone's replicas receive work.
    pub state: ZoneState,
    /// Number of replicas listed in the zone.
    pub replicas: usize,
    /// Milliseconds since this node learnt that the zone is evacuated.
    pub evacuated_for_ms: Option<u64>,
    /// The source of that information: the platform or a peer.
    pub through: Option<String>,
    /// Milliseconds since the platform last confirmed this node's list of evacuations; `None` if it never has.
    pub age_ms: Option<u64>,
}

/// Confirmation that the platform has stored a zone's new state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChanged {
    /// The zone.
    pub zone: String,
    /// The zone's requested state.
    pub state: ZoneState,
}

/// The state of a replica of the platform on one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSendStatus {
    /// The replica.
    pub replica: String,
    /// The replica's service.
    pub service: String,
    /// The replica's zone.
    pub zone: String,
    /// How much work the replica may receive.
    pub state: ReplicaSendState,
    /// The replica's cold state, if it is cold; also present while its zone is evacuated.
    pub cold: Option<ColdStatus>,
}

/// The cold period of a replica, and how one gateway limits its requests during it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStatus {
    /// Why the replica is considered cold: `recorded`, `unknown` or `zone_returned`.
    pub cause: String,
    /// Milliseconds since the replica was found to be cold.
    pub since_ms: u64,
    /// Milliseconds until the replica is considered warm.
    pub left_ms: u64,
    /// Milliseconds between two requests of this gateway; `None` if it sends none.
    pub interval_ms: Option<u64>,
    /// Requests that this gateway has sent during the cold period.
    pub sent: u64,
}

/// The waiting work of a shard of batch jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardQueue {
    /// The shard.
    pub shard: String,
    /// The regions that its jobs are bound to.
    pub regions: String,
    /// The node that was asked; `None` if no owner is known.
    pub owner: Option<NodeId>,
    /// What the owner reports; `None` if it gave no answer, as one of an earlier release gives none.
    pub report: Option<QueueReport>,
}

/// The tenants of the configuration in force on a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantsDocument {
    /// Version of the configuration.
    pub version: u64,
    /// The tenants, in the order of the configuration; `None` if callers need no keys.
    pub tenants: Option<Vec<TenantStatus>>,
}

/// A tenant, without its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantStatus {
    /// The tenant.
    pub tenant: TenantName,
    /// Its priority, 0 being the highest; `None` if the priority of the route applies.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served and stored; empty if all are allowed.
    pub regions: Vec<String>,
    /// Number of its keys.
    pub keys: usize,
}

/// The end of a batch job that a node has received and does not know to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingEndStatus {
    /// The job.
    pub batch: String,
    /// The source of the end: `caller` or `peer`.
    pub source: String,
    /// How long the node has held the end, in milliseconds.
    pub held_for_ms: u64,
    /// Number of requests sent to the owner.
    pub questions: u32,
}
