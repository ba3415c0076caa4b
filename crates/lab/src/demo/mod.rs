//! `lichenpulley-lab demo`: three zones inside one process, live requests beside a rollout job whose trainer
//! publishes new weights after each step, ending in a summary.

mod decision_tally;
mod disturbance;
mod job;
mod live;
mod summary;
pub mod system;

use std::time::Duration;

use lichenpulley_core::identity::{JobId, PoolName, WeightVersion, ZoneName};
use lichenpulley_protocol::caller::JobSpecification;

use crate::arguments;
use crate::error::LabError;
use crate::http::ANY_PORT;
use crate::trainer::{self, StateFile, TrainerOptions};
use decision_tally::DecisionTally;
use live::LiveLoad;
pub use live::LiveSummary;
pub use summary::DemoSummary;
pub use system::{PoolPlan, System, SystemPlan};

/// The job must be done within this time, or the demonstration fails.
const JOB_LIMIT: Duration = Duration::from_secs(45);

const TRAINED_POOL: &str = "diagnosis";
const LOOKUP_POOL: &str = "lookup";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const TRAIN_TIME: Duration = Duration::from_millis(500);
const FIRST_VERSION: WeightVersion = WeightVersion(1);

/// How long live requests go on at most where the system is held open.
const HOLD_LIMIT: Duration = Duration::from_secs(24 * 60 * 60);

/// Runs the demonstration and prints its summary.
///
/// # Errors
/// When the command line is wrong, a part does not start, or what must hold does not.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = arguments::help_option();
    options.optflag("", "json", "print the summary as JSON");
    options.optflag("", "faults", "crash an engine, and kill the node that owns the job, while it runs");
    options.optflag("", "hold", "print the nodes' addresses, and go on with live requests until Ctrl-C");
    let Some(matches) = arguments::parse("demo", &options, arguments)? else { return Ok(()) };
    let hold = matches.opt_present("hold");
    let system = System::start(&plan()).await?;
    if hold {
        println!("{}", system.describe_addresses());
    }
    let summary = demonstrate(&system, matches.opt_present("faults")).await?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&summary).unwrap_or_default());
    } else {
        println!("{summary}");
    }
    if hold {
        hold_open(&system).await?;
    }
    summary.check()
}

/// Runs the job and live requests on a system, with faults where wanted, and sums up.
///
/// # Errors
/// When the job is not taken, or a part breaks down.
pub async fn demonstrate(system: &System, faults: bool) -> Result<DemoSummary, LabError> {
    let decisions = DecisionTally::watch(&system.nodes);
    let specification = specification();
    let gateways = system.gateways();
    job::submit(&gateways, &specification).await?;
    let trainer = trainer::start(trainer_options(system, &specification)).await?;
    let load = start_live_load(system, JOB_LIMIT);
    let disturbance = async {
        if faults {
            let samples_per_step = job::samples_per_step(&specification);
            disturbance::disturb(system, &trainer, &specification.job, samples_per_step).await;
        }
    };
    let job = async { tokio::join!(trainer.finished(), disturbance) };
    let in_time = tokio::time::timeout(JOB_LIMIT, job).await.is_ok();
    let mut live = Vec::new();
    for pool in load {
        live.push(pool.finish().await?);
    }
    let status = job::status(&gateways, &specification.job).await.ok();
    Ok(DemoSummary {
        specification,
        in_time,
        trainer: trainer.report(),
        status,
        live,
        decisions: decisions.counts(),
    })
}

fn start_live_load(system: &System, longest: Duration) -> Vec<LiveLoad> {
    let gateways = system.gateways();
    let pools = [TRAINED_POOL, LOOKUP_POOL].map(PoolName::from);
    pools.into_iter().map(|pool| LiveLoad::start(&gateways, pool, longest)).collect()
}

/// Goes on with live requests until the process is stopped.
async fn hold_open(system: &System) -> Result<(), LabError> {
    println!("\nLive requests go on until Ctrl-C.");
    let load = start_live_load(system, HOLD_LIMIT);
    arguments::stop_signal().await?;
    drop(load);
    Ok(())
}

/// Three zones; two replicas of the trained pool and one of the other in each.
pub fn plan() -> SystemPlan {
    SystemPlan {
        zones: ZONES.map(ZoneName::from).to_vec(),
        pools: vec![
            PoolPlan { pool: PoolName::from(TRAINED_POOL), replicas_per_zone: 2 },
            PoolPlan { pool: PoolName::from(LOOKUP_POOL), replicas_per_zone: 1 },
        ],
    }
}

fn specification() -> JobSpecification {
    JobSpecification {
        job: JobId::from("diagnosis-round"),
        pool: PoolName::from(TRAINED_POOL),
        prompts: (1..=8).map(|ticket| format!("Ticket {ticket}: the phone does not charge.")).collect(),
        samples_per_prompt: 8,
        steps: 6,
        max_tokens: 256,
        staleness_bound: 1,
        idle_weight_percent: 50,
    }
}

fn trainer_options(system: &System, specification: &JobSpecification) -> TrainerOptions {
    let samples_per_step = job::samples_per_step(specification);
    TrainerOptions {
        address: ANY_PORT,
        gateways: system.gateways(),
        weight_store: Some(system.weight_store.address()),
        job: specification.job.clone(),
        pool: specification.pool.clone(),
        samples_per_step,
        expected_samples: u64::from(samples_per_step) * u64::from(specification.steps),
        staleness_bound: specification.staleness_bound,
        weight_version: FIRST_VERSION,
        train_time: TRAIN_TIME,
        state: StateFile::in_memory(),
    }
}
