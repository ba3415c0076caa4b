//! Chooses among replicas that may be sent a request, by the time in which each is expected to answer.
//!
//! Inputs: the replicas' records, what this node observed of them (`ReplicaStats`: requests in flight,
//! times to answer in milliseconds, failures in a row) and the load that they report themselves. Rule: a
//! replica that lately gave no answer comes last; otherwise the lowest `time to answer * (1 + busy / slots)`
//! wins, and the random number decides among equals.
//!
//! Used for requests and score requests that a replica answers whole or as a stream of its own. The engines
//! of the project's own pools are chosen in [`crate::routing`] by another rule, since other things are known
//! of them: engines confirm that they take work and report how many streams they hold, a shared prompt prefix
//! makes an engine cheaper, and many nodes choose by reports that lag, which needs few random candidates. The
//! replicas here report neither prefixes nor confirmations, but their time to answer can be measured.
//!
//! Owns what was observed. Relies on its caller to report each send and its end.

use std::collections::BTreeMap;
use std::time::Duration;

use super::replicas::{ReplicaRecord, ReplicaTable};
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Weight of the newest time to answer in the running mean: the mean follows a change within some five
/// answers. A greater weight lets one slow answer turn requests away, a smaller one keeps sending to a
/// replica that has slowed down.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time to answer that is assumed for a replica that has not been measured, in milliseconds. Low enough
/// that a new replica is tried soon; too low would send it a burst until its first answer comes.
const UNMEASURED_LATENCY_MS: f64 = 20.0;
/// A load that a replica reported counts for this time. A longer time keeps requests away from a replica
/// whose queue has long drained, a shorter one forgets a queue that only other nodes fill.
const REPORTED_LOAD_VALIDITY: Duration = Duration::from_millis(400);
/// The load that is assumed of a replica that refused for want of room: more than any real one, and small
/// enough that sums with it don't overflow.
const FULL_LOAD: u32 = u32::MAX / 2;
/// How long a replica that gave no answer comes last, by such failures in a row. Too short sends requests
/// into a dead replica whose entry is still listed for some seconds, too long leaves one that is well unused.
const SUSPICION: Backoff = Backoff::new(Duration::from_millis(500), Duration::from_secs(4));

/// What this node observed of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaStats {
    in_flight: u32,
    latency_ms: Option<f64>,
    reported: Option<(Timestamp, u32)>,
    suspect_until: Timestamp,
    failures_in_row: u32,
}

impl ReplicaStats {
    /// Requests in flight there: those of this node, or the self-reported number where that is greater.
    fn busy(&self, now: Timestamp) -> u32 {
        let reported = self.reported.filter(|(at, _)| now.saturating_since(*at) < REPORTED_LOAD_VALIDITY);
        self.in_flight.max(reported.map_or(0, |(_, busy)| busy))
    }

    fn suspect(&mut self, now: Timestamp) {
        self.failures_in_row += 1;
        self.suspect_until = now + SUSPICION.pause(self.failures_in_row);
    }

    const fn clear_suspicion(&mut self) {
        self.failures_in_row = 0;
        self.suspect_until = Timestamp::ORIGIN;
    }
}

/// How a request to a replica went, as far as its choice is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFeedback {
    /// It answered after this time.
    Answered(Duration),
    /// It answered while it was cold, so its time to answer is not representative.
    AnsweredCold,
    /// It was too full.
    Full,
    /// It answered that it failed.
    Failed,
    /// It gave no whole answer.
    Silent,
    /// The caller left, or the request was answered elsewhere.
    Abandoned,
}

/// What this node observed of replicas; chooses where the next request goes.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChooser {
    /// By the id of the replica's incarnation.
    stats: BTreeMap<String, ReplicaStats>,
}

impl ReplicaChooser {
    /// The one of `candidates` that is expected to answer first. Among equals, `random` decides.
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

    /// Whether the replica is suspected, and its expected time to answer in milliseconds.
    fn cost(&self, record: &ReplicaRecord, now: Timestamp) -> (bool, f64) {
        let Some(stats) = self.stats.get(&record.id) else { return (false, UNMEASURED_LATENCY_MS) };
        let busy = stats.busy(now);
        let slots = f64::from(record.slots.max(1));
        let load = f64::from(busy) / slots;
        let latency = stats.latency_ms.unwrap_or(UNMEASURED_LATENCY_MS);
        (stats.suspect_until > now, latency * (1.0 + load))
    }

    /// Whether a request that waits at another replica is worth moving to this one: it gave no cause for
    /// suspicion lately, and did not just refuse for want of room.
    pub(crate) fn is_move_target(&self, replica: &str, now: Timestamp) -> bool {
        let Some(stats) = self.stats.get(replica) else { return true };
        stats.suspect_until <= now && stats.busy(now) < FULL_LOAD
    }

    /// Requests in flight at a replica, as far as this node knows.
    pub fn busy(&self, replica: &str, now: Timestamp) -> u32 {
        self.stats.get(replica).map_or(0, |stats| stats.busy(now))
    }

    /// A request was sent.
    pub fn record_sent(&mut self, replica: &str) {
        self.stats.entry(replica.to_owned()).or_default().in_flight += 1;
    }

    /// A request has ended.
    pub fn record_end(&mut self, replica: &str, feedback: ReplicaFeedback, now: Timestamp) {
        let stats = self.stats.entry(replica.to_owned()).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match feedback {
            ReplicaFeedback::Answered(took) => {
                let took_ms = took.as_secs_f64() * 1_000.0;
                let mean = stats.latency_ms.unwrap_or(took_ms);
                stats.latency_ms = Some(mean + LATENCY_WEIGHT * (took_ms - mean));
                stats.clear_suspicion();
            }
            ReplicaFeedback::AnsweredCold => stats.clear_suspicion(),
            ReplicaFeedback::Silent => stats.suspect(now),
            ReplicaFeedback::Full => stats.reported = Some((now, FULL_LOAD)),
            ReplicaFeedback::Failed | ReplicaFeedback::Abandoned => {}
        }
    }

    /// A request has waited there for longer than its share of the time, and stays: until the replica answers,
    /// it comes last like one that gave no answer.
    pub(crate) fn mark_late(&mut self, replica: &str, now: Timestamp) {
        self.stats.entry(replica.to_owned()).or_default().suspect(now);
    }

    /// A replica reported how many requests it runs and has waiting.
    pub fn record_reported_load(&mut self, replica: &str, busy: u32, now: Timestamp) {
        self.stats.entry(replica.to_owned()).or_default().reported = Some((now, busy));
    }

    /// Forgets replicas that are not listed any more and hold no request of this node.
    pub(crate) fn retain_listed(&mut self, table: &ReplicaTable) {
        self.stats.retain(|id, stats| stats.in_flight > 0 || table.records.contains_key(id));
    }
}
