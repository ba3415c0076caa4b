//! Which replica a request is sent to now, or why there is none. Used for plain requests and streams.
//!
//! Inputs: what the request allows ([`SelectionQuery`]), the replicas as they are listed, the evacuated zones
//! and the time. Order of the rules: the request must not be quarantined; the node must know which zones are
//! evacuated; a candidate serves the service, is not draining, was not tried, stands in an allowed region,
//! and the admission gate is open for it (not evacuated, and not cold beyond this node's share). Among the
//! candidates the chooser takes the one with the least expected time to answer.
//!
//! A request that waits too long at a replica moves only to one that is worth it ([`ReplicaSelector::select_alternative`]):
//! the work at the first replica is lost with the move.
//!
//! Owns the gate and the chooser, and with them all that this node observed of replicas. Relies on its caller
//! for the clock and the random number, and for reporting each request's end by [`ReplicaSelector::record_end`].
//! Sets no figure of its own: see [`super::chooser`], [`super::admission`] and [`super::warmups`].

use std::sync::Arc;
use std::time::Duration;

use super::admission::{Admission, AdmissionGate, EvacuatedZones};
use super::chooser::{ReplicaChooser, ReplicaFeedback};
use super::places::{AllowedRegions, ZoneMap};
use super::replicas::{ReplicaRecord, ReplicaTable};
use super::warmups::WarmupTracker;
use crate::time::Timestamp;

/// Why no replica can be sent a request now. Where several reasons hold, the greatest one counts: it says
/// what would have to end first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoCandidate {
    /// This node does not know yet which zones are evacuated.
    EvacuationsUnknown,
    /// None of the service is listed, or all were tried.
    NoReplica,
    /// None stands in a region in which the request may be served.
    OutsideRegions,
    /// All stand in zones that are evacuated.
    Evacuated,
    /// Some are cold; this node may send to one of them after this time.
    Warming(Duration),
    /// Replicas ended while the request ran there: it is sent to no other.
    Quarantined,
}

impl NoCandidate {
    /// The name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::EvacuationsUnknown => "evacuations_unknown",
            Self::NoReplica => "no_replica",
            Self::OutsideRegions => "outside_regions",
            Self::Evacuated => "evacuated",
            Self::Warming(_) => "warming",
            Self::Quarantined => "quarantined",
        }
    }

    /// The reason where one more replica is not admitted. Of several cold ones the soonest counts.
    fn or_not_admitted(self, admission: Admission, now: Timestamp) -> Self {
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
    /// The others that can are suspected, full, or as cold as this one.
    NoneBetter,
}

impl StayReason {
    /// The name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoCandidate(reason) => reason.as_str(),
            Self::NoneBetter => "none_better",
        }
    }
}

/// What a request allows.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// The service that it goes to.
    pub service: &'a str,
    /// The regions in which it may be served.
    pub regions: &'a AllowedRegions,
    /// Which region each zone lies in.
    pub zones: &'a ZoneMap,
    /// Ids of the replicas that it was sent to already.
    pub tried: &'a [String],
    /// Whether it must reach no replica, since replicas ended while it ran there.
    pub is_quarantined: bool,
}

impl SelectionQuery<'_> {
    fn allows(&self, replica: &ReplicaRecord) -> bool {
        self.regions.allows_zone(self.zones, &replica.zone)
    }
}

/// A replica that was chosen; the request counts there until [`ReplicaSelector::record_end`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedReplica {
    /// Its record.
    pub record: ReplicaRecord,
    /// Whether it was cold when it was chosen.
    pub is_cold: bool,
}

/// Selects replicas for the requests of one gateway.
#[derive(Clone, Debug)]
pub struct ReplicaSelector {
    chooser: ReplicaChooser,
    gate: AdmissionGate,
}

impl ReplicaSelector {
    /// A selector that has observed no replica, with these cold ones.
    pub fn new(warmups: WarmupTracker) -> Self {
        Self { chooser: ReplicaChooser::default(), gate: AdmissionGate::new(warmups) }
    }

