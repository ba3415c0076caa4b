//! Which waiting item goes to which replica, and what the owner knows of each replica.
//!
//! Inputs: what an item needs (service, model and version, memory, regions), the runs of this owner at each
//! replica, and the pause between events that each showed. Among the replicas that can take the item it goes
//! to the one where it would be done first. The ingress (`ingress::chooser`) compares by the time of whole
//! answers and what they report of load, since many gateways send there; the own interface (`routing`) by
//! queues and prefixes of its engines. Here one owner sees every run of every item, so that it counts slots
//! itself, and an item lasts seconds, so that the pace between its events decides.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ingress::admission::AdmissionGate;
use crate::ingress::places::{AllowedRegions, ZoneMap};
use crate::ingress::replicas::ReplicaRecord;
use crate::ingress::routes::WeightedService;
use crate::time::Timestamp;

/// The pause between two events that is taken for a replica that has not been measured. Chosen, not measured:
/// longer, and new replicas are avoided; shorter, and all items go to them first.
const UNMEASURED_GAP: Duration = Duration::from_millis(40);
/// Weight of the newest pause in the running mean: some thirty pauses, a quarter of a second of a full
/// replica. With a tenth the quickest of many alike looked a tenth quicker than it was. No run of that is
/// kept.
const GAP_WEIGHT: f64 = 0.03;
/// How much slower a full replica is taken to be than an empty one before any was measured. Chosen; the
/// pauses of the measured deployments then showed some hundredths.
const UNMEASURED_SLOWDOWN: f64 = 0.5;
/// The bound of the slowdown, as a multiple: what holds a replica up for longer is something else. Chosen,
/// not measured.
const MAX_SLOWDOWN: f64 = 4.0;
/// How far one pause moves the slowdown: a thousand pauses, less than a second of a busy service, settle it.
/// Chosen, not measured: faster follows single replicas, slower is late where the load changes.
const SLOWDOWN_RATE: f64 = 0.01;
/// The greatest deviation from the expected ratio of pauses that counts: a pause that differs by more says
/// that something was held up, nothing of load. Chosen, not measured.
const MAX_SURPRISE: f64 = 1.0;
/// How long a replica that left a run broken gets nothing new. Chosen, not measured: shorter sends items into
/// a replica that is gone before the list says so; longer leaves a good one idle after one broken connection.
pub(super) const SUSPECT_AFTER_BREAK: Duration = Duration::from_millis(600);
/// How long a replica that refused gets nothing new. Chosen, not measured: about a run's event; live callers,
/// who had taken its slots, may be done by then.
pub(super) const PAUSE_AFTER_REJECTION: Duration = Duration::from_millis(60);

/// A load that a replica was ordered to do.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) model: String,
    pub(super) version: u64,
    /// Loads of its service that were under way when it began, itself among them.
    pub(super) beside: usize,
}

/// A replica as the owner sees it: what the platform lists, corrected by what the owner sent and saw since.
#[derive(Clone, Debug)]
pub(super) struct ReplicaState {
    pub(super) record: ReplicaRecord,
    /// Runs of this owner there.
    pub(super) running: u32,
    /// Tokens of memory that these runs are expected to need.
    pub(super) tokens: u64,
    /// Nothing new before this time.
    pub(super) avoid_until: Timestamp,
    pub(super) loading: Option<Loading>,
    /// The highest version of each model that a report or an answer showed.
    pub(super) seen_versions: BTreeMap<String, u64>,
    /// The mean pause between events of one run, less what the load made of it.
    empty_gap_ms: Option<f64>,
    /// The mean load at which pauses were seen.
    mean_load: f64,
    /// The pause is that of a cold replica: better than none, and forgotten once the replica is warm.
    is_provisional: bool,
}

/// How much slower a full replica is than an empty one, found from the pauses of all.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowdown(f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self(UNMEASURED_SLOWDOWN)
    }
}

impl Slowdown {
    /// How much longer pauses are at a load, from 0 to 1, than without.
    fn factor(self, load: f64) -> f64 {
        1.0 + self.0 * load
    }

    /// A pause was so many times as long as without load; loads about `mean_load` tell nothing.
    fn saw(&mut self, ratio: f64, load: f64, mean_load: f64) {
        let surprise = (ratio - self.factor(load)).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        let moved = self.0 + SLOWDOWN_RATE * surprise * (load - mean_load);
        self.0 = moved.clamp(0.0, MAX_SLOWDOWN);
    }
}

impl ReplicaState {
    pub(super) fn new(record: ReplicaRecord) -> Self {
        Self {
            record,
            running: 0,
            tokens: 0,
            avoid_until: Timestamp::ORIGIN,
            loading: None,
            seen_versions: BTreeMap::new(),
            empty_gap_ms: None,
            mean_load: 0.0,
            is_provisional: false,
        }
    }

    /// The version of a model there, as far as is known. A version never goes back within a replica's
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

