//! Callers that end jobs while they are open, and the check that replicas receive no request of a job after its end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::caller::{Callers, HOST, RETRY_PAUSE};
use super::history::{SoakHistory, score_id};
use crate::platform_replica::SeenRequest;

/// Time after the acknowledgement of an end from which no request of the job may arrive (`cancel_ms` of the platform's pages).
pub const CANCELLED_WITHIN: Duration = Duration::from_secs(3);
/// Time without faults after which an end that a gateway read counts as acknowledged (`ack_ms` there).
pub const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);
/// Time after a gateway is suspended or resumed during which arrivals are not checked (`contact_ms` there).
const CONTACT_WITHIN: Duration = Duration::from_secs(3);
/// An end that was sent within this time before the gateway was killed may be lost.
const KILL_LOSS_WINDOW: Duration = Duration::from_secs(1);
/// Items in a job that stays open because its engines can't finish it soon.
const LONG_JOB_ITEMS: usize = 150;
/// Items in a job that stays open because its scorer's responses are lost.
const SCORED_JOB_ITEMS: usize = 4;
/// Time limit for a caller that retries until its end is acknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of one attempt of a caller that retries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// One request to end a job that was written whole to a gateway.
#[derive(Clone, Copy, Debug)]
struct SentEnd {
    gateway: SocketAddr,
    at: Instant,
    is_acknowledged: bool,
}

/// The end of one job, as its caller observed it.
#[derive(Clone, Debug)]
struct JobEnd {
    /// Id of the job, which is the prefix of its items' ids.
    job: String,
    /// Attempts that were written whole to a gateway.
    sent: Vec<SentEnd>,
    acknowledged_at: Option<Instant>,
}

/// All ends of jobs, and the times at which gateways were killed, suspended or resumed.
#[derive(Debug, Default)]
pub struct EndHistory {
    ends: Vec<JobEnd>,
    kills: Vec<(SocketAddr, Instant)>,
    freezes: Vec<Instant>,
}

/// How long a caller tries to end a job.
#[derive(Clone, Copy, Debug)]
enum EndStrategy {
    /// Retries until the end is acknowledged.
    RetryUntilAcknowledged,
    /// Sends the request once and closes the connection after this time.
    AbandonAfter(Duration),
}

impl EndStrategy {
    fn draw(random: &mut Pcg64Mcg) -> Self {
        match random.random_range(0..3) {
            0 => Self::RetryUntilAcknowledged,
            1 => Self::AbandonAfter(Duration::from_millis(random.random_range(0..50))),
            _ => Self::AbandonAfter(Duration::from_millis(random.random_range(50..2_500))),
        }
    }

    const fn timeout(self) -> Duration {
        match self {
            Self::RetryUntilAcknowledged => ATTEMPT_TIMEOUT,
            Self::AbandonAfter(timeout) => timeout,
        }
    }
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

    /// Returns the number of jobs that were ended.
    pub const fn count(&self) -> usize {
        self.ends.len()
    }

    /// Returns, for each job of which a request arrived too late after its end, the job and a description. `healthy_since` is when
    /// the last fault was undone.
    fn late_arrivals(&self, seen: &[SeenRequest], healthy_since: Instant) -> Vec<(String, String)> {
        let mut late: BTreeMap<&str, (usize, String)> = BTreeMap::new();
        for request in seen {
            let item = request.id.strip_prefix("score-").unwrap_or(&request.id);
            let Some(end) = self.ends.iter().find(|end| item.starts_with(&end.job)) else { continue };
            let Some(deadline) = self.arrival_deadline(end, healthy_since) else { continue };
            if request.at <= deadline || self.was_after_freeze(request.at) {
                continue;
            }
            let first = || {
                let evidence = if end.acknowledged_at.is_some() { "acknowledged" } else { "read" };
                let since = request.at - end.sent[0].at;
                (
                    0,
                    format!(
                        "first {} {} {since:?} after its end was sent ({evidence})",
                        request.id, request.line
                    ),
                )
            };
            late.entry(&end.job).or_insert_with(first).0 += 1;
        }
        late.into_iter()
            .map(|(job, (count, first))| (job.to_owned(), format!("{count} arrivals, {first}")))
            .collect()
    }

    /// Returns the time until which requests of the job may arrive, or `None` if its end may be lost.
    fn arrival_deadline(&self, end: &JobEnd, healthy_since: Instant) -> Option<Instant> {
        if let Some(at) = end.acknowledged_at {
            return Some(at + CANCELLED_WITHIN);
        }
        if end.sent.iter().all(|sent| self.may_be_lost(sent)) {
            return None;
        }
        let first = end.sent.first()?.at;
        Some(healthy_since.max(first) + ACKNOWLEDGED_WITHIN + CANCELLED_WITHIN)
    }

