//! Selection where replicas report their pace: probes before a send, refusals because of queues, and early moves.

use std::sync::Arc;
use std::time::Duration;

use super::{NoCandidate, ReplicaSelector, SelectedReplica, SelectionQuery};
use crate::ingress::admission::EvacuatedZones;
use crate::ingress::replicas::{ReplicaRecord, ReplicaTable};
use crate::retry::early_moves::EarlyMoveDenial;
use crate::retry::retry_after::QueueDrain;
use crate::time::Timestamp;

impl ReplicaSelector {
    /// Selects one of the replicas `among`, given by their ids, like [`Self::select`].
    ///
    /// # Errors
    /// Returns the reason if none of them can be sent the request now.
    pub fn select_among(
        &mut self,
        among: &[&str],
        query: &SelectionQuery<'_>,
        table: Option<&ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Result<SelectedReplica, NoCandidate> {
        let mut candidates = self.candidates(query, table, evacuated, now)?;
        if candidates.iter().any(|record| among.contains(&record.id.as_str())) {
            candidates.retain(|record| among.contains(&record.id.as_str()));
        }
        self.reserve_best(candidates, now, random).ok_or(NoCandidate::NoReplica)
    }

    /// Returns the two replicas whose load should be queried before a request is sent: the one that would be selected,
    /// and another one at random. `None` unless the service reports a pace and there are two such replicas. Cold
    /// replicas are not queried, since they bear few requests, nor are those that did not answer.
    pub fn probe_pair(
        &mut self,
        query: &SelectionQuery<'_>,
        table: Option<&ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Option<[ReplicaRecord; 2]> {
        if !self.has_paces() {
            return None;
        }
        let mut candidates = self.candidates(query, table, evacuated, now).ok()?;
        if !self.reports_pace(candidates.iter().map(|record| record.id.as_str())) {
            return None;
        }
        candidates.retain(|record| {
            self.chooser.is_move_target(&record.id, now) && !self.gate.is_cold(&record.id, now)
        });
        let first = self.chooser.best_of(candidates.clone(), now, random)?;
        candidates.retain(|record| record.id != first.id);
        let second = candidates.get((random as usize).checked_rem(candidates.len())?)?;
        Some([first.clone(), ReplicaRecord::clone(second)])
    }

    /// Checks whether a plain request that has not run and has `remaining` time left can be served in time. To be called
    /// before a replica is selected.
    ///
    /// # Errors
    /// Returns [`NoCandidate::NoTime`] if each candidate recently reported a queue that takes longer than that. Once the
    /// reports are too old, requests are sent again, and their answers bring new reports. Returns the reason if there is
    /// no candidate, unless no replica has reported a pace.
    pub fn check_queues(
        &mut self,
        query: &SelectionQuery<'_>,
        remaining: Duration,
        table: Option<&ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
    ) -> Result<(), NoCandidate> {
        if !self.has_paces() {
            return Ok(());
        }
        let candidates = self.candidates(query, table, evacuated, now)?;
        let drain_times = candidates.iter().map(|record| self.drain_time(record, now));
        // `None` if any queue is unknown. There is at least one candidate.
        let shortest = drain_times.collect::<Option<Vec<_>>>().and_then(|times| times.into_iter().min());
        match shortest.filter(|drain_time| *drain_time > remaining) {
            Some(drain_time) => Err(NoCandidate::NoTime(QueueDrain { drain_time, remaining })),
            None => Ok(()),
        }
    }

    /// Returns the shortest queue that a replica of the service, tried or not, recently reported. `None` if none did.
    pub fn shortest_queue(
        &self,
        query: &SelectionQuery<'_>,
        remaining: Duration,
        table: Option<&ReplicaTable>,
        now: Timestamp,
    ) -> Option<QueueDrain> {
        let allowed = table?.ready(query.service).filter(|record| query.allows(record));
        let open = allowed.filter(|record| !self.gate.is_evacuated(record));
        let drain_time = open.filter_map(|record| self.drain_time(record, now)).min()?;
        Some(QueueDrain { drain_time, remaining })
    }

    /// Returns the time in which the queue that a replica recently reported drains at its usual pace: the number of
    /// waiting requests times the base latency, divided by the slots. `None` if it is unknown or the replica reports no
    /// pace.
    fn drain_time(&self, record: &ReplicaRecord, now: Timestamp) -> Option<Duration> {
        let waiting = self.chooser.reported_waiting(&record.id, now)?;
        let base_latency = self.chooser.base_latency(record)?;
        Some(base_latency.mul_f64(f64::from(waiting) / f64::from(record.slots.max(1))))
    }

    /// Selects another replica for a plain request that waits at one and has `target_left` of its target left, and
    /// counts the request as in flight there.
    ///
    /// The other replica must be warm, must not be suspected, full or known to have waiting requests, and must be
    /// expected to answer within `target_left`.
    ///
    /// # Errors
    /// Returns the reason if the request should stay where it is for now.
    pub fn select_early(
        &mut self,
        query: &SelectionQuery<'_>,
        target_left: Duration,
        table: Option<&ReplicaTable>,
        evacuated: Option<Arc<EvacuatedZones>>,
        now: Timestamp,
        random: u64,
    ) -> Result<SelectedReplica, EarlyMoveDenial> {
        let listed = table.into_iter().flat_map(|table| table.ready(query.service));
        let replicas = listed.map(|record| record.id.as_str()).chain(query.tried.iter().map(String::as_str));
        if !self.chooser.reports_pace(replicas) {
            return Err(EarlyMoveDenial::NoPace);
        }
        if self.early_moves.is_short(query.service, query.tried, now) {
            return Err(EarlyMoveDenial::Shortage);
        }
        if self.early_moves.is_futile(query.service, now) {
            return Err(EarlyMoveDenial::Futile);
        }
        let candidates = self.candidates(query, table, evacuated, now);
        let mut candidates = candidates.map_err(|_| EarlyMoveDenial::NoCandidate)?;
        candidates.retain(|record| {
            let expected = self.chooser.expected_response(record, now);
            let has_waiting =
                self.chooser.reported_waiting(&record.id, now).is_some_and(|waiting| waiting > 0);
            expected.is_some_and(|expected| expected <= target_left)
                && !has_waiting
                && self.chooser.is_move_target(&record.id, now)
                && !self.gate.is_cold(&record.id, now)
        });
        if candidates.is_empty() {
            return Err(EarlyMoveDenial::NoneInTime);
        }
        if !self.early_moves.withdraw(query.service, now) {
            return Err(EarlyMoveDenial::BudgetExhausted);
        }
        self.reserve_best(candidates, now, random).ok_or(EarlyMoveDenial::NoCandidate)
    }
}
