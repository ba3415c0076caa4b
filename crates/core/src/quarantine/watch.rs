//! What one node observed of runs that broke off at replicas, and what it has to report of them to the other
//! nodes.
//!
//! Inputs: how each run ended, the list of replicas, the reports of all nodes, the time. A run that broke off
//! counts as a crash once its replica is known to have ended. Owns the broken runs, the crashes and the
//! clearings of this node, all bounded. Relies on its caller to call [`CrashMonitor::expire`] and to send what
//! [`CrashMonitor::due_reports`] returns.
//!
//! A run that breaks off says nothing: connections are reset, answers are lost. It counts once its replica is
//! known to have ended, and counts no more once the request ran to an end anywhere, or the replica answered
//! anything.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::recent_requests::RecentRequests;
use super::{CRASHES_TO_QUARANTINE, CrashReport, Fingerprint, MAX_REPORTED_REQUESTS, Quarantine, Suspect};
use crate::ingress::replicas::ReplicaTable;
use crate::time::Timestamp;

/// A replica whose entry is still listed this long after a run broke off there did not end then: an entry
/// lapses after three heartbeats, some seconds at most. A shorter time misses crashes, a longer one keeps
/// innocent requests waiting. Chosen, not measured.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);
/// The first crash under a request is reported after this time: a plain request that only ran there has
/// mostly been answered elsewhere until then. Chosen, not measured: shorter writes reports that are cleared
/// at once, longer lets a guilty request reach further replicas unreported.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(400);
/// What this node observed of a crash counts here for this time; its report in the store lasts longer.
/// Chosen, not measured.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// The most broken runs, and the most crashes, that are kept. Chosen, not measured: bounds the memory; fewer
/// forget crashes when many replicas end together.
const MAX_KEPT_RUNS: usize = 1_024;

/// Who sent a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSender {
    /// A gateway, for a caller. Others may send the same request.
    Gateway,
    /// The owner of batch jobs, the only one to send it. Many items run at a replica, most of them for
    /// seconds, and few of them are answered before a crash is reported: only what ran at two crashes is
    /// reported.
    Owner,
}

/// A run that was sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnation of the replica.
    pub replica: String,
    /// Whether the replica may start again under its name: an answer may come from its next incarnation until
    /// that is listed.
    pub may_restart: bool,
    /// Where that answers.
    pub address: SocketAddr,
    /// Who sent it.
    pub sender: RunSender,
    /// Whether the node knew, when it was sent, of a replica that had ended under the request.
    pub is_repeated: bool,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// A run that broke off at a replica of which it is not known whether it ended.
#[derive(Clone, Debug)]
struct BrokenRun {
    run: SentRun,
    at: Timestamp,
    cause: BreakCause,
}

/// How a run broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The connection closed.
    Closed,
    /// It was given up, for time or because its caller left.
    GivenUp,
}

/// A replica ended while a run was there.
#[derive(Clone, Debug)]
struct Crash {
    sender: RunSender,
    is_repeated: bool,
    /// When the run was sent, and when it broke off.
    sent_at: Timestamp,
    broke_at: Timestamp,
    /// When it was known that the replica had ended.
    at: Timestamp,
    is_reported: bool,
}

/// A request is cleared of a crash.
#[derive(Clone, Copy, Debug)]
struct Clearing {
    at: Timestamp,
    is_reported: bool,
}

/// The reports of all nodes, with the requests that they name for quick look-ups.
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

/// This node's part in the quarantine.
#[derive(Debug, Default)]
pub struct CrashMonitor {
    broken: VecDeque<BrokenRun>,
    crashes: BTreeMap<(Fingerprint, String), Crash>,
    /// The reports of all nodes, this one included.
    reported: ReportedCrashes,
    /// Requests that a replica answered whole lately: they don't end each replica that runs them, however
    /// often they are met by an end.
    answered: RecentRequests,
    /// Crashes that were reported and of which a request is cleared.
    clearings: BTreeMap<(Fingerprint, String), Clearing>,
}

impl CrashMonitor {
    /// Whether a replica ended, or seems to have, while the request ran there.
    pub fn is_suspected(&self, fingerprint: &Fingerprint) -> bool {
        self.broken.iter().any(|broken| broken.run.fingerprint == *fingerprint)
            || self.own_crashes(fingerprint).next().is_some()
            || self.reported.requests.contains(fingerprint)
    }

    fn own_crashes(&self, fingerprint: &Fingerprint) -> impl Iterator<Item = (&String, &Crash)> {
        let from = (*fingerprint, String::new());
        let own = self.crashes.range(from..).take_while(move |((of, _), _)| of == fingerprint);
        own.map(|((_, replica), crash)| (replica, crash))
    }

    /// A run gave no whole answer at a replica that is still listed or not. Returns whether anything follows
    /// at once: one that is gone from the list has ended, and a request that lacks one crash to be held is
    /// not sent on until it is known whether it did.
    pub fn run_broken(&mut self, run: SentRun, cause: BreakCause, is_listed: bool, now: Timestamp) -> bool {
        self.expire(now);
        if self.answered.contains(&run.fingerprint) {
            return false;
        }
        if !is_listed {
            return self.count(BrokenRun { run, at: now, cause }, now);
        }
        if self.broken.len() >= MAX_KEPT_RUNS {
            self.broken.pop_front();
        }
        let counts = cause == BreakCause::Closed && self.is_suspected(&run.fingerprint);
        self.broken.push_back(BrokenRun { run, at: now, cause });
        counts
    }

