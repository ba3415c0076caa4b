//! Selects the replica for a plain request or stream, or returns why there is none.
//!
//! The rules apply in this order:
//!
//! 1. The request must not be quarantined.
//! 2. The node must know which zones are evacuated, and must have read the list of replicas.
//! 3. A candidate serves the service, is not draining, has not been tried, is in an allowed region, and is
//!    admitted by the gate (its zone is not evacuated, and it is not cold beyond this node's share).
//! 4. Among the candidates, [`super::chooser`] takes the one with the lowest expected response time.
//!
//! A request that waits too long at a replica may move to a better one
//! ([`ReplicaSelector::select_alternative`]). The work at the first replica is then lost.
//!
//! Where replicas report their pace, a plain request may move earlier, to be answered within its target
//! ([`ReplicaSelector::select_early`]), and a plain request is refused if every candidate reports a queue that takes
//! longer than the time that it has left ([`ReplicaSelector::check_queues`]).
//!
//! The caller must report the end of each request by [`ReplicaSelector::record_end`].

mod paced;

use std::sync::Arc;
use std::time::Duration;

use super::admission::{Admission, AdmissionGate, EvacuatedZones};
use super::chooser::{ReplicaChooser, ReplicaFeedback};
use super::places::{AllowedRegions, ZoneMap};
use super::replica_load::ReplicaLoad;
use super::replicas::{ReplicaRecord, ReplicaTable};
use super::warmups::WarmupTracker;
use crate::retry::early_moves::EarlyMoves;
use crate::retry::retry_after::QueueDrain;
use crate::time::Timestamp;

/// Why no replica can be sent a request now. If several reasons apply, the greatest one is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoCandidate {
    /// The node does not know yet which zones are evacuated.
    EvacuationsUnknown,
    /// The node has not read the list of replicas yet.
    ReplicasUnknown,
    /// No replica of the service is listed, or all have been tried.
    NoReplica,
    /// No replica is in a region in which the request may be served.
    OutsideRegions,
    /// All replicas are in evacuated zones.
    Evacuated,
    /// Replicas are cold; this node may send to one of them after this time.
    Warming(Duration),
    /// The queue of each candidate takes longer than the time that the request has left.
    NoTime(QueueDrain),
    /// The request is quarantined, since replicas crashed while running it.
    Quarantined,
}

impl NoCandidate {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::EvacuationsUnknown => "evacuations_unknown",
            Self::ReplicasUnknown => "replicas_unknown",
            Self::NoReplica => "no_replica",
            Self::OutsideRegions => "outside_regions",
            Self::Evacuated => "evacuated",
            Self::Warming(_) => "warming",
            Self::NoTime(_) => "no_time",
            Self::Quarantined => "quarantined",
        }
    }

    /// Combines this reason with the admission of a further replica. Of several cold replicas, the one that opens
    /// first counts.
    fn or_blocked_by(self, admission: Admission, now: Timestamp) -> Self {
        match (admission, self) {
            (Admission::Open, _) => self,
            (Admission::Evacuated, _) => self.max(Self::Evacuated),
            (Admission::Warming(until), Self::Warming(other)) => {
                Self::Warming(other.min(until.saturating_since(now)))
            }
            (Admission::Warming(until), _) => Self::Warming(until.saturating_since(now)),
        }
    }
}

/// Why a request stays at the replica where it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StayReason {
    /// No other replica can be sent the request.
    NoCandidate(NoCandidate),
    /// All other candidates are suspected, full, or cold like this one.
    NoneBetter,
}

impl StayReason {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoCandidate(reason) => reason.as_str(),
            Self::NoneBetter => "none_better",
        }
    }
}

/// The constraints of a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// The service that it is for.
    pub service: &'a str,
    /// The regions in which it may be served.
    pub regions: &'a AllowedRegions,
    /// The region of each zone.
    pub zones: &'a ZoneMap,
    /// Ids of the replicas that it was already sent to.
    pub tried: &'a [String],
    /// Whether it is quarantined and must not be sent to any replica.
    pub is_quarantined: bool,
}

impl SelectionQuery<'_> {
    fn allows(&self, replica: &ReplicaRecord) -> bool {
        self.regions.allows_zone(self.zones, &replica.zone)
    }
}

/// A selected replica. The request counts as in flight there until [`ReplicaSelector::record_end`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedReplica {
    /// The replica's record.
    pub record: ReplicaRecord,
    /// Whether the replica was cold when it was selected.
    pub is_cold: bool,
}

/// Selects replicas for the requests of one gateway.
#[derive(Clone, Debug)]
pub struct ReplicaSelector {
    chooser: ReplicaChooser,
    gate: AdmissionGate,
    early_moves: EarlyMoves,
}

impl ReplicaSelector {
    /// Creates a selector without observations.
    pub fn new(warmups: WarmupTracker) -> Self {
        Self {
            chooser: ReplicaChooser::default(),
            gate: AdmissionGate::new(warmups),
            early_moves: EarlyMoves::default(),
        }
    }

    /// Returns the limits on early moves, to record requests and answers.
    pub const fn early_moves_mut(&mut self) -> &mut EarlyMoves {
        &mut self.early_moves
    }

    /// Returns the gate that admits requests to replicas.
    pub const fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Returns the gate, to update it with zones, services and gateways.
    pub const fn gate_mut(&mut self) -> &mut AdmissionGate {
        &mut self.gate
    }

