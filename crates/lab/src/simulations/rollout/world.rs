//! One run: a world, its faults, and what the checks found.

use std::time::Duration;

use lichenpulley_core::identity::{JobId, PoolName};
use lichenpulley_core::replication::proposer::ProposerChecks;
use lichenpulley_core::rollout::{ControllerChecks, ControllerConfig, JobSpecification, Slot, TokenCounts};
use lichenpulley_simulation::{FaultPlan, FaultRates, LinkQuality, ProcessId, Simulation, process_kinds};

use super::engine::Engine;
use super::message::{ENGINES, Message, OWNERS, STORES, TRAINER};
use super::owner::{Owner, OwnerSetup};
use super::store::Store;
use super::trainer::Trainer;
use super::violation::Violation;
use crate::simulations::ScheduleReport;

/// Faults fall during this time.
const FAULTY: Duration = Duration::from_secs(8);
/// A job that has not finished so long after the last fault never will.
const RECOVERY: Duration = Duration::from_secs(120);
/// Attempts of the job at once.
const MAX_IN_FLIGHT: usize = 6;
/// The job's staleness bound, in versions.
const STALENESS_BOUND: u64 = 1;
/// How often faults fall, and how long an outage, freeze or cut may last.
const FAULT_RATES: FaultRates =
    FaultRates { mean_interval: Duration::from_millis(250), longest_outage: Duration::from_millis(700) };

process_kinds! {
    /// A process of the world.
    pub(super) enum WorldProcess(Message) {
        Store(Store),
        Owner(Owner),
        Engine(Engine),
        Trainer(Trainer),
    }
}

/// Mechanisms of the world. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Those of the job's owner.
    pub owner: ControllerChecks,
    /// Those of the log's proposer.
    pub log: ProposerChecks,
    /// Stores refuse an owner that has been superseded.
    pub fencing: bool,
    /// Versions are taken from each chunk, not from the first one.
    pub versions_by_chunk: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            owner: ControllerChecks::default(),
            log: ProposerChecks::default(),
            fencing: true,
            versions_by_chunk: true,
        }
    }
}

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Broken invariants.
    pub violations: Vec<Violation>,
    /// Faults that fell.
    pub faults: usize,
    /// Messages delivered.
    pub messages: u64,
    /// Slots that the trainer saved.
    pub saved: usize,
    /// Times that an owner began to take the job over.
    pub takeovers: u64,
    /// Times that an owner found itself superseded.
    pub superseded: u64,
    /// Batches voided at hand-over.
    pub voided: u64,
    /// Slots reopened at hand-over.
    pub reopened: u64,
    /// What became of the tokens.
    pub tokens: TokenCounts,
}

impl RunReport {
    /// Adds the counts of another run; violations are left as they are.
    pub fn add(&mut self, other: &Self) {
        self.faults += other.faults;
        self.messages += other.messages;
        self.saved += other.saved;
        self.takeovers += other.takeovers;
        self.superseded += other.superseded;
        self.voided += other.voided;
        self.reopened += other.reopened;
        self.tokens.add(&other.tokens);
    }
}

/// Runs one schedule to its end.
pub fn run_seed(seed: u64, mechanisms: Mechanisms) -> RunReport {
    let specification = specification();
    let mut world = build(seed, mechanisms, &specification);
    let targets: Vec<ProcessId> = world.ids().collect();
    let plan = FaultPlan::draw(seed, &targets, FAULTY, FAULT_RATES);
    world.run_plan(&plan, WorldProcess::restarted);
    settle(&mut world);
    let deadline = world.now() + RECOVERY;
    world.run_until_condition(deadline, |world| trainer(world).is_some_and(Trainer::is_finished));
    report(&world, &specification, plan.faults().len())
}

fn specification() -> JobSpecification {
    JobSpecification {
        job: JobId::new("simulated"),
        pool: PoolName::new("pool"),
        prompts: (0..4).map(|number| format!("prompt {number}")).collect(),
        samples_per_prompt: 2,
        steps: 4,
        max_tokens: 200,
        staleness_bound: STALENESS_BOUND,
        idle_weight_percent: 50,
    }
}

fn build(seed: u64, mechanisms: Mechanisms, specification: &JobSpecification) -> Simulation<WorldProcess> {
    let config = ControllerConfig {
        max_in_flight: MAX_IN_FLIGHT,
        retry_delay: Duration::from_millis(30),
        attempt_timeout: Duration::from_secs(3),
        checks: mechanisms.owner,
        ..ControllerConfig::default()
    };
    let setup = OwnerSetup {
        specification: specification.clone(),
        config,
        versions_by_chunk: mechanisms.versions_by_chunk,
        log: mechanisms.log,
    };
    let mut world = Simulation::new(seed, LinkQuality::POOR);
    for number in 0..STORES {
        world.add(Store::new(number, mechanisms.fencing).into());
    }
    for number in 0..OWNERS {
        world.add(Owner::new(number, setup.clone()).into());
    }
    for number in 0..ENGINES as u64 {
        world.add(Engine::new(seed.wrapping_mul(31).wrapping_add(number)).into());
    }
    world.add(Trainer::new(seed, STALENESS_BOUND).into());
    world
}

fn settle(world: &mut Simulation<WorldProcess>) {
    while world.interact_as(TRAINER, |trainer: &mut Trainer, _, _| trainer.settle()).is_none() {
        world.run_for(Duration::from_millis(50));
    }
}

fn trainer(world: &Simulation<WorldProcess>) -> Option<&Trainer> {
    world.process_as(TRAINER)
}

fn report(world: &Simulation<WorldProcess>, specification: &JobSpecification, faults: usize) -> RunReport {
    let mut report = RunReport { faults, messages: world.delivered(), ..RunReport::default() };
    for id in world.ids() {
        let Some(owner) = world.process_as::<Owner>(id) else { continue };
        let counts = owner.counts();
        report.takeovers += counts.takeovers;
        report.superseded += counts.superseded;
        report.voided += counts.voided;
        report.reopened += counts.reopened;
        report.tokens.add(&counts.tokens);
    }
    let Some(trainer) = trainer(world) else { return report };
    report.saved = trainer.saved_slots().len();
    report.violations = trainer.violations().to_vec();
    let slots = (0..specification.steps).flat_map(|step| Slot::of_step(specification, step));
    let lost = slots.filter(|slot| !trainer.saved_slots().contains(slot));
    report.violations.extend(lost.map(|slot| Violation::Lost(slot.to_string())));
    report
}

/// Runs the schedule of a seed with every mechanism on.
pub(crate) fn run_schedule(seed: u64) -> ScheduleReport {
    let report = run_seed(seed, Mechanisms::default());
    ScheduleReport {
        violations: report.violations.iter().map(ToString::to_string).collect(),
        counts: vec![
            ("faults", report.faults as u64),
            ("messages delivered", report.messages),
            ("slots saved", report.saved as u64),
            ("takeovers", report.takeovers),
            ("owners superseded", report.superseded),
            ("batches voided", report.voided),
            ("slots reopened", report.reopened),
            ("tokens decided", report.tokens.decided),
            ("tokens cancelled while running", report.tokens.cancelled),
            ("tokens too old at decision", report.tokens.stale_at_decision),
            ("tokens too old at hand-over", report.tokens.stale_at_hand_over),
        ],
    }
}