    /// A run ended with a whole answer of its replica, good or not: the request ended no replica, and neither
    /// did this replica end before the run was sent. Returns whether anything is known otherwise from now on.
    pub fn run_ended(&mut self, run: &SentRun, now: Timestamp) -> bool {
        self.answered.insert(run.fingerprint, now);
        let is_reported = self.reported.requests.contains(&run.fingerprint);
        if self.broken.is_empty() && self.crashes.is_empty() && !is_reported {
            return false;
        }
        let next_incarnation_for = if run.may_restart { CONFIRMATION_TIMEOUT } else { Duration::ZERO };
        let ran_on = |crash: &Crash| crash.at + next_incarnation_for <= run.sent_at;
        self.clear(
            |fingerprint, replica, crash| {
                *fingerprint == run.fingerprint || (*replica == run.replica && crash.is_some_and(ran_on))
            },
            now,
        )
    }

    /// An operator states that a request ended no replica; returns whether any crash counted against it.
    pub fn release(&mut self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.clear(|of, _, _| of == fingerprint, now)
    }

    /// Clears requests of crashes; of those that only other nodes observed the time is not known here.
    fn clear(
        &mut self,
        is_cleared: impl Fn(&Fingerprint, &String, Option<&Crash>) -> bool,
        now: Timestamp,
    ) -> bool {
        self.broken.retain(|broken| !is_cleared(&broken.run.fingerprint, &broken.run.replica, None));
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

    /// An incarnation of a replica has ended. Returns whether runs of this node broke off there.
    pub fn replica_ended(&mut self, replica: &str, now: Timestamp) -> bool {
        let (ended, left) =
            self.broken.drain(..).partition::<VecDeque<_>, _>(|broken| broken.run.replica == replica);
        self.broken = left;
        let mut counts = false;
        for broken in ended {
            counts |= self.count(broken, now);
        }
        counts
    }

    fn count(&mut self, broken: BrokenRun, now: Timestamp) -> bool {
        let BrokenRun { run, at: broke_at, .. } = broken;
        // Runs of one request that were under way together, as those of a group's items, count once: replicas
        // that end together would speak against all that runs at each of them.
        let overlaps = |crash: &Crash| run.sent_at < crash.broke_at && crash.sent_at < broke_at;
        let is_beside = self.own_crashes(&run.fingerprint).any(|(_, crash)| overlaps(crash));
        let is_beside = is_beside && run.sender == RunSender::Owner;
        if is_beside || self.crashes.len() >= MAX_KEPT_RUNS {
            return false;
        }
        let SentRun { sender, is_repeated, sent_at, .. } = run;
        let crash = Crash { sender, is_repeated, sent_at, broke_at, at: now, is_reported: false };
        self.crashes.entry((run.fingerprint, run.replica)).or_insert(crash);
        true
    }

    /// Takes the list of replicas: one that is gone from it, or whose address another has, ended. Returns
    /// whether runs of this node broke off there.
    pub fn set_replicas(&mut self, table: &ReplicaTable, now: Timestamp) -> bool {
        let has_ended = |run: &SentRun| {
            let taken = |record: &&str| **record != *run.replica;
            let others = table.records.values().filter(|record| record.address == run.address);
            let is_taken = others.map(|record| record.id.as_str()).any(|id| taken(&id));
            is_taken || !table.records.contains_key(&run.replica)
        };
        let runs = self.broken.iter().map(|broken| &broken.run).filter(|run| has_ended(run));
        let ended: BTreeSet<String> = runs.map(|run| run.replica.clone()).collect();
        let mut counts = false;
        for replica in ended {
            counts |= self.replica_ended(&replica, now);
        }
        counts
    }

    /// Takes the reports of all nodes. Requests that this node knows to be answered lately are cleared.
    pub fn set_reports(&mut self, reports: Vec<CrashReport>, now: Timestamp) {
        self.reported = ReportedCrashes::new(reports);
        self.answered.turn(now);
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

    /// What follows from what this node knows.
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

    /// Of requests that lack one crash to be held, runs that broke off and are likely it.
    fn last_crashes(&self, known: &Quarantine) -> Vec<CrashReport> {
        let closed = self.broken.iter().filter(|broken| broken.cause == BreakCause::Closed);
        let runs = closed.map(|broken| &broken.run);
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

    /// The reports that are due now, one for each replica.
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
            // Few innocent requests meet two crashes.
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

    /// Whether nothing is to be reported or forgotten soon.
    pub fn is_idle(&self) -> bool {
        self.broken.is_empty()
            && self.clearings.values().all(|clearing| clearing.is_reported)
            && self.crashes.values().all(|crash| crash.is_reported)
    }

    /// Forgets what is over; returns whether it was any run that broke off.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.answered.turn(now);
        let before = self.broken.len();
        self.broken.retain(|broken| now.saturating_since(broken.at) < CONFIRMATION_TIMEOUT);
        self.crashes.retain(|_, crash| now.saturating_since(crash.at) < CRASH_RETENTION);
        self.clearings.retain(|_, clearing| now.saturating_since(clearing.at) < CRASH_RETENTION);
        self.broken.len() < before
    }
}
