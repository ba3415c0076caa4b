//! Tracks one node's interrupted runs and the crashes that it reports to the other nodes.
//!
//! An interrupted run alone proves nothing, since connections are reset and answers get lost. It counts as a
//! crash once its replica is known to have ended, and stops counting once the request completes anywhere or the
//! replica answers anything.
//!
//! [`CrashMonitor`] holds a bounded number of interrupted runs, crashes and clearings. The caller must call
//! [`CrashMonitor::expire`] regularly and store the reports returned by [`CrashMonitor::due_reports`].

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::recent_requests::RecentRequests;
use super::{CRASHES_TO_QUARANTINE, CrashReport, Fingerprint, MAX_REPORTED_REQUESTS, Quarantine, Suspect};
use crate::ingress::replica_subset::LayoutId;
use crate::ingress::replicas::ReplicaTable;
use crate::time::Timestamp;

/// Time after which a replica that is still listed is taken not to have crashed when a run was interrupted there.
/// Exceeds the time in which the entry of a crashed replica lapses (three heartbeats).
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay of the report on the first crash under a request; most requests that did not cause the crash are
/// answered elsewhere within it.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time for which this node keeps its own crashes and clearings; the stored reports are kept longer.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of interrupted runs, and of crashes, that are kept.
const MAX_KEPT_RUNS: usize = 1_024;

/// The sender of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSender {
    /// A gateway, for a caller. Other gateways may send the same request.
    Gateway,
    /// The owner of batch jobs, the only sender of the score request. It is reported only from its second crash on.
    Owner,
}

/// A run that was sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnation of the replica.
    pub replica: String,
    /// Whether the replica may restart under its name; an answer may then come from its next incarnation before
    /// that one is listed.
    pub may_restart: bool,
    /// Address of the replica.
    pub address: SocketAddr,
    /// The sender.
    pub sender: RunSender,
    /// Whether the node already knew of a crash under the request when it sent the run.
    pub is_repeated: bool,
    /// When the run was sent.
    pub sent_at: Timestamp,
}

/// An interrupted run at a replica that may or may not have crashed.
#[derive(Clone, Debug)]
struct InterruptedRun {
    run: SentRun,
    at: Timestamp,
    cause: BreakCause,
}

/// Why a run was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The connection closed.
    Closed,
    /// The sender gave up, after a timeout or because the caller disconnected.
    GivenUp,
}

/// A replica crashed during a run.
#[derive(Clone, Debug)]
struct Crash {
    sender: RunSender,
    is_repeated: bool,
    /// When the run was sent.
    sent_at: Timestamp,
    /// When the run was interrupted.
    interrupted_at: Timestamp,
    /// When the crash became known.
    at: Timestamp,
    is_reported: bool,
}

/// States that a request did not cause a crash.
#[derive(Clone, Copy, Debug)]
struct Clearing {
    at: Timestamp,
    is_reported: bool,
}

/// The reports of all nodes, with an index of their suspects.
#[derive(Debug, Default)]
struct ReportedCrashes {
    reports: Vec<CrashReport>,
    requests: HashSet<Fingerprint>,
}

impl ReportedCrashes {
    fn new(reports: Vec<CrashReport>) -> Self {
        let suspects = reports.iter().flat_map(|report| &report.suspects);
        let requests = suspects.map(|suspect| suspect.fingerprint).collect();
        Self { reports, requests }
    }
}

/// Tracks the crashes observed by one node and derives the quarantine from them and the reports of all nodes.
#[derive(Debug, Default)]
pub struct CrashMonitor {
    interrupted: VecDeque<InterruptedRun>,
    crashes: BTreeMap<(Fingerprint, String), Crash>,
    /// The reports of all nodes, this one included.
    reported: ReportedCrashes,
    /// Requests that recently completed. They are not suspected, however many replicas crash while they run.
    answered: RecentRequests,
    /// Reported crashes of which a request is cleared.
    clearings: BTreeMap<(Fingerprint, String), Clearing>,
    /// The subset of the replicas that this node knows.
    layout: Option<LayoutId>,
}

