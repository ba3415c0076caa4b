//! Clients of the soak: they submit jobs and read their results, send non-idempotent requests, and repeat a request that
//! ends the replica that runs it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use lichenpulley_core::quarantine::{Fingerprint, RequestContent};
use lichenpulley_daemon::http::client::{HttpClient, build};
use lichenpulley_protocol::operator::QuarantinedRequest;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::history::{SoakHistory, WriteOutcome, score_id};
use lichenpulley_core::time::whole_millis;

/// Host name of all routes.
pub const HOST: &str = "soak.example";
/// Items in each job that runs to its end.
const ITEMS_PER_JOB: usize = 6;
/// Probability that a job is ended early and some of its items appear again in the next job.
const REPEATED_PROBABILITY: f64 = 0.4;
/// Number of items of a job that appear again: two of its three groups.
const REPEATED_ITEMS: usize = 4;
/// Upper bound of the time after which such a job is ended. A stream takes 240 ms, so items are in all states.
const MAX_OPEN_TIME: Duration = Duration::from_millis(600);
/// Body of the request that ends each replica that runs it.
pub const CRASHING_BODY: &[u8] = b"ends";
/// Path of the request that ends replicas.
const CRASHING_PATH: &str = "/read/ending";
/// Interval between two sends of the request that ends replicas.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(700);
/// Time limit of one HTTP call, for the response head and again for the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the status of a job must stay available after its submission (`status_s` of the platform's pages).
const JOB_STATUS_RETENTION: Duration = Duration::from_secs(120);
/// Delay between two attempts of a call.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// State shared by all callers: the HTTP client, the gateways' addresses and the recorded history.
#[derive(Clone)]
pub struct Callers {
    http: HttpClient,
    gateways: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    history: Arc<Mutex<SoakHistory>>,
    origin: Instant,
}

struct CallAnswer {
    status: StatusCode,
    body: Bytes,
}

impl Callers {
    /// Creates callers for `gateways` gateways, none of which is listening yet.
    pub fn new(gateways: usize) -> Self {
        let gateways = Arc::new(Mutex::new(vec![None; gateways]));
        let http = HttpClient::new(Duration::from_millis(500));
        Self { http, gateways, history: Arc::default(), origin: Instant::now() }
    }

    /// Sets the address of a gateway, or `None` when it is down.
    pub fn set_gateway(&self, number: usize, address: Option<SocketAddr>) {
        self.gateways.lock().unwrap_or_else(PoisonError::into_inner)[number] = address;
    }

    /// Records that a gateway is killed now.
    pub fn record_kill(&self, number: usize) {
        let gateway = self.gateways.lock().unwrap_or_else(PoisonError::into_inner)[number];
        if let Some(gateway) = gateway {
            self.history().ends.record_kill(gateway);
        }
    }

    /// Records that a gateway is suspended or resumed now.
    pub fn record_freeze(&self) {
        self.history().ends.record_freeze();
    }

    /// Locks and returns the history recorded so far.
    pub fn history(&self) -> MutexGuard<'_, SoakHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the milliseconds since the soak began.
    pub fn now_ms(&self) -> u64 {
        whole_millis(self.origin.elapsed())
    }

    pub(super) fn gateway(&self, turn: usize) -> Option<SocketAddr> {
        let gateways = self.gateways.lock().unwrap_or_else(PoisonError::into_inner);
        let live: Vec<SocketAddr> = gateways.iter().flatten().copied().collect();
        live.get(turn % live.len().max(1)).copied()
    }

    async fn call(
        &self,
        turn: usize,
        method: Method,
        path: &str,
        id: &str,
        body: Vec<u8>,
    ) -> Option<CallAnswer> {
        let gateway = self.gateway(turn)?;
        let mut request = build(method, gateway, path, body.into()).ok()?;
        let headers = request.headers_mut();
        headers.insert("host", HOST.parse().ok()?);
        headers.insert("attempt-id", id.parse().ok()?);
        headers.insert("deadline-ms", "2000".parse().ok()?);
        headers.insert("wait-ms", "300".parse().ok()?);
        let response = self.http.send(gateway, request, Instant::now() + CALL_TIMEOUT).await.ok()?;
        let (head, body) = response.into_parts();
        let body = tokio::time::timeout(CALL_TIMEOUT, body.collect()).await.ok()?.ok()?.to_bytes();
        Some(CallAnswer { status: head.status, body })
    }

    /// Sends non-idempotent requests until `until`.
    pub async fn send_writes(self, index: usize, until: Instant) {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let id = format!("w{index}-{number}");
            let answer = self.call(number + index, Method::POST, "/write/x", &id, b"write".to_vec()).await;
            self.record_write(id, answer);
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    }

    /// Repeats the request that ends replicas until `until`.
    pub async fn repeat_crashing_request(self, until: Instant) {
        let mut turn = 0;
        while Instant::now() < until {
            turn += 1;
            self.send_crashing_request(turn).await;
            tokio::time::sleep(CRASHING_REQUEST_INTERVAL).await;
        }
    }

    /// Sends the request that ends replicas once and ignores the response.
    pub async fn send_crashing_request(&self, turn: usize) {
        let id = format!("ending-{turn}");
        let _ = self.call(turn, Method::POST, CRASHING_PATH, &id, CRASHING_BODY.to_vec()).await;
    }

    /// Returns the quarantine fingerprint of the request that ends replicas.
    pub fn crashing_request_fingerprint() -> Fingerprint {
        let (method, tenant) = ("POST", None);
        Fingerprint::of(&RequestContent {
            method,
            host: HOST,
            path: CRASHING_PATH,
            tenant,
            body: CRASHING_BODY,
        })
    }

