//! Chooses a replica for each waiting item and tracks the state of each replica.
//!
//! Inputs: what an item requires (service, model and version, memory, regions), the runs of this owner on
//! each replica, and the pauses between their events. Among the replicas that can take an item, the one that
//! should finish it first is chosen.
//!
//! The ingress (`ingress::chooser`) compares complete response times and reported load instead, because many
//! gateways share its replicas; the native interface (`routing`) compares engine queues and cached prefixes.
//! Here a single owner sees every run of every item, so it counts slots itself, and since an item lasts
//! seconds, the pace of its events decides.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::sustained_pace::SustainedPace;
use crate::ingress::admission::AdmissionGate;
use crate::ingress::places::{AllowedRegions, ZoneMap};
use crate::ingress::replicas::ReplicaRecord;
use crate::ingress::routes::{Service, WeightedService};
use crate::time::Timestamp;

/// Pause between two events assumed while none was measured in the service.
const DEFAULT_GAP: Duration = Duration::from_millis(40);
/// Weight of the newest pause in the moving average: about thirty pauses, or a quarter of a second on a full replica.
/// With 0.1 the fastest of many similar replicas looked a tenth faster than it was.
const GAP_WEIGHT: f64 = 0.03;
/// Number of pauses after which the mean of a replica is reliable.
const RELIABLE_GAPS: u32 = 30;
/// Weight of the newest pause in the typical pause of a service.
const TYPICAL_GAP_WEIGHT: f64 = 0.01;
/// Relative slowdown of a full replica compared with an empty one, assumed before any measurement. The pauses of
/// deployments seen so far showed some hundredths.
const INITIAL_SLOWDOWN: f64 = 0.5;
/// Upper bound of the estimated slowdown; longer pauses have other causes than load.
const MAX_SLOWDOWN: f64 = 4.0;
/// Learning rate of the slowdown: it converges within about a thousand pauses, less than a second of a busy
/// service.
const SLOWDOWN_RATE: f64 = 0.01;
/// Bound on the deviation of one pause ratio from its expected value, so that outliers have little effect.
const MAX_RATIO_ERROR: f64 = 1.0;
/// How long a replica gets no new items after a run on it broke; by then the list of replicas shows whether it is
/// gone. A longer time leaves a good replica idle after one broken connection.
pub(super) const BROKEN_RUN_COOLDOWN: Duration = Duration::from_millis(600);
/// How long a replica gets no new items after it rejected one; live requests that hold its slots may be done
/// by then.
pub(super) const REJECTION_COOLDOWN: Duration = Duration::from_millis(60);

/// A model load that a replica was ordered to do.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) model: String,
    pub(super) version: u64,
    /// Number of loads in progress in its service when it started, including itself.
    pub(super) concurrent_loads: usize,
}

/// The owner's view of a replica: the platform's record, updated by what the owner has sent and observed
/// since.
#[derive(Clone, Debug)]
pub(super) struct ReplicaState {
    pub(super) record: Arc<ReplicaRecord>,
    /// Number of this owner's runs on the replica.
    pub(super) running: u32,
    /// Memory, in tokens, that these runs are expected to need.
    pub(super) tokens: u64,
    /// No new items are sent before this time.
    pub(super) avoid_until: Timestamp,
    pub(super) loading: Option<Loading>,
    /// Highest version of each model that a report or an answer showed.
    pub(super) seen_versions: BTreeMap<String, u64>,
    /// Mean pause between events of one run, corrected to zero load.
    unloaded_gap: Option<MeanGap>,
    /// Mean load at which pauses were observed.
    mean_load: f64,
    /// Whether the mean pause was measured while the replica was cold; it is discarded once the replica is
    /// warm.
    is_cold_estimate: bool,
    sustained_pace: SustainedPace,
    /// Whether an answer of the replica reported its pace.
    pub(super) reports_pace: bool,
}

/// What the pauses on all replicas show: the effect of load, and the pause to expect of a replica without
/// measurements.
#[derive(Clone, Debug)]
pub(super) struct PaceModel {
    /// Relative slowdown of a full replica compared with an empty one.
    slowdown: f64,
    /// Mean pause without load, by service.
    typical_gaps: BTreeMap<String, MeanGap>,
}

/// A moving average of pauses: the mean of the first ones, then weighted towards the newest.
#[derive(Clone, Copy, Debug, Default)]
struct MeanGap {
    milliseconds: f64,
    /// Number of pauses seen.
    count: u32,
}

impl MeanGap {
    fn observe(&mut self, gap_ms: f64, least_weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = least_weight.max(1.0 / f64::from(self.count));
        self.milliseconds += weight * (gap_ms - self.milliseconds);
    }

