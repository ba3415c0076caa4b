//! Histories of the log and of claims under faults are linearizable, judged by a library.

use std::collections::{BTreeMap, BTreeSet};

use lichenpulley_core::identity::{AttemptId, RequestId};
use lichenpulley_lab::simulations::replication::{Mechanisms, ObservationKind, RunReport, simulate};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

const SEEDS: std::ops::Range<u64> = 0..4;
/// The beginning of each run that is judged: the checker's time grows fast with the length.
const JUDGED_OBSERVATIONS: usize = 160;

/// An operation on the log.
#[derive(Clone, Debug)]
enum LogOperation {
    /// Appends a record; its position where it was acknowledged.
    Append { record: u64, position: Option<usize> },
    /// Takes the log over and finds these records.
    TakeOver(Vec<u64>),
}

/// A list of records.
struct LogSpecification;

impl Specification for LogSpecification {
    type State = Vec<u64>;
    type Operation = LogOperation;

    fn init() -> Vec<u64> {
        Vec::new()
    }

    fn apply(operation: &LogOperation, state: &Vec<u64>) -> (bool, Vec<u64>) {
        match operation {
            LogOperation::TakeOver(found) => (found == state, state.clone()),
            LogOperation::Append { position: Some(position), .. } if *position != state.len() => {
                (false, state.clone())
            }
            LogOperation::Append { record, .. } => {
                let mut appended = state.clone();
                appended.push(*record);
                (true, appended)
            }
        }
    }
}

/// The history of the log: each operation is a process of its own, since an owner has several on their way.
fn log_history(report: &RunReport) -> Vec<(usize, Action<LogOperation>)> {
    let judged = &report.observations[..JUDGED_OBSERVATIONS.min(report.observations.len())];
    let positions = acknowledged_positions(judged);
    let seen: BTreeSet<u64> = judged.iter().flat_map(|(_, observation)| found(&observation.kind)).collect();
    let mut actions = Vec::new();
    let mut unanswered = Vec::new();
    let mut processes: BTreeMap<u64, usize> = BTreeMap::new();
    let mut take_overs: BTreeMap<usize, usize> = BTreeMap::new();
    for (number, (owner, observation)) in judged.iter().enumerate() {
        match &observation.kind {
            ObservationKind::Began => {
                take_overs.insert(*owner, number);
            }
            ObservationKind::Recovered(records) => {
                let Some(began) = take_overs.remove(owner) else { continue };
                actions.push((began, began, Action::Call(LogOperation::TakeOver(Vec::new()))));
                actions.push((number, began, Action::Response(LogOperation::TakeOver(records.clone()))));
            }
            // A change of the stores is no operation on the log.
            ObservationKind::Continued => {}
            ObservationKind::Appending(record) => {
                let position = positions.get(record).copied();
                // An append without an answer that nobody saw may as well not have been.
                if position.is_none() && !seen.contains(record) {
                    continue;
                }
                let append = LogOperation::Append { record: *record, position };
                processes.insert(*record, number);
                actions.push((number, number, Action::Call(append.clone())));
                if position.is_none() {
                    unanswered.push((number, Action::Response(append)));
                }
            }
            ObservationKind::Acknowledged { records, .. } => {
                for record in records {
                    let process = processes[record];
                    let position = positions.get(record).copied();
                    let append = LogOperation::Append { record: *record, position };
                    actions.push((number, process, Action::Response(append)));
                }
            }
        }
    }
    actions.sort_by_key(|(at, ..)| *at);
    let answered = actions.into_iter().map(|(_, process, action)| (process, action));
    answered.chain(unanswered).collect()
}

fn found(kind: &ObservationKind) -> Vec<u64> {
    match kind {
        ObservationKind::Recovered(records) => records.clone(),
        _ => Vec::new(),
    }
}

fn acknowledged_positions(
    observations: &[(usize, lichenpulley_lab::simulations::replication::Observation)],
) -> BTreeMap<u64, usize> {
    let mut positions = BTreeMap::new();
    for (_, observation) in observations {
        if let ObservationKind::Acknowledged { length, records } = &observation.kind {
            let first = length - records.len();
            positions.extend(records.iter().zip(first..).map(|(record, position)| (*record, position)));
        }
    }
    positions
}

/// A claim and what became of it.
#[derive(Clone, Debug)]
struct ClaimOperation {
    attempt: AttemptId,
    granted: bool,
}

/// A write-once register. A claim that was not granted may have been refused for any reason.
struct ClaimSpecification;

impl Specification for ClaimSpecification {
    type State = Option<AttemptId>;
    type Operation = ClaimOperation;

    fn init() -> Option<AttemptId> {
        None
    }

    fn apply(operation: &ClaimOperation, state: &Option<AttemptId>) -> (bool, Option<AttemptId>) {
        if !operation.granted {
            return (true, state.clone());
        }
        let free = state.as_ref().is_none_or(|holder| holder == &operation.attempt);
        (free, Some(operation.attempt.clone()))
    }
}

/// One history for each request id.
fn claim_histories(report: &RunReport) -> Vec<Vec<(usize, Action<ClaimOperation>)>> {
    let mut by_request: BTreeMap<&RequestId, Vec<_>> = BTreeMap::new();
    for (process, run) in report.claims.iter().enumerate() {
        let operation = ClaimOperation { attempt: run.attempt.clone(), granted: run.granted };
        let history = by_request.entry(&run.request).or_default();
        history.push((run.began, process, Action::Call(operation.clone())));
        history.push((run.ended, process, Action::Response(operation)));
    }
    let sorted = by_request.into_values().map(|mut history| {
        history.sort_by_key(|(at, ..)| *at);
        history.into_iter().map(|(_, process, action)| (process, action)).collect()
    });
    sorted.collect()
}

fn is_linearizable(report: &RunReport) -> bool {
    let claims = claim_histories(report).into_iter().map(History::from_actions);
    let log = log_history(report);
    let mut claims = claims;
    claims.all(WGLChecker::<ClaimSpecification>::is_linearizable)
        && (log.is_empty() || WGLChecker::<LogSpecification>::is_linearizable(History::from_actions(log)))
}

#[test]
fn the_log_and_the_claims_are_linearizable_under_faults() {
    for seed in SEEDS {
        assert!(is_linearizable(&simulate(seed, Mechanisms::default())), "seed {seed}");
    }
}

#[test]
fn without_a_majority_a_history_is_not_linearizable() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.proposer.wait_for_majority = false;
    let mut runs = SEEDS.map(|seed| simulate(seed, mechanisms));
    assert!(runs.any(|report| !is_linearizable(&report)));
}

#[test]
fn without_refusing_forgotten_ids_a_history_is_not_linearizable() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.acceptor.refuse_expired_claims = false;
    let mut runs = SEEDS.map(|seed| simulate(seed, mechanisms));
    assert!(runs.any(|report| !is_linearizable(&report)));
}