    /// Returns whether the gateway was killed within [`KILL_LOSS_WINDOW`] after it was sent an end.
    fn may_be_lost(&self, sent: &SentEnd) -> bool {
        let mut kills = self.kills.iter().filter(|(gateway, _)| *gateway == sent.gateway);
        kills.any(|(_, at)| at.checked_duration_since(sent.at).is_some_and(|after| after < KILL_LOSS_WINDOW))
    }

    fn was_after_freeze(&self, at: Instant) -> bool {
        self.freezes
            .iter()
            .any(|freeze| at.checked_duration_since(*freeze).is_some_and(|after| after < CONTACT_WITHIN))
    }
}

impl Callers {
    /// Submits jobs and ends them while they are open, one after the other, until `until`.
    pub async fn end_jobs(self, index: usize, seed: u64, until: tokio::time::Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(index as u64));
        let mut number = 0;
        while tokio::time::Instant::now() < until {
            number += 1;
            let job = format!("x{index}-{number}-");
            let body = open_job(&job, random.random_bool(0.5));
            let open_for = Duration::from_millis(random.random_range(0..2_000));
            let strategy = EndStrategy::draw(&mut random);
            if self.submit_body(&job, "/ended/x", &body, until).await {
                tokio::time::sleep(open_for).await;
                self.end_job(&job, strategy).await;
            }
        }
    }

    /// Ends a job whose items appear again in a later one, so that requests of them may still arrive.
    pub(super) async fn end_until_acknowledged(&self, job: &str) {
        let strategy = EndStrategy::RetryUntilAcknowledged;
        let _ = self.request_end(job, strategy).await;
    }

    async fn end_job(&self, job: &str, strategy: EndStrategy) {
        let end = self.request_end(job, strategy).await;
        self.history().ends.ends.push(end);
    }

    /// Sends the end of a job. With either strategy, a request that could not be written to a gateway is retried.
    async fn request_end(&self, job: &str, strategy: EndStrategy) -> JobEnd {
        let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        let mut end = JobEnd { job: job.to_owned(), sent: Vec::new(), acknowledged_at: None };
        let mut turn = job.len();
        while Instant::now() < deadline {
            turn += 1;
            if let Some(sent) = self.send_end(turn, job, strategy.timeout()).await {
                end.sent.push(sent);
                end.acknowledged_at = sent.is_acknowledged.then(Instant::now);
                if sent.is_acknowledged || matches!(strategy, EndStrategy::AbandonAfter(_)) {
                    break;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if end.acknowledged_at.is_none() && matches!(strategy, EndStrategy::RetryUntilAcknowledged) {
            let seen = format!("not after {ACKNOWLEDGEMENT_TIMEOUT:?}");
            self.history().record_violation(self.now_ms(), "an end is acknowledged", job, seen);
        }
        end
    }

    /// Sends an end on a new connection and closes it after `timeout`, with or without a response. Returns `None` if the request
    /// could not be written.
    async fn send_end(&self, turn: usize, job: &str, timeout: Duration) -> Option<SentEnd> {
        let gateway = self.gateway(turn)?;
        let mut stream = TcpStream::connect(gateway).await.ok()?;
        let head = format!("DELETE /-/lots/{job} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {job}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let at = Instant::now();
        let mut answer = [0; 64];
        let read = tokio::time::timeout(timeout, stream.read(&mut answer)).await;
        let count = read.ok().and_then(Result::ok).unwrap_or(0);
        let text = String::from_utf8_lossy(&answer[..count]);
        let status = text.split(' ').nth(1).and_then(|status| status.parse::<StatusCode>().ok());
        Some(SentEnd { gateway, at, is_acknowledged: status == Some(StatusCode::OK) })
    }
}

/// Returns the body of a job that stays open: it has more items than its engines finish soon or, if `is_scored`, a scorer
/// whose responses are lost.
fn open_job(job: &str, is_scored: bool) -> String {
    let count = if is_scored { SCORED_JOB_ITEMS } else { LONG_JOB_ITEMS };
    let item = |number: usize| {
        let id = format!("{job}{number}");
        let mut item = json!({"id": id, "path": "/stream/x", "headers": {"Model": "m"}, "body": "Ym9keQ==",
            "tokens": 100, "group": "g"});
        if is_scored {
            item["scorer"] =
                json!({"id": score_id(&id), "host": HOST, "path": "/lossy/score", "body": "c2NvcmU="});
        }
        item
    };
    let items: Vec<Value> = (0..count).map(item).collect();
    json!({"step": 0, "model": "m", "min_version": 1, "desired": 1, "items": items}).to_string()
}

impl SoakHistory {
    /// Records a violation for each job of which replicas received a request too late after its end.
    pub fn check_ends(&mut self, at_ms: u64, seen: &[SeenRequest], healthy_since: Instant) {
        for (job, seen) in self.ends.late_arrivals(seen, healthy_since) {
            self.record_violation(at_ms, "nothing of a job arrives after its end", &job, seen);
        }
    }
}
