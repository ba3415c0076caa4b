//! Replicas as listed by the platform, by the id of each incarnation.
//!
//! The platform's adapter creates the records and their ids from the platform's documents. [`super::chooser`]
//! holds the observations of replicas.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use super::replica_subset::LayoutId;

/// Identifies one incarnation of a replica. A replica loses its state when it restarts under its name, so
/// observations of one incarnation don't apply to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaIncarnation<'a> {
    /// The replica's name.
    pub name: &'a str,
    /// When this incarnation started, in milliseconds since the Unix epoch; `None` if the replica does not
    /// report it.
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
    /// The id of this incarnation: the text of a [`ReplicaIncarnation`].
    pub id: String,
    /// The name under which it is listed and which a request may name. It may survive a restart.
    pub name: String,
    /// The service it serves.
    pub service: String,
    /// Its network address.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub is_draining: bool,
    /// The version of each model that it serves.
    pub models: BTreeMap<String, u64>,
    /// Remaining cold time when it wrote its record; zero if it was warm, [`Self::COLD_UNKNOWN`] if the record
    /// does not state it.
    pub cold_left: Duration,
}

impl ReplicaRecord {
    /// Cold time of a replica whose record does not state it.
    pub const COLD_UNKNOWN: Duration = Duration::MAX;

    /// Whether it may restart under its name: it reports its start time, so that its incarnations have different
    /// ids.
    pub fn may_restart(&self) -> bool {
        self.id != self.name
    }

    /// Whether this incarnation wrote a report, given the start time in the report, in milliseconds since the Unix
    /// epoch. If either has no start time, the report is attributed to this incarnation.
    pub fn is_author(&self, started_at_ms: Option<u64>) -> bool {
        let incarnation = ReplicaIncarnation { name: &self.name, started_at_ms };
        started_at_ms.is_none() || !self.may_restart() || self.id == incarnation.to_string()
    }
}

/// The replicas that a node knows, by id: all of them, or the subset that it uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaTable {
    /// The records by id. Successive tables share the unchanged ones.
    pub records: BTreeMap<String, Arc<ReplicaRecord>>,
    /// The layout that the subset belongs to; `None` if these are all replicas.
    pub layout: Option<LayoutId>,
}

impl ReplicaTable {
    /// Creates a table of all replicas.
    pub fn new(records: impl IntoIterator<Item = ReplicaRecord>) -> Self {
        let mut table = Self::default();
        records.into_iter().for_each(|record| table.insert(record));
        table
    }

    /// Adds or replaces the record of an incarnation.
    pub fn insert(&mut self, record: ReplicaRecord) {
        self.records.insert(record.id.clone(), Arc::new(record));
    }

    /// Removes the incarnation listed under a name and returns its record.
    pub fn remove_named(&mut self, name: &str) -> Option<Arc<ReplicaRecord>> {
        let id = self.named(name)?.id.clone();
        self.records.remove(&id)
    }

    /// Returns the incarnation listed under a name.
    pub fn named(&self, name: &str) -> Option<&Arc<ReplicaRecord>> {
        // The id of an incarnation begins with its name.
        let from = self.records.range::<str, _>((Bound::Included(name), Bound::Unbounded));
        let mut same_prefix = from.take_while(|(id, _)| id.starts_with(name)).map(|(_, record)| record);
        same_prefix.find(|record| record.name == name)
    }

    /// Iterates over the replicas of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaRecord> {
        let records = self.records.values().map(Arc::as_ref);
        records.filter(move |record| record.service == service && !record.is_draining)
    }
}
