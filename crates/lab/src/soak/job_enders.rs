//! Callers that end jobs while they are open, or while their submission is unanswered, and submit their items again in later
//! jobs.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::caller::{Callers, HOST, RETRY_PAUSE};
use super::history::score_id;
use super::job_ends::{JobEnd, SentEnd};
use super::proxy::reset;

/// Path of the jobs that are ended.
const PATH: &str = "/ended/x";
/// Items in a job that stays open because its engines can't finish it soon.
const LONG_JOB_ITEMS: usize = 150;
/// Items in a job that stays open because its scorer's responses are lost.
const SCORED_JOB_ITEMS: usize = 4;
/// Time limit for a caller that retries until its end is acknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of one attempt of a caller that retries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Probability that the items of an ended job appear again in a later job.
const AGAIN_PROBABILITY: f64 = 0.4;
/// Probability that a job is ended while its submission is unanswered.
const OVERTAKES_PROBABILITY: f64 = 0.25;
/// Probability that an accepted job is submitted again.
const RESUBMITTED_PROBABILITY: f64 = 0.3;
/// How long a submission is retried after the job's end was sent.
const SUBMISSION_OVERRUN: Duration = Duration::from_secs(2);

/// How a caller ends a job.
#[derive(Clone, Copy, Debug)]
enum EndStrategy {
    /// Retries until the end is acknowledged.
    RetryUntilAcknowledged,
    /// Sends this many requests, each to another gateway, and closes each connection after this time.
    Abandon(usize, Duration),
    /// Sends the request and resets the connection at once, so that the gateway may not read it.
    Reset,
}

impl EndStrategy {
    fn draw(random: &mut Pcg64Mcg) -> Self {
        match random.random_range(0..5) {
            0 => Self::RetryUntilAcknowledged,
            1 => Self::Abandon(1, Duration::from_millis(random.random_range(0..50))),
            2 => Self::Abandon(1, Duration::from_millis(random.random_range(50..2_500))),
            3 => Self::Abandon(3, Duration::from_millis(random.random_range(0..300))),
            _ => Self::Reset,
        }
    }

    const fn timeout(self) -> Duration {
        match self {
            Self::RetryUntilAcknowledged => ATTEMPT_TIMEOUT,
            Self::Abandon(_, timeout) => timeout,
            Self::Reset => Duration::ZERO,
        }
    }

    /// Returns the number of requests that are sent without an acknowledgement.
    const fn attempts(self) -> usize {
        match self {
            Self::RetryUntilAcknowledged => usize::MAX,
            Self::Abandon(attempts, _) => attempts,
            Self::Reset => 1,
        }
    }
}

/// What a caller does with a job.
#[derive(Clone, Copy, Debug)]
struct EndPlan {
    strategy: EndStrategy,
    /// Time from the submission, or its acceptance, to the end.
    open_for: Duration,
    /// Whether the end is sent without waiting for the job's acceptance.
    overtakes: bool,
    /// Time from the acceptance until the job is submitted again, if it is.
    resubmitted_after: Option<Duration>,
}

impl EndPlan {
    fn draw(random: &mut Pcg64Mcg) -> Self {
        let strategy = EndStrategy::draw(random);
        // Until its submission is answered, the job may be unknown, and a caller that insists would never be acknowledged.
        let overtakes = !matches!(strategy, EndStrategy::RetryUntilAcknowledged)
            && random.random_bool(OVERTAKES_PROBABILITY);
        let longest_ms = if overtakes { 500 } else { 2_000 };
        let open_for = Duration::from_millis(random.random_range(0..longest_ms));
        let is_resubmitted = random.random_bool(RESUBMITTED_PROBABILITY);
        let resubmitted_after = is_resubmitted.then(|| Duration::from_millis(random.random_range(0..3_000)));
        Self { strategy, open_for, overtakes, resubmitted_after }
    }
}

