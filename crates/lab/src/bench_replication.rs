//! What the replicated log and the claims cost on this machine: three nodes in one process, each with a real file.

use std::time::{Duration, Instant};

use futures::future::join_all;
use futures::stream::{self, StreamExt};
use lichenpulley_core::identity::{AttemptId, RequestId, ShardId};
use lichenpulley_daemon::cluster::Roles;
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;
use lichenpulley_daemon::store::claims::{ClaimOutcome, claim};
use lichenpulley_daemon::store::shard_log::ShardLog;
use tempfile::TempDir;

use crate::arguments::{help_option, parse, value_or};
use crate::error::LabError;
use crate::object_api;

const ZONES: [&str; 3] = ["sando-hall", "couva-room", "pointe-rack"];
/// The letter's size: trainers, and samples of a step of each.
const TRAINERS: usize = 3;
const SAMPLES_PER_STEP: usize = 4_096;
/// Samples that an owner appends at once.
const SAMPLES_PER_APPEND: usize = 32;
/// Samples between two snapshots, as when a trainer's cursor passes a quarter of a step.
const SAMPLES_PER_SNAPSHOT: usize = SAMPLES_PER_STEP / 4;
const TAKE_OVERS: usize = 20;
const CLAIMS: usize = 2_000;
const CLAIMS_AT_ONCE: usize = 64;

struct Rig {
    nodes: Vec<Node>,
    _folders: Vec<TempDir>,
    _api: object_api::ObjectApi,
}

/// Measures and prints.
///
/// # Errors
/// When a node can't be started or a call fails.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = help_option();
    options.optopt("", "sample-bytes", "bytes of one sample's record (default 8192)", "BYTES");
    let Some(matches) = parse("bench-replication", &options, arguments)? else { return Ok(()) };
    let sample_bytes: usize = value_or(&matches, "sample-bytes", "8192")?;
    let rig = start().await?;
    measure_appends(&rig, sample_bytes).await?;
    measure_take_overs(&rig).await?;
    measure_claims(&rig).await
}

fn failed(error: impl std::fmt::Display) -> LabError {
    LabError::Part { part: "replication", message: error.to_string() }
}

async fn start() -> Result<Rig, LabError> {
    let api = object_api::start(object_api::Options::loopback()).await?;
    let mut nodes: Vec<Node> = Vec::new();
    let mut folders = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let folder = TempDir::new().map_err(failed)?;
        let mut settings = Settings::on_loopback(&format!("node-{number}"), zone);
        settings.roles = Roles { gateway: false, coordinator: true, store: true };
        settings.data_folder = Some(folder.path().join("store"));
        settings.platform.object_api = Some(api.address);
        settings.store.call_timeout = Duration::from_secs(5);
        settings.peers.seeds = nodes.first().map(|node| node.addresses().peers).into_iter().collect();
        nodes.push(Node::start(settings).await.map_err(failed)?);
        folders.push(folder);
    }
    let sees_all = |node: &Node| node.context().cluster.load().members.len() == ZONES.len();
    while !nodes.iter().all(sees_all) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(Rig { nodes, _folders: folders, _api: api })
}

/// A step of every trainer, each through its own shard and owner, all at once. The shards are no jobs, so that no
/// coordinator takes them over.
async fn measure_appends(rig: &Rig, sample_bytes: usize) -> Result<(), LabError> {
    let before = syncs(rig);
    let began = Instant::now();
    let steps = (0..TRAINERS).map(|trainer| append_step(rig, trainer, sample_bytes));
    for step in join_all(steps).await {
        step?;
    }
    let seconds = began.elapsed().as_secs_f64();
    let samples = TRAINERS * SAMPLES_PER_STEP;
    let syncs = syncs(rig) - before;
    println!(
        "appends: {samples} samples of {sample_bytes} bytes in {seconds:.2} s ({:.0}/s)",
        samples as f64 / seconds
    );
    println!(
        "  disk syncs on all three stores: {syncs} ({:.1} samples for each)",
        samples as f64 / syncs as f64
    );
    Ok(())
}

async fn append_step(rig: &Rig, trainer: usize, sample_bytes: usize) -> Result<(), LabError> {
    let shard = ShardId::new(format!("bench/trainer-{trainer}"));
    let context = rig.nodes[trainer % rig.nodes.len()].context();
    let (mut log, _) = ShardLog::take_over(context, &shard).await.map_err(failed)?;
    for batch in 0..SAMPLES_PER_STEP / SAMPLES_PER_APPEND {
        log.append(vec![vec![7; sample_bytes]; SAMPLES_PER_APPEND]).await.map_err(failed)?;
        if ((batch + 1) * SAMPLES_PER_APPEND).is_multiple_of(SAMPLES_PER_SNAPSHOT) {
            log.compact(vec![7; sample_bytes]).await.map_err(failed)?;
        }
    }
    Ok(())
}

fn syncs(rig: &Rig) -> u64 {
    let text = rig.nodes.iter().filter_map(|node| node.context().metrics.encode().ok());
    let counts = text.flat_map(|text| {
        let line = text.lines().find_map(|line| line.strip_prefix("lichenpulley_store_syncs_total "));
        line.and_then(|count| count.trim().parse::<u64>().ok())
    });
    counts.sum()
}

/// Owners that take over a log of a quarter of a step from each other.
async fn measure_take_overs(rig: &Rig) -> Result<(), LabError> {
    let shard = ShardId::new("bench/take-over");
    let records = vec![vec![7; 8_192]; SAMPLES_PER_SNAPSHOT];
    let (mut log, _) = ShardLog::take_over(rig.nodes[0].context(), &shard).await.map_err(failed)?;
    log.append(records).await.map_err(failed)?;
    let mut times = Vec::new();
    for number in 0..TAKE_OVERS {
        let began = Instant::now();
        let context = rig.nodes[number % rig.nodes.len()].context();
        ShardLog::take_over(context, &shard).await.map_err(failed)?;
        times.push(began.elapsed());
    }
    times.sort_unstable();
    let (median, longest) = (times[TAKE_OVERS / 2], times[TAKE_OVERS - 1]);
    println!("take-overs of {SAMPLES_PER_SNAPSHOT} records: median {median:.1?}, longest {longest:.1?}");
    Ok(())
}

async fn measure_claims(rig: &Rig) -> Result<(), LabError> {
    let before = syncs(rig);
    let began = Instant::now();
    let claims = (0..CLAIMS).map(|number| {
        let context = rig.nodes[number % rig.nodes.len()].context();
        async move {
            let (request, attempt) = (RequestId::new(format!("request-{number}")), AttemptId::new("one"));
            let began = Instant::now();
            let outcome = claim(context, &request, unix_milliseconds(), &attempt).await;
            (outcome, began.elapsed())
        }
    });
    let outcomes: Vec<_> = stream::iter(claims).buffer_unordered(CLAIMS_AT_ONCE).collect().await;
    let seconds = began.elapsed().as_secs_f64();
    let granted = outcomes.iter().filter(|(outcome, _)| *outcome == ClaimOutcome::Granted).count();
    let mut times: Vec<Duration> = outcomes.iter().map(|(_, time)| *time).collect();
    times.sort_unstable();
    let (median, late) = (times[CLAIMS / 2], times[CLAIMS * 99 / 100]);
    println!(
        "claims: {granted} of {CLAIMS} granted, {:.0}/s, {CLAIMS_AT_ONCE} at once",
        CLAIMS as f64 / seconds
    );
    println!(
        "  median {median:.1?}, p99 {late:.1?}, disk syncs on all three stores: {}",
        syncs(rig) - before
    );
    Ok(())
}
