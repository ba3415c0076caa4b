//! How fast a change spreads over many simulated nodes, and how many bytes that takes.

use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Config;
use lichenpulley_core::configuration::document::{Document, Update};
use lichenpulley_core::identity::Revision;
use lichenpulley_simulation::LinkQuality;
use speedy::Writable;

use super::machine::Machine;
use super::node::Node;
use super::world::{World, WorldOptions};
use crate::arguments::{parse, value_or};
use crate::error::LabError;

/// Simulated time of one measurement.
const DURATION: Duration = Duration::from_secs(300);
/// How long the cut lasts.
const CUT: Duration = Duration::from_secs(30);
/// Changes of configuration a day in the letter on sizes.
const CHANGES_A_DAY: f64 = 1_300.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Settings in the tree whose snapshot is measured.
const SNAPSHOT_SETTINGS: usize = 2_000;

/// What one measurement gave.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Nodes.
    pub nodes: usize,
    /// Changes accepted.
    pub changes: usize,
    /// From the operator's answer until the change was in force on every running, connected node: median.
    pub median: Duration,
    /// The same, longest.
    pub longest: Duration,
    /// From the end of a cut until the nodes that were cut off had what they missed.
    pub after_cut: Option<Duration>,
    /// Bytes of dissemination messages a node sent for one change, on average.
    pub bytes_a_change: f64,
    /// Bytes a second that the revision adds to a node's heartbeats.
    pub heartbeat_bytes_a_second: f64,
    /// The most readers of a region at once.
    pub most_readers: usize,
    /// Requests of the object API a second.
    pub platform_requests_a_second: f64,
    /// Violations of what must hold.
    pub violations: usize,
}

/// `lichenpulley-lab measure-configuration`.
///
/// # Errors
/// When the command line is wrong, or a run violates what must hold.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "seed of the runs (default 1)", "N");
    options.optflag("h", "help", "print this help and end");
    let Some(matches) = parse("measure-configuration", &options, arguments)? else { return Ok(()) };
    let seed: u64 = value_or(&matches, "seed", "1")?;
    println!(
        "nodes link      told cut  changes  median ms  longest ms  after cut ms  B/change  \
         heartbeat B/s  control B/s  readers  platform req/s  violations"
    );
    let mut violations = 0;
    for (link_name, link) in [("good", LinkQuality::GOOD), ("10% loss", LinkQuality::POOR)] {
        for fanout in [0, 3] {
            for nodes in [10, 50, 100, 200, 410] {
                let measured = measure(seed, nodes, link, fanout, false);
                violations += measured.violations;
                print(&measured, link_name, fanout, false);
            }
        }
    }
    let measured = measure(seed, 410, LinkQuality::POOR, 3, true);
    violations += measured.violations;
    print(&measured, "10% loss", 3, true);
    println!("snapshot of {SNAPSHOT_SETTINGS} settings: {} bytes", snapshot_bytes(SNAPSHOT_SETTINGS));
    if violations > 0 {
        return Err(LabError::CheckFailed(format!("{violations} violations; run simulate-configuration")));
    }
    Ok(())
}

fn print(measured: &Measurement, link: &str, fanout: usize, cut: bool) {
    let control = measured.bytes_a_change * CHANGES_A_DAY / SECONDS_A_DAY + measured.heartbeat_bytes_a_second;
    let after_cut = measured.after_cut.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string());
    println!(
        "{:5} {link:9} {fanout:4} {:3}  {:7}  {:9}  {:10}  {after_cut:>12}  {:8.0}  {:13.1}  {control:11.1}  {:7}  {:14.2}  {:10}",
        measured.nodes,
        if cut { "yes" } else { "no" },
        measured.changes,
        measured.median.as_millis(),
        measured.longest.as_millis(),
        measured.bytes_a_change,
        measured.heartbeat_bytes_a_second,
        measured.most_readers,
        measured.platform_requests_a_second,
        measured.violations,
    );
}

/// Measures one size. With a cut, half of the nodes are cut off for `CUT` in the middle of the run.
pub fn measure(seed: u64, nodes: usize, link: LinkQuality, fanout: usize, cut: bool) -> Measurement {
    let options = WorldOptions {
        nodes,
        operators: 1,
        mean_pause: Duration::from_secs(4),
        link,
        rates: None,
        platform_faults: None,
        dissemination: Config { fanout, ..Config::default() },
        ..WorldOptions::default()
    };
    let mut world = World::new(seed, options);
    let mut after_cut = None;
    if cut {
        world.run_quietly(DURATION / 2);
        // Every second node is of the second region.
        let region: Vec<usize> = (0..nodes).filter(|number| number % 2 == 1).collect();
        world.cut_off(&region);
        world.run_quietly(CUT);
        world.heal();
        after_cut = Some(time_until_caught_up(&mut world, &region));
        world.run_quietly(DURATION / 2);
    } else {
        world.run_quietly(DURATION);
    }
    summarize(&world, nodes, after_cut)
}

/// Time until every node of a group has what was in force on the others when the cut ended.
fn time_until_caught_up(world: &mut World, group: &[usize]) -> Duration {
    let step = Duration::from_millis(100);
    let target = world.nodes().filter_map(Node::revision).max().unwrap_or_default();
    let mut waited = Duration::ZERO;
    let behind = |world: &World| {
        let mut nodes = world.nodes().enumerate().filter(|(number, _)| group.contains(number));
        nodes.any(|(_, node)| node.revision().is_none_or(|revision| revision < target))
    };
    while behind(world) && waited < DURATION {
        world.run_quietly(step);
        waited += step;
    }
    waited
}

fn summarize(world: &World, nodes: usize, after_cut: Option<Duration>) -> Measurement {
    let report = world.report();
    let mut times = report.spread_times.clone();
    times.sort_unstable();
    let seconds = world.simulation().now().as_micros() as f64 / 1e6;
    let messages: u64 = world.nodes().map(Node::message_bytes).sum();
    let heartbeats: u64 = world.nodes().map(Node::heartbeat_bytes).sum();
    let platform = world.simulation().process(super::packet::PLATFORM);
    let requests = platform.platform().map_or(0, super::platform::Platform::requests);
    Measurement {
        nodes,
        changes: report.ends.accepted,
        median: times.get(times.len() / 2).copied().unwrap_or_default(),
        longest: times.last().copied().unwrap_or_default(),
        after_cut,
        bytes_a_change: messages as f64 / nodes as f64 / report.ends.accepted.max(1) as f64,
        heartbeat_bytes_a_second: heartbeats as f64 / nodes as f64 / seconds,
        most_readers: report.most_readers,
        platform_requests_a_second: requests as f64 / seconds,
        violations: report.violations.len(),
    }
}

/// Bytes of a whole tree as a starting node pulls it.
fn snapshot_bytes(settings: usize) -> usize {
    let entry = |number: usize| (format!("/ramsaran/pool-{number:04}#staleness_bound"), "4".to_owned());
    let document = Document::new(Revision(1), (0..settings).map(entry).collect());
    Update::Snapshot(document).write_to_vec().map_or(0, |bytes| bytes.len())
}

impl World {
    /// The nodes, by number.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        let processes = self.simulation().ids();
        processes.filter_map(|process| Machine::node(self.simulation().process(process)))
    }
}
