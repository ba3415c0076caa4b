//! Records the ends of jobs that callers requested, and checks that replicas receive no request of a job after its end.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::StatusCode;

use super::history::SoakHistory;
use crate::platform_replica::SeenRequest;

/// Time after the acknowledgement of an end from which no request of the job may arrive (`cancel_ms` of the platform's pages).
pub const CANCELLED_WITHIN: Duration = Duration::from_secs(3);
/// Time without faults after which an end that a gateway read counts as acknowledged (`ack_ms` there).
pub const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);
/// Time after a gateway is suspended or resumed during which arrivals are not checked (`contact_ms` there).
const CONTACT_WITHIN: Duration = Duration::from_secs(3);
/// An end that was sent within this time before the gateway was killed may be lost.
const KILL_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// One request to end a job that was written whole to a gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentEnd {
    pub(super) gateway: SocketAddr,
    pub(super) at: Instant,
    /// Whether the connection was reset after the request was written, so that it may not have been delivered.
    pub(super) was_reset: bool,
    /// Status of the response, or `None` if there was none.
    pub(super) status: Option<StatusCode>,
}

/// The end of one job, as its caller observed it.
#[derive(Clone, Debug)]
pub(super) struct JobEnd {
    /// Id of the job.
    pub(super) job: String,
    /// Prefix of the ids of its items, which several jobs may have in common.
    pub(super) items: String,
    /// When the job was first sent.
    pub(super) submitted_at: Instant,
    /// Attempts that were written whole to a gateway. Without any, the job is open.
    pub(super) sent: Vec<SentEnd>,
    pub(super) acknowledged_at: Option<Instant>,
}

/// All ends of jobs, and the times at which gateways were killed, suspended or resumed.
#[derive(Debug, Default)]
pub struct EndHistory {
    ends: Vec<JobEnd>,
    /// Jobs whose end a gateway has logged as read.
    read: BTreeSet<String>,
    kills: Vec<(SocketAddr, Instant)>,
    freezes: Vec<Instant>,
}

/// A job of which requests arrived too late after its end.
struct LateJob<'a> {
    end: &'a JobEnd,
    /// Whether the end, or that of another job with the same items, may have been lost with a gateway.
    may_be_lost: bool,
    arrivals: usize,
    first: &'a SeenRequest,
}

impl EndHistory {
    /// Records that a gateway is killed now.
    pub fn record_kill(&mut self, gateway: SocketAddr) {
        self.kills.push((gateway, Instant::now()));
    }

    /// Records that a gateway is suspended or resumed now.
    pub fn record_freeze(&mut self) {
        self.freezes.push(Instant::now());
    }

    /// Records the jobs whose end a gateway has read.
    pub fn record_reads(&mut self, jobs: BTreeSet<String>) {
        self.read.extend(jobs);
    }

    pub(super) fn record(&mut self, end: JobEnd) {
        self.ends.push(end);
    }

    /// Returns the number of jobs that were ended.
    pub fn count(&self) -> usize {
        self.ends.iter().filter(|end| !end.sent.is_empty()).count()
    }

    /// Describes the jobs that went on after an end that may have been lost with a gateway.
    pub fn lost(&self, seen: &[SeenRequest], healthy_since: Instant) -> Vec<String> {
        let late = self.late_jobs(seen, healthy_since);
        let lost = late.iter().filter(|late| late.may_be_lost);
        lost.map(|late| format!("{}: {}", late.end.job, self.describe(late))).collect()
    }

