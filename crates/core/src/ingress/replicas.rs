//! Replicas as the platform lists them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Names one life of a replica: one that starts again under its name holds nothing of before, so that nothing that was believed of it may
/// be believed of its next life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaIncarnation<'a> {
    /// The replica's name.
    pub name: &'a str,
    /// When this life began, in milliseconds since the Unix epoch; `None` where the replica does not say.
    pub born_ms: Option<u64>,
}

impl fmt::Display for ReplicaIncarnation<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(formatter, "{}@{born_ms}", self.name),
            None => formatter.write_str(self.name),
        }
    }
}

/// One life of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// The id of this life, by which all that is believed of it is kept: a [`ReplicaIncarnation`]. A restart has another.
    pub id: String,
    /// The name under which it is listed, and which a request may ask for. A restart may keep it.
    pub name: String,
    /// The service it serves.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it will leave and takes nothing new.
    pub is_draining: bool,
    /// The version of each model that it serves.
    pub models: BTreeMap<String, u64>,
    /// How much longer it was cold when it wrote its record; zero where it is warm, [`Self::COLD_UNKNOWN`] where the
    /// record does not say.
    pub cold_left: Duration,
}

impl ReplicaRecord {
    /// The cold time of a replica whose record says nothing of it.
    pub const COLD_UNKNOWN: Duration = Duration::MAX;

    /// Whether it may start again under its name: it says when it started, so that its lives can be told apart.
    pub fn may_restart(&self) -> bool {
        self.id != self.name
    }
}

/// All replicas, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaTable {
    /// The records.
    pub records: BTreeMap<String, ReplicaRecord>,
}

impl ReplicaTable {
    /// The life that is listed under a name.
    pub fn named(&self, name: &str) -> Option<&ReplicaRecord> {
        self.records.values().find(|record| record.name == name)
    }

    /// Replicas of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaRecord> {
        self.records.values().filter(move |record| record.service == service && !record.is_draining)
    }
}

/// Weight of the newest time to answer in the running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time to answer that is taken for a replica that has not been measured, in milliseconds.
const UNMEASURED_LATENCY_MS: f64 = 20.0;
/// A replica's own word of its load counts for so long.
const REPORTED_LOAD_FOR: Duration = Duration::from_millis(400);
/// How long a replica that gave no answer gets nothing new, by the times in a row.
const SUSPICION: Backoff = Backoff::new(Duration::from_millis(500), Duration::from_secs(4));

/// What this node has seen of one replica.
#[derive(Clone, Debug, Default)]
struct Seen {
    in_flight: u32,
    latency_ms: Option<f64>,
    reported: Option<(Timestamp, u32)>,
    suspect_until: Timestamp,
    failures_in_row: u32,
}

impl Seen {
    /// Requests in hand there: what this node sent, or the replica's own word where that is more.
    fn busy(&self, now: Timestamp) -> u32 {
        let reported = self.reported.filter(|(at, _)| now.saturating_since(*at) < REPORTED_LOAD_FOR);
        self.in_flight.max(reported.map_or(0, |(_, busy)| busy))
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
    /// It answered while it was cold, which says nothing of its pace.
    AnsweredCold,
    /// It was too full.
    Full,
    /// It answered that it failed.
    Failed,
    /// It gave no whole answer.
    Silent,
    /// The caller left, or another way was found.
    Abandoned,
}

/// What this node has seen of replicas; chooses where the next request goes.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChooser {
    seen: BTreeMap<String, Seen>,
}

impl ReplicaChooser {
    /// The replica of `service` that should answer first, none of `tried` where another can be had. Among equals,
    /// `random` decides.
    pub fn choose<'a>(
        &self,
        table: &'a ReplicaTable,
        service: &'a str,
        tried: &[String],
        now: Timestamp,
        random: u64,
    ) -> Option<&'a ReplicaRecord> {
        let untried = table.ready(service).filter(|record| !tried.contains(&record.id));
        self.best_of(untried.collect(), now, random)
    }

    /// The one of `candidates` that should answer first. Among equals, `random` decides.
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
        let Some(seen) = self.seen.get(&record.id) else { return (false, UNMEASURED_LATENCY_MS) };
        let busy = seen.busy(now);
        let slots = f64::from(record.slots.max(1));
        let load = f64::from(busy) / slots;
        let latency = seen.latency_ms.unwrap_or(UNMEASURED_LATENCY_MS);
        (seen.suspect_until > now, latency * (1.0 + load))
    }

    /// Requests in hand at a replica, as far as is known.
    pub fn busy(&self, replica: &str, now: Timestamp) -> u32 {
        self.seen.get(replica).map_or(0, |seen| seen.busy(now))
    }

    /// A request was sent.
    pub fn sent(&mut self, replica: &str) {
        self.seen.entry(replica.to_owned()).or_default().in_flight += 1;
    }

    /// A request has ended.
    pub fn ended(&mut self, replica: &str, feedback: ReplicaFeedback, now: Timestamp) {
        let seen = self.seen.entry(replica.to_owned()).or_default();
        seen.in_flight = seen.in_flight.saturating_sub(1);
        match feedback {
            ReplicaFeedback::Answered(took) => {
                let took_ms = took.as_secs_f64() * 1_000.0;
                let mean = seen.latency_ms.unwrap_or(took_ms);
                seen.latency_ms = Some(mean + LATENCY_WEIGHT * (took_ms - mean));
                seen.clear_suspicion();
            }
            ReplicaFeedback::AnsweredCold => seen.clear_suspicion(),
            ReplicaFeedback::Silent => {
                seen.failures_in_row += 1;
                seen.suspect_until = now + SUSPICION.pause(seen.failures_in_row);
            }
            ReplicaFeedback::Full => seen.reported = Some((now, u32::MAX / 2)),
            ReplicaFeedback::Failed | ReplicaFeedback::Abandoned => {}
        }
    }

    /// A replica said how many requests it runs and how many wait there.
    pub fn reported(&mut self, replica: &str, busy: u32, now: Timestamp) {
        self.seen.entry(replica.to_owned()).or_default().reported = Some((now, busy));
    }

    /// Forgets replicas that are not listed any more and serve nothing of ours.
    pub fn retain_listed(&mut self, table: &ReplicaTable) {
        self.seen.retain(|id, seen| seen.in_flight > 0 || table.records.contains_key(id));
    }
}