    /// The gate that admits requests to replicas.
    pub const fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// The gate, to pass it what is known of zones, services and gateways.
    pub const fn gate_mut(&mut self) -> &mut AdmissionGate {
        &mut self.gate
    }

    /// Selects a replica among those of `table` and counts the request there. `evacuated` is `None` while the
    /// node does not know which zones are evacuated. `random` decides among replicas that are expected to
    /// answer equally soon.
    ///
    /// # Errors
    /// When no replica can be sent the request now.
    pub fn select(
        &mut self,
        query: &SelectionQuery<'_>,
        table: &ReplicaTable,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Result<SelectedReplica, NoCandidate> {
        let candidates = self.candidates(query, table, evacuated, now)?;
        self.take_best(candidates, now, random).ok_or(NoCandidate::NoReplica)
    }

    /// Selects a replica to which a request moves that waits at another one, which was cold when it was
    /// chosen where `waits_at_cold`; counts the request there. Only a replica counts that is neither
    /// suspected nor full: the work at the first one would be lost for nothing. A cold one doesn't stand in
    /// for another cold one, since both are slow and the move would spend the rates of both.
    ///
    /// # Errors
    /// When the request is better left where it is.
    pub fn select_alternative(
        &mut self,
        query: &SelectionQuery<'_>,
        waits_at_cold: bool,
        table: &ReplicaTable,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Result<SelectedReplica, StayReason> {
        let mut candidates =
            self.candidates(query, table, evacuated, now).map_err(StayReason::NoCandidate)?;
        candidates.retain(|record| self.chooser.is_move_target(&record.id, now));
        candidates.retain(|record| !(waits_at_cold && self.gate.is_cold(&record.id, now)));
        self.take_best(candidates, now, random).ok_or(StayReason::NoneBetter)
    }

    /// Takes the candidate that is expected to answer first, and counts the request there.
    fn take_best(
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

    /// The replicas that the request may be sent to; at least one.
    fn candidates<'a>(
        &mut self,
        query: &SelectionQuery<'a>,
        table: &'a ReplicaTable,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
    ) -> Result<Vec<&'a ReplicaRecord>, NoCandidate> {
        if query.is_quarantined {
            return Err(NoCandidate::Quarantined);
        }
        let evacuated = evacuated.ok_or(NoCandidate::EvacuationsUnknown)?;
        self.gate.set_evacuated(evacuated, now);
        self.chooser.retain_listed(table);
        let has_allowed =
            query.regions.is_all() || table.ready(query.service).any(|record| query.allows(record));
        let mut reason = if has_allowed { NoCandidate::NoReplica } else { NoCandidate::OutsideRegions };
        let mut candidates = Vec::new();
        let untried = table.ready(query.service).filter(|record| !query.tried.contains(&record.id));
        for record in untried.filter(|record| query.allows(record)) {
            let admission = self.gate.admission(record, now);
            reason = reason.or_not_admitted(admission, now);
            if admission.is_open() {
                candidates.push(record);
            }
        }
        if candidates.is_empty() { Err(reason) } else { Ok(candidates) }
    }

    /// A request has waited at a replica for longer than its share of the time, and stays there. Others go
    /// elsewhere, as far as they can, until it answers.
    pub fn mark_late(&mut self, replica: &str, now: Timestamp) {
        self.chooser.mark_late(replica, now);
    }

    /// A replica reported how many requests it runs and has waiting.
    pub fn record_reported_load(&mut self, replica: &str, busy: u32, now: Timestamp) {
        self.chooser.record_reported_load(replica, busy, now);
    }

    /// A request that was counted at a replica has ended.
    pub fn record_end(&mut self, replica: &str, feedback: ReplicaFeedback, now: Timestamp) {
        self.chooser.record_end(replica, feedback, now);
    }
}
