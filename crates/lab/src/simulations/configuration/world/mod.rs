//! One run: nodes, platform and operators under one seed's faults.
//!
//! Owns the processes, the faults that fall on them and what was observed. Relies on `observer` for the checks after
//! every step, and on [`checks`] for those at the end.
//!
//! [`checks`]: super::checks

mod observer;

use std::time::Duration;

use lichenpulley_core::identity::{Revision, ZoneName};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Fault, FaultPlan, LinkQuality, ProcessId, Simulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::checks::{self, Violation};
use super::membership::{Reachability, Views};
use super::node::Node;
use super::operator::{ChangeEnd, ChangeRecord, Operator};
use super::options::{SwitchedOff, WorldOptions};
use super::packet::{PLATFORM, node_process};
use super::platform::{Platform, PlatformFaults};
use super::process::WorldProcess;
use super::report::RunReport;

/// Time between two observations of the world.
const STEP: Duration = Duration::from_millis(100);
/// After the last fault the system has so long to converge.
const RECOVERY: Duration = Duration::from_secs(60);

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
    simulation: Simulation<WorldProcess>,
    views: Views,
    reachability: Reachability,
    /// Since when each node has been running and connected.
    healthy_since: Vec<Option<Timestamp>>,
    /// The highest revision that was ever in force on each node, with its incarnation.
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
        simulation.add(Platform::new(seed, checks_base).into());
        let node_options = options.node_options();
        for number in 0..options.nodes {
            simulation.add(Node::new(number, 0, node_options.clone()).into());
        }
        for number in 0..options.operators {
            let operator = Operator::new(number, options.nodes, options.mean_pause, seed);
            simulation.add(operator.into());
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
            self.observe();
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
        self.simulation.apply(fault, WorldProcess::restarted);
    }

    fn set_platform(&mut self, faults: PlatformFaults) {
        self.report.faults += 1;
        if faults.down {
            for spreading in &mut self.spreading {
                spreading.platform_up = false;
            }
        }
        self.simulation.interact_as(PLATFORM, |platform: &mut Platform, _, _| platform.set_faults(faults));
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
            self.simulation.interact_as(operator, |operator: &mut Operator, _, _| operator.stop());
        }
    }

    fn operator_processes(&self) -> impl Iterator<Item = ProcessId> + use<> {
        let first = self.options.nodes + 1;
        let count = usize::try_from(self.options.operators).unwrap_or_default();
        (first..first + count).map(ProcessId)
    }

    fn node(&self, number: usize) -> Option<&Node> {
        self.simulation.process_as(node_process(number))
    }

    fn finish(mut self) -> RunReport {
        let mut records: Vec<ChangeRecord> = Vec::new();
        for process in self.operator_processes() {
            let Some(operator) = self.simulation.process_as::<Operator>(process) else { continue };
            records.extend(operator.records().iter().cloned());
            if let Some((change, called)) = operator.under_way() {
                let ended = self.simulation.now();
                records.push(ChangeRecord { change: change.clone(), called, ended, end: ChangeEnd::Unknown });
            }
        }
        let Some(platform) = self.simulation.process_as::<Platform>(PLATFORM) else { return self.report };
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
