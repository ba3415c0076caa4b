//! Chooses the admitted replica with the lowest expected response time.
//!
//! The expected response time is `latency * (1 + busy / slots)`, from the average latency observed by this node
//! and the greater of its own requests in flight and the load that the replica reports. For a replica that reports
//! its pace, the latency is its base latency times its present pace (`response_model`). Replicas that recently
//! failed to answer rank last, and ties are broken at random. The caller must report each send and its end.
//!
//! This policy serves plain requests, streams and score requests of the platform's services. Engines of this
//! project's pools are chosen by [`crate::routing`], since more is known of them: they confirm that they accept
//! work, report their streams, and serve shared prompt prefixes from caches. Many nodes choose among them by
//! stale reports, which calls for a few random candidates. The replicas here report no confirmations or
//! prefixes, but their latency can be measured.

use std::collections::BTreeMap;
use std::time::Duration;

use super::replica_load::ReplicaLoad;
use super::replicas::{ReplicaRecord, ReplicaTable};
use super::response_model::ResponseModel;
use super::shared_bases::SharedBases;
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Weight of the latest sample in the moving average of the latency. The average follows a change within some five
/// answers. A greater weight lets one slow answer turn requests away, a smaller one keeps sending to a replica that
/// has slowed down.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;
/// Latency assumed for a replica without samples, in milliseconds; low, so that new replicas are tried soon. A lower
/// one would send a new replica a burst until its first answer.
const UNMEASURED_LATENCY_MS: f64 = 20.0;
/// Time for which a reported load is used. A longer time keeps requests away from a replica whose queue has drained,
/// a shorter one forgets a queue that only other nodes fill.
const REPORTED_LOAD_VALIDITY: Duration = Duration::from_millis(400);
/// Load assumed for a replica that refused for lack of capacity: more than any real load, and small enough not
/// to overflow in sums.
const FULL_LOAD: u32 = u32::MAX / 2;
/// Time for which a replica that did not answer ranks last, by consecutive failures.
const SUSPICION_BACKOFF: Backoff = Backoff::new(Duration::from_millis(500), Duration::from_secs(4));

/// One node's observations of a replica.
#[derive(Clone, Debug, Default)]
struct ReplicaStats {
    in_flight: u32,
    latency_ms: Option<f64>,
    /// Requests in hand at the replica, by its latest report or refusal.
    reported: Option<(Timestamp, u32)>,
    /// Requests waiting at the replica, by its latest report.
    waiting: Option<(Timestamp, u32)>,
    model: ResponseModel,
    suspect_until: Timestamp,
    failures_in_row: u32,
}

impl ReplicaStats {
    /// Returns the requests in flight: those of this node, or the reported number if it is greater.
    fn busy(&self, now: Timestamp) -> u32 {
        self.in_flight.max(fresh(self.reported, now).unwrap_or(0))
    }

    /// Suspects the replica for a time that grows with its consecutive failures.
    fn suspect(&mut self, now: Timestamp) {
        self.failures_in_row += 1;
        self.suspect_until = now + SUSPICION_BACKOFF.pause(self.failures_in_row);
    }

    const fn clear_suspicion(&mut self) {
        self.failures_in_row = 0;
        self.suspect_until = Timestamp::ORIGIN;
    }
}

/// Returns a reported figure if it is recent enough to be used.
fn fresh(reported: Option<(Timestamp, u32)>, now: Timestamp) -> Option<u32> {
    let (at, figure) = reported?;
    (now.saturating_since(at) < REPORTED_LOAD_VALIDITY).then_some(figure)
}

/// The end of a request, as far as it affects later choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFeedback {
    /// The replica answered after this time.
    Answered(Duration),
    /// The replica answered while it was cold, so that its latency is not representative.
    AnsweredCold,
    /// The replica refused for lack of capacity.
    Full,
    /// The replica reported a failure.
    Failed,
    /// The replica gave no complete answer.
    NoAnswer,
    /// The caller disconnected, or the request was answered elsewhere.
    Abandoned,
}

/// Chooses replicas by one node's observations of them.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChooser {
    /// By id of the replica's incarnation.
    stats: BTreeMap<String, ReplicaStats>,
    /// Base latencies that the owner of the batch jobs measured, by service.
    shared: BTreeMap<String, SharedBases>,
    /// Whether any replica has reported a pace to this node. Never reset.
    has_paces: bool,
}

