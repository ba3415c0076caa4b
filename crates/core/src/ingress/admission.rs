//! Decides whether a replica may be sent a request now. All senders use it: for plain requests, streams, items
//! of batch jobs and score requests.
//!
//! A sender calls [`AdmissionGate::admission`] and, if it sends, [`AdmissionGate::record_sent`] before it writes
//! the first byte.
//!
//! Invariant: nothing new is sent to a replica in an evacuated zone, and a cold replica is sent no more than
//! this sender's share of its rate (see [`WarmupTracker`]).

use std::collections::BTreeSet;
use std::sync::Arc;

use super::replicas::ReplicaRecord;
use super::warmups::WarmupTracker;
use crate::time::Timestamp;

/// Whether a replica may be sent a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent requests.
    Open,
    /// It may not, since its zone is evacuated.
    Evacuated,
    /// It may not before this time, since it is cold and this sender's share of its rate is used up.
    Warming(Timestamp),
}

impl Admission {
    /// Whether a request may be sent.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// The names of the zones.
    pub zones: BTreeSet<String>,
}

impl EvacuatedZones {
    /// Whether a replica is in an evacuated zone. A request that was admitted and then waited for a connection is
    /// checked again, just before its first byte.
    pub fn is_evacuated(&self, replica: &ReplicaRecord) -> bool {
        self.zones.contains(&replica.zone)
    }
}

/// Admits the requests of one sender to replicas.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    evacuated: Arc<EvacuatedZones>,
    warmups: WarmupTracker,
}

impl AdmissionGate {
    /// Creates a gate without evacuated zones.
    pub fn new(warmups: WarmupTracker) -> Self {
        Self { evacuated: Arc::default(), warmups }
    }

    /// Returns the tracker of cold replicas.
    pub const fn warmups(&self) -> &WarmupTracker {
        &self.warmups
    }

    /// Returns the tracker of cold replicas, to update it with replicas, services and gateways.
    pub const fn warmups_mut(&mut self) -> &mut WarmupTracker {
        &mut self.warmups
    }

    /// Replaces the evacuated zones. Replicas of a readmitted zone may have turned cold meanwhile.
    pub fn set_evacuated(&mut self, evacuated: Arc<EvacuatedZones>, now: Timestamp) {
        if Arc::ptr_eq(&evacuated, &self.evacuated) {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let readmitted: BTreeSet<&String> = before.zones.difference(&self.evacuated.zones).collect();
        if !readmitted.is_empty() {
            self.warmups.zones_readmitted(&readmitted, now);
        }
    }

    /// Whether a replica is in an evacuated zone.
    pub fn is_evacuated(&self, replica: &ReplicaRecord) -> bool {
        self.evacuated.is_evacuated(replica)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Returns whether a replica may be sent a request now.
    pub fn admission(&self, replica: &ReplicaRecord, now: Timestamp) -> Admission {
        if self.is_evacuated(replica) {
            return Admission::Evacuated;
        }
        self.warmups.blocked_until(replica, now).map_or(Admission::Open, Admission::Warming)
    }

    /// Whether a replica is cold.
    pub fn is_cold(&self, replica: &str, now: Timestamp) -> bool {
        self.warmups.cold_period(replica, now).is_some()
    }

    /// Records that a request is being sent to a replica.
    pub fn record_sent(&mut self, replica: &ReplicaRecord, now: Timestamp) {
        self.warmups.record_sent(&replica.id, now);
    }
}