impl CrashMonitor {
    /// Whether a replica crashed, or may have, while the request ran there.
    pub fn is_suspected(&self, fingerprint: &Fingerprint) -> bool {
        self.interrupted.iter().any(|interrupted| interrupted.run.fingerprint == *fingerprint)
            || self.own_crashes(fingerprint).next().is_some()
            || self.reported.requests.contains(fingerprint)
    }

    /// Returns the crashes that this node observed under the request, by replica.
    fn own_crashes(&self, fingerprint: &Fingerprint) -> impl Iterator<Item = (&String, &Crash)> {
        let own_range = (*fingerprint, String::new());
        let own = self.crashes.range(own_range..).take_while(move |((of, _), _)| of == fingerprint);
        own.map(|((_, replica), crash)| (replica, crash))
    }

    /// Records a run that got no complete answer. `is_listed` states whether its replica is still listed; one
    /// that is not has ended. Returns whether the quarantine may have changed: by a crash, or since a request
    /// that is one crash short of quarantine is held until its replica's state is known.
    pub fn run_broken(&mut self, run: SentRun, cause: BreakCause, is_listed: bool, now: Timestamp) -> bool {
        self.expire(now);
        if self.answered.contains(&run.fingerprint) {
            return false;
        }
        if !is_listed {
            return self.record_crash(InterruptedRun { run, at: now, cause }, now);
        }
        if self.interrupted.len() >= MAX_KEPT_RUNS {
            self.interrupted.pop_front();
        }
        let counts = cause == BreakCause::Closed && self.is_suspected(&run.fingerprint);
        self.interrupted.push_back(InterruptedRun { run, at: now, cause });
        counts
    }

    /// Records a run that got a complete answer, successful or not. This clears the request of all crashes, and
    /// the replica of crashes known before the run was sent. Returns whether anything changed.
    pub fn run_ended(&mut self, run: &SentRun, now: Timestamp) -> bool {
        self.answered.insert(run.fingerprint, now);
        let is_reported = self.reported.requests.contains(&run.fingerprint);
        if self.interrupted.is_empty() && self.crashes.is_empty() && !is_reported {
            return false;
        }
        let restart_margin = if run.may_restart { CONFIRMATION_TIMEOUT } else { Duration::ZERO };
        let is_disproved = |crash: &Crash| crash.at + restart_margin <= run.sent_at;
        self.clear(
            |fingerprint, replica, crash| {
                *fingerprint == run.fingerprint
                    || (*replica == run.replica && crash.is_some_and(is_disproved))
            },
            now,
        )
    }

    /// Clears a request of all crashes on behalf of an operator. Returns whether anything changed.
    pub fn release(&mut self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.clear(|of, _, _| of == fingerprint, now)
    }

    /// Clears requests of the crashes selected by `is_cleared`. Its last argument is `None` for crashes that
    /// only other nodes observed, and for runs not known to be crashes.
    fn clear(
        &mut self,
        is_cleared: impl Fn(&Fingerprint, &String, Option<&Crash>) -> bool,
        now: Timestamp,
    ) -> bool {
        self.interrupted
            .retain(|interrupted| !is_cleared(&interrupted.run.fingerprint, &interrupted.run.replica, None));
        let before = (self.crashes.len(), self.clearings.len());
        let mut to_clear = BTreeSet::new();
        self.crashes.retain(|(fingerprint, replica), crash| {
            let is_kept = !is_cleared(fingerprint, replica, Some(crash));
            if !is_kept && crash.is_reported {
                to_clear.insert((*fingerprint, replica.clone()));
            }
            is_kept
        });
        for report in &self.reported.reports {
            let suspects = report.suspects.iter().map(|suspect| suspect.fingerprint);
            let suspects = suspects.filter(|suspect| is_cleared(suspect, &report.replica, None));
            to_clear.extend(suspects.map(|fingerprint| (fingerprint, report.replica.clone())));
        }
        for report in &self.reported.reports {
            for fingerprint in &report.cleared {
                to_clear.remove(&(*fingerprint, report.replica.clone()));
            }
        }
        for crash in to_clear {
            self.clearings.entry(crash).or_insert(Clearing { at: now, is_reported: false });
        }
        before != (self.crashes.len(), self.clearings.len())
    }