impl Callers {
    /// Submits jobs and ends them, one after the other, until `until`. The items of some appear again in the next job.
    pub async fn end_jobs(self, index: usize, seed: u64, until: tokio::time::Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(index as u64));
        let mut number = 0;
        while tokio::time::Instant::now() < until {
            number += 1;
            let items = format!("x{index}-{number}-");
            let body = open_job(&items, random.random_bool(0.5));
            let mut job = items.clone();
            loop {
                let plan = EndPlan::draw(&mut random);
                let submitted_at = Instant::now();
                let end = self.submit_and_end(&job, &body, plan, until).await;
                let end = JobEnd { items: items.clone(), submitted_at, ..end };
                self.history().ends.record(end);
                if tokio::time::Instant::now() >= until || !random.random_bool(AGAIN_PROBABILITY) {
                    break;
                }
                job.push_str("again-");
            }
        }
    }

    async fn submit_and_end(
        &self,
        job: &str,
        body: &str,
        plan: EndPlan,
        until: tokio::time::Instant,
    ) -> JobEnd {
        let end = async {
            tokio::time::sleep(plan.open_for).await;
            self.request_end(job, plan.strategy).await
        };
        if plan.overtakes {
            let give_up = tokio::time::Instant::now() + plan.open_for + SUBMISSION_OVERRUN;
            let submission = self.submit_body(job, PATH, body, until.min(give_up));
            return tokio::join!(submission, end).1;
        }
        if !self.submit_body(job, PATH, body, until).await {
            return JobEnd::unsent(job);
        }
        let end = tokio::join!(end, self.submit_again(job, body, plan.resubmitted_after)).0;
        self.check_known(&end);
        end
    }

    /// Records a violation if the end of an accepted job was answered as that of an unknown one.
    fn check_known(&self, end: &JobEnd) {
        if end.sent.iter().any(|sent| sent.status == Some(StatusCode::NOT_FOUND)) {
            let (at_ms, seen) = (self.now_ms(), "404 to its end");
            self.history().record_violation(at_ms, "a job that was taken is known", &end.job, seen);
        }
    }

    /// Submits an accepted job again after a while, once.
    async fn submit_again(&self, job: &str, body: &str, after: Option<Duration>) {
        let Some(after) = after else { return };
        tokio::time::sleep(after).await;
        self.submit_body(job, PATH, body, tokio::time::Instant::now()).await;
    }

    /// Ends a job whose items appear again in a later one that runs to its end, so that requests of them may still arrive.
    pub(super) async fn end_until_acknowledged(&self, job: &str) {
        let strategy = EndStrategy::RetryUntilAcknowledged;
        let _ = self.request_end(job, strategy).await;
    }

    /// Sends the end of a job. With any strategy, a request that could not be written to a gateway is retried.
    async fn request_end(&self, job: &str, strategy: EndStrategy) -> JobEnd {
        let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        let mut end = JobEnd::unsent(job);
        let mut turn = job.len();
        while Instant::now() < deadline {
            turn += 1;
            if let Some(sent) = self.send_end(turn, job, strategy).await {
                end.sent.push(sent);
                let is_acknowledged = sent.status == Some(StatusCode::OK);
                end.acknowledged_at = is_acknowledged.then(Instant::now);
                if is_acknowledged || end.sent.len() >= strategy.attempts() {
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

    /// Sends an end on a new connection and closes or resets it as the strategy says, with or without a response. Returns `None`
    /// if the request could not be written.
    async fn send_end(&self, turn: usize, job: &str, strategy: EndStrategy) -> Option<SentEnd> {
        let gateway = self.gateway(turn)?;
        let mut stream = TcpStream::connect(gateway).await.ok()?;
        let head = format!("DELETE /-/lots/{job} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {job}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let at = Instant::now();
        let was_reset = matches!(strategy, EndStrategy::Reset);
        if was_reset {
            reset(&stream);
        }
        let mut answer = [0; 64];
        let read = tokio::time::timeout(strategy.timeout(), stream.read(&mut answer)).await;
        let count = read.ok().and_then(Result::ok).unwrap_or(0);
        let text = String::from_utf8_lossy(&answer[..count]);
        let status = text.split(' ').nth(1).and_then(|status| status.parse::<StatusCode>().ok());
        Some(SentEnd { gateway, at, was_reset, status })
    }
}

impl JobEnd {
    /// Returns a job of which no end has been sent.
    fn unsent(job: &str) -> Self {
        let (job, items) = (job.to_owned(), job.to_owned());
        Self { job, items, submitted_at: Instant::now(), sent: Vec::new(), acknowledged_at: None }
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