    /// Returns the jobs of which a request arrived too late after their ends. `healthy_since` is when the last fault was undone.
    fn late_jobs<'a>(&'a self, seen: &'a [SeenRequest], healthy_since: Instant) -> Vec<LateJob<'a>> {
        let mut late: BTreeMap<&str, LateJob<'a>> = BTreeMap::new();
        for request in seen.iter().filter(|request| !self.was_after_freeze(request.at)) {
            let jobs = self.jobs_of(request);
            let Some(end) = jobs.iter().copied().max_by_key(|end| end.submitted_at) else { continue };
            let is_due = |end: &&JobEnd| {
                arrival_deadline(end, healthy_since).is_some_and(|deadline| request.at > deadline)
            };
            if !jobs.iter().all(is_due) {
                continue;
            }
            let may_be_lost = jobs.iter().any(|end| self.may_be_lost(end));
            let first = LateJob { end, may_be_lost, arrivals: 0, first: request };
            late.entry(&end.job).or_insert(first).arrivals += 1;
        }
        late.into_values().collect()
    }

    /// Returns the jobs that were submitted before a request arrived and have its item.
    fn jobs_of(&self, request: &SeenRequest) -> Vec<&JobEnd> {
        let item = request.id.strip_prefix("score-").unwrap_or(&request.id);
        let jobs = self.ends.iter().filter(|end| end.submitted_at <= request.at);
        jobs.filter(|end| item.starts_with(&end.items)).collect()
    }

    /// Returns whether an end may be lost: it has no acknowledgement, and each gateway that it was sent to was killed within
    /// [`KILL_LOSS_WINDOW`], or, if no gateway read it, later, unless the caller reset the connection.
    fn may_be_lost(&self, end: &JobEnd) -> bool {
        let is_read = self.read.contains(&end.job);
        let is_lost = |sent: &SentEnd| {
            let killed_after = self.killed_after(sent);
            let is_unread = !is_read && (sent.was_reset || killed_after.is_some());
            is_unread || killed_after.is_some_and(|after| after < KILL_LOSS_WINDOW)
        };
        end.acknowledged_at.is_none() && end.sent.iter().all(is_lost)
    }

    /// Returns how long after a request its gateway was killed.
    fn killed_after(&self, sent: &SentEnd) -> Option<Duration> {
        let kills = self.kills.iter().filter(|(gateway, _)| *gateway == sent.gateway);
        kills.filter_map(|(_, at)| at.checked_duration_since(sent.at)).min()
    }

    fn describe(&self, late: &LateJob<'_>) -> String {
        let evidence = match (late.end.acknowledged_at, self.read.contains(&late.end.job)) {
            (Some(_), _) => "acknowledged",
            (None, true) => "read",
            (None, false) => "not read",
        };
        let since = late.end.sent.first().map(|sent| late.first.at.saturating_duration_since(sent.at));
        let (count, id, line) = (late.arrivals, &late.first.id, &late.first.line);
        format!(
            "{count} arrivals, first {id} {line} {:?} after its end was sent ({evidence})",
            since.unwrap_or_default()
        )
    }

    fn was_after_freeze(&self, at: Instant) -> bool {
        self.freezes
            .iter()
            .any(|freeze| at.checked_duration_since(*freeze).is_some_and(|after| after < CONTACT_WITHIN))
    }
}

/// Returns the time until which requests of the job may arrive, or `None` if it is open.
fn arrival_deadline(end: &JobEnd, healthy_since: Instant) -> Option<Instant> {
    let first = end.sent.first()?.at;
    let acknowledged_at = end.acknowledged_at.unwrap_or(healthy_since.max(first) + ACKNOWLEDGED_WITHIN);
    Some(acknowledged_at + CANCELLED_WITHIN)
}

impl SoakHistory {
    /// Records a violation for each job of which replicas received a request too late after its end.
    pub fn check_ends(&mut self, at_ms: u64, seen: &[SeenRequest], healthy_since: Instant) {
        let late = self.ends.late_jobs(seen, healthy_since);
        let late = late.iter().filter(|late| !late.may_be_lost);
        let late: Vec<(String, String)> =
            late.map(|late| (late.end.job.clone(), self.ends.describe(late))).collect();
        for (job, seen) in late {
            self.record_violation(at_ms, "nothing of a job arrives after its end", &job, seen);
        }
    }
}