    /// Records that an incarnation of a replica ended. Returns whether it counts as a crash for any run of this
    /// node.
    pub fn replica_ended(&mut self, replica: &str, now: Timestamp) -> bool {
        let (ended, remaining) = self
            .interrupted
            .drain(..)
            .partition::<VecDeque<_>, _>(|interrupted| interrupted.run.replica == replica);
        self.interrupted = remaining;
        let mut counts = false;
        for interrupted in ended {
            counts |= self.record_crash(interrupted, now);
        }
        counts
    }

    /// Counts an interrupted run as a crash; returns whether it was recorded.
    fn record_crash(&mut self, interrupted: InterruptedRun, now: Timestamp) -> bool {
        let InterruptedRun { run, at: interrupted_at, .. } = interrupted;
        // Concurrent runs of one request, as in a group of items, count once. Otherwise replicas that fail together
        // would count against every request that runs on all of them.
        let overlaps = |crash: &Crash| run.sent_at < crash.interrupted_at && crash.sent_at < interrupted_at;
        let is_concurrent = self.own_crashes(&run.fingerprint).any(|(_, crash)| overlaps(crash));
        let is_concurrent = is_concurrent && run.sender == RunSender::Owner;
        if is_concurrent || self.crashes.len() >= MAX_KEPT_RUNS {
            return false;
        }
        let SentRun { sender, is_repeated, sent_at, .. } = run;
        let crash = Crash { sender, is_repeated, sent_at, interrupted_at, at: now, is_reported: false };
        self.crashes.entry((run.fingerprint, run.replica)).or_insert(crash);
        true
    }

    /// Applies a new list of replicas. A replica that is missing from it, or whose address belongs to another
    /// one, has ended. Returns whether that counts as a crash for any run of this node.
    ///
    /// When the table changes to another subset of the replicas, the interrupted runs are no longer traced, since a
    /// replica that is missing from it need not have ended.
    pub fn set_replicas(&mut self, table: &ReplicaTable, now: Timestamp) -> bool {
        if self.layout != table.layout {
            self.layout = table.layout;
            self.interrupted.clear();
        }
        let has_ended = |run: &SentRun| {
            let is_other = |record: &&str| **record != *run.replica;
            let others = table.records.values().filter(|record| record.address == run.address);
            let is_taken = others.map(|record| record.id.as_str()).any(|id| is_other(&id));
            is_taken || !table.records.contains_key(&run.replica)
        };
        let runs = self.interrupted.iter().map(|interrupted| &interrupted.run).filter(|run| has_ended(run));
        let ended: BTreeSet<String> = runs.map(|run| run.replica.clone()).collect();
        let mut counts = false;
        for replica in ended {
            counts |= self.replica_ended(&replica, now);
        }
        counts
    }

    /// Replaces the reports of all nodes, and clears the requests that this node saw complete recently.
    pub fn set_reports(&mut self, reports: Vec<CrashReport>, now: Timestamp) {
        self.reported = ReportedCrashes::new(reports);
        self.answered.expire(now);
        let answered: Vec<Fingerprint> = self
            .reported
            .requests
            .iter()
            .filter(|request| self.answered.contains(request))
            .copied()
            .collect();
        for fingerprint in answered {
            self.clear(|of, _, _| *of == fingerprint, now);
        }
    }

