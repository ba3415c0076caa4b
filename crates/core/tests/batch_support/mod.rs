//! A test harness for an owner of batch jobs. Tests decide when its appends are committed and its runs end.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod load;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::batch::controller::{
    Action, Controller, ControllerConfig, RunEnd, RunEvent, RunId, RunStart, Submission,
};
use lichenpulley_core::batch::job::{BatchItem, BatchJob, OutputEvent, ScoreRequest};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::order_lease::OrderLease;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::score_plan::{ScoreEnd, ScoreId, ScoreStart};
use lichenpulley_core::decision::Decision;
use lichenpulley_core::duties::DutyCall;
use lichenpulley_core::identity::{BatchId, NodeId};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{Limits, Route, RouteKind, RouteTable, Service, WeightedService};
use lichenpulley_core::time::Timestamp;

pub(crate) const MODEL: &str = "pricing";

pub(crate) fn replica(id: &str, version: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "engines".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "kajang".to_owned(),
        slots: 2,
        is_draining: false,
        models: BTreeMap::from([(MODEL.to_owned(), version)]),
        cold_left: Duration::ZERO,
    }
}

pub(crate) fn table(replicas: &[ReplicaRecord]) -> Arc<ReplicaTable> {
    Arc::new(ReplicaTable::new(replicas.iter().cloned()))
}

