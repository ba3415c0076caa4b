//! Whole nodes that share one process, to see how what a node spends on control grows with the cluster.
//!
//! A hollow node is a `lichenpulleyd` without callers: membership, configuration, coordinator and ports are the real
//! ones, over loopback. What is measured is the process's processor time and memory and the nodes' own counters of
//! bytes, divided by the nodes; the platform's stand-ins run in the same process and are counted too.

mod cluster;
mod fit;
mod plot;
mod report;
mod usage;

use std::path::PathBuf;
use std::time::Duration;

use getopts::Options;

use self::cluster::HollowCluster;
use self::report::{Report, Row};
use self::usage::ProcessUsage;
use crate::arguments::{parse, value_or};
use crate::error::LabError;

/// Nodes and replicas of the users' first letter; smaller clusters get replicas in proportion.
const LETTER_NODES: usize = 410;
const LETTER_REPLICAS: usize = 870;

const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// How long the cluster rests after it has formed. The news of its own start is spread for about 0.7 s a node,
/// within the budget of updates; after a shorter rest it is measured too.
const DEFAULT_SETTLE_SECONDS: &str = "20";
const DEFAULT_MEASURE_SECONDS: &str = "20";
const DEFAULT_SIZES: &str = "1,10,50,100,200,410";

/// What to measure.
#[derive(Clone, Debug)]
struct HollowOptions {
    sizes: Vec<usize>,
    settle: Duration,
    measure: Duration,
    output: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
/// When an option is wrong, a node does not start, or a cluster does not form in time.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(options) = read_options(arguments)? else { return Ok(()) };
    let mut report = Report::default();
    for size in &options.sizes {
        let row = measure(*size, &options).await?;
        println!("{}", row.line());
        report.add(*size, row);
    }
    if let Some(folder) = &options.output {
        report.write(folder)?;
        println!("Written to {}.", folder.display());
    }
    println!("\n{}", report.fits());
    Ok(())
}

fn read_options(arguments: &[String]) -> Result<Option<HollowOptions>, LabError> {
    let mut options = Options::new();
    options.optopt("", "sizes", "numbers of nodes, in ascending order (default 1,10,50,100,200,410)", "N,N");
    options.optopt("", "settle", "seconds of rest after a cluster has formed (default 20)", "SECONDS");
    options.optopt("", "measure", "seconds that are measured (default 20)", "SECONDS");
    options.optopt("", "output", "write the figures as CSV and plots as SVG here", "FOLDER");
    options.optflag("h", "help", "print this help and end");
    let Some(matches) = parse("hollow", &options, arguments)? else { return Ok(None) };
    let sizes: String = value_or(&matches, "sizes", DEFAULT_SIZES)?;
    let sizes: Result<Vec<usize>, _> = sizes.split(',').map(str::parse).collect();
    let sizes = sizes.map_err(|error| LabError::Usage(format!("--sizes: {error}")))?;
    if sizes.is_empty() || sizes.contains(&0) {
        return Err(LabError::Usage("--sizes needs numbers above 0".to_owned()));
    }
    Ok(Some(HollowOptions {
        sizes,
        settle: Duration::from_secs(value_or(&matches, "settle", DEFAULT_SETTLE_SECONDS)?),
        measure: Duration::from_secs(value_or(&matches, "measure", DEFAULT_MEASURE_SECONDS)?),
        output: matches.opt_str("output").map(PathBuf::from),
    }))
}

async fn measure(nodes: usize, options: &HollowOptions) -> Result<Row, LabError> {
    let empty = ProcessUsage::now()?;
    let replicas = (LETTER_REPLICAS * nodes).div_ceil(LETTER_NODES);
    let cluster = HollowCluster::start(nodes, replicas).await?;
    tokio::time::sleep(options.settle).await;
    let traffic_before = cluster.traffic();
    let usage_before = ProcessUsage::now()?;
    tokio::time::sleep(options.measure).await;
    let usage = ProcessUsage::now()?;
    let traffic = cluster.traffic() - traffic_before;
    let change = cluster.time_one_change().await?;
    let node_seconds = nodes as f64 * options.measure.as_secs_f64();
    let processor = usage.processor - usage_before.processor;
    // Memory that an earlier, smaller cluster of this process had freed is used again and is missing here.
    let grown = usage.memory_bytes.saturating_sub(empty.memory_bytes);
    Ok(Row {
        nodes: nodes as f64,
        replicas: replicas as f64,
        membership_bytes_per_second: traffic.membership_bytes / node_seconds,
        request_bytes_per_second: traffic.request_bytes / node_seconds,
        request_frames_per_second: traffic.request_frames / node_seconds,
        processor_percent: processor.as_secs_f64() / node_seconds * 100.0,
        memory_mib: grown as f64 / MEBIBYTE / nodes as f64,
        process_memory_mib: usage.memory_bytes as f64 / MEBIBYTE,
        threads: usage.threads as f64,
        formed_seconds: cluster.formed_after().as_secs_f64(),
        change_in_force_seconds: change.as_secs_f64(),
        doubts: traffic.doubts,
    })
}
