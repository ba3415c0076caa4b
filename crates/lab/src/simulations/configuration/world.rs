//! One run: nodes, platform and operators under one seed's faults, with the checks after every step.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::{Ablation, Config, region_of};
use lichenpulley_core::identity::{Revision, ZoneName};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Fault, FaultPlan, FaultRates, LinkQuality, ProcessId, Simulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::checks::{self, Violation};
use super::machine::Machine;
use super::membership::{Reachability, Views};
use super::node::{Node, NodeOptions};
use super::operator::{ChangeEnd, ChangeRecord, Operator};
use super::packet::{PLATFORM, node_process};
use super::platform::{Platform, PlatformFaults};
use super::report::RunReport;

/// Time between two looks at the world.
const STEP: Duration = Duration::from_millis(100);
/// Time between two looks of the failure detector.
const VIEW_STEP: Duration = Duration::from_millis(250);
/// After the last fault the system has so long to converge.
const RECOVERY: Duration = Duration::from_secs(60);
/// Readers are counted once no node and no cut has come or gone for so long.
const VIEWS_SETTLED: Duration = Duration::from_secs(10);

/// A mechanism that is off in a run, to show that the checks find its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SwitchedOff {
    /// Everything is on.
    #[default]
    Nothing,
    /// The platform does not look at the base version of a write.
    BaseVersion,
    /// Writers do not look for the change's id.
    ChangeIds,
    /// Nodes take in whatever arrives.
    MonotoneGuard,
    /// Nodes put a revision in force without a majority of the quorum set, and start without asking it.
    Quorum,
}

/// How a run is drawn.
#[derive(Clone, Debug)]
pub struct WorldOptions {
    /// Nodes.
    pub nodes: usize,
    /// Regions, over which the nodes are spread, each with three zones.
    pub regions: usize,
    /// Operators.
    pub operators: u64,
    /// Mean pause of an operator between two changes.
    pub mean_pause: Duration,
    /// Time during which faults fall.
    pub duration: Duration,
    /// How the network treats messages while faults fall.
    pub link: LinkQuality,
    /// How often nodes are killed, frozen and cut off; `None` for never.
    pub rates: Option<FaultRates>,
    /// Mean time between two faults of the platform; `None` for never.
    pub platform_faults: Option<Duration>,
    /// An accepted change must be in force everywhere after this.
    pub in_force_within: Duration,
    /// What is off.
    pub switched_off: SwitchedOff,
    /// How documents spread.
    pub dissemination: Config,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            nodes: 12,
            regions: 2,
            operators: 3,
            mean_pause: Duration::from_secs(3),
            duration: Duration::from_secs(120),
            link: LinkQuality::POOR,
            rates: Some(FaultRates {
                mean_interval: Duration::from_secs(6),
                longest_outage: Duration::from_secs(15),
            }),
            platform_faults: Some(Duration::from_secs(15)),
            in_force_within: Duration::from_secs(13),
            switched_off: SwitchedOff::Nothing,
            dissemination: Config::default(),
        }
    }
}

/// An accepted change on its way to every node.
struct Spreading {
    revision: Revision,
    accepted_at: Timestamp,
    /// Nodes that had it in force when it was accepted.
    sources: Vec<usize>,
    platform_up: bool,
}

/// One run.
pub struct World {
    seed: u64,
    options: WorldOptions,
    simulation: Simulation<Machine>,
    views: Views,
    reachability: Reachability,
    /// Since when each node has been running and connected.
    healthy_since: Vec<Option<Timestamp>>,
    /// The highest revision that was ever in force on each node, with its life.
    highest: Vec<Option<(Revision, u64)>>,
    seen_log: Vec<(u64, usize)>,
    spreading: Vec<Spreading>,
    seen_records: Vec<usize>,
    /// When a node or a cut last came or went.
    last_change: Timestamp,
    views_due: Timestamp,
    report: RunReport,
}