    /// A run here paused for so long between two events. A cold replica's pauses say nothing of its pace when
    /// it is warm, nor of what load does to others.
    pub(super) fn observe_gap(&mut self, gap: Duration, is_cold: bool, slowdown: &mut Slowdown) {
        if is_cold && self.empty_gap_ms.is_some() {
            return;
        }
        if self.is_provisional {
            self.empty_gap_ms = None;
        }
        self.is_provisional = is_cold;
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        let load = self.load();
        let Some(mean) = self.empty_gap_ms else {
            self.empty_gap_ms = Some(gap_ms / slowdown.factor(load));
            self.mean_load = load;
            return;
        };
        if mean > 0.0 {
            slowdown.saw(gap_ms / mean, load, self.mean_load);
        }
        self.empty_gap_ms = Some(mean + GAP_WEIGHT * (gap_ms / slowdown.factor(load) - mean));
        self.mean_load += GAP_WEIGHT * (load - self.mean_load);
    }

    fn load(&self) -> f64 {
        self.load_of(self.running)
    }

    fn load_of(&self, runs: u32) -> f64 {
        f64::from(runs) / f64::from(self.record.slots.max(1))
    }

    fn gap_at(&self, load: f64, slowdown: Slowdown) -> Duration {
        let empty = self.empty_gap_ms.map(|gap| Duration::from_secs_f64(gap / 1_000.0));
        empty.unwrap_or(UNMEASURED_GAP).mul_f64(slowdown.factor(load))
    }

    /// The mean pause between events of one run at the present load.
    pub(super) fn gap(&self, slowdown: Slowdown) -> Duration {
        self.gap_at(self.load(), slowdown)
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.record.slots && !self.record.is_draining
    }

    /// The mean pause, in seconds, between events of one run more than there are.
    pub(super) fn expected_pace(&self, slowdown: Slowdown) -> f64 {
        self.gap_at(self.load_of(self.running + 1), slowdown).as_secs_f64()
    }
}

/// What an item needs of a replica.
#[derive(Clone, Debug)]
pub(super) struct Need<'a> {
    pub(super) services: &'a [WeightedService],
    pub(super) model: Option<&'a str>,
    pub(super) min_version: u64,
    /// Only this version, where the item's kept events must not be mixed.
    pub(super) exact_version: Option<u64>,
    pub(super) tokens: u64,
    pub(super) memory_tokens: Option<u64>,
    /// Not this replica, where another can be had.
    pub(super) avoid: Option<&'a str>,
    /// What this owner may send where.
    pub(super) gate: &'a AdmissionGate,
    /// Where the job's items may run.
    pub(super) regions: AllowedRegions,
    pub(super) zones: &'a ZoneMap,
}

impl Need<'_> {
    /// The same for an item of this kind that asks as little as any.
    pub(super) fn least(self) -> Self {
        Self { exact_version: None, tokens: 0, ..self }
    }

    fn is_met_by(&self, replica: &ReplicaState, now: Timestamp) -> bool {
        let record = &replica.record;
        replica.has_free_slot()
            && replica.avoid_until <= now
            && self.regions.allows_zone(self.zones, &record.zone)
            && self.services.iter().any(|part| part.service == record.service)
            && self.has_version(replica)
            && self.has_room(replica)
            && self.gate.judge(record, now).is_open()
    }

    fn has_version(&self, replica: &ReplicaState) -> bool {
        let Some(model) = self.model else { return true };
        // Until a load is done, the replica refuses what it concerns.
        if replica.loading.as_ref().is_some_and(|loading| loading.model == model) {
            return false;
        }
        match (replica.version(model), self.exact_version) {
            (Some(version), Some(exact)) => version == exact,
            (Some(version), None) => version >= self.min_version,
            (None, _) => false,
        }
    }

    fn has_room(&self, replica: &ReplicaState) -> bool {
        let Some(memory) = self.memory_tokens else { return true };
        replica.running == 0 || replica.tokens + self.tokens <= memory
    }
}

/// Whether a replica has a place for an item.
pub(super) fn has_place(replicas: &BTreeMap<String, ReplicaState>, need: &Need<'_>, now: Timestamp) -> bool {
    replicas.values().any(|replica| need.is_met_by(replica, now))
}

/// The replica on which an item would be done first.
pub(super) fn choose(
    replicas: &BTreeMap<String, ReplicaState>,
    need: &Need<'_>,
    slowdown: Slowdown,
    now: Timestamp,
) -> Option<String> {
    let fitting = replicas.values().filter(|replica| need.is_met_by(replica, now));
    let key = |replica: &ReplicaState| {
        let is_avoided = need.avoid == Some(replica.record.id.as_str());
        (is_avoided, replica.expected_pace(slowdown))
    };
    let best = fitting.min_by(|left, right| {
        let (left, right) = (key(left), key(right));
        left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
    });
    best.map(|replica| replica.record.id.clone())
}