    fn duration(self) -> Duration {
        Duration::from_secs_f64(self.milliseconds / 1_000.0)
    }
}

impl Default for PaceModel {
    fn default() -> Self {
        Self { slowdown: INITIAL_SLOWDOWN, typical_gaps: BTreeMap::new() }
    }
}

impl PaceModel {
    /// Returns the factor by which pauses lengthen at a load between 0 and 1.
    fn factor(&self, load: f64) -> f64 {
        1.0 + self.slowdown * load
    }

    /// Returns the pause to expect of a replica without measurements. It must not look faster than those of its
    /// service that are known, or runs would move to it for nothing.
    fn typical_gap(&self, service: &str) -> Duration {
        self.typical_gaps.get(service).map_or(DEFAULT_GAP, |gap| gap.duration())
    }

    /// Updates the typical pause of a service.
    fn observe_unloaded_gap(&mut self, service: &str, gap_ms: f64) {
        if !self.typical_gaps.contains_key(service) {
            self.typical_gaps.insert(service.to_owned(), MeanGap::default());
        }
        if let Some(typical) = self.typical_gaps.get_mut(service) {
            typical.observe(gap_ms, TYPICAL_GAP_WEIGHT);
        }
    }

    /// Updates the estimate with a pause that was `ratio` times as long as without load. Loads near
    /// `mean_load` carry no information and change little.
    fn observe(&mut self, ratio: f64, load: f64, mean_load: f64) {
        let error = (ratio - self.factor(load)).clamp(-MAX_RATIO_ERROR, MAX_RATIO_ERROR);
        let moved = self.slowdown + SLOWDOWN_RATE * error * (load - mean_load);
        self.slowdown = moved.clamp(0.0, MAX_SLOWDOWN);
    }
}

impl ReplicaState {
    pub(super) fn new(record: Arc<ReplicaRecord>) -> Self {
        Self {
            record,
            running: 0,
            tokens: 0,
            avoid_until: Timestamp::ORIGIN,
            loading: None,
            seen_versions: BTreeMap::new(),
            unloaded_gap: None,
            mean_load: 0.0,
            is_cold_estimate: false,
            sustained_pace: SustainedPace::default(),
            reports_pace: false,
        }
    }

    /// Returns the known version of a model on the replica. Versions only increase within a replica's
    /// incarnation.
    pub(super) fn version(&self, model: &str) -> Option<u64> {
        let listed = self.record.models.get(model).copied();
        let seen = self.seen_versions.get(model).copied();
        listed.max(seen)
    }

    pub(super) fn observe_version(&mut self, model: &str, version: u64) {
        let seen = self.seen_versions.entry(model.to_owned()).or_default();
        *seen = version.max(*seen);
    }

    /// Updates the mean pause with a pause between two events of a run. Pauses of a cold replica say nothing
    /// about its pace when warm, nor about the effect of load.
    pub(super) fn observe_gap(
        &mut self,
        now: Timestamp,
        gap: Duration,
        is_cold: bool,
        paces: &mut PaceModel,
    ) {
        let unloaded_ms = gap.as_secs_f64() * 1_000.0 / paces.factor(self.load());
        self.sustained_pace.observe(now, gap, unloaded_ms);
        if is_cold && self.unloaded_gap.is_some() {
            return;
        }
        if self.is_cold_estimate {
            self.unloaded_gap = None;
        }
        self.is_cold_estimate = is_cold;
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        let load = self.load();
        if !is_cold {
            paces.observe_unloaded_gap(&self.record.service, gap_ms / paces.factor(load));
        }
        if self.unloaded_gap.is_none() {
            self.mean_load = load;
        }
        let mean = self.unloaded_gap.get_or_insert_default();
        if mean.milliseconds > 0.0 {
            paces.observe(gap_ms / mean.milliseconds, load, self.mean_load);
        }
        mean.observe(gap_ms / paces.factor(load), GAP_WEIGHT);
        self.mean_load += GAP_WEIGHT * (load - self.mean_load);
    }

    fn load(&self) -> f64 {
        self.load_of(self.running)
    }

    fn load_of(&self, runs: u32) -> f64 {
        f64::from(runs) / f64::from(self.record.slots.max(1))
    }

    fn gap_at(&self, load: f64, paces: &PaceModel) -> Duration {
        self.unloaded_gap
            .map_or_else(|| paces.typical_gap(&self.record.service), MeanGap::duration)
            .mul_f64(paces.factor(load))
    }

    /// Returns the mean pause between events of one run at the current load.
    pub(super) fn gap(&self, paces: &PaceModel) -> Duration {
        self.gap_at(self.load(), paces)
    }

