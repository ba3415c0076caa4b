//! Randomized soak test: runs real daemon processes on loopback, injects faults from outside, and checks the service's
//! guarantees by what callers and replicas observe.
//!
//! The faults are drawn from the seed. Processes run in real time, so runs of the same seed differ; the report lists every
//! fault with its time. Checks depend on what was observed and not on latency, except for the time limits of the guarantees
//! and for jobs that are not finished or acknowledged as ended within a minute.

pub mod caller;
pub mod fault;
pub mod history;
mod job_enders;
pub mod job_ends;
pub mod node;
pub mod proxy;
mod system;

use std::path::PathBuf;
use std::time::Duration;

use getopts::Options;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::error::LabError;
use caller::Callers;
use fault::PlannedFault;
use history::Violation;
use job_ends::{ACKNOWLEDGED_WITHIN, CANCELLED_WITHIN};
pub use system::DaemonBuilds;
use system::{OBSERVATION_PERIOD, SoakSystem};

/// Probability that a replica ends before a fault.
const REPLICA_END_PROBABILITY: f64 = 0.3;
/// Probability that a second fault is drawn to overlap a fault.
const OVERLAP_PROBABILITY: f64 = 0.6;
/// Probability that an outage overlaps a fault.
const OUTAGE_PROBABILITY: f64 = 0.35;
/// Number of callers that end jobs, two for each gateway.
const JOB_ENDERS: usize = 6;
/// How long jobs are ended after the other callers have stopped, so that some ends coincide with the final outage.
const END_OVERRUN: Duration = Duration::from_secs(4);
/// Number of callers that run jobs to their end, one for each gateway.
const JOB_RUNNERS: usize = 3;
/// Number of callers that send non-idempotent requests; enough for some to coincide with a fault in a short soak.
const WRITERS: usize = 2;

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Seed from which the faults are drawn.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Daemon binaries that the nodes run.
    pub builds: DaemonBuilds,
    /// Folder for settings, data and logs.
    pub folder: PathBuf,
    /// Whether faults overlap, and jobs are ended while they are open.
    pub overlaps_faults: bool,
}

/// A fault that was injected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultRecord {
    /// When it began, in milliseconds since the soak began.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub lasted_ms: u64,
    /// Description of the fault.
    pub fault: String,
}

/// Results of a soak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SoakReport {
    /// Seed from which the faults were drawn.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: Vec<FaultRecord>,
    /// Number of distinct results that were read.
    pub results: usize,
    /// Number of non-idempotent requests that were sent.
    pub writes: usize,
    /// Number of non-idempotent requests with a successful response.
    pub writes_answered: usize,
    /// Number of jobs that were ended while they were open.
    pub jobs_ended: usize,
    /// Number of jobs with items of a job that was ended early.
    pub jobs_repeated: usize,
    /// Jobs that went on after an end that may have been lost with the gateway that it was sent to.
    pub ends_lost: Vec<String>,
    /// Guarantees that did not hold.
    pub violations: Vec<Violation>,
}

/// Runs a soak.
///
/// # Errors
/// When a process can't be started or exits unexpectedly, or a caller's task panics.
pub async fn soak(config: &SoakConfig) -> Result<SoakReport, LabError> {
    let mut system = SoakSystem::spawn(&config.builds, &config.folder).await?;
    if config.overlaps_faults {
        system.start_fault_free_replicas().await?;
    }
    let callers = system.callers();
    let until = Instant::now() + config.duration;
    let calls = spawn_callers(&callers, config, until);
    let faults = inject_faults(&mut system, &callers, config, until).await?;
    system.restart_ended_replicas().await?;
    let healthy_since = std::time::Instant::now();
    for call in calls {
        // A panic in a caller fails the soak.
        call.await.map_err(|error| LabError::CheckFailed(error.to_string()))?;
    }
    system.check_quarantine().await?;
    system.recheck_all_jobs().await;
    if config.overlaps_faults {
        let observed_until =
            std::time::Instant::now() + ACKNOWLEDGED_WITHIN + CANCELLED_WITHIN + OBSERVATION_PERIOD;
        tokio::time::sleep_until(observed_until.into()).await;
    }
    Ok(build_report(config.seed, faults, &system, &callers, healthy_since))
}

/// Starts the callers, which run while faults are injected.
fn spawn_callers(callers: &Callers, config: &SoakConfig, until: Instant) -> Vec<JoinHandle<()>> {
    let enders = if config.overlaps_faults { JOB_ENDERS } else { 0 };
    let mut calls = Vec::new();
    calls.extend(
        (0..enders)
            .map(|index| tokio::spawn(callers.clone().end_jobs(index, config.seed, until + END_OVERRUN))),
    );
    calls.extend(
        (0..JOB_RUNNERS).map(|index| tokio::spawn(callers.clone().run_jobs(index, config.seed, until))),
    );
    calls.extend((0..WRITERS).map(|index| tokio::spawn(callers.clone().send_writes(index, until))));
    calls.push(tokio::spawn(callers.clone().repeat_crashing_request(until)));
    calls
}

