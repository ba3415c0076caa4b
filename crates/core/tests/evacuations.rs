//! Tests of evacuated zones: runs, loads and scaling orders of an owner, and admission by another sender.

mod batch_support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use batch_support::{
    MODEL, OwnerHarness, at, job, lease_of, replica, routes, scored_job, scorer_replica, table,
};
use lichenpulley_core::batch::controller::{ControllerConfig, RunEnd};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::score_plan::ScoreEnd;
use lichenpulley_core::batch::weights::LoadEnd;
use lichenpulley_core::duties::{DutyCall, DutyConfig};
use lichenpulley_core::ingress::admission::{Admission, AdmissionGate, EvacuatedZones};
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::routes::{RouteTable, ScalingBounds};
use lichenpulley_core::ingress::warmups::WarmupTracker;
use lichenpulley_core::scaling::ScalingPolicy;
use lichenpulley_core::usage::window::WallTime;
use proptest::prelude::*;

const ZONES: [&str; 3] = ["kajang", "shah-alam", "ampang"];

fn zones(names: &[&str]) -> Arc<EvacuatedZones> {
    Arc::new(EvacuatedZones { zones: names.iter().map(|name| (*name).to_owned()).collect() })
}

fn in_zone(zone: &str, record: ReplicaRecord) -> ReplicaRecord {
    ReplicaRecord { zone: zone.to_owned(), ..record }
}

/// Returns one engine and one scorer in each zone.
fn replicas() -> Vec<ReplicaRecord> {
    let engines = ZONES.iter().map(|zone| in_zone(zone, replica(&format!("engine-{zone}"), 1)));
    let scorers = ZONES.iter().map(|zone| in_zone(zone, scorer_replica(&format!("scorer-{zone}"))));
    engines.chain(scorers).collect()
}

/// A step of the model.
#[derive(Clone, Debug)]
enum Step {
    /// The operator evacuates or readmits a zone.
    ToggleZone(usize),
    /// The owner receives the evacuated zones.
    UpdateOwner,
    /// The other sender receives the evacuated zones.
    UpdateSender,
    Submit(usize),
    EndRun(usize, bool),
    EndScore(usize, bool),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..3).prop_map(Step::ToggleZone),
        Just(Step::UpdateOwner),
        Just(Step::UpdateSender),
        (1_usize..4).prop_map(Step::Submit),
        (0_usize..12, any::<bool>()).prop_map(|(position, is_whole)| Step::EndRun(position, is_whole)),
        (0_usize..12, any::<bool>()).prop_map(|(position, is_scored)| Step::EndScore(position, is_scored)),
        Just(Step::Tick),
    ]
}

/// An owner and another sender, each with its last copy of the evacuated zones.
struct Simulation {
    owner: OwnerHarness,
    sender: AdmissionGate,
    evacuated: BTreeSet<&'static str>,
    known_to_owner: BTreeSet<String>,
    now_ms: u64,
    jobs: usize,
    ended: BTreeSet<usize>,
    scored: BTreeSet<usize>,
}

impl Simulation {
    fn new() -> Self {
        let owner = OwnerHarness::new(Ledger::default(), false, &replicas());
        let (sender, evacuated, known_to_owner) =
            (AdmissionGate::new(WarmupTracker::for_owner(at(0))), BTreeSet::new(), BTreeSet::new());
        let (ended, scored) = (BTreeSet::new(), BTreeSet::new());
        Self { owner, sender, evacuated, known_to_owner, now_ms: 0, jobs: 0, ended, scored }
    }

    fn evacuated(&self) -> Arc<EvacuatedZones> {
        zones(&self.evacuated.iter().copied().collect::<Vec<_>>())
    }

    fn update_owner(&mut self) {
        self.owner.controller.set_evacuated(at(self.now_ms), self.evacuated());
        self.known_to_owner = self.evacuated().zones.clone();
    }

