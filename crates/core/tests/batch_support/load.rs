//! A replayed load: trainers submit jobs to an owner, and simulated runs produce events on a virtual clock.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::batch::controller::{ControllerConfig, RunEnd, RunId, Submission};
use lichenpulley_core::batch::job::{BatchItem, BatchJob};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::routes::RouteTable;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{MODEL, OwnerHarness, at, job, replica, routes, table};

pub(crate) const SLOTS_PER_REPLICA: u32 = 6;
/// Time in which the jobs of [`routes`] are due.
pub(crate) const DUE_MS: u64 = 8_000;
/// Pause between two events of a run.
const EVENT_MS: u64 = 100;
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;

/// Returns the routes of trainers with these priorities, named `trainer-0` and so on.
pub(crate) fn trainer_routes(priorities: &[u32]) -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&routes(false));
    let route = table.routes.remove(0);
    let trainers = priorities.iter().enumerate().map(|(number, priority)| {
        let name = format!("trainer-{number}");
        let path_prefix = format!("/{name}/");
        lichenpulley_core::ingress::routes::Route { name, path_prefix, priority: *priority, ..route.clone() }
    });
    table.routes.extend(trainers);
    table.services.values_mut().for_each(|service| service.memory_tokens = None);
    Arc::new(table)
}

/// Returns a job of a trainer; `lengths_ms` are the items' run times by groups.
pub(crate) fn trainer_job(trainer: usize, id: &str, lengths_ms: &[Vec<u64>], desired: u64) -> BatchJob {
    let template = job(id, 1, 0).items.remove(0);
    let mut items = Vec::new();
    for (group, lengths) in lengths_ms.iter().enumerate() {
        for length in lengths {
            items.push(BatchItem {
                id: format!("{id}-{}", items.len()),
                expected_tokens: Some(length / 10),
                tokens: 1_000,
                group: Some(format!("g{group}")),
                model: Some(MODEL.to_owned()),
                ..template.clone()
            });
        }
    }
    BatchJob { route: format!("trainer-{trainer}"), desired_groups: Some(desired), items, ..job(id, 0, 0) }
}

/// Returns run times with a median of 0.6 s, 2 s at the 90th percentile and 4.3 s at the 99th.
pub(crate) fn lengths(random: &mut Pcg64Mcg, groups: usize, items: usize) -> Vec<Vec<u64>> {
    let length = |random: &mut Pcg64Mcg| {
        let quantiles = [(0.0, 150.0), (0.5, 600.0), (0.9, 2_000.0), (0.99, 4_300.0), (1.0, 5_500.0)];
        let share: f64 = random.random();
        let upper = quantiles.iter().position(|(quantile, _)| *quantile > share).unwrap_or(4);
        let ((low, from), (high, to)) = (quantiles[upper - 1], quantiles[upper]);
        (from + (to - from) * (share - low) / (high - low)) as u64
    };
    (0..groups).map(|_| (0..items).map(|_| length(random)).collect()).collect()
}

/// A run in progress.
struct SimulatedRun {
    item: String,
    next_event_ms: u64,
    end_ms: u64,
    next_number: u64,
}

/// What became of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobOutcome {
    /// Time at which each complete group was complete, since the submission.
    pub(crate) groups_ms: Vec<u64>,
    /// Length of each listed item.
    pub(crate) listed_ms: Vec<u64>,
}

/// An owner under a load.
pub(crate) struct Load {
    pub(crate) harness: OwnerHarness,
    pub(crate) now_ms: u64,
    runs: BTreeMap<RunId, SimulatedRun>,
    lengths: HashMap<String, u64>,
    /// Ids of the items in the order of their starts.
    pub(crate) starts: Vec<String>,
    stopped: usize,
}

impl Load {
    pub(crate) fn new(priorities: &[u32], replicas: usize) -> Self {
        Self::with_ledger(Ledger::default(), priorities, replicas)
    }

    /// Replaces the owner by a new one that recovers what was appended to the log. All runs are lost, and the clock
    /// begins anew.
    pub(crate) fn replace_owner(self, priorities: &[u32], replicas: usize) -> Self {
        let ledger = self.harness.ledger_of_records();
        let mut load = Self::with_ledger(ledger, priorities, replicas);
        load.lengths = self.lengths;
        load.take_starts();
        load
    }