/// Draws and injects faults one after the other until `until`.
async fn inject_faults(
    system: &mut SoakSystem,
    callers: &Callers,
    config: &SoakConfig,
    until: Instant,
) -> Result<Vec<FaultRecord>, LabError> {
    let mut random = Pcg64Mcg::seed_from_u64(config.seed);
    // Separate generators, so that draws of replica ends and overlapping faults don't change the sequence of main faults.
    let mut end_random = Pcg64Mcg::seed_from_u64(!config.seed);
    let mut overlap_random = Pcg64Mcg::seed_from_u64(config.seed.rotate_left(32));
    let mut outage_random = Pcg64Mcg::seed_from_u64((!config.seed).rotate_left(32));
    let mut faults = Vec::new();
    while Instant::now() < until {
        system.restart_ended_replicas().await?;
        if end_random.random_bool(REPLICA_END_PROBABILITY) {
            system.end_replica(end_random.random_range(0..system.size().replicas));
        }
        let planned = PlannedFault::draw(system.size(), &mut random);
        let overlapping = (config.overlaps_faults && overlap_random.random_bool(OVERLAP_PROBABILITY))
            .then(|| PlannedFault::draw_overlapping(system.size(), &mut overlap_random))
            .filter(|overlapping| !overlapping.fault.conflicts_with(&planned.fault));
        let outage = (config.overlaps_faults && outage_random.random_bool(OUTAGE_PROBABILITY))
            .then(|| PlannedFault::draw_outage(&mut outage_random));
        let overlapping: Vec<PlannedFault> = overlapping.into_iter().chain(outage).collect();
        faults.push(inject(system, callers, planned, &overlapping).await?);
        tokio::time::sleep(planned.pause).await;
    }
    if config.overlaps_faults {
        let disk_loss = PlannedFault::draw_disk_loss(system.size(), &mut outage_random);
        let outage = PlannedFault::draw_outage(&mut outage_random);
        faults.push(inject(system, callers, disk_loss, &[outage]).await?);
    }
    Ok(faults)
}

/// Injects a fault and the faults that overlap it.
async fn inject(
    system: &mut SoakSystem,
    callers: &Callers,
    planned: PlannedFault,
    overlapping: &[PlannedFault],
) -> Result<FaultRecord, LabError> {
    let at_ms = callers.now_ms();
    let mut fault = planned.to_string();
    if overlapping.is_empty() {
        system.inject(planned).await?;
    } else {
        fault = format!("{:?}", planned.fault);
        fault.extend(overlapping.iter().map(|overlapping| format!(", then {:?}", overlapping.fault)));
        system.inject_overlapping(&[&[planned], overlapping].concat()).await?;
    }
    Ok(FaultRecord { at_ms, lasted_ms: callers.now_ms() - at_ms, fault })
}

/// Runs the final checks against the requests that replicas received and builds the report.
fn build_report(
    seed: u64,
    faults: Vec<FaultRecord>,
    system: &SoakSystem,
    callers: &Callers,
    healthy_since: std::time::Instant,
) -> SoakReport {
    let mut history = callers.history();
    history.ends.record_reads(system.jobs_with_read_end());
    history.check_ends(callers.now_ms(), &system.seen(), healthy_since);
    history.check_executions(callers.now_ms(), &system.seen());
    let writes_answered = history.writes.iter().filter(|write| write.status.is_some_and(|s| s.is_success()));
    SoakReport {
        seed,
        faults,
        results: history.results_read(),
        writes: history.writes.len(),
        writes_answered: writes_answered.count(),
        jobs_ended: history.ends.count(),
        jobs_repeated: history.jobs_repeated,
        ends_lost: history.ends.lost(&system.seen(), healthy_since),
        violations: history.violations.clone(),
    }
}

/// Runs the command `lichenpulley-lab soak`.
///
/// # Errors
/// When the command line is invalid, the soak can't be run, or a guarantee did not hold.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed from which the faults are drawn (default: random)", "S");
    options.optopt("", "minutes", "how long faults are injected, in minutes (default: 5)", "M");
    options.optopt("", "keep", "keep settings, data and logs in this folder", "FOLDER");
    options.optopt(
        "",
        "previous",
        "daemon binary of the previous release; each node alternates between it and the current one",
        "FILE",
    );
    options.optflag("", "single", "inject one fault at a time, and end no jobs");
    options.optflag("h", "help", "print this help and exit");
    let matches = options.parse(arguments).map_err(|error| LabError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("usage: lichenpulley-lab soak [options]"));
        return Ok(());
    }
    let number = |name: &str, default: f64| match matches.opt_str(name) {
        Some(text) => text.parse().map_err(|_| LabError::Usage(format!("--{name} is not a number: {text}"))),
        None => Ok(default),
    };
    let seed = match matches.opt_str("seed") {
        Some(text) => text.parse().map_err(|_| LabError::Usage(format!("--seed is not a number: {text}")))?,
        None => rand::random::<u32>().into(),
    };
    let minutes: f64 = number("minutes", 5.0)?;
    if !(0.0..=600.0).contains(&minutes) {
        return Err(LabError::Usage(format!("--minutes is {minutes}; set it to a number from 0 to 600")));
    }
    let io_error = |source| LabError::Io {
        action: "create a folder".to_owned(),
        remedy: "set --keep to a folder that can be created",
        source,
    };
    let scratch = tempfile::tempdir().map_err(io_error)?;
    let folder = matches.opt_str("keep").map_or_else(|| scratch.path().to_owned(), PathBuf::from);
    std::fs::create_dir_all(&folder).map_err(io_error)?;
    let own = std::env::current_exe().map_err(io_error)?;
    let builds = DaemonBuilds {
        current: own.with_file_name("lichenpulleyd"),
        previous: matches.opt_str("previous").map(PathBuf::from),
    };
    let duration = Duration::from_secs_f64(minutes * 60.0);
    let overlaps_faults = !matches.opt_present("single");
    let config = SoakConfig { seed, duration, builds, folder, overlaps_faults };
    let report = soak(&config).await?;
    let text =
        serde_json::to_string_pretty(&report).map_err(|error| LabError::CheckFailed(error.to_string()))?;
    println!("{text}");
    if report.violations.is_empty() {
        return Ok(());
    }
    let count = report.violations.len();
    Err(LabError::CheckFailed(format!("{count} promises did not hold; the seed was {seed}")))
}
