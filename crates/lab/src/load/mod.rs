//! The load generator: live requests at a rate of their own (open loop) or by callers that wait for one another
//! (closed loop), each answer verified whole.

mod call;
mod report;
mod workload;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lichenpulley_core::identity::PoolName;
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_protocol::caller::Priority;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::arguments;
use crate::error::LabError;

pub use self::call::{CallOptions, Called, Outcome, Target, call};
pub use self::report::{LoadReport, Quantiles, Recorder, histogram, record};
pub use self::workload::{Prompt, Workload, WorkloadConfig};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pacing {
    /// As they arrive, whatever the system does.
    Open {
        /// Mean arrivals a second, of a Poisson process.
        per_second: f64,
    },
    /// By callers of which each waits for its answer before it asks again.
    Closed {
        /// Callers.
        callers: u32,
    },
}

/// A run of the load generator.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Whom requests go to, in turn.
    pub targets: Vec<Target>,
    /// What requests have in common.
    pub call: CallOptions,
    /// When they are sent.
    pub pacing: Pacing,
    /// How long they are sent; those running at the end are waited for.
    pub duration: Duration,
    /// The prompts.
    pub workload: WorkloadConfig,
}

struct Run {
    options: LoadOptions,
    client: HttpClient,
    workload: Mutex<Workload>,
    recorder: Mutex<Recorder>,
    sent: AtomicU64,
}

/// Sends requests until the duration is over or `stop` is cancelled, and waits for the last answer.
pub async fn generate(options: LoadOptions, stop: &CancellationToken) -> LoadReport {
    let begin = Instant::now();
    let run = Arc::new(Run {
        client: HttpClient::new(CONNECT_TIMEOUT),
        workload: Mutex::new(Workload::new(options.workload)),
        recorder: Mutex::default(),
        sent: AtomicU64::new(0),
        options,
    });
    let end = begin + run.options.duration;
    match run.options.pacing {
        Pacing::Open { per_second } => send_open(&run, per_second, end, stop).await,
        Pacing::Closed { callers } => send_closed(&run, callers, end, stop).await,
    }
    let elapsed = begin.elapsed();
    lock(&run.recorder).report(elapsed)
}

async fn send_open(run: &Arc<Run>, per_second: f64, end: Instant, stop: &CancellationToken) {
    let mut calls = JoinSet::new();
    let mut scheduled = Instant::now();
    loop {
        let gap = lock(&run.workload).next_gap(per_second);
        scheduled += Duration::from_secs_f64(gap);
        if scheduled >= end || stop.is_cancelled() {
            break;
        }
        tokio::time::sleep_until(scheduled.into()).await;
        let run = Arc::clone(run);
        calls.spawn(async move { run.call_once(scheduled).await });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

async fn send_closed(run: &Arc<Run>, callers: u32, end: Instant, stop: &CancellationToken) {
    let mut calls = JoinSet::new();
    for _ in 0..callers {
        let run = Arc::clone(run);
        let stop = stop.clone();
        calls.spawn(async move {
            while Instant::now() < end && !stop.is_cancelled() {
                run.call_once(Instant::now()).await;
            }
        });
    }
    while calls.join_next().await.is_some() {}
}

impl Run {
    async fn call_once(&self, scheduled: Instant) {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let targets = &self.options.targets;
        let target = targets[number as usize % targets.len()];
        let prompt = lock(&self.workload).draw();
        let called = call(&self.client, target, &self.options.call, &prompt, number, scheduled).await;
        if called.outcome == Outcome::Wrong {
            log::error!(target: "load", "A wrong answer to `{}`, seed {}.", prompt.text, prompt.seed);
        }
        lock(&self.recorder).record(called);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// `lichenpulley-lab load`: fails where an answer was wrong.
///
/// # Errors
/// When the command line is wrong, or a success came with wrong or missing tokens.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(options) = parse(arguments)? else {
        return Ok(());
    };
    let report = generate(options, &CancellationToken::new()).await;
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    match report.count(Outcome::Wrong) {
        0 => Ok(()),
        wrong => {
            Err(LabError::CheckFailed(format!("{wrong} answers were wrong; the log names their prompts")))
        }
    }
}

fn parse(arguments: &[String]) -> Result<Option<LoadOptions>, LabError> {
    let mut flags = getopts::Options::new();
    flags.optmulti("", "gateway", "a gateway's callers' address; may be repeated", "IP:PORT");
    flags.optmulti("", "engine", "an engine to send to without a gateway; may be repeated", "IP:PORT");
    flags.optopt("", "pool", "the pool", "NAME");
    flags.optopt("", "rate", "open loop: mean requests a second", "PER_SECOND");
    flags.optopt("", "callers", "closed loop: callers that wait for their answer (default 8)", "COUNT");
    flags.optopt("", "seconds", "how long requests are sent (default 10)", "SECONDS");
    flags.optopt("", "max-tokens", "longest answer (default 256)", "TOKENS");
    flags.optopt("", "deadline-ms", "deadline of each request (default 30000)", "MILLISECONDS");
    flags.optopt("", "prefix-groups", "groups of prompts that share a prefix (default 32)", "COUNT");
    flags.optopt("", "seed", "seed of prompts and arrivals (default 1)", "NUMBER");
    flags.optflag("", "stream", "ask gateways for streamed answers");
    flags.optflag("", "rollout", "send with the priority of rollouts");
    flags.optflag("", "not-repeatable", "mark each request as not repeatable");
    flags.optflag("h", "help", "print this help and end");
    let Some(matches) = arguments::parse("load", &flags, arguments)? else {
        return Ok(None);
    };
    let targets = parse_targets(&matches)?;
    let pool: String = arguments::required(&matches, "pool")?;
    let per_second: Option<f64> = arguments::optional(&matches, "rate")?;
    let callers = arguments::value_or(&matches, "callers", "8")?;
    let rollout = matches.opt_present("rollout");
    let workload = WorkloadConfig {
        prefix_groups: arguments::value_or(&matches, "prefix-groups", "32")?,
        seed: arguments::value_or(&matches, "seed", "1")?,
        ..WorkloadConfig::default()
    };
    Ok(Some(LoadOptions {
        targets,
        call: CallOptions {
            pool: PoolName::new(pool),
            max_tokens: arguments::value_or(&matches, "max-tokens", "256")?,
            priority: if rollout { Priority::Rollout } else { Priority::Live },
            deadline: Duration::from_millis(arguments::value_or(&matches, "deadline-ms", "30000")?),
            repeatable: !matches.opt_present("not-repeatable"),
        },
        pacing: per_second.map_or(Pacing::Closed { callers }, |per_second| Pacing::Open { per_second }),
        duration: Duration::from_secs(arguments::value_or(&matches, "seconds", "10")?),
        workload,
    }))
}

fn parse_targets(matches: &getopts::Matches) -> Result<Vec<Target>, LabError> {
    let gateways: Vec<SocketAddr> = arguments::each(matches, "gateway")?;
    let engines: Vec<SocketAddr> = arguments::each(matches, "engine")?;
    let stream = matches.opt_present("stream");
    let gateway = |address| if stream { Target::GatewayStream(address) } else { Target::Gateway(address) };
    let mut targets: Vec<Target> = gateways.into_iter().map(gateway).collect();
    targets.extend(engines.into_iter().map(Target::Engine));
    if targets.is_empty() {
        return Err(LabError::Usage("load: give --gateway or --engine".to_owned()));
    }
    Ok(targets)
}
