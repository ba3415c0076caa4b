//! The stand-in trainer: pulls samples by cursor, trains a simulated time for each step, and publishes new weights.
//!
//! `GET /report` gives its [`TrainerReport`]; [`Trainer::inject`] takes a [`TrainerFault`].

mod faults;
mod report;
mod state;
mod training;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lichenpulley_core::identity::{JobId, PoolName, WeightVersion};
use tokio_util::sync::{CancellationToken, DropGuard};

use self::training::Training;
use crate::arguments::{self, StandInArguments};
use crate::error::LabError;
use crate::http::{self, Reply, Server, json, not_found};

pub use self::faults::{CrashPoint, TrainerFault};
pub use self::report::TrainerReport;
pub use self::state::{StateFile, TakenSample, TrainedStep, TrainerState};

/// How a trainer is started.
#[derive(Clone, Debug)]
pub struct TrainerOptions {
    /// Where it serves its report.
    pub address: SocketAddr,
    /// Gateways; it goes on to the next when one does not answer.
    pub gateways: Vec<SocketAddr>,
    /// Where it stores weights; `None` stores them nowhere.
    pub weight_store: Option<SocketAddr>,
    /// The job whose samples it trains.
    pub job: JobId,
    /// The pool whose weights it trains.
    pub pool: PoolName,
    /// Samples of one training step.
    pub samples_per_step: u32,
    /// Samples that the whole job should give, to count lost ones.
    pub expected_samples: u64,
    /// The job's staleness bound, to count stale samples.
    pub staleness_bound: u64,
    /// The weights that it trains further first.
    pub weight_version: WeightVersion,
    /// Time to train one step.
    pub train_time: Duration,
    /// Where its state is saved.
    pub state: StateFile,
}

/// A running trainer. Dropping it ends its work at once.
pub struct Trainer {
    training: Arc<Training>,
    server: Server,
    finished: CancellationToken,
    _stop: DropGuard,
}

impl Trainer {
    /// Where it serves its report.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// What it has seen so far.
    pub fn report(&self) -> TrainerReport {
        self.training.report()
    }

    /// Brings a fault about.
    pub fn inject(&self, fault: TrainerFault) {
        self.training.inject(fault);
    }

    /// Waits until the job has given everything and all of it was trained.
    pub async fn finished(&self) {
        self.finished.cancelled().await;
    }
}

/// Starts a trainer on the current runtime.
///
/// # Errors
/// When no gateway is given, the address can't be bound, or the saved state can't be read.
pub async fn start(options: TrainerOptions) -> Result<Trainer, LabError> {
    if options.gateways.is_empty() {
        return Err(LabError::Usage("trainer: no gateway is given".to_owned()));
    }
    let training = Arc::new(Training::new(options.clone())?);
    let serving = Arc::clone(&training);
    let server = http::serve(options.address, move |request| answer(Arc::clone(&serving), request)).await?;
    let finished = CancellationToken::new();
    let stop = CancellationToken::new();
    let work = run_until_finished(Arc::clone(&training), finished.clone());
    let stopped = stop.clone();
    tokio::spawn(async move { stopped.run_until_cancelled(work).await });
    Ok(Trainer { training, server, finished, _stop: stop.drop_guard() })
}

async fn run_until_finished(training: Arc<Training>, finished: CancellationToken) {
    match training.run().await {
        Ok(()) => finished.cancel(),
        Err(error) => log::error!(target: "trainer", "Stopped: {error}."),
    }
}

async fn answer(training: Arc<Training>, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/report") => json(StatusCode::OK, &training.report()).into(),
        (_, path) => not_found(path).into(),
    }
}

/// `lichenpulley-lab trainer`: prints its report once the job has given everything, and serves it until it is stopped.
///
/// # Errors
/// When the command line is wrong, the address can't be bound, or the state can't be read.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some((options, stand_in)) = parse(arguments)? else {
        return Ok(());
    };
    let trainer = start(options).await?;
    stand_in.announce(&[("http", trainer.address())])?;
    tokio::select! {
        () = trainer.finished() => print_report(&trainer.report()),
        stopped = arguments::stop_signal() => return stopped,
    }
    arguments::stop_signal().await
}

fn print_report(report: &TrainerReport) {
    let text = serde_json::to_string_pretty(report);
    println!("{}", text.unwrap_or_default());
}

fn parse(arguments: &[String]) -> Result<Option<(TrainerOptions, StandInArguments)>, LabError> {
    let mut flags = arguments::stand_in_options();
    flags.optmulti("", "gateway", "a gateway's callers' address; may be repeated", "IP:PORT");
    flags.optopt("", "weight-store", "where it stores weights (default: nowhere)", "IP:PORT");
    flags.optopt("", "job", "the job", "NAME");
    flags.optopt("", "pool", "the pool", "NAME");
    flags.optopt("", "samples-per-step", "samples of one step", "COUNT");
    flags.optopt("", "expected-samples", "samples that the job gives in all", "COUNT");
    flags.optopt("", "staleness-bound", "the job's bound (default 1)", "VERSIONS");
    flags.optopt("", "weight-version", "the weights it trains further first (default 1)", "VERSION");
    flags.optopt("", "train-ms", "time to train one step (default 500)", "MILLISECONDS");
    flags.optopt("", "state-file", "where its state is saved (default: in memory)", "FILE");
    let Some(matches) = arguments::parse("trainer", &flags, arguments)? else {
        return Ok(None);
    };
    let stand_in = StandInArguments::from_matches(&matches)?;
    let job: String = arguments::required(&matches, "job")?;
    let pool: String = arguments::required(&matches, "pool")?;
    let state_file: Option<PathBuf> = arguments::optional(&matches, "state-file")?;
    let options = TrainerOptions {
        address: stand_in.address,
        gateways: arguments::each(&matches, "gateway")?,
        weight_store: arguments::optional(&matches, "weight-store")?,
        job: JobId::new(job),
        pool: PoolName::new(pool),
        samples_per_step: arguments::required(&matches, "samples-per-step")?,
        expected_samples: arguments::required(&matches, "expected-samples")?,
        staleness_bound: arguments::value_or(&matches, "staleness-bound", "1")?,
        weight_version: WeightVersion(arguments::value_or(&matches, "weight-version", "1")?),
        train_time: Duration::from_millis(arguments::value_or(&matches, "train-ms", "500")?),
        state: state_file.map_or_else(StateFile::in_memory, StateFile::File),
    };
    Ok(Some((options, stand_in)))
}