    /// Derives the quarantine from the reports of all nodes and this node's own observations.
    pub fn quarantine(&self) -> Quarantine {
        let own = self.crashes.iter().map(|((fingerprint, replica), crash)| {
            let suspect = Suspect { fingerprint: *fingerprint, is_repeated: crash.is_repeated };
            CrashReport { replica: replica.clone(), suspects: vec![suspect], cleared: Vec::new() }
        });
        let clearings = self.clearings.keys().map(|(fingerprint, replica)| CrashReport {
            replica: replica.clone(),
            suspects: Vec::new(),
            cleared: vec![*fingerprint],
        });
        let mut own: Vec<CrashReport> = own.chain(clearings).collect();
        let known = Quarantine::from_reports(self.reported.reports.iter().chain(&own));
        own.extend(self.last_crashes(&known));
        Quarantine::from_reports(self.reported.reports.iter().chain(&own))
    }

    /// Returns the closed connections that would be the last crash needed to quarantine their requests.
    fn last_crashes(&self, known: &Quarantine) -> Vec<CrashReport> {
        let closed = self.interrupted.iter().filter(|interrupted| interrupted.cause == BreakCause::Closed);
        let runs = closed.map(|interrupted| &interrupted.run);
        let is_last = |run: &&SentRun| {
            let others = known.crashes(&run.fingerprint).filter(|replica| *replica != run.replica);
            others.count() + 1 >= CRASHES_TO_QUARANTINE
        };
        let report = |run: &SentRun| {
            let suspect = Suspect { fingerprint: run.fingerprint, is_repeated: run.is_repeated };
            CrashReport { replica: run.replica.clone(), suspects: vec![suspect], cleared: Vec::new() }
        };
        runs.filter(is_last).map(report).collect()
    }

    /// Returns the reports that are due, one for each replica, and marks their content as reported.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<CrashReport> {
        self.expire(now);
        let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        for (fingerprint, _) in self.crashes.keys() {
            *counts.entry(*fingerprint).or_default() += 1;
        }
        let mut due: BTreeMap<String, CrashReport> = BTreeMap::new();
        let report = |replica: &str| CrashReport {
            replica: replica.to_owned(),
            suspects: Vec::new(),
            cleared: Vec::new(),
        };
        for ((fingerprint, replica), crash) in &mut self.crashes {
            let is_second = counts.get(fingerprint) > Some(&1);
            let is_enough = crash.sender == RunSender::Gateway || is_second;
            // A second crash is unlikely to be a coincidence.
            let is_urgent = is_second || self.reported.requests.contains(fingerprint);
            let is_due = is_urgent || now.saturating_since(crash.at) >= FIRST_REPORT_DELAY;
            if crash.is_reported || !is_enough || !is_due {
                continue;
            }
            let due_report = due.entry(replica.clone()).or_insert_with(|| report(replica));
            if due_report.suspects.len() < MAX_REPORTED_REQUESTS {
                crash.is_reported = true;
                due_report
                    .suspects
                    .push(Suspect { fingerprint: *fingerprint, is_repeated: crash.is_repeated });
            }
        }
        for ((fingerprint, replica), clearing) in &mut self.clearings {
            if !clearing.is_reported {
                clearing.is_reported = true;
                let due_report = due.entry(replica.clone()).or_insert_with(|| report(replica));
                due_report.cleared.push(*fingerprint);
            }
        }
        due.into_values().collect()
    }

    /// Whether nothing is waiting to be reported or to expire as unconfirmed.
    pub fn is_idle(&self) -> bool {
        self.interrupted.is_empty()
            && self.clearings.values().all(|clearing| clearing.is_reported)
            && self.crashes.values().all(|crash| crash.is_reported)
    }

    /// Drops expired state; returns whether any interrupted run was dropped.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.answered.expire(now);
        let before = self.interrupted.len();
        self.interrupted.retain(|interrupted| now.saturating_since(interrupted.at) < CONFIRMATION_TIMEOUT);
        self.crashes.retain(|_, crash| now.saturating_since(crash.at) < CRASH_RETENTION);
        self.clearings.retain(|_, clearing| now.saturating_since(clearing.at) < CRASH_RETENTION);
        self.interrupted.len() < before
    }
}
