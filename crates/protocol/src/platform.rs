//! The HTTP interfaces of the platform, as served by the simulated platform services.
//!
//! Object API:
//!
//! | method and path | request body | response |
//! |---|---|---|
//! | `GET /objects/{key}` | | [`Object`]; 404 if it does not exist |
//! | `PUT /objects/{key}` | [`PutObject`] | [`Object`]; [`Conflict`] with 409 if the base version is not current |
//! | `GET /objects?prefix={prefix}` | | [`ObjectList`] |
//! | `GET /watch?prefix={prefix}&after={revision}&hold_ms={ms}` | | [`ObjectList`], on a change or after `hold_ms` |
//!
//! Machine list: `GET /machines` returns [`MachineList`]; `PUT /machines/{id}` with [`Machine`] sets an
//! entry, and `DELETE /machines/{id}` removes it.
//! Weight store: `GET /weights/{pool}/{version}` returns the weights at a limited rate.
//! Scorer: `POST /score` with [`ScoreRequest`] returns [`ScoreResponse`].

use lichenpulley_core::identity::{PoolName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// A stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key, such as `config/tree`.
    pub key: String,
    /// The store-wide revision of its last change.
    pub version: Revision,
    /// The object's value.
    pub value: serde_json::Value,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PutObject {
    /// The version that the change is based on; `None` creates the object and fails if it exists.
    pub base_version: Option<Revision>,
    /// The new value.
    pub value: serde_json::Value,
}

/// Rejection of a write whose base version was not current.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The current object, if it exists.
    pub current: Option<Object>,
}

/// A list of objects and the revision up to which it is complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The objects under the prefix; for a watch, those that changed.
    pub objects: Vec<Object>,
    /// Revision after which the next watch should start.
    pub revision: Revision,
}

/// The role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// Runs `lichenpulleyd`; `address` is its peer address.
    Node,
    /// Runs a model engine; `address` is its HTTP address.
    Engine,
}

/// Lifecycle state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In use.
    Live,
    /// Scheduled for removal.
    Leaving,
}

/// One entry of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The id of the node or replica.
    pub id: String,
    /// The machine's role.
    pub kind: MachineKind,
    /// The machine's zone.
    pub zone: ZoneName,
    /// IP address and port.
    pub address: String,
    /// The model pool, for an engine.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// The machine's lifecycle state.
    pub state: MachineState,
}

/// The machine list, possibly outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Revision of the list; increases with each change.
    pub revision: Revision,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// A response to be scored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// The prompt text.
    pub prompt: String,
    /// The response's tokens.
    pub tokens: Vec<u32>,
}

/// The scorer's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreResponse {
    /// The reward.
    pub reward: f64,
}