    /// Applies a step, and checks that the owner sends nothing to a zone that it knows to be evacuated.
    fn apply(&mut self, step: &Step) {
        self.now_ms += 50;
        let now = at(self.now_ms);
        let (runs, scores) = (self.owner.started.len(), self.owner.scores.len());
        match step {
            Step::ToggleZone(zone) => {
                if !self.evacuated.remove(ZONES[*zone]) {
                    self.evacuated.insert(ZONES[*zone]);
                }
            }
            Step::UpdateOwner => self.update_owner(),
            Step::UpdateSender => self.sender.set_evacuated(self.evacuated(), now),
            Step::Submit(items) => {
                self.jobs += 1;
                self.owner.submit(now, scored_job(&format!("job-{}", self.jobs), *items));
            }
            Step::EndRun(position, is_whole) => self.end_run(*position, *is_whole),
            Step::EndScore(position, is_scored) => self.end_score(*position, *is_scored),
            Step::Tick => self.owner.controller.tick(now),
        }
        self.owner.commit_appends(now);
        for start in &self.owner.started[runs..] {
            assert!(
                !self.known_to_owner.contains(&start.replica.zone),
                "a run went to {}",
                start.replica.zone
            );
        }
        for start in &self.owner.scores[scores..] {
            assert!(
                !self.known_to_owner.contains(&start.replica.zone),
                "a score went to {}",
                start.replica.zone
            );
        }
    }

    fn end_run(&mut self, position: usize, is_whole: bool) {
        let open = (0..self.owner.started.len()).filter(|number| !self.ended.contains(number));
        let Some(number) = open.clone().nth(position % open.count().max(1)) else { return };
        self.ended.insert(number);
        let run = self.owner.started[number].run;
        if is_whole {
            self.owner.event(at(self.now_ms), run, 0, 1);
        }
        let end = if is_whole { RunEnd::Complete } else { RunEnd::Broken };
        self.owner.end(at(self.now_ms), run, end);
    }

    fn end_score(&mut self, position: usize, is_scored: bool) {
        let open = (0..self.owner.scores.len()).filter(|number| !self.scored.contains(number));
        let Some(number) = open.clone().nth(position % open.count().max(1)) else { return };
        self.scored.insert(number);
        let end = if is_scored { ScoreEnd::Scored("s".to_owned()) } else { ScoreEnd::Rejected };
        self.owner.score_end(at(self.now_ms), number, end);
    }

    /// Readmits all zones and completes all runs, so that all jobs complete.
    fn finish(&mut self) {
        self.evacuated.clear();
        self.update_owner();
        // Ends before completed jobs expire.
        for _ in 0..200 {
            self.apply(&Step::EndRun(0, true));
            self.apply(&Step::EndScore(0, true));
            self.apply(&Step::Tick);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Senders with stale copies send nothing to a zone that is evacuated in their own copy, for any order of
    /// evacuations and readmissions, and no result is lost or duplicated.
    #[test]
    fn an_owner_sends_nothing_to_a_zone_that_it_knows_to_be_evacuated(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
            for record in replicas() {
                let actual = simulation.sender.admission(&record, at(simulation.now_ms));
                let is_evacuated = simulation.sender.evacuated().is_evacuated(&record);
                prop_assert_eq!(actual == Admission::Evacuated, is_evacuated);
            }
        }
        simulation.finish();
        for number in 1..=simulation.jobs {
            let id = format!("job-{number}");
            let items = steps.iter().filter_map(|step| match step { Step::Submit(items) => Some(*items), _ => None });
            prop_assert_eq!(simulation.owner.results(&id), items.clone().nth(number - 1).unwrap_or(0));
        }
    }
}

#[test]
fn runs_in_an_evacuated_zone_continue_and_broken_ones_resume_elsewhere() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas());
    harness.controller.set_evacuated(at(0), zones(&ZONES[1..]));
    harness.submit(at(0), job("job", 1, 0));
    let run = harness.started[0].run;
    assert_eq!(harness.started[0].replica.zone, ZONES[0]);
    harness.event(at(10), run, 0, 1);
    harness.controller.set_evacuated(at(20), zones(&ZONES[..1]));
    harness.controller.tick(at(30));
    harness.commit_appends(at(30));
    assert_eq!((harness.started.len(), harness.stopped.len()), (1, 0));
    harness.end(at(40), run, RunEnd::Broken);
    let resumed = &harness.started[1];
    assert_ne!(resumed.replica.zone, ZONES[0]);
    assert_eq!(resumed.last_event, Some(0), "the run resumes after its last event");
}

