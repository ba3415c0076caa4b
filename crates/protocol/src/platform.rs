//! The platform's interfaces, as the stand-ins serve them.
//!
//! Object API:
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `GET /objects/{key}` | | [`Object`]; 404 where there is none |
//! | `PUT /objects/{key}` | [`PutObject`] | [`Object`]; [`Conflict`] with 409 where the base version is not current |
//! | `GET /objects?prefix={prefix}` | | [`ObjectList`] |
//! | `GET /watch?prefix={prefix}&after={revision}&hold_ms={ms}` | | held until something changed, then [`ObjectList`] |
//!
//! Machine list: `GET /machines` gives [`MachineList`]; `PUT /machines/{id}` with [`Machine`] changes it,
//! `DELETE /machines/{id}` takes it out.
//! Weight store: `GET /weights/{pool}/{version}` gives the bytes at its rate.
//! Scorer: `POST /score` with [`ScoreRequest`] gives [`ScoreResponse`].

use lichenpulley_core::identity::{PoolName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// A stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its key, such as `config/tree`.
    pub key: String,
    /// The store-wide revision of its last change.
    pub version: Revision,
    /// Its value.
    pub value: serde_json::Value,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PutObject {
    /// The version that the change was based on; `None` creates, and fails where the object exists.
    pub base_version: Option<Revision>,
    /// The new value.
    pub value: serde_json::Value,
}

/// The base version was not current.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object as it stands, if there is one.
    pub current: Option<Object>,
}

/// Objects, and the revision up to which the list is complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The objects under the prefix; for a watch, those that changed.
    pub objects: Vec<Object>,
    /// Ask the next watch after this revision.
    pub revision: Revision,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// Runs `lichenpulleyd`; `address` is its peer address.
    Node,
    /// Runs a model engine; `address` is its HTTP address.
    Engine,
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In use.
    Live,
    /// Will be taken away.
    Leaving,
}

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The node's or the replica's id.
    pub id: String,
    /// What it does.
    pub kind: MachineKind,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address, an IP number and a port.
    pub address: String,
    /// The pool, for an engine.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Whether it stays.
    pub state: MachineState,
}

/// The list, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Goes up with each change.
    pub revision: Revision,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// An answer to be scored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// The prompt.
    pub prompt: String,
    /// The answer's tokens.
    pub tokens: Vec<u32>,
}

/// Its score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreResponse {
    /// The reward.
    pub reward: f64,
}
