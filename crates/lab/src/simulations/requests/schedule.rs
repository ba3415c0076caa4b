//! One schedule: callers, faults and orders drawn from a seed, run to its end and checked.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, Epoch, ReplicaId, RequestId, ShardId, WeightVersion};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::{Command, EngineRole, Order, StreamRequest};
use lichenpulley_simulation::{Fault, FaultPlan, FaultRates, LinkQuality, ProcessId, Simulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::checks::{self, Absence, OutcomeTally, Violation};
use super::claims::ClaimProcess;
use super::engine::{Admission, EngineProcess};
use super::gateway::GatewayProcess;
use super::mechanisms::Mechanisms;
use super::process::WorldProcess;
use super::submission::Submission;
use crate::engine::model::EngineConfig;

const ENGINES: usize = 5;
const GATEWAYS: usize = 4;
const CLAIM_REPLICAS: usize = 3;
/// Requests of a schedule, without what callers send again.
const REQUESTS: usize = 120;
/// Faults and new requests fall within this time.
const ACTIVE: Duration = Duration::from_secs(40);
/// Longest time that a request may take.
const DEADLINE: Duration = Duration::from_secs(20);
/// After the last fault, everything must come to its end within this time.
const SETTLING: Duration = Duration::from_secs(45);
/// Most tokens of an answer.
const MAX_TOKENS: u32 = 400;

/// What happens from outside, in the order of time.
#[derive(Clone, Debug)]
enum Act {
    Submit(Box<Submission>, usize),
    Fault(Fault),
    Drain(usize),
    Serve(usize),
    LoadWeights(usize, WeightVersion),
    Overload(usize, bool),
    Slow(usize, u32),
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct RequestSchedule {
    seed: u64,
    link: LinkQuality,
    acts: Vec<(Timestamp, Act)>,
    submissions: Vec<Submission>,
}

/// What a schedule showed.
#[derive(Debug)]
pub struct RunReport {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// What was done.
    pub tally: OutcomeTally,
}

impl RequestSchedule {
    /// Draws a schedule.
    pub fn draw(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let link = draw_link(&mut random);
        let mut schedule = Self { seed, link, acts: Vec::new(), submissions: Vec::new() };
        schedule.draw_submissions(&mut random);
        schedule.draw_faults(&mut random);
        schedule.draw_orders(&mut random);
        schedule.acts.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// Draws a schedule on a good network in which nothing fails and engines are drained while streams run.
    pub fn draw_drains(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut schedule = Self { seed, link: LinkQuality::GOOD, acts: Vec::new(), submissions: Vec::new() };
        schedule.draw_submissions(&mut random);
        for engine in 0..ENGINES {
            let from = draw_time(&mut random, ACTIVE);
            schedule.acts.push((from, Act::Drain(engine)));
            schedule.acts.push((from + Duration::from_secs(3), Act::Serve(engine)));
        }
        schedule.acts.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// Runs it and checks it.
    pub fn run(&self, mechanisms: Mechanisms) -> RunReport {
        let mut world = World::new(self, mechanisms);
        for (at, act) in &self.acts {
            world.simulation.run_until(*at);
            world.act(act);
        }
        let end = Timestamp::ORIGIN + ACTIVE + SETTLING;
        world.simulation.run_until(end);
        world.check(&self.submissions)
    }

    fn draw_submissions(&mut self, random: &mut Pcg64Mcg) {
        for number in 0..REQUESTS {
            let at = draw_time(random, ACTIVE);
            let repeatable = random.random_bool(0.6);
            let prompt = format!("seed {} request {number} {}", self.seed, "p".repeat(number % 5 * 64));
            let priority = if random.random_bool(0.5) { Priority::Live } else { Priority::Rollout };
            let stream = StreamRequest {
                attempt: AttemptId::new(""),
                prompt,
                prior_tokens: Vec::new(),
                max_tokens: random.random_range(1..=MAX_TOKENS),
                priority,
                seed: random.random(),
            };
            let request = RequestId::new(format!("request-{number}"));
            self.submit(at, &stream, &request, repeatable, random);
            // A caller that hears nothing, or is impatient, sends the same id again, mostly elsewhere.
            while random.random_bool(0.3) {
                let again = at + random.random_range(Duration::ZERO..Duration::from_secs(5));
                self.submit(again, &stream, &request, repeatable, random);
            }
        }
    }

    fn submit(
        &mut self,
        at: Timestamp,
        stream: &StreamRequest,
        request: &RequestId,
        repeatable: bool,
        random: &mut Pcg64Mcg,
    ) {
        let submission = Submission {
            number: self.submissions.len(),
            stream: stream.clone(),
            request: request.clone(),
            repeatable,
            deadline: at + DEADLINE,
        };
        self.submissions.push(submission.clone());
        self.acts.push((at, Act::Submit(Box::new(submission), random.random_range(0..GATEWAYS))));
    }

    fn draw_faults(&mut self, random: &mut Pcg64Mcg) {
        let targets: Vec<ProcessId> = (0..ENGINES + CLAIM_REPLICAS + GATEWAYS).map(ProcessId).collect();
        let rates = FaultRates {
            mean_interval: Duration::from_millis(random.random_range(800..6_000)),
            longest_outage: Duration::from_secs(8),
        };
        let plan = FaultPlan::draw(random.random(), &targets, ACTIVE, rates);
        for (at, fault) in plan.faults() {
            self.acts.push((*at, Act::Fault(fault.clone())));
        }
    }

    fn draw_orders(&mut self, random: &mut Pcg64Mcg) {
        for version in 2..=4 {
            for engine in 0..ENGINES {
                self.acts.push((draw_time(random, ACTIVE), Act::LoadWeights(engine, WeightVersion(version))));
            }
        }
        for _ in 0..2 {
            let engine = random.random_range(0..ENGINES);
            let from = draw_time(random, ACTIVE);
            self.acts.push((from, Act::Drain(engine)));
            let until = from + random.random_range(Duration::from_secs(1)..Duration::from_secs(15));
            self.acts.push((until, Act::Serve(engine)));
        }
        for _ in 0..2 {
            let engine = random.random_range(0..ENGINES);
            let from = draw_time(random, ACTIVE);
            let until = from + random.random_range(Duration::from_secs(1)..Duration::from_secs(5));
            self.acts.push((from, Act::Overload(engine, true)));
            self.acts.push((until, Act::Overload(engine, false)));
            self.acts.push((from, Act::Slow((engine + 1) % ENGINES, 800)));
            self.acts.push((until, Act::Slow((engine + 1) % ENGINES, 100)));
        }
        self.draw_collapse(random);
    }

    /// For some seconds the whole pool refuses.
    fn draw_collapse(&mut self, random: &mut Pcg64Mcg) {
        let from = draw_time(random, ACTIVE);
        let until = from + random.random_range(Duration::from_secs(1)..Duration::from_secs(8));
        for engine in 0..ENGINES {
            self.acts.push((from, Act::Overload(engine, true)));
            self.acts.push((until, Act::Overload(engine, false)));
        }
    }
}

fn draw_time(random: &mut Pcg64Mcg, within: Duration) -> Timestamp {
    Timestamp::ORIGIN + random.random_range(Duration::ZERO..within)
}

fn draw_link(random: &mut Pcg64Mcg) -> LinkQuality {
    LinkQuality {
        minimum_delay: Duration::from_micros(500),
        maximum_delay: Duration::from_millis(random.random_range(1..60)),
        loss: random.random_range(0.0..0.05),
        duplication: random.random_range(0.0..0.1),
    }
}

struct World {
    simulation: Simulation<WorldProcess>,
    engines: Vec<ProcessId>,
    gateways: Vec<ProcessId>,
    absences: Vec<Absence>,
    epoch: Epoch,
    tally: OutcomeTally,
}

impl World {
    fn new(schedule: &RequestSchedule, mechanisms: Mechanisms) -> Self {
        let mut simulation = Simulation::new(schedule.seed, schedule.link);
        let engines: Vec<ProcessId> = (0..ENGINES)
            .map(|number| {
                let mut config = EngineConfig::new(ReplicaId::new(format!("engine-{number}")));
                config.capacity = 4;
                config.queue_limit = 4;
                config.step_time = Duration::from_millis(20);
                simulation.add(EngineProcess::new(config).into())
            })
            .collect();
        let claims: Vec<ProcessId> =
            (0..CLAIM_REPLICAS).map(|_| simulation.add(ClaimProcess::default().into())).collect();
        let by_replica: BTreeMap<ReplicaId, ProcessId> = engines
            .iter()
            .enumerate()
            .map(|(number, id)| (ReplicaId::new(format!("engine-{number}")), *id))
            .collect();
        let gateways = (0..GATEWAYS)
            .map(|number| {
                let gateway = GatewayProcess::new(
                    format!("gateway{number}"),
                    by_replica.clone(),
                    claims.clone(),
                    mechanisms,
                    schedule.seed + number as u64,
                );
                simulation.add(gateway.into())
            })
            .collect();
        let tally = OutcomeTally::default();
        Self { simulation, engines, gateways, absences: Vec::new(), epoch: Epoch(0), tally }
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::Submit(submission, gateway) => self.submit(submission, *gateway),
            Act::Fault(fault) => self.fault(fault),
            Act::Drain(engine) => self.change_role(*engine, EngineRole::Draining),
            Act::Serve(engine) => self.change_role(*engine, EngineRole::Serving),
            Act::LoadWeights(engine, weight_version) => {
                let order = self.order(Command::LoadWeights { weight_version: *weight_version });
                self.with_engine(*engine, |engine, now| engine.load_weights(now, &order));
            }
            Act::Overload(engine, refusing) => {
                self.with_engine(*engine, |engine, _| engine.model().set_refusing(*refusing));
            }
            Act::Slow(engine, percent) => {
                self.with_engine(*engine, |engine, _| engine.model().set_step_percent(*percent));
            }
        }
    }

    fn submit(&mut self, submission: &Submission, gateway: usize) {
        let id = self.gateways[gateway];
        // A caller finds no connection to a gateway that is dead or frozen, and asks the next.
        let reached = self
            .gateways
            .iter()
            .cycle()
            .skip(gateway)
            .take(GATEWAYS)
            .find(|id| self.simulation.is_alive(**id) && !self.simulation.is_frozen(**id));
        let id = reached.copied().unwrap_or(id);
        self.simulation.interact_as(id, |gateway: &mut GatewayProcess, now, outbox| {
            gateway.submit(submission.clone(), now, outbox);
        });
        self.tally.submitted += 1;
    }

    fn fault(&mut self, fault: &Fault) {
        self.tally.faults += 1;
        let now = self.simulation.now();
        match fault {
            Fault::Kill(id) => self.note_absence(*id, now),
            Fault::Restart(id) => self.note_return(*id, now),
            _ => {}
        }
        self.simulation.apply(fault, WorldProcess::restarted);
    }

    fn change_role(&mut self, engine: usize, role: EngineRole) {
        let order = self.order(Command::ChangeRole { role });
        let now = self.simulation.now();
        let reached = self.with_engine(engine, |engine, now| engine.order(now, &order));
        if !reached {
            return;
        }
        match role {
            EngineRole::Draining => self.note_absence(self.engines[engine], now),
            EngineRole::Serving => self.note_return(self.engines[engine], now),
        }
    }

    fn with_engine(&mut self, engine: usize, act: impl FnOnce(&mut EngineProcess, Timestamp)) -> bool {
        self.simulation.interact_as(self.engines[engine], |engine, now, _| act(engine, now)).is_some()
    }

    fn order(&mut self, command: Command) -> Order {
        self.epoch = self.epoch.next();
        Order { shard: ShardId::new("weights/pool"), epoch: self.epoch, command }
    }

    fn note_absence(&mut self, id: ProcessId, from: Timestamp) {
        let Some(engine) = self.simulation.process_as::<EngineProcess>(id) else { return };
        let replica = engine.replica().clone();
        let is_away =
            self.absences.iter().any(|absence| absence.replica == replica && absence.until.is_none());
        if !is_away {
            self.absences.push(Absence { replica, from, until: None });
        }
    }

    fn note_return(&mut self, id: ProcessId, until: Timestamp) {
        let Some(engine) = self.simulation.process_as::<EngineProcess>(id) else { return };
        let replica = engine.replica().clone();
        for absence in &mut self.absences {
            if absence.replica == replica && absence.until.is_none() {
                absence.until = Some(until);
            }
        }
    }

    fn check(mut self, submissions: &[Submission]) -> RunReport {
        let mut violations = Vec::new();
        let admissions: Vec<Admission> = self
            .engines
            .iter()
            .filter_map(|id| self.simulation.process_as::<EngineProcess>(*id))
            .flat_map(|engine| engine.admissions.clone())
            .collect();
        self.tally.admissions = admissions.len() as u64;
        let mut answer_count = 0;
        let mut running = 0;
        for id in &self.gateways {
            let Some(gateway) = self.simulation.process_as::<GatewayProcess>(*id) else { continue };
            running += if self.simulation.is_alive(*id) { gateway.running() } else { 0 };
            for answered in &gateway.answers {
                answer_count += 1;
                self.tally.count_outcome(&answered.outcome);
                checks::check_answered(answered, &submissions[answered.number], &admissions, &mut violations);
            }
            checks::check_leaving(&gateway.sent, &self.absences, &mut violations);
        }
        if running > 0 {
            violations.push(Violation::NeverAnswered { requests: running });
        }
        self.tally.gateway_died = self.tally.submitted - answer_count;
        checks::check_at_most_once(submissions, &admissions, &mut violations);
        RunReport { violations, tally: self.tally }
    }
}