    /// Returns the shortest mean pause, at the current load, that the replica kept for longer than one slowdown;
    /// `None` if it was not observed for that long.
    pub(super) fn sustained_gap(&self, paces: &PaceModel) -> Option<Duration> {
        let unloaded_ms = self.sustained_pace.shortest_mean_ms()?;
        Some(Duration::from_secs_f64(unloaded_ms * paces.factor(self.load()) / 1_000.0))
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.record.slots && !self.record.is_draining
    }

    /// Returns the mean pause, in seconds, between events of one run if one more run is added.
    pub(super) fn expected_pace(&self, paces: &PaceModel) -> f64 {
        self.gap_at(self.load_of(self.running + 1), paces).as_secs_f64()
    }

    /// Returns [`Self::expected_pace`] as far as a run may be moved for it. After few pauses the mean may be short by
    /// chance, and among hundreds of replicas one always is.
    pub(super) fn reliable_pace(&self, paces: &PaceModel) -> f64 {
        let expected = self.expected_pace(paces);
        if self.unloaded_gap.is_some_and(|gap| gap.count >= RELIABLE_GAPS) {
            return expected;
        }
        let typical = paces.typical_gap(&self.record.service).as_secs_f64();
        expected.max(typical * paces.factor(self.load_of(self.running + 1)))
    }
}

/// What an item requires of a replica.
#[derive(Clone, Debug)]
pub(super) struct Requirements<'a> {
    pub(super) services: &'a [WeightedService],
    pub(super) model: Option<&'a str>,
    pub(super) min_version: u64,
    /// Requires exactly this version, where the events of an item must not mix versions.
    pub(super) exact_version: Option<u64>,
    pub(super) tokens: u64,
    /// The services with their memory, by name. The services of one route may differ.
    pub(super) memory: Option<&'a BTreeMap<String, Service>>,
    /// Replica to avoid if another one qualifies.
    pub(super) avoid: Option<&'a str>,
    /// Replicas at which runs of the item broke; avoided even more.
    pub(super) broke_at: &'a [String],
    /// Decides which replicas admit new work.
    pub(super) gate: &'a AdmissionGate,
    /// Regions in which the job's items may run.
    pub(super) regions: AllowedRegions,
    pub(super) zones: &'a ZoneMap,
}

impl Requirements<'_> {
    /// Returns how much a replica is to be avoided; 0 if it is not.
    fn reluctance(&self, replica: &str) -> u8 {
        let has_broken = self.broke_at.iter().any(|broken| broken == replica);
        2 * u8::from(has_broken) + u8::from(self.avoid == Some(replica))
    }

    /// Returns the minimum requirements of any item of the same class.
    pub(super) fn minimal(self) -> Self {
        Self { exact_version: None, tokens: 0, ..self }
    }

    fn is_met_by(&self, replica: &ReplicaState, now: Timestamp) -> bool {
        let record = &replica.record;
        replica.has_free_slot()
            && replica.avoid_until <= now
            && self.regions.allows_zone(self.zones, &record.zone)
            && self.services.iter().any(|part| part.service == record.service)
            && self.has_version(replica)
            && self.has_memory(replica)
            && self.gate.admission(record, now).is_open()
    }

    fn has_version(&self, replica: &ReplicaState) -> bool {
        let Some(model) = self.model else { return true };
        // A replica rejects requests for a model that it is loading.
        if replica.loading.as_ref().is_some_and(|loading| loading.model == model) {
            return false;
        }
        match (replica.version(model), self.exact_version) {
            (Some(version), Some(exact)) => version == exact,
            (Some(version), None) => version >= self.min_version,
            (None, _) => false,
        }
    }

    fn has_memory(&self, replica: &ReplicaState) -> bool {
        let service = self.memory.and_then(|services| services.get(&replica.record.service));
        let Some(memory) = service.and_then(|service| service.memory_tokens) else { return true };
        replica.running == 0 || replica.tokens + self.tokens <= memory
    }
}

/// Returns whether any replica meets the requirements.
pub(super) fn has_matching_replica(
    replicas: &BTreeMap<String, ReplicaState>,
    requirements: &Requirements<'_>,
    now: Timestamp,
) -> bool {
    replicas.values().any(|replica| requirements.is_met_by(replica, now))
}

/// Returns the id of the replica that should finish the item first.
pub(super) fn choose(
    replicas: &BTreeMap<String, ReplicaState>,
    requirements: &Requirements<'_>,
    paces: &PaceModel,
    now: Timestamp,
) -> Option<String> {
    let candidates = replicas.values().filter(|replica| requirements.is_met_by(replica, now));
    let key =
        |replica: &ReplicaState| (requirements.reluctance(&replica.record.id), replica.expected_pace(paces));
    let best = candidates.min_by(|left, right| {
        let (left, right) = (key(left), key(right));
        left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
    });
    best.map(|replica| replica.record.id.clone())
}