    fn with_ledger(ledger: Ledger, priorities: &[u32], replicas: usize) -> Self {
        let record = |number| ReplicaRecord { slots: SLOTS_PER_REPLICA, ..replica(&format!("r{number}"), 1) };
        let replicas: Vec<ReplicaRecord> = (0..replicas).map(record).collect();
        let mut harness = OwnerHarness::with_config(ControllerConfig::default(), ledger, false, &replicas);
        let routes = trainer_routes(priorities);
        harness.controller.update(at(0), Some(routes), &table(&replicas), &BTreeMap::new());
        harness.drain_actions();
        Self {
            harness,
            now_ms: 0,
            runs: BTreeMap::new(),
            lengths: HashMap::new(),
            starts: Vec::new(),
            stopped: 0,
        }
    }

    /// Submits a job whose items run for these times.
    pub(crate) fn submit(&mut self, trainer: usize, id: &str, lengths_ms: &[Vec<u64>], desired: u64) {
        let job = trainer_job(trainer, id, lengths_ms, desired);
        assert_eq!(self.harness.controller.submit(at(self.now_ms), job.clone()), Submission::Pending);
        self.accept(&job, lengths_ms);
    }

    /// Commits the acceptance of a job that was just submitted.
    pub(crate) fn accept(&mut self, job: &BatchJob, lengths_ms: &[Vec<u64>]) {
        for (item, length) in job.items.iter().zip(lengths_ms.iter().flatten()) {
            self.lengths.insert(item.id.clone(), *length);
        }
        self.harness.commit_appends(at(self.now_ms));
        self.take_starts();
    }

    fn take_starts(&mut self) {
        for run in &self.harness.stopped[self.stopped..] {
            self.runs.remove(run);
        }
        self.stopped = self.harness.stopped.len();
        for start in self.harness.started.drain(..) {
            let number = start.last_event.map_or(0, |number| number + 1);
            let length = self.lengths[&start.item.id].saturating_sub(number * EVENT_MS);
            let run = SimulatedRun {
                item: start.item.id.clone(),
                next_event_ms: self.now_ms + EVENT_MS.min(length),
                end_ms: self.now_ms + length,
                next_number: number,
            };
            self.starts.push(start.item.id);
            self.runs.insert(start.run, run);
        }
    }

    /// Advances the clock by one step.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = at(self.now_ms);
        let due = |run: &SimulatedRun| run.next_event_ms <= self.now_ms;
        let due: Vec<RunId> = self.runs.iter().filter(|(_, run)| due(run)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            let number = run.next_number;
            run.next_number += 1;
            run.next_event_ms = (run.next_event_ms + EVENT_MS).min(run.end_ms);
            let is_complete = run.end_ms <= self.now_ms;
            self.harness.event(now, id, number, 1);
            if is_complete {
                self.runs.remove(&id);
                self.harness.end(now, id, RunEnd::Complete);
            }
        }
        self.harness.commit_appends(now);
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.harness.controller.tick(now);
            self.harness.drain_actions();
        }
        self.take_starts();
    }

    /// Advances the clock and returns what became of these jobs, which were submitted just now, when it ends them.
    pub(crate) fn run_and_end(&mut self, ids: &[&str], duration: Duration) -> Vec<JobOutcome> {
        let begin_ms = self.now_ms;
        let mut outcomes = vec![JobOutcome::default(); ids.len()];
        let mut counted = vec![BTreeMap::<String, usize>::new(); ids.len()];
        let mut seen = vec![0; ids.len()];
        let until_ms = begin_ms + u64::try_from(duration.as_millis()).expect("a short time");
        while self.now_ms < until_ms {
            self.step();
            for (index, id) in ids.iter().enumerate() {
                let job = self.harness.controller.ledger().job(&BatchId::new(*id)).expect("the job");
                let size = |group: &str| {
                    job.job.items.iter().filter(|item| item.group.as_deref() == Some(group)).count()
                };
                for result in &job.results[seen[index]..] {
                    let item = &job.job.items[result.item as usize];
                    assert!(result.is_complete, "no item may be given up for a lack of slots");
                    outcomes[index].listed_ms.push(self.lengths[&item.id]);
                    let group = item.group.clone().expect("a group");
                    let listed = counted[index].entry(group.clone()).or_default();
                    *listed += 1;
                    if *listed == size(&group) {
                        outcomes[index].groups_ms.push(self.now_ms - begin_ms);
                    }
                }
                seen[index] = job.results.len();
            }
        }
        for id in ids {
            self.harness.controller.end(at(self.now_ms), &BatchId::new(*id));
        }
        self.harness.commit_appends(at(self.now_ms));
        self.take_starts();
        outcomes
    }
}

impl JobOutcome {
    /// Returns the number of groups that were complete when they were due.
    pub(crate) fn in_time(&self) -> usize {
        self.groups_ms.iter().filter(|time_ms| **time_ms <= DUE_MS).count()
    }
}
