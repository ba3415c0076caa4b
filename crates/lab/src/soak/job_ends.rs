//! Jobs that are ended while they are open, and what replicas got of them afterwards.

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

/// Nothing of a job arrives so long after its end was acknowledged (`cancel_ms` of the platform's pages).
pub const CANCELLED_WITHIN: Duration = Duration::from_secs(3);
/// An end that was read counts as acknowledged after so long without trouble (`ack_ms` there).
pub const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);
/// A machine that stood still counts again so long afterwards (`contact_ms` there).
const CONTACT: Duration = Duration::from_secs(3);
/// What a gateway read so shortly before it was killed may be lost with it.
const LOST_WITH_NODE: Duration = Duration::from_secs(1);
/// Items of a job whose engines have more than enough to do.
const LONG_ITEMS: usize = 150;
/// Items of a job whose scorer's answers are lost.
const SCORED_ITEMS: usize = 4;
/// How long an end is insisted on.
const INSISTS_FOR: Duration = Duration::from_secs(60);
/// How long a caller that insists waits for one answer.
const INSISTENT_TIMEOUT: Duration = Duration::from_secs(2);

/// One sending of an end.
#[derive(Clone, Copy, Debug)]
struct SentEnd {
    gateway: SocketAddr,
    at: Instant,
    is_acknowledged: bool,
}

/// The end of one job, as its caller saw it.
#[derive(Clone, Debug)]
struct JobEnd {
    /// The job; the ids of its items begin with it.
    job: String,
    /// Each time that it was sent whole.
    sent: Vec<SentEnd>,
    acknowledged_at: Option<Instant>,
}

/// All ends, and the moments at which nodes were disturbed.
#[derive(Debug, Default)]
pub struct EndHistory {
    ends: Vec<JobEnd>,
    kills: Vec<(SocketAddr, Instant)>,
    freezes: Vec<Instant>,
}

/// How a caller ends a job.
#[derive(Clone, Copy, Debug)]
enum EndManner {
    /// It asks again until the end is acknowledged.
    Insists,
    /// It asks once and closes its connection after so long.
    Leaves(Duration),
}

impl EndManner {
    fn draw(random: &mut Pcg64Mcg) -> Self {
        match random.random_range(0..3) {
            0 => Self::Insists,
            1 => Self::Leaves(Duration::from_millis(random.random_range(0..50))),
            _ => Self::Leaves(Duration::from_millis(random.random_range(50..2_500))),
        }
    }

    const fn timeout(self) -> Duration {
        match self {
            Self::Insists => INSISTENT_TIMEOUT,
            Self::Leaves(timeout) => timeout,
        }
    }
}

impl EndHistory {
    /// A gateway is killed.
    pub fn killed(&mut self, gateway: SocketAddr) {
        self.kills.push((gateway, Instant::now()));
    }

    /// A gateway begins to stand still, or goes on.
    pub fn froze(&mut self) {
        self.freezes.push(Instant::now());
    }

    /// How many jobs were ended.
    pub const fn count(&self) -> usize {
        self.ends.len()
    }

    /// For each job, what came after its end. `well_since` is when the last trouble was over.
    fn late_arrivals(&self, seen: &[SeenRequest], well_since: Instant) -> Vec<(String, String)> {
        let mut late: BTreeMap<&str, (usize, String)> = BTreeMap::new();
        for request in seen {
            let item = request.id.strip_prefix("score-").unwrap_or(&request.id);
            let Some(end) = self.ends.iter().find(|end| item.starts_with(&end.job)) else { continue };
            let Some(bound) = self.bound(end, well_since) else { continue };
            if request.at <= bound || self.was_disturbed(request.at) {
                continue;
            }
            let first = || {
                let manner = if end.acknowledged_at.is_some() { "acknowledged" } else { "read" };
                let since = request.at - end.sent[0].at;
                (
                    0,
                    format!(
                        "first {} {} {since:?} after its end was sent ({manner})",
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

    /// Until when something of the job may arrive; `None` where its end may be lost.
    fn bound(&self, end: &JobEnd, well_since: Instant) -> Option<Instant> {
        if let Some(at) = end.acknowledged_at {
            return Some(at + CANCELLED_WITHIN);
        }
        if end.sent.iter().all(|sent| self.is_lost(sent)) {
            return None;
        }
        let first = end.sent.first()?.at;
        Some(well_since.max(first) + ACKNOWLEDGED_WITHIN + CANCELLED_WITHIN)
    }

    /// Whether the gateway was killed right after it may have read an end.
    fn is_lost(&self, sent: &SentEnd) -> bool {
        let mut kills = self.kills.iter().filter(|(gateway, _)| *gateway == sent.gateway);
        kills.any(|(_, at)| at.checked_duration_since(sent.at).is_some_and(|after| after < LOST_WITH_NODE))
    }

    fn was_disturbed(&self, at: Instant) -> bool {
        self.freezes
            .iter()
            .any(|freeze| at.checked_duration_since(*freeze).is_some_and(|after| after < CONTACT))
    }
}

impl Callers {
    /// Hands jobs in and ends them while they are open, one after the other, until `until`.
    pub async fn end_jobs(self, name: usize, seed: u64, until: tokio::time::Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(name as u64));
        let mut number = 0;
        while tokio::time::Instant::now() < until {
            number += 1;
            let job = format!("x{name}-{number}-");
            let body = open_job(&job, random.random_bool(0.5));
            let open_for = Duration::from_millis(random.random_range(0..2_000));
            let manner = EndManner::draw(&mut random);
            if self.submit_body(&job, "/ended/x", &body, until).await {
                tokio::time::sleep(open_for).await;
                self.end_job(&job, manner).await;
            }
        }
    }

    /// Ends a job. An end that no gateway took is sent again, whatever the manner.
    async fn end_job(&self, job: &str, manner: EndManner) {
        let limit = Instant::now() + INSISTS_FOR;
        let mut end = JobEnd { job: job.to_owned(), sent: Vec::new(), acknowledged_at: None };
        let mut turn = job.len();
        while Instant::now() < limit {
            turn += 1;
            if let Some(sent) = self.send_end(turn, job, manner.timeout()).await {
                end.sent.push(sent);
                end.acknowledged_at = sent.is_acknowledged.then(Instant::now);
                if sent.is_acknowledged || matches!(manner, EndManner::Leaves(_)) {
                    break;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if end.acknowledged_at.is_none() && matches!(manner, EndManner::Insists) {
            let seen = format!("not after {INSISTS_FOR:?}");
            self.history().broken(self.now_ms(), "an end is acknowledged", job, seen);
        }
        self.history().ends.ends.push(end);
    }

    /// Sends an end on a connection of its own and closes it after `timeout`, answered or not. `None` where no gateway took it.
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

/// A job that stays open: its engines have enough to do for long, or its scorer never answers.
fn open_job(job: &str, is_scored: bool) -> String {
    let count = if is_scored { SCORED_ITEMS } else { LONG_ITEMS };
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
    /// Compares the ends of jobs with what replicas got.
    pub fn check_ends(&mut self, at_ms: u64, seen: &[SeenRequest], well_since: Instant) {
        for (job, seen) in self.ends.late_arrivals(seen, well_since) {
            self.broken(at_ms, "nothing of a job arrives after its end", &job, seen);
        }
    }
}