impl World {
    /// Builds the processes of a run.
    pub fn new(seed: u64, options: WorldOptions) -> Self {
        let mut simulation = Simulation::new(seed, options.link);
        let checks_base = options.switched_off != SwitchedOff::BaseVersion;
        simulation.add(Machine::Platform(Box::new(Platform::new(seed, checks_base))));
        let node_options = node_options(&options);
        for number in 0..options.nodes {
            simulation.add(Machine::Node(Box::new(Node::new(number, 0, node_options.clone()))));
        }
        for number in 0..options.operators {
            let operator = Operator::new(number, options.nodes, options.mean_pause, seed);
            simulation.add(Machine::Operator(Box::new(operator)));
        }
        let zone = |number: usize| {
            ZoneName::new(format!(
                "region-{}/zone-{}",
                number % options.regions,
                number / options.regions % 3
            ))
        };
        Self {
            seed,
            views: Views::new((0..options.nodes).map(zone).collect()),
            reachability: Reachability { running: vec![true; options.nodes], cuts: Vec::new() },
            healthy_since: vec![Some(Timestamp::ORIGIN); options.nodes],
            highest: vec![None; options.nodes],
            seen_log: vec![(0, 0); options.nodes],
            spreading: Vec::new(),
            seen_records: vec![0; usize::try_from(options.operators).unwrap_or_default()],
            last_change: Timestamp::ORIGIN,
            views_due: Timestamp::ORIGIN,
            report: RunReport::default(),
            simulation,
            options,
        }
    }

    /// Runs a seed to its end.
    pub fn run(seed: u64, options: WorldOptions) -> RunReport {
        let mut world = Self::new(seed, options);
        let node_faults = world.draw_node_faults(seed);
        let platform_faults = world.draw_platform_faults(seed);
        let end = Timestamp::ORIGIN + world.options.duration;
        world.run_until(end, &node_faults, &platform_faults);
        world.recover();
        let recovered = world.simulation.now() + RECOVERY;
        world.run_until(recovered, &[], &[]);
        world.finish()
    }

    fn draw_node_faults(&self, seed: u64) -> Vec<(Timestamp, Fault)> {
        let Some(rates) = self.options.rates else { return Vec::new() };
        let targets: Vec<ProcessId> = (0..self.options.nodes).map(node_process).collect();
        FaultPlan::draw(seed, &targets, self.options.duration, rates).faults().to_vec()
    }

    /// Outages of the platform: short and long, slow ones, and times when replies are lost.
    fn draw_platform_faults(&self, seed: u64) -> Vec<(Timestamp, PlatformFaults)> {
        let Some(mean) = self.options.platform_faults else { return Vec::new() };
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
        let mut faults = Vec::new();
        let end = Timestamp::ORIGIN + self.options.duration;
        let mut at = Timestamp::ORIGIN;
        loop {
            at = at + random.random_range(Duration::ZERO..=mean * 2);
            if at >= end {
                return faults;
            }
            let long = random.random_bool(0.2);
            let length = Duration::from_millis(random.random_range(200..=8_000)) * if long { 5 } else { 1 };
            let fault = match random.random_range(0..3) {
                0 => PlatformFaults { down: true, ..PlatformFaults::default() },
                1 => PlatformFaults { slow: Duration::from_millis(1_500), ..PlatformFaults::default() },
                _ => PlatformFaults { lost_replies: 0.7, ..PlatformFaults::default() },
            };
            faults.push((at, fault));
            at = at + length;
            faults.push((at, PlatformFaults::default()));
        }
    }

    fn run_until(
        &mut self,
        end: Timestamp,
        node_faults: &[(Timestamp, Fault)],
        platform_faults: &[(Timestamp, PlatformFaults)],
    ) {
        let mut node_faults = node_faults.iter().peekable();
        let mut platform_faults = platform_faults.iter().peekable();
        while self.simulation.now() < end {
            let now = self.simulation.now();
            while let Some((_, fault)) = node_faults.next_if(|(at, _)| *at <= now) {
                self.apply(fault);
            }
            while let Some((_, faults)) = platform_faults.next_if(|(at, _)| *at <= now) {
                self.set_platform(*faults);
            }
            self.look();
            self.simulation.run_for(STEP);
        }
    }

    fn apply(&mut self, fault: &Fault) {
        self.report.faults += 1;
        self.last_change = self.simulation.now();
        match fault {
            Fault::CutOff(group) => {
                let group = group.iter().filter_map(|process| process.0.checked_sub(1)).collect();
                self.reachability.cuts.push(group);
            }
            Fault::Heal => self.reachability.cuts.clear(),
            Fault::Restart(process) if !self.simulation.is_alive(*process) => {
                if let Some(node) = process.0.checked_sub(1) {
                    self.views.restarted(node);
                    self.healthy_since[node] = None;
                }
            }
            Fault::Restart(_) | Fault::Kill(_) | Fault::Freeze(..) => {}
        }
        self.simulation.apply(fault, Machine::restarted);
    }