pub(crate) fn routes(needs_single_version: bool) -> Arc<RouteTable> {
    let route = Route {
        name: "rollouts".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/r/".to_owned(),
        kind: RouteKind::Batch,
        timeout: None,
        target: Duration::from_millis(400),
        services: vec![WeightedService { service: "engines".to_owned(), weight: 1 }],
        max_attempts: 3,
        is_resumable: true,
        max_queue: Duration::from_secs(40),
        due: Duration::from_secs(8),
        needs_single_version,
        priority: 1,
        is_public: false,
        regions: AllowedRegions::all(),
    };
    let scorers = Route {
        name: "scores".to_owned(),
        path_prefix: "/score/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Some(Duration::from_millis(1_500)),
        target: Duration::from_millis(150),
        services: vec![WeightedService { service: "scorers".to_owned(), weight: 1 }],
        is_resumable: false,
        ..route.clone()
    };
    let service = Service {
        slots: 2,
        memory_tokens: Some(10_000),
        models: vec![MODEL.to_owned()],
        scaling: None,
        cold: None,
        health_path: None,
    };
    let limits = Limits {
        header_bytes: 16 << 10,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = BTreeMap::from([("engines".to_owned(), service)]);
    Arc::new(RouteTable { version: 1, routes: vec![route, scorers], services, limits, tenants: None })
}

pub(crate) fn job(id: &str, items: usize, min_version: u64) -> BatchJob {
    let item = |number: usize| BatchItem {
        id: format!("{id}-{number}"),
        path: "/r/x".to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        tokens: 100,
        expected_tokens: Some(50),
        group: Some("g".to_owned()),
        model: Some(MODEL.to_owned()),
        scorer: None,
    };
    BatchJob {
        id: BatchId::new(id),
        route: "rollouts".to_owned(),
        host: "host".to_owned(),
        tenant: None,
        step: Some(0),
        min_version,
        desired_groups: Some(1),
        items: (0..items).map(item).collect(),
    }
}

/// Returns a job whose items name a scorer.
pub(crate) fn scored_job(id: &str, items: usize) -> BatchJob {
    let mut job = job(id, items, 0);
    for item in &mut job.items {
        item.scorer = Some(ScoreRequest {
            id: format!("score-{}", item.id),
            host: "host".to_owned(),
            path: "/score/x".to_owned(),
            body: b"text".to_vec(),
        });
    }
    job
}

/// Returns a replica of the scorers' service.
pub(crate) fn scorer_replica(id: &str) -> ReplicaRecord {
    ReplicaRecord { service: "scorers".to_owned(), slots: 6, models: BTreeMap::new(), ..replica(id, 1) }
}

pub(crate) fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// Returns the lease of an owner whose predecessor was active until just now.
pub(crate) fn lease_of(holder: &str) -> OrderLease {
    OrderLease { holder: NodeId::new(holder), length: Duration::from_secs(3), idle: Duration::ZERO }
}

/// An owner and the actions that it requested. Appends are committed only on request.
pub(crate) struct OwnerHarness {
    pub(crate) controller: Controller,
    pub(crate) appends: usize,
    pub(crate) started: Vec<RunStart>,
    pub(crate) stopped: Vec<RunId>,
    pub(crate) scores: Vec<ScoreStart>,
    pub(crate) stopped_scores: Vec<ScoreId>,
    pub(crate) records: Vec<Record>,
    pub(crate) loads: Vec<(String, u64)>,
    pub(crate) calls: Vec<DutyCall>,
    pub(crate) decisions: Vec<Decision>,
}

impl OwnerHarness {
    pub(crate) fn new(ledger: Ledger, needs_single_version: bool, replicas: &[ReplicaRecord]) -> Self {
        Self::with_config(ControllerConfig::default(), ledger, needs_single_version, replicas)
    }

    pub(crate) fn with_config(
        config: ControllerConfig,
        ledger: Ledger,
        needs_single_version: bool,
        replicas: &[ReplicaRecord],
    ) -> Self {
        Self::with_lease(lease_of("node-1"), config, ledger, needs_single_version, replicas)
    }

    pub(crate) fn with_lease(
        lease: OrderLease,
        config: ControllerConfig,
        ledger: Ledger,
        needs_single_version: bool,
        replicas: &[ReplicaRecord],
    ) -> Self {
        let mut controller = Controller::new(config, ledger, at(0), lease);
        controller.update(at(0), Some(routes(needs_single_version)), &table(replicas), &BTreeMap::new());
        let mut harness = Self {
            controller,
            appends: 0,
            started: Vec::new(),
            stopped: Vec::new(),
            scores: Vec::new(),
            stopped_scores: Vec::new(),
            records: Vec::new(),
            loads: Vec::new(),
            calls: Vec::new(),
            decisions: Vec::new(),
        };
        harness.drain_actions();
        harness
    }

    pub(crate) fn drain_actions(&mut self) {
        while let Some(action) = self.controller.poll_action() {
            match action {
                Action::Append(records) => {
                    self.appends += 1;
                    self.records.extend(records);
                }
                Action::Start(start) => self.started.push(*start),
                Action::Stop(run) => self.stopped.push(run),
                Action::Load(load) => self.loads.push((load.replica, load.version)),
                Action::Score(start) => self.scores.push(*start),
                Action::StopScore(id) => self.stopped_scores.push(id),
                Action::Duty(call) => self.calls.push(call),
                Action::Decide(decision) => self.decisions.push(decision),
            }
        }
    }

    /// Commits all pending appends.
    pub(crate) fn commit_appends(&mut self, now: Timestamp) {
        self.drain_actions();
        while self.appends > 0 {
            self.appends -= 1;
            self.controller.appended(now);
            self.drain_actions();
        }
    }

    pub(crate) fn submit(&mut self, now: Timestamp, job: BatchJob) {
        assert_eq!(self.controller.submit(now, job), Submission::Pending);
        self.commit_appends(now);
    }

    pub(crate) fn event(&mut self, now: Timestamp, run: RunId, number: u64, version: u64) {
        let kept = OutputEvent { number, version, data: format!("d{number}") };
        self.controller.run_event(now, run, RunEvent::Event(kept));
        self.drain_actions();
    }

    pub(crate) fn end(&mut self, now: Timestamp, run: RunId, end: RunEnd) {
        self.controller.run_event(now, run, RunEvent::Ended(end));
        self.drain_actions();
    }

    /// Submits a job of one item and completes its text with a single event.
    pub(crate) fn run_to_completion(&mut self, now: Timestamp, job: BatchJob) {
        self.submit(now, job);
        let run = self.started.last().expect("a run").run;
        self.event(now, run, 0, 1);
        self.end(now, run, RunEnd::Complete);
        self.commit_appends(now);
    }

    /// Ends the score request at index `position`.
    pub(crate) fn score_end(&mut self, now: Timestamp, position: usize, end: ScoreEnd) {
        self.score_end_with(now, position, end, None);
    }

    /// Ends a score request; `busy` is the number of running requests that the replica reported.
    pub(crate) fn score_end_with(
        &mut self,
        now: Timestamp,
        position: usize,
        end: ScoreEnd,
        busy: Option<u32>,
    ) {
        let id = self.scores[position].id;
        let load = busy.map(|running| ReplicaLoad { running, ..ReplicaLoad::default() });
        self.controller.score_ended(now, id, &end, load);
        self.drain_actions();
    }

    pub(crate) fn results(&self, id: &str) -> usize {
        self.controller.ledger().job(&BatchId::new(id)).map_or(0, |job| job.results.len())
    }

    pub(crate) fn ledger_of_records(&self) -> Ledger {
        let mut ledger = Ledger::default();
        self.records.iter().cloned().for_each(|record| ledger.apply(record));
        ledger
    }
}
