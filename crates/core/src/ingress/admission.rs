//! Whether a replica may be sent a request now: the one place that every sender asks, for plain requests,
//! streams, items of batch jobs and score requests alike.
//!
//! Inputs: the replica's record, the evacuated zones, the cold replicas ([`WarmupTracker`]) and the time. Sets no
//! figure of its own. A sender asks [`AdmissionGate::admission`] and, where it sends, calls
//! [`AdmissionGate::record_sent`] before the first byte leaves.
//!
//! Invariant: nothing new goes to a replica in an evacuated zone, and no more to a cold replica than this
//! sender's share of the rate that it can take.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::replicas::ReplicaRecord;
use super::warmups::WarmupTracker;
use crate::time::Timestamp;

/// What a replica may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Anything that it has room for.
    Open,
    /// Nothing: the operator evacuates its zone.
    Evacuated,
    /// Nothing before this time: it is cold, and this sender's share of its rate is spent.
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
    /// Whether a replica may be sent nothing for its zone. A request that was let through and then waited for
    /// a connection is checked by this once more, just before its first byte.
    pub fn is_evacuated(&self, replica: &ReplicaRecord) -> bool {
        self.zones.contains(&replica.zone)
    }
}

/// What one sender may send to which replica now.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    evacuated: Arc<EvacuatedZones>,
    warmups: WarmupTracker,
}

impl AdmissionGate {
    /// The gate of a sender with these cold replicas.
    pub fn new(warmups: WarmupTracker) -> Self {
        Self { evacuated: Arc::default(), warmups }
    }

    /// The cold replicas.
    pub const fn warmups(&self) -> &WarmupTracker {
        &self.warmups
    }

    /// The cold replicas, to pass them what is known of replicas, services and gateways.
    pub const fn warmups_mut(&mut self) -> &mut WarmupTracker {
        &mut self.warmups
    }

    /// Takes the zones that are evacuated from now on. Replicas of a zone that is readmitted may have turned
    /// cold.
    pub fn set_evacuated(&mut self, evacuated: Arc<EvacuatedZones>, now: Timestamp) {
        if Arc::ptr_eq(&evacuated, &self.evacuated) {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let returned: BTreeSet<&String> = before.zones.difference(&self.evacuated.zones).collect();
        if !returned.is_empty() {
            self.warmups.zones_readmitted(&returned, now);
        }
    }

    /// Whether a replica stands in a zone that is evacuated: it takes no work at all.
    pub fn is_evacuated(&self, replica: &ReplicaRecord) -> bool {
        self.evacuated.is_evacuated(replica)
    }

    /// The zones that are evacuated.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Whether a replica may be sent a request now.
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

    /// A request is being sent to a replica.
    pub fn record_sent(&mut self, replica: &ReplicaRecord, now: Timestamp) {
        self.warmups.record_sent(&replica.id, now);
    }
}