    fn set_platform(&mut self, faults: PlatformFaults) {
        self.report.faults += 1;
        if faults.down {
            for spreading in &mut self.spreading {
                spreading.platform_up = false;
            }
        }
        self.simulation.interact(PLATFORM, |machine, _, _| {
            if let Machine::Platform(platform) = machine {
                platform.set_faults(faults);
            }
        });
    }

    /// Ends every fault; operators finish what they have begun.
    fn recover(&mut self) {
        self.apply(&Fault::Heal);
        for node in 0..self.options.nodes {
            self.apply(&Fault::Restart(node_process(node)));
        }
        self.set_platform(PlatformFaults::default());
        self.simulation.set_link(LinkQuality::GOOD);
        let operators: Vec<ProcessId> = self.operator_processes().collect();
        for operator in operators {
            self.simulation.interact(operator, |machine, _, _| {
                if let Machine::Operator(operator) = machine {
                    operator.stop();
                }
            });
        }
    }

    fn operator_processes(&self) -> impl Iterator<Item = ProcessId> + use<> {
        let first = self.options.nodes + 1;
        let count = usize::try_from(self.options.operators).unwrap_or_default();
        (first..first + count).map(ProcessId)
    }

    fn node(&self, number: usize) -> Option<&Node> {
        self.simulation.process(node_process(number)).node()
    }

    /// Looks at every node and operator, and checks what must hold at any time.
    fn look(&mut self) {
        let now = self.simulation.now();
        for number in 0..self.options.nodes {
            let process = node_process(number);
            let running = self.simulation.is_alive(process) && !self.simulation.is_frozen(process);
            if std::mem::replace(&mut self.reachability.running[number], running) != running {
                self.last_change = now;
            }
            let connected = self.reachability.is_connected(number);
            let since = self.healthy_since[number].or(Some(now));
            self.healthy_since[number] = since.filter(|_| connected);
            self.look_at_log(number);
        }
        if self.views_due <= now {
            self.views_due = now + VIEW_STEP;
            self.update_views(now);
        }
        self.take_new_records(now);
        self.check_spreading(now);
        self.count_readers(now);
    }

    fn update_views(&mut self, now: Timestamp) {
        self.views.update(&self.reachability, now);
        for number in 0..self.options.nodes {
            let members = self.views.of(number);
            self.simulation.interact(node_process(number), |machine, now, outbox| {
                if let Machine::Node(node) = machine {
                    node.set_members(members, now, outbox);
                }
            });
        }
    }

    fn look_at_log(&mut self, number: usize) {
        let Some(node) = self.node(number) else { return };
        let life = node.life();
        let (seen_life, seen) = self.seen_log[number];
        let seen = if life == seen_life { seen } else { 0 };
        let news: Vec<Revision> = node.in_force_log()[seen..].iter().map(|(_, revision)| *revision).collect();
        self.seen_log[number] = (life, seen + news.len());
        for revision in news {
            let highest = self.highest[number];
            if let Some((from, highest_life)) = highest.filter(|(from, _)| *from > revision) {
                let restarted = highest_life != life;
                self.violate(Violation::WentBack { node: number, from, to: revision, restarted });
            }
            if highest.is_none_or(|(from, _)| from <= revision) {
                self.highest[number] = Some((revision, life));
            }
        }
    }

    fn violate(&mut self, violation: Violation) {
        self.report.violations.push((self.seed, violation));
    }

    /// Changes that operators were told are accepted begin to be watched.
    fn take_new_records(&mut self, now: Timestamp) {
        let operators: Vec<ProcessId> = self.operator_processes().collect();
        for (number, process) in operators.into_iter().enumerate() {
            let Some(operator) = self.simulation.process(process).operator() else { continue };
            let news: Vec<ChangeRecord> = operator.records()[self.seen_records[number]..].to_vec();
            self.seen_records[number] += news.len();
            for record in news {
                let report = &mut self.report;
                match record.end {
                    ChangeEnd::Accepted(revision) => {
                        report.accepted += 1;
                        self.begin_spreading(revision, now);
                    }
                    ChangeEnd::Conflict(_) => report.conflicts += 1,
                    ChangeEnd::NotWritten => report.not_written += 1,
                    ChangeEnd::Unknown => report.unknown += 1,
                }
            }
        }
    }