    /// Selects a replica of `table` and counts the request as in flight there. `table` and `evacuated` are `None`
    /// until the node has read the replicas and the evacuated zones. `random` breaks ties.
    ///
    /// # Errors
    /// Returns the reason if no replica can be sent the request now.
    pub fn select(
        &mut self,
        query: &SelectionQuery<'_>,
        table: Option<&ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Result<SelectedReplica, NoCandidate> {
        let candidates = self.candidates(query, table, evacuated, now)?;
        self.reserve_best(candidates, now, random).ok_or(NoCandidate::NoReplica)
    }

    /// Selects another replica for a request that waits at one, and counts the request as in flight there.
    /// `waits_at_cold` states whether the first replica was cold when it was selected.
    ///
    /// Suspected and full replicas are excluded, since the work at the first replica would be lost for nothing. A
    /// request is not moved from one cold replica to another: both are slow, and the move would use up the rates
    /// of both.
    ///
    /// # Errors
    /// Returns the reason if the request should stay where it is.
    pub fn select_alternative(
        &mut self,
        query: &SelectionQuery<'_>,
        waits_at_cold: bool,
        table: Option<&ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Result<SelectedReplica, StayReason> {
        let mut candidates =
            self.candidates(query, table, evacuated, now).map_err(StayReason::NoCandidate)?;
        candidates.retain(|record| self.chooser.is_move_target(&record.id, now));
        candidates.retain(|record| !(waits_at_cold && self.gate.is_cold(&record.id, now)));
        self.reserve_best(candidates, now, random).ok_or(StayReason::NoneBetter)
    }

    /// Takes the candidate with the lowest expected response time and counts the request as in flight there.
    fn reserve_best(
        &mut self,
        candidates: Vec<&ReplicaRecord>,
        now: Timestamp,
        random: u64,
    ) -> Option<SelectedReplica> {
        let record = self.chooser.best_of(candidates, now, random)?.clone();
        self.gate.record_sent(&record, now);
        self.chooser.record_sent(&record.id);
        let is_cold = self.gate.is_cold(&record.id, now);
        Some(SelectedReplica { record, is_cold })
    }

    /// Returns the replicas that the request may be sent to; at least one.
    fn candidates<'a>(
        &mut self,
        query: &SelectionQuery<'a>,
        table: Option<&'a ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
    ) -> Result<Vec<&'a ReplicaRecord>, NoCandidate> {
        if query.is_quarantined {
            return Err(NoCandidate::Quarantined);
        }
        let evacuated = evacuated.ok_or(NoCandidate::EvacuationsUnknown)?;
        self.gate.set_evacuated(evacuated, now);
        let table = table.ok_or(NoCandidate::ReplicasUnknown)?;
        self.chooser.retain_listed(table);
        let has_allowed =
            query.regions.is_all() || table.ready(query.service).any(|record| query.allows(record));
        let mut reason = if has_allowed { NoCandidate::NoReplica } else { NoCandidate::OutsideRegions };
        let mut candidates = Vec::new();
        let untried = table.ready(query.service).filter(|record| !query.tried.contains(&record.id));
        for record in untried.filter(|record| query.allows(record)) {
            let admission = self.gate.admission(record, now);
            reason = reason.or_blocked_by(admission, now);
            if admission.is_open() {
                candidates.push(record);
            }
        }
        if candidates.is_empty() { Err(reason) } else { Ok(candidates) }
    }

    /// Records that a request exceeded its timeout at a replica and stays there. Other requests avoid the replica
    /// until it answers.
    pub fn mark_late(&mut self, replica: &str, now: Timestamp) {
        self.chooser.mark_late(replica, now);
    }

    /// Records the load that a replica reports. The load of an answer must be recorded before its end.
    pub fn record_reported_load(&mut self, replica: &str, load: ReplicaLoad, now: Timestamp) {
        self.chooser.record_reported_load(replica, load, now);
    }

    /// Whether any replica has ever reported a pace to this node.
    pub const fn has_paces(&self) -> bool {
        self.chooser.has_paces()
    }

    /// Whether any of the replicas, given by their ids, has reported a pace to this node.
    pub fn reports_pace<'a>(&self, replicas: impl IntoIterator<Item = &'a str>) -> bool {
        self.chooser.reports_pace(replicas)
    }

    /// Returns the time after which a replica is expected to respond to a request sent now. `None` if it reports no
    /// pace or its base latency is unknown.
    pub fn expected_response(&self, record: &ReplicaRecord, now: Timestamp) -> Option<Duration> {
        self.chooser.expected_response(record, now)
    }

    /// Returns the response time of a replica at its usual pace and without load, if it reports its pace.
    pub fn base_latency(&self, record: &ReplicaRecord) -> Option<Duration> {
        self.chooser.base_latency(record)
    }

    /// Records base latencies of replicas of a service, by their ids, that the owner of the batch jobs measured.
    pub fn record_shared_bases(
        &mut self,
        service: &str,
        bases: impl IntoIterator<Item = (String, Duration)>,
        now: Timestamp,
    ) {
        self.chooser.record_shared_bases(service, bases, now);
    }

    /// Drops shared base latencies that are too old to be used. To be called every second or more often.
    pub fn expire_shared_bases(&mut self, now: Timestamp) {
        self.chooser.expire_shared_bases(now);
    }

    /// Returns how many requests wait at a replica, if it reported that recently.
    pub fn reported_waiting(&self, replica: &str, now: Timestamp) -> Option<u32> {
        self.chooser.reported_waiting(replica, now)
    }

    /// Records the end of a request at a replica.
    pub fn record_end(&mut self, replica: &str, feedback: ReplicaFeedback, now: Timestamp) {
        self.chooser.record_end(replica, feedback, now);
    }
}
