//! One run: a world, its faults, and what the checks found.

use std::time::Duration;

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_core::time::Timestamp;
use lichenpulley_core::weights::WaveConfig;
use lichenpulley_simulation::{FaultPlan, FaultRates, LinkQuality, ProcessId, Simulation, process_kinds};

use super::log::Log;
use super::message::{FIRST_OWNER, Message, OWNERS, PUBLISHER, WEIGHT_STORE};
use super::owner::Owner;
use super::publisher::Publisher;
use super::replica::Replica;
use super::weight_store::WeightStore;
use crate::simulations::ScheduleReport;

/// Faults fall during this time.
const FAULTY: Duration = Duration::from_secs(25);
/// A wave that is not done so long after the last fault never will be.
const RECOVERY: Duration = Duration::from_secs(300);
/// Time between two publications.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Versions published in a run with faults.
const VERSIONS: u64 = 8;

process_kinds! {
    /// A process of the world.
    pub(super) enum WorldProcess(Message) {
        Log(Log),
        WeightStore(WeightStore),
        Publisher(Publisher),
        Owner(Owner),
        Replica(Replica),
    }
}

/// What a wave has to move, and how fast that goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaveSize {
    /// Replicas of the pool.
    pub replicas: usize,
    /// Size of one version, in bytes.
    pub weight_bytes: f64,
    /// The weight store's rate, in bytes a second, shared by all fetches.
    pub store_bytes_per_second: f64,
    /// The most that one replica can receive, in bytes a second.
    pub link_bytes_per_second: f64,
    /// Time that a replica takes to swap what it has fetched.
    pub swap_time: Duration,
    /// Share of swaps that fail partway.
    pub swap_failure: f64,
}

impl WaveSize {
    /// The least time in which the store's rate lets all replicas have a version, without swaps.
    pub fn least_time(&self) -> Duration {
        let seconds = self.replicas as f64 * self.weight_bytes / self.store_bytes_per_second;
        Duration::from_secs_f64(seconds)
    }
}

/// Mechanisms of the world. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Replicas refuse an owner that has been superseded.
    pub fencing: bool,
    /// The record of an order is kept before the order is sent.
    pub commit_before_order: bool,
    /// How soon an owner with nothing to record finds out that it has been superseded.
    pub barrier_interval: Duration,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self { fencing: true, commit_before_order: true, barrier_interval: Duration::from_secs(1) }
    }
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// More replicas fetched at once than allowed.
    TooManyFetches {
        /// The most at once.
        most: usize,
        /// How many are allowed.
        limit: usize,
    },
    /// An order took a running replica back to an older version.
    WentBack,
    /// Replicas that did not have the last version in the end.
    Behind(usize),
}

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Broken invariants.
    pub violations: Vec<Violation>,
    /// Faults that fell.
    pub faults: usize,
    /// The most fetches at once.
    pub most_fetches: usize,
}

/// Runs one schedule of kills, freezes and cuts of owners and replicas, with a few publications.
pub fn run_seed(seed: u64, mechanisms: Mechanisms) -> RunReport {
    let size = WaveSize {
        replicas: 12,
        weight_bytes: 1e9,
        store_bytes_per_second: 4e9,
        link_bytes_per_second: 1e9,
        swap_time: Duration::from_millis(100),
        swap_failure: 0.1,
    };
    let config = WaveConfig {
        max_concurrent_loads: 4,
        poll_interval: Duration::from_millis(100),
        order_interval: Duration::from_millis(500),
        sweep_interval: Duration::from_secs(2),
        barrier_interval: mechanisms.barrier_interval,
        commit_before_order: mechanisms.commit_before_order,
        ..WaveConfig::default()
    };
    let mut world = build(seed, size, config, mechanisms.fencing, VERSIONS);
    world.set_link(LinkQuality::POOR);
    let targets: Vec<ProcessId> = world.ids().filter(|id| id.0 >= FIRST_OWNER).collect();
    let rates =
        FaultRates { mean_interval: Duration::from_millis(700), longest_outage: Duration::from_secs(4) };
    let plan = FaultPlan::draw(seed, &targets, FAULTY, rates);
    world.run_plan(&plan, WorldProcess::restarted);
    let deadline = world.now() + RECOVERY;
    world.run_until_condition(deadline, all_have_the_last);
    report(&world, config.loading_limit(size.replicas), plan.faults().len())
}

/// The time from a publication until all replicas have the version, without faults.
pub fn time_until_all(size: WaveSize, config: WaveConfig) -> Option<Duration> {
    let mut world = build(1, size, config, true, 1);
    let deadline = world.now() + Duration::from_secs(3_600);
    world.run_until_condition(deadline, all_have_the_last).then(|| world.now() - Timestamp::ORIGIN)
}

fn build(
    seed: u64,
    size: WaveSize,
    config: WaveConfig,
    fencing: bool,
    versions: u64,
) -> Simulation<WorldProcess> {
    let mut world = Simulation::new(seed, LinkQuality::GOOD);
    world.add(Log::default().into());
    world.add(WeightStore::new(size).into());
    world.add(Publisher::new(seed, versions, PUBLISH_INTERVAL).into());
    for number in 0..OWNERS {
        world.add(Owner::new(config, size.replicas, number == 0).into());
    }
    for number in 0..size.replicas as u64 {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number);
        world.add(Replica::new(seed, size, fencing).into());
    }
    world
}

fn all_have_the_last(world: &Simulation<WorldProcess>) -> bool {
    last_version(world).is_some_and(|version| behind(world, version) == 0)
}

fn last_version(world: &Simulation<WorldProcess>) -> Option<WeightVersion> {
    world.process_as::<Publisher>(PUBLISHER)?.finished()
}

fn replicas(world: &Simulation<WorldProcess>) -> impl Iterator<Item = &Replica> {
    world.ids().filter_map(|id| world.process_as(id))
}

fn behind(world: &Simulation<WorldProcess>, version: WeightVersion) -> usize {
    replicas(world).filter(|replica| replica.loaded() != Some(version)).count()
}

fn report(world: &Simulation<WorldProcess>, limit: usize, faults: usize) -> RunReport {
    let mut report = RunReport { faults, ..RunReport::default() };
    if let Some(store) = world.process_as::<WeightStore>(WEIGHT_STORE) {
        report.most_fetches = store.most_fetches();
    }
    if report.most_fetches > limit {
        let most = report.most_fetches;
        report.violations.push(Violation::TooManyFetches { most, limit });
    }
    if replicas(world).any(|replica| replica.went_back() > 0) {
        report.violations.push(Violation::WentBack);
    }
    let behind = last_version(world).map_or(usize::MAX, |version| behind(world, version));
    if behind > 0 {
        report.violations.push(Violation::Behind(behind));
    }
    report
}

/// Runs the schedule of a seed with every mechanism on.
pub(crate) fn run_schedule(seed: u64) -> ScheduleReport {
    let report = run_seed(seed, Mechanisms::default());
    ScheduleReport {
        violations: report.violations.iter().map(|violation| format!("{violation:?}")).collect(),
        counts: vec![("faults", report.faults as u64)],
    }
}