#[test]
fn nothing_is_loaded_in_an_evacuated_zone_until_it_is_readmitted() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas());
    harness.controller.set_evacuated(at(0), zones(&ZONES[..1]));
    let named = BTreeMap::from([(MODEL.to_owned(), 2)]);
    harness.controller.update(at(0), None, &table(&replicas()), &named);
    harness.controller.tick(at(400));
    harness.commit_appends(at(400));
    let loaded: BTreeSet<&str> = harness.loads.iter().map(|(replica, _)| replica.as_str()).collect();
    assert_eq!(loaded, BTreeSet::from(["engine-ampang", "engine-shah-alam"]));
    for zone in &ZONES[1..] {
        let end = LoadEnd { versions: BTreeMap::from([(MODEL.to_owned(), 2)]), time: None };
        harness.controller.load_ended(at(500), &format!("engine-{zone}"), &end);
    }
    harness.commit_appends(at(500));
    assert_eq!(harness.loads.len(), 2);
    harness.controller.set_evacuated(at(600), zones(&[]));
    harness.commit_appends(at(600));
    assert_eq!(harness.loads[2], ("engine-kajang".to_owned(), 2));
}

/// Replicas of both models are first placed in one zone, which is evacuated.
#[test]
fn each_model_keeps_replicas_of_its_version_outside_an_evacuated_zone() {
    let both = |id: &str, zone: &str| {
        let models = BTreeMap::from([(MODEL.to_owned(), 1), ("ranking".to_owned(), 1)]);
        in_zone(zone, ReplicaRecord { models, ..replica(id, 1) })
    };
    let records: Vec<ReplicaRecord> =
        (0..8).map(|number| both(&format!("r{number}"), ZONES[usize::from(number >= 4)])).collect();
    let mut harness = OwnerHarness::new(Ledger::default(), false, &records);
    let named = BTreeMap::from([(MODEL.to_owned(), 2), ("ranking".to_owned(), 2)]);
    harness.controller.set_evacuated(at(0), zones(&ZONES[..1]));
    harness.controller.update(at(0), None, &table(&records), &named);
    for now_ms in (400..4_000).step_by(100) {
        harness.controller.tick(at(now_ms));
        harness.commit_appends(at(now_ms));
        for (id, version) in harness.loads.clone() {
            let versions = BTreeMap::from([(MODEL.to_owned(), version), ("ranking".to_owned(), version)]);
            let end = LoadEnd { versions, time: None };
            harness.controller.load_ended(at(now_ms), &id, &end);
        }
    }
    let loaded: BTreeSet<&str> = harness.loads.iter().map(|(replica, _)| replica.as_str()).collect();
    assert_eq!(loaded, BTreeSet::from(["r4", "r5", "r6", "r7"]));
}

fn scaled_routes() -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&routes(false));
    let bounds = ScalingBounds {
        min: 1,
        max: 9,
        start_time: Duration::from_secs(1),
        zone_prices: BTreeMap::new(),
        preemptible_price: None,
    };
    if let Some(service) = table.services.get_mut("engines") {
        service.scaling = Some(bounds);
    }
    Arc::new(table)
}

/// The load of an evacuated zone is replaced by orders in the other zones.
#[test]
fn replicas_are_ordered_only_in_zones_that_are_not_evacuated() {
    let duties = DutyConfig { usage: None, scaling: Some(ScalingPolicy::default()) };
    let config = ControllerConfig { duties, ..ControllerConfig::default() };
    let mut harness =
        OwnerHarness::with_lease(lease_of("node-1"), config, Ledger::default(), false, &replicas());
    harness.controller.update(at(0), Some(scaled_routes()), &table(&replicas()), &BTreeMap::new());
    harness.controller.tick_duties(at(0), WallTime(0));
    harness.submit(at(0), job("job", 6, 0));
    harness.controller.set_evacuated(at(100), zones(&ZONES[..1]));
    for now_ms in (12_000..16_000).step_by(250) {
        harness.controller.tick_duties(at(now_ms), WallTime(now_ms));
        harness.commit_appends(at(now_ms));
    }
    let ordered: BTreeMap<&str, u32> = harness
        .calls
        .iter()
        .filter_map(|call| match call {
            DutyCall::Scale(order) => Some((order.zone.as_str(), order.desired)),
            DutyCall::Usage { .. } => None,
        })
        .collect();
    assert!(!ordered.contains_key(ZONES[0]), "{ordered:?}");
    assert!(ordered.values().any(|desired| *desired > 1), "{ordered:?}");
}
