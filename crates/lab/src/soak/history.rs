//! What callers saw, and whether the promises hold against what replicas saw.

use std::collections::{BTreeMap, BTreeSet};

use hyper::StatusCode;
use serde::Serialize;
use serde_json::Value;

use super::job_ends::EndHistory;
use crate::platform_replica::SeenRequest;

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Milliseconds since the soak began.
    pub at_ms: u64,
    /// The promise.
    pub promise: &'static str,
    /// The request, job or item.
    pub id: String,
    /// What was seen.
    pub seen: String,
}

/// What became of one attempt of a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteOutcome {
    /// Its id.
    pub id: String,
    /// When it ended.
    pub at_ms: u64,
    /// The status, where an answer came.
    pub status: Option<StatusCode>,
}

/// All that callers saw.
#[derive(Debug, Default)]
pub struct SoakHistory {
    /// Attempts of requests that must not run twice.
    pub writes: Vec<WriteOutcome>,
    /// The first result that was read at each position of each job.
    results: BTreeMap<String, BTreeMap<u64, Value>>,
    /// When each job was first sent.
    sent_at_ms: BTreeMap<String, u64>,
    /// What did not hold.
    pub violations: Vec<Violation>,
    /// Ends of jobs.
    pub ends: EndHistory,
}

/// The events of every stream of the stand-in's replicas.
pub const EVENTS: u64 = 12;

/// The id of the score request of an item.
pub fn score_id(item: &str) -> String {
    format!("score-{item}")
}

impl SoakHistory {
    /// A promise did not hold.
    pub fn broken(&mut self, at_ms: u64, promise: &'static str, id: &str, seen: impl ToString) {
        self.violations.push(Violation { at_ms, promise, id: id.to_owned(), seen: seen.to_string() });
    }

    /// A job is sent for the first time.
    pub fn sent(&mut self, job: &str, at_ms: u64) {
        self.sent_at_ms.insert(job.to_owned(), at_ms);
    }

    /// When a job was first sent.
    pub fn sent_at_ms(&self, job: &str) -> u64 {
        self.sent_at_ms.get(job).copied().unwrap_or(0)
    }

    /// How many results were read.
    pub fn results_read(&self) -> usize {
        self.results.values().map(BTreeMap::len).sum()
    }

    /// Jobs of which a result was read.
    pub fn jobs(&self) -> Vec<String> {
        self.results.keys().cloned().collect()
    }

    /// Takes a result that was read at a position.
    pub fn read(&mut self, at_ms: u64, job: &str, position: u64, result: &Value) {
        let held = self.results.entry(job.to_owned()).or_default();
        match held.get(&position) {
            Some(first) if first != result => {
                let seen = format!("position {position} held {first}, now {result}");
                self.broken(at_ms, "a position never changes", job, seen);
                return;
            }
            Some(_) => return,
            None => {
                held.insert(position, result.clone());
            }
        }
        self.check_result(at_ms, job, result);
    }

    fn check_result(&mut self, at_ms: u64, job: &str, result: &Value) {
        let item = result["id"].as_str().unwrap_or_default().to_owned();
        let same = self.results[job].values().filter(|other| other["id"] == result["id"]).count();
        if same > 1 {
            self.broken(at_ms, "an item is listed once", &item, format!("{same} positions"));
        }
        if !item.starts_with(job) {
            self.broken(at_ms, "a result is of its own job", &item, job);
        }
        if result["state"] != "complete" {
            // No replica of the soak says that an item failed, so that none may be given up.
            return self.broken(at_ms, "nothing is given up without a cause", &item, result);
        }
        let pieces: Vec<String> = (0..EVENTS).map(|number| format!("piece {number}")).collect();
        if result["text"] != pieces.join("\n") {
            self.broken(at_ms, "a text is whole", &item, &result["text"]);
        }
        if result["score"] != format!("seal of {}", score_id(&item)) {
            self.broken(at_ms, "a score is that of the item's own request", &item, &result["score"]);
        }
        if result["versions"] != serde_json::json!([1]) {
            self.broken(at_ms, "versions are those that made the text", &item, &result["versions"]);
        }
    }

    /// Compares what callers were answered with what replicas ran.
    pub fn check_runs(&mut self, at_ms: u64, seen: &[SeenRequest]) {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for request in seen {
            *runs.entry(request.id.as_str()).or_default() += 1;
        }
        let ran: BTreeSet<&str> = seen.iter().map(|request| request.id.as_str()).collect();
        for write in std::mem::take(&mut self.writes) {
            let count = runs.get(write.id.as_str()).copied().unwrap_or(0);
            if count > 1 {
                self.broken(write.at_ms, "at most once", &write.id, format!("{count} runs"));
            }
            let promises_not_run =
                matches!(write.status, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS));
            if promises_not_run && ran.contains(write.id.as_str()) {
                self.broken(write.at_ms, "not run is true", &write.id, "a replica ran it");
            }
            self.writes.push(write);
        }
        let scores = seen.iter().filter(|request| request.line.contains("/read/score"));
        let changed: Vec<SeenRequest> =
            scores.filter(|request| request.body.as_ref() != b"score").cloned().collect();
        for request in changed {
            self.broken(at_ms, "a request arrives unchanged", &request.id, &request.line);
        }
    }
}
