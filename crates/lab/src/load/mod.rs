//! The load generator of the demonstration and the tests: live requests at a rate of their own (open loop) or
//! by callers that wait for one another (closed loop), each answer verified whole.

mod call;
mod report;
mod workload;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lichenpulley_daemon::http::client::HttpClient;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use self::call::call;
pub use self::call::{CallOptions, CallOutcome, Target};
use self::report::Recorder;
pub use self::report::{LoadReport, Quantiles};
pub use self::workload::{Prompt, Workload};
use crate::locked::lock;

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
        workload: Mutex::new(Workload::default()),
        recorder: Mutex::default(),
        sent: AtomicU64::new(0),
        options,
    });
    let end = begin + run.options.duration;
    match run.options.pacing {
        Pacing::Open { per_second } => send_open(&run, per_second, end, stop).await,
        Pacing::Closed { callers } => send_closed(&run, callers, end, stop).await,
    }
    lock(&run.recorder).report()
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
        if called.outcome == CallOutcome::Wrong {
            log::error!(target: "load", "A wrong answer to `{}`, seed {}.", prompt.text, prompt.seed);
        }
        lock(&self.recorder).record(called);
    }
}