    fn begin_spreading(&mut self, revision: Revision, now: Timestamp) {
        let has = |number: &usize| self.has(*number, revision);
        let sources = (0..self.options.nodes).filter(has).collect();
        let platform = self.simulation.process(PLATFORM).platform();
        let platform_up = platform.is_some_and(|platform| !platform.faults().down);
        self.spreading.push(Spreading { revision, accepted_at: now, sources, platform_up });
    }

    fn has(&self, number: usize, revision: Revision) -> bool {
        self.node(number).and_then(Node::revision).is_some_and(|in_force| in_force >= revision)
    }

    fn check_spreading(&mut self, now: Timestamp) {
        let within = self.options.in_force_within;
        let spreading = std::mem::take(&mut self.spreading);
        let due = |change: &Spreading| now.saturating_since(change.accepted_at) >= within;
        let (due, rest): (Vec<Spreading>, Vec<Spreading>) = spreading.into_iter().partition(due);
        self.spreading = rest;
        for change in due {
            self.check_in_force(&change);
        }
    }

    /// Invariant: an accepted change is in force on every node that has been running and connected since it was
    /// accepted, if it could come from somewhere: a node that had it has been so too, or the platform has been up.
    fn check_in_force(&mut self, change: &Spreading) {
        let whole =
            |number: &usize| self.healthy_since[*number].is_some_and(|since| since <= change.accepted_at);
        let has_source = change.platform_up || change.sources.iter().any(whole);
        if !has_source {
            return;
        }
        let missing =
            (0..self.options.nodes).filter(whole).filter(|number| !self.has(*number, change.revision));
        let missing: Vec<usize> = missing.collect();
        for node in missing {
            let in_force = self.node(node).and_then(Node::revision);
            self.violate(Violation::NotInForce { node, revision: change.revision, in_force });
        }
    }

    fn count_readers(&mut self, now: Timestamp) {
        let mut readers: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..self.options.nodes {
            let reads = self.node(number).is_some_and(Node::is_reading);
            if reads && self.reachability.is_connected(number) {
                let region = region_of(self.views.zone(number)).to_owned();
                *readers.entry(region).or_default() += 1;
            }
        }
        let settled =
            now.saturating_since(self.last_change) >= VIEWS_SETTLED && self.reachability.cuts.is_empty();
        let allowed = self.options.dissemination.readers_per_region;
        for (region, count) in readers {
            self.report.most_readers = self.report.most_readers.max(count);
            if settled && count > allowed {
                self.violate(Violation::Readers { region, count });
            }
        }
    }

    fn finish(mut self) -> RunReport {
        let mut records: Vec<ChangeRecord> = Vec::new();
        for process in self.operator_processes() {
            let Some(operator) = self.simulation.process(process).operator() else { continue };
            records.extend(operator.records().iter().cloned());
            if let Some((change, called)) = operator.under_way() {
                let ended = self.simulation.now();
                records.push(ChangeRecord { change: change.clone(), called, ended, end: ChangeEnd::Unknown });
            }
        }
        let Some(platform) = self.simulation.process(PLATFORM).platform() else { return self.report };
        self.report.lost_replies = platform.lost_replies();
        let mut violations = checks::check_changes(&records, platform);
        let (_, register) = platform.register();
        let expected = register.document();
        for number in 0..self.options.nodes {
            let Some(node) = self.node(number) else { continue };
            let converged =
                node.revision() == Some(expected.revision()) && node.digest() == Some(expected.digest());
            if !converged {
                let (in_force, expected) = (node.revision(), expected.revision());
                violations.push(Violation::NotConverged { node: number, in_force, expected });
            }
        }
        violations.into_iter().for_each(|violation| self.violate(violation));
        self.report
    }
}

fn node_options(options: &WorldOptions) -> NodeOptions {
    let mut dissemination = options.dissemination.clone();
    dissemination.ablation = Ablation {
        without_monotone_guard: options.switched_off == SwitchedOff::MonotoneGuard,
        without_quorum: options.switched_off == SwitchedOff::Quorum,
    };
    NodeOptions { dissemination, forgets_change_ids: options.switched_off == SwitchedOff::ChangeIds }
}