/// Base latency of a replica that reports its pace.
#[derive(Clone, Copy, Debug)]
struct BaseLatency {
    milliseconds: f64,
    /// Whether it holds for the requests of this node, and not only relative to other replicas.
    is_own_scale: bool,
}

impl ReplicaChooser {
    /// Returns the candidate with the lowest expected response time; `random` breaks ties.
    pub fn best_of<'a>(
        &self,
        mut candidates: Vec<&'a ReplicaRecord>,
        now: Timestamp,
        random: u64,
    ) -> Option<&'a ReplicaRecord> {
        if candidates.is_empty() {
            return None;
        }
        let shift = (random as usize) % candidates.len();
        candidates.rotate_left(shift);
        let key = |record: &&ReplicaRecord| self.cost(record, now);
        candidates.into_iter().min_by(|left, right| {
            let (left, right) = (key(left), key(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        })
    }

    /// Returns whether the replica is suspected, and its expected response time in milliseconds.
    fn cost(&self, record: &ReplicaRecord, now: Timestamp) -> (bool, f64) {
        let base = self.base(record).map(|base| base.milliseconds);
        let Some(stats) = self.stats.get(&record.id) else {
            return (false, base.unwrap_or(UNMEASURED_LATENCY_MS));
        };
        let is_suspect = stats.suspect_until > now;
        let busy = stats.busy(now);
        if base.is_some() || stats.model.reports_pace() {
            let factor = stats.model.present_factor(busy, record.slots, now);
            return (is_suspect, base.unwrap_or(UNMEASURED_LATENCY_MS) * factor);
        }
        let slots = f64::from(record.slots.max(1));
        let load = f64::from(busy) / slots;
        let latency = stats.latency_ms.unwrap_or(UNMEASURED_LATENCY_MS);
        (is_suspect, latency * (1.0 + load))
    }

    /// Returns the base latency of a replica. Without one, the mean response time ranks the replica.
    fn base(&self, record: &ReplicaRecord) -> Option<BaseLatency> {
        let shared = self.shared.get(&record.service).and_then(|shared| shared.base_ms(&record.id));
        let shared_ms = shared.map(|(shared_ms, _)| shared_ms);
        let is_shared_scaled = shared.is_some_and(|(_, is_scaled)| is_scaled);
        let Some(stats) = self.stats.get(&record.id) else {
            return shared_ms
                .map(|milliseconds| BaseLatency { milliseconds, is_own_scale: is_shared_scaled });
        };
        // This node measured the replica without a pace; that figure can't be combined with a base latency.
        if stats.latency_ms.is_some() && !stats.model.reports_pace() {
            return None;
        }
        let is_own_scale = is_shared_scaled || stats.model.measured_ms().is_some();
        stats.model.base_ms(shared_ms).map(|milliseconds| BaseLatency { milliseconds, is_own_scale })
    }

    /// Whether a request that waits at another replica may move to this one: it is not suspected and did not just
    /// refuse for lack of capacity.
    pub(crate) fn is_move_target(&self, replica: &str, now: Timestamp) -> bool {
        let Some(stats) = self.stats.get(replica) else { return true };
        stats.suspect_until <= now && stats.busy(now) < FULL_LOAD
    }

    /// Returns the requests in flight at a replica, as far as this node knows.
    pub fn busy(&self, replica: &str, now: Timestamp) -> u32 {
        self.stats.get(replica).map_or(0, |stats| stats.busy(now))
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, replica: &str) {
        self.stats.entry(replica.to_owned()).or_default().in_flight += 1;
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, replica: &str, feedback: ReplicaFeedback, now: Timestamp) {
        let stats = self.stats.entry(replica.to_owned()).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match feedback {
            ReplicaFeedback::Answered(took) => {
                let took_ms = took.as_secs_f64() * 1_000.0;
                let mean = stats.latency_ms.unwrap_or(took_ms);
                stats.latency_ms = Some(mean + LATENCY_SAMPLE_WEIGHT * (took_ms - mean));
                let busy = stats.busy(now);
                // The load at a replica that just refused is unknown.
                if busy < FULL_LOAD {
                    stats.model.record_response(took, busy, now);
                }
                stats.clear_suspicion();
            }
            ReplicaFeedback::AnsweredCold => stats.clear_suspicion(),
            ReplicaFeedback::NoAnswer => stats.suspect(now),
            ReplicaFeedback::Full => stats.reported = Some((now, FULL_LOAD)),
            ReplicaFeedback::Failed | ReplicaFeedback::Abandoned => {}
        }
    }

    /// Records that a request exceeded its timeout at a replica and stays there. The replica ranks last, like one
    /// that did not answer, until it answers.
    pub(crate) fn mark_late(&mut self, replica: &str, now: Timestamp) {
        self.stats.entry(replica.to_owned()).or_default().suspect(now);
    }

    /// Records the load that a replica reports. The load of an answer must be recorded before its end.
    pub fn record_reported_load(&mut self, replica: &str, load: ReplicaLoad, now: Timestamp) {
        let stats = self.stats.entry(replica.to_owned()).or_default();
        stats.reported = Some((now, load.in_hand()));
        stats.waiting = Some((now, load.waiting));
        stats.model.record_load(load, now);
        self.has_paces |= load.pace_percent.is_some();
    }

    /// Whether any replica has ever reported a pace to this node. Where none has, requests need no work for what depends
    /// on paces.
    pub const fn has_paces(&self) -> bool {
        self.has_paces
    }

    /// Whether any of the replicas, given by their ids, has reported a pace to this node.
    pub fn reports_pace<'a>(&self, replicas: impl IntoIterator<Item = &'a str>) -> bool {
        self.has_paces
            && replicas
                .into_iter()
                .any(|id| self.stats.get(id).is_some_and(|stats| stats.model.reports_pace()))
    }

    /// Returns the time after which a replica is expected to respond to a request sent now. `None` if it reports no
    /// pace or its base latency is unknown.
    pub fn expected_response(&self, record: &ReplicaRecord, now: Timestamp) -> Option<Duration> {
        let base = self.base(record).filter(|base| base.is_own_scale)?;
        let stats = self.stats.get(&record.id);
        let factor =
            stats.map_or(1.0, |stats| stats.model.present_factor(stats.busy(now), record.slots, now));
        Some(Duration::from_secs_f64(base.milliseconds * factor / 1_000.0))
    }

    /// Returns the response time of a replica at its usual pace and without load, if it reports its pace.
    pub fn base_latency(&self, record: &ReplicaRecord) -> Option<Duration> {
        let base = self.base(record).filter(|base| base.is_own_scale)?;
        Some(Duration::from_secs_f64(base.milliseconds / 1_000.0))
    }

    /// Returns the base latency of a replica, given by its id, if this node measured it well enough for other nodes.
    pub fn base_latency_to_share(&self, replica: &str) -> Option<Duration> {
        let base_ms = self.stats.get(replica)?.model.ms_to_share()?;
        Some(Duration::from_secs_f64(base_ms / 1_000.0))
    }

    /// Records base latencies of replicas of a service, by their ids, that the owner of the batch jobs measured.
    pub fn record_shared_bases(
        &mut self,
        service: &str,
        bases: impl IntoIterator<Item = (String, Duration)>,
        now: Timestamp,
    ) {
        let bases = bases.into_iter().map(|(replica, base)| (replica, base.as_secs_f64() * 1_000.0));
        let shared = self.shared.entry(service.to_owned()).or_default();
        shared.add(bases, now);
        shared.update_scale(|replica| self.stats.get(replica)?.model.measured_ms());
    }

    /// Drops shared base latencies that are too old to be used. To be called every second or more often.
    pub fn expire_shared_bases(&mut self, now: Timestamp) {
        self.shared.retain(|_, shared| shared.expire(now));
    }

    /// Returns how many requests wait at a replica, if it reported that recently.
    pub fn reported_waiting(&self, replica: &str, now: Timestamp) -> Option<u32> {
        fresh(self.stats.get(replica)?.waiting, now)
    }

    /// Drops replicas that are no longer listed and have no requests of this node in flight.
    pub(crate) fn retain_listed(&mut self, table: &ReplicaTable) {
        self.stats.retain(|id, stats| stats.in_flight > 0 || table.records.contains_key(id));
    }
}