    /// Returns the fingerprints that a node has in quarantine, or none if the node does not respond.
    pub async fn quarantined_at(&self, operators: SocketAddr) -> Vec<String> {
        let quarantined =
            self.http.get_json::<Vec<QuarantinedRequest>>(operators, "/v1/quarantine", CALL_TIMEOUT).await;
        quarantined.unwrap_or_default().into_iter().map(|request| request.fingerprint).collect()
    }

    fn record_write(&self, id: String, answer: Option<CallAnswer>) {
        let at_ms = self.now_ms();
        let status = answer.as_ref().map(|answer| answer.status);
        let mut history = self.history();
        if let Some(answer) = answer.filter(|answer| answer.status == StatusCode::OK)
            && answer.body.as_ref() != b"write"
        {
            history.record_violation(
                at_ms,
                "an answer is that of its own request",
                &id,
                format!("{:?}", answer.body),
            );
        }
        history.writes.push(WriteOutcome { id, at_ms, status });
    }

    /// Submits jobs one after the other until `until` and reads all results of each. A job accepted before `until` is read to
    /// its end.
    pub async fn run_jobs(self, index: usize, seed: u64, until: Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_right(16).wrapping_add(index as u64));
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let mut job = format!("j{index}-{number}-");
            let mut items: Vec<String> = (0..ITEMS_PER_JOB).map(|item| format!("{job}{item}")).collect();
            if random.random_bool(REPEATED_PROBABILITY) {
                let open_for = random.random_range(Duration::ZERO..MAX_OPEN_TIME);
                if !self.submit(&job, &items, until).await {
                    continue;
                }
                tokio::time::sleep(open_for).await;
                self.end_until_acknowledged(&job).await;
                job = format!("j{index}-{number}-again-");
                for (item, id) in items.iter_mut().enumerate().skip(REPEATED_ITEMS) {
                    *id = format!("{job}{item}");
                }
                self.history().jobs_repeated += 1;
            }
            if self.submit(&job, &items, until).await {
                self.read_all_results(&job, Duration::from_secs(60)).await;
            }
        }
    }

    async fn submit(&self, job: &str, items: &[String], until: Instant) -> bool {
        self.history().record_items(job, items);
        let item = |(number, id): (usize, &String)| {
            let scorer = json!({"id": score_id(id), "host": HOST, "path": "/read/score", "body": "c2NvcmU="});
            json!({"id": id, "path": "/stream/x", "headers": {"Model": "m"}, "body": "Ym9keQ==", "tokens": 100,
                "group": format!("g{}", number / 2), "scorer": scorer})
        };
        let items: Vec<Value> = items.iter().enumerate().map(item).collect();
        let body =
            json!({"step": 0, "model": "m", "min_version": 1, "desired": 3, "items": items}).to_string();
        self.submit_body(job, "/rollouts/x", &body, until).await
    }

    /// Submits a job, with retries until `until`. Returns whether it was accepted.
    pub(super) async fn submit_body(&self, job: &str, path: &str, body: &str, until: Instant) -> bool {
        let mut turn = 0;
        let sent_at_ms = self.now_ms();
        self.history().record_submission(job, sent_at_ms);
        loop {
            turn += 1;
            let answer = self.call(turn, Method::POST, path, job, body.as_bytes().to_vec()).await;
            match answer.map(|answer| answer.status) {
                Some(StatusCode::ACCEPTED) => return true,
                Some(status) if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
                    self.history().record_violation(self.now_ms(), "a proper job is not denied", job, status);
                    return false;
                }
                _ if Instant::now() >= until => return false,
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Reads the results of an accepted job from the first, until all are read or `timeout` has passed, which is a violation.
    pub async fn read_all_results(&self, job: &str, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let (mut from, mut turn) = (0, 0);
        while from < ITEMS_PER_JOB as u64 {
            turn += 1;
            if Instant::now() >= deadline {
                let seen = format!("{from} of {ITEMS_PER_JOB} results after {timeout:?}");
                return self.history().record_violation(
                    self.now_ms(),
                    "a job that was taken is finished",
                    job,
                    seen,
                );
            }
            let path = format!("/-/lots/{job}?after_rev={from}");
            let Some(answer) = self.call(turn, Method::GET, &path, "reader", Vec::new()).await else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            match answer.status {
                StatusCode::OK => from = self.record_page(job, from, &answer.body),
                StatusCode::NOT_FOUND => return self.check_unknown_job(job),
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Records a violation if a job is unknown less than [`JOB_STATUS_RETENTION`] after its submission.
    fn check_unknown_job(&self, job: &str) {
        let now_ms = self.now_ms();
        let mut history = self.history();
        let age = Duration::from_millis(now_ms - history.sent_at_ms(job));
        if age < JOB_STATUS_RETENTION {
            history.record_violation(
                now_ms,
                "a job that was taken is known",
                job,
                format!("404 after {age:?}"),
            );
        }
    }

    fn record_page(&self, job: &str, from: u64, body: &[u8]) -> u64 {
        let at_ms = self.now_ms();
        let mut history = self.history();
        let page: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(results) = page["results"].as_array() else {
            history.record_violation(at_ms, "a page can be read", job, String::from_utf8_lossy(body));
            return from;
        };
        if page["total"] != ITEMS_PER_JOB {
            history.record_violation(at_ms, "the total is that of the job", job, &page["total"]);
        }
        for (result, position) in results.iter().zip(from..) {
            history.record_result(at_ms, job, position, result);
        }
        from + results.len() as u64
    }
}
