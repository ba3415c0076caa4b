//! Replicas as the platform lists them, by the id of each incarnation.
//!
//! Holds records only; what a node observes of replicas stands in [`super::chooser`]. The platform's adapter
//! makes the records from its documents, and with them the ids.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Names one incarnation of a replica. A replica that starts again under its name has lost its state, so
/// nothing that was observed before the restart applies afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaIncarnation<'a> {
    /// The replica's name.
    pub name: &'a str,
    /// When this incarnation began, in milliseconds since the Unix epoch; `None` where the replica does not
    /// say.
    pub started_at_ms: Option<u64>,
}

impl fmt::Display for ReplicaIncarnation<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at_ms {
            Some(started_at_ms) => write!(formatter, "{}@{started_at_ms}", self.name),
            None => formatter.write_str(self.name),
        }
    }
}

/// One incarnation of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// The id of this incarnation, a [`ReplicaIncarnation`] as text: the key for all that is observed of it.
    pub id: String,
    /// The name under which it is listed, and which a request may ask for. A restart may keep it.
    pub name: String,
    /// The service it serves.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it will leave and takes nothing new.
    pub is_draining: bool,
    /// The version of each model that it serves.
    pub models: BTreeMap<String, u64>,
    /// How much longer it was cold when it wrote its record; zero where it is warm, [`Self::COLD_UNKNOWN`]
    /// where the record does not state it.
    pub cold_left: Duration,
}

impl ReplicaRecord {
    /// The cold time of a replica whose record says nothing of it.
    pub const COLD_UNKNOWN: Duration = Duration::MAX;

    /// Whether it may start again under its name: it reports when it started, so its incarnations have
    /// different ids.
    pub fn may_restart(&self) -> bool {
        self.id != self.name
    }

    /// Whether this incarnation made a report that states when its maker started, in milliseconds since the Unix epoch. A
    /// report or a record without that counts as made by this one.
    pub fn is_author(&self, started_at_ms: Option<u64>) -> bool {
        let incarnation = ReplicaIncarnation { name: &self.name, started_at_ms };
        started_at_ms.is_none() || !self.may_restart() || self.id == incarnation.to_string()
    }
}

/// All replicas, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaTable {
    /// The records.
    pub records: BTreeMap<String, ReplicaRecord>,
}

impl ReplicaTable {
    /// The incarnation that is listed under a name.
    pub fn named(&self, name: &str) -> Option<&ReplicaRecord> {
        self.records.values().find(|record| record.name == name)
    }

    /// Replicas of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaRecord> {
        self.records.values().filter(move |record| record.service == service && !record.is_draining)
    }
}
