//! Records what callers observe and checks the service's guarantees against it and against the requests that replicas
//! received.

use std::collections::{BTreeMap, BTreeSet};

use hyper::StatusCode;
use serde::Serialize;
use serde_json::Value;

use super::job_ends::EndHistory;
use crate::platform_replica::SeenRequest;

/// A guarantee that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Milliseconds since the soak began.
    pub at_ms: u64,
    /// The guarantee.
    pub promise: &'static str,
    /// Id of the request, job, item, zone or fingerprint.
    pub id: String,
    /// What was observed instead.
    pub seen: String,
}

/// Outcome of one non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteOutcome {
    /// Attempt id.
    pub id: String,
    /// When the call ended, in milliseconds since the soak began.
    pub at_ms: u64,
    /// Status of the response, or `None` if there was none.
    pub status: Option<StatusCode>,
}

/// Everything that callers observed.
#[derive(Debug, Default)]
pub struct SoakHistory {
    /// Outcomes of non-idempotent requests.
    pub writes: Vec<WriteOutcome>,
    /// First result read at each position, by job.
    results: BTreeMap<String, BTreeMap<u64, Value>>,
    /// Ids of the items of the jobs that run to their end.
    items: BTreeMap<String, BTreeSet<String>>,
    /// Number of jobs with items of an earlier job.
    pub jobs_repeated: usize,
    /// When each job was first submitted, in milliseconds since the soak began.
    sent_at_ms: BTreeMap<String, u64>,
    /// Guarantees that did not hold.
    pub violations: Vec<Violation>,
    /// Jobs ended by callers while they were open.
    pub ends: EndHistory,
}

/// Number of events in every stream of the simulated replicas.
pub const EVENTS: u64 = 12;

/// Returns the id of an item's score request.
pub fn score_id(item: &str) -> String {
    format!("score-{item}")
}

impl SoakHistory {
    /// Records a violation.
    pub fn record_violation(&mut self, at_ms: u64, promise: &'static str, id: &str, seen: impl ToString) {
        self.violations.push(Violation { at_ms, promise, id: id.to_owned(), seen: seen.to_string() });
    }

    /// Records the first submission of a job.
    pub fn record_submission(&mut self, job: &str, at_ms: u64) {
        self.sent_at_ms.insert(job.to_owned(), at_ms);
    }

    /// Records the ids of a job's items.
    pub fn record_items(&mut self, job: &str, items: &[String]) {
        self.items.insert(job.to_owned(), items.iter().cloned().collect());
    }

    /// Returns when a job was first submitted, in milliseconds since the soak began, or 0 if it never was.
    pub fn sent_at_ms(&self, job: &str) -> u64 {
        self.sent_at_ms.get(job).copied().unwrap_or(0)
    }

    /// Returns the number of distinct results that were read.
    pub fn results_read(&self) -> usize {
        self.results.values().map(BTreeMap::len).sum()
    }

    /// Returns the jobs of which at least one result was read.
    pub fn jobs(&self) -> Vec<String> {
        self.results.keys().cloned().collect()
    }

    /// Records and checks a result that was read at a position of a job's list.
    pub fn record_result(&mut self, at_ms: u64, job: &str, position: u64, result: &Value) {
        let recorded = self.results.entry(job.to_owned()).or_default();
        match recorded.get(&position) {
            Some(first) if first != result => {
                let seen = format!("position {position} held {first}, now {result}");
                self.record_violation(at_ms, "a position never changes", job, seen);
                return;
            }
            Some(_) => return,
            None => {
                recorded.insert(position, result.clone());
            }
        }
        self.check_result(at_ms, job, result);
    }

    fn check_result(&mut self, at_ms: u64, job: &str, result: &Value) {
        let item = result["id"].as_str().unwrap_or_default().to_owned();
        let same = self.results[job].values().filter(|other| other["id"] == result["id"]).count();
        if same > 1 {
            self.record_violation(at_ms, "an item is listed once", &item, format!("{same} positions"));
        }
        if !self.items.get(job).is_some_and(|items| items.contains(&item)) {
            self.record_violation(at_ms, "a result is of its own job", &item, job);
        }
        if result["state"] != "complete" {
            // No replica of the soak reports that an item failed, so every item must complete.
            return self.record_violation(at_ms, "nothing is given up without a cause", &item, result);
        }
        let pieces: Vec<String> = (0..EVENTS).map(|number| format!("piece {number}")).collect();
        if result["text"] != pieces.join("\n") {
            self.record_violation(at_ms, "a text is whole", &item, &result["text"]);
        }
        if result["score"] != format!("seal of {}", score_id(&item)) {
            self.record_violation(
                at_ms,
                "a score is that of the item's own request",
                &item,
                &result["score"],
            );
        }
        if result["versions"] != serde_json::json!([1]) {
            self.record_violation(at_ms, "versions are those that made the text", &item, &result["versions"]);
        }
    }

    /// Checks the responses to callers against the requests that replicas ran: a non-idempotent request runs at most once, one
    /// that was rejected as not run did not run, and score requests arrive unchanged.
    pub fn check_executions(&mut self, at_ms: u64, seen: &[SeenRequest]) {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for request in seen {
            *runs.entry(request.id.as_str()).or_default() += 1;
        }
        let ran: BTreeSet<&str> = seen.iter().map(|request| request.id.as_str()).collect();
        for write in std::mem::take(&mut self.writes) {
            let count = runs.get(write.id.as_str()).copied().unwrap_or(0);
            if count > 1 {
                self.record_violation(write.at_ms, "at most once", &write.id, format!("{count} runs"));
            }
            let reports_not_run =
                matches!(write.status, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS));
            if reports_not_run && ran.contains(write.id.as_str()) {
                self.record_violation(write.at_ms, "not run is true", &write.id, "a replica ran it");
            }
            self.writes.push(write);
        }
        let scores = seen.iter().filter(|request| request.line.contains("/read/score"));
        let changed: Vec<SeenRequest> =
            scores.filter(|request| request.body.as_ref() != b"score").cloned().collect();
        for request in changed {
            self.record_violation(at_ms, "a request arrives unchanged", &request.id, &request.line);
        }
    }
}
