//! What a gateway costs: throughput and latency through it, against a caller straight at the engines, in one run and
//! in turn, so that other load on the machine meets both.

mod processor;
mod rig;

use std::time::Duration;

use lichenpulley_core::identity::PoolName;
use lichenpulley_protocol::caller::Priority;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use self::processor::ProcessorTime;
use self::rig::{POOL, Rig, RigOptions};
use crate::arguments;
use crate::error::LabError;
use crate::load::{CallOptions, LoadOptions, LoadReport, Outcome, Pacing, Target, WorkloadConfig, generate};

/// How long the first run takes, in which each engine must have had work.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// The share of the direct throughput at which latency is measured.
const HALF: f64 = 0.5;

/// A benchmark.
#[derive(Clone, Copy, Debug)]
struct BenchOptions {
    rig: RigOptions,
    callers: u32,
    max_tokens: u32,
    rounds: u32,
    round_time: Duration,
    rate: Option<f64>,
}

/// One round: direct, streamed through the gateway, whole through the gateway.
struct Round {
    direct: Measured,
    streamed: Measured,
    whole: Measured,
}

/// One run: what the callers saw, and the processor time of each request in microseconds.
struct Measured {
    load: LoadReport,
    processor: ProcessorTime,
}

/// The figures.
#[derive(Debug, Serialize)]
struct BenchReport {
    /// Answers a second with all callers busy, the median of the rounds.
    saturated: Saturated,
    /// Latency at half of the direct throughput.
    half_load: HalfLoad,
}

#[derive(Debug, Serialize)]
struct Saturated {
    direct_per_second: f64,
    streamed_per_second: f64,
    whole_per_second: f64,
    direct_tokens_per_second: f64,
    streamed_ratio: f64,
    whole_ratio: f64,
    streamed_ratio_by_round: Vec<f64>,
    /// Processor time of each request in microseconds, the median of the rounds.
    direct_processor_us: ProcessorTime,
    streamed_processor_us: ProcessorTime,
    whole_processor_us: ProcessorTime,
    not_completed: u64,
}

/// Medians of the rounds, in microseconds. What is added is taken in each round from runs next to each other.
#[derive(Debug, Serialize)]
struct HalfLoad {
    requests_per_second: f64,
    first_token: Added,
    whole_answer: Added,
    not_completed: u64,
}

#[derive(Debug, Serialize)]
struct Added {
    direct_p50_us: f64,
    direct_p99_us: f64,
    gateway_p50_us: f64,
    gateway_p99_us: f64,
    added_p50_us: f64,
    added_p99_us: f64,
    added_p99_us_by_round: Vec<f64>,
}

/// `lichenpulley-lab bench`: prints the figures as JSON.
///
/// # Errors
/// When the command line is wrong, a part does not start, or an answer was wrong.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(options) = parse(arguments)? else {
        return Ok(());
    };
    let rig = Rig::start(options.rig).await?;
    warm_up(&rig, &options).await?;
    let saturated = rounds(&rig, &options, Pacing::Closed { callers: options.callers }).await;
    let direct_rate = median(saturated.iter().map(|round| round.direct.load.completed_per_second));
    let half_rate = options.rate.unwrap_or(direct_rate * HALF);
    let half = rounds(&rig, &options, Pacing::Open { per_second: half_rate }).await;
    let report = BenchReport { saturated: saturation(&saturated), half_load: half_load(half_rate, &half) };
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    let all = saturated.iter().chain(&half).flat_map(Round::reports);
    match all.map(|report| report.count(Outcome::Wrong)).sum::<u64>() {
        0 => Ok(()),
        wrong => {
            Err(LabError::CheckFailed(format!("{wrong} answers were wrong; the log names their prompts")))
        }
    }
}

async fn warm_up(rig: &Rig, options: &BenchOptions) -> Result<(), LabError> {
    let pacing = Pacing::Closed { callers: options.callers };
    let load = load_options(options, vec![Target::Gateway(rig.gateway())], pacing, WARM_UP, 0);
    let report = generate(load, &CancellationToken::new()).await;
    if report.count(Outcome::Completed) > 0 && rig.all_used() {
        return Ok(());
    }
    let message = format!("it does not reach every engine: {:?}; look into the log", report.outcomes);
    Err(LabError::Part { part: "gateway", message })
}

async fn rounds(rig: &Rig, options: &BenchOptions, pacing: Pacing) -> Vec<Round> {
    let engines: Vec<Target> = rig.engines().into_iter().map(Target::Engine).collect();
    let mut rounds = Vec::new();
    for number in 1..=u64::from(options.rounds) {
        let run = async |targets: Vec<Target>| {
            let load = load_options(options, targets, pacing, options.round_time, number);
            let before = ProcessorTime::now();
            let load = generate(load, &CancellationToken::new()).await;
            let processor = ProcessorTime::now().microseconds_each(before, load.count(Outcome::Completed));
            Measured { load, processor }
        };
        let direct = run(engines.clone()).await;
        let streamed = run(vec![Target::GatewayStream(rig.gateway())]).await;
        let whole = run(vec![Target::Gateway(rig.gateway())]).await;
        rounds.push(Round { direct, streamed, whole });
    }
    rounds
}

/// Each run of a round draws the same prompts and arrivals.
fn load_options(
    options: &BenchOptions,
    targets: Vec<Target>,
    pacing: Pacing,
    duration: Duration,
    seed: u64,
) -> LoadOptions {
    LoadOptions {
        targets,
        call: CallOptions {
            pool: PoolName::new(POOL),
            max_tokens: options.max_tokens,
            priority: Priority::Live,
            deadline: Duration::from_secs(30),
            repeatable: true,
        },
        pacing,
        duration,
        workload: WorkloadConfig { seed, ..WorkloadConfig::default() },
    }
}

impl Round {
    fn reports(&self) -> [&LoadReport; 3] {
        [&self.direct.load, &self.streamed.load, &self.whole.load]
    }

    fn not_completed(&self) -> u64 {
        let outcomes = self.reports().into_iter().flat_map(|report| &report.outcomes);
        outcomes.filter(|(outcome, _)| **outcome != Outcome::Completed).map(|(_, count)| count).sum()
    }
}

fn saturation(rounds: &[Round]) -> Saturated {
    let ratio = |of: fn(&Round) -> &LoadReport| {
        let ratios = rounds
            .iter()
            .map(|round| of(round).completed_per_second / round.direct.load.completed_per_second);
        ratios.collect::<Vec<f64>>()
    };
    let rate =
        |of: fn(&Round) -> &LoadReport| median(rounds.iter().map(|round| of(round).completed_per_second));
    let streamed = ratio(|round| &round.streamed.load);
    Saturated {
        direct_per_second: rate(|round| &round.direct.load),
        streamed_per_second: rate(|round| &round.streamed.load),
        whole_per_second: rate(|round| &round.whole.load),
        direct_tokens_per_second: median(rounds.iter().map(|round| round.direct.load.tokens_per_second)),
        streamed_ratio: median(streamed.iter().copied()),
        whole_ratio: median(ratio(|round| &round.whole.load)),
        streamed_ratio_by_round: streamed,
        direct_processor_us: processor_time(rounds, |round| &round.direct),
        streamed_processor_us: processor_time(rounds, |round| &round.streamed),
        whole_processor_us: processor_time(rounds, |round| &round.whole),
        not_completed: rounds.iter().map(Round::not_completed).sum(),
    }
}

fn processor_time(rounds: &[Round], of: fn(&Round) -> &Measured) -> ProcessorTime {
    let part =
        |pick: fn(&ProcessorTime) -> f64| median(rounds.iter().map(|round| pick(&of(round).processor)));
    ProcessorTime {
        callers: part(|time| time.callers),
        gateway: part(|time| time.gateway),
        engines: part(|time| time.engines),
    }
}

fn half_load(requests_per_second: f64, rounds: &[Round]) -> HalfLoad {
    HalfLoad {
        requests_per_second,
        first_token: added(rounds, |report| (report.first_token.p50_us, report.first_token.p99_us)),
        whole_answer: added(rounds, |report| (report.whole.p50_us, report.whole.p99_us)),
        not_completed: rounds.iter().map(Round::not_completed).sum(),
    }
}

fn added(rounds: &[Round], quantiles: fn(&LoadReport) -> (u64, u64)) -> Added {
    let of = |pick: fn((u64, u64)) -> u64, report: &LoadReport| pick(quantiles(report)) as f64;
    let direct = |pick| rounds.iter().map(move |round| of(pick, &round.direct.load));
    let gateway = |pick| rounds.iter().map(move |round| of(pick, &round.streamed.load));
    let difference = |pick| {
        let pairs =
            rounds.iter().map(move |round| of(pick, &round.streamed.load) - of(pick, &round.direct.load));
        pairs.collect::<Vec<f64>>()
    };
    let added_p99 = difference(|(_, p99)| p99);
    Added {
        direct_p50_us: median(direct(|(p50, _)| p50)),
        direct_p99_us: median(direct(|(_, p99)| p99)),
        gateway_p50_us: median(gateway(|(p50, _)| p50)),
        gateway_p99_us: median(gateway(|(_, p99)| p99)),
        added_p50_us: median(difference(|(p50, _)| p50)),
        added_p99_us: median(added_p99.iter().copied()),
        added_p99_us_by_round: added_p99,
    }
}

/// The median; of an even number of values the upper of the two in the middle; zero of none.
fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn parse(arguments: &[String]) -> Result<Option<BenchOptions>, LabError> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "engines", "engines (default 4)", "COUNT");
    flags.optopt("", "capacity", "streams that each engine runs at once (default 64)", "COUNT");
    flags.optopt("", "step-us", "time of an engine's step (default 1000)", "MICROSECONDS");
    flags.optopt("", "engine-threads", "threads of all engines together (default 3)", "COUNT");
    flags.optopt("", "gateway-threads", "threads of the gateway's traffic (default 3)", "COUNT");
    flags.optopt("", "callers", "callers when saturated (default 32)", "COUNT");
    flags.optopt("", "max-tokens", "longest answer (default 32)", "TOKENS");
    flags.optopt("", "rounds", "rounds of direct and gateway in turn (default 5)", "COUNT");
    flags.optopt("", "round-ms", "time of each run (default 2000)", "MILLISECONDS");
    flags.optopt("", "rate", "requests a second where latency is measured (default: half)", "PER_SECOND");
    flags.optflag("h", "help", "print this help and end");
    let Some(matches) = arguments::parse("bench", &flags, arguments)? else {
        return Ok(None);
    };
    Ok(Some(BenchOptions {
        rig: RigOptions {
            engines: arguments::value_or(&matches, "engines", "4")?,
            capacity: arguments::value_or(&matches, "capacity", "64")?,
            step_time: Duration::from_micros(arguments::value_or(&matches, "step-us", "1000")?),
            engine_threads: arguments::value_or(&matches, "engine-threads", "3")?,
            gateway_threads: arguments::value_or(&matches, "gateway-threads", "3")?,
        },
        callers: arguments::value_or(&matches, "callers", "32")?,
        max_tokens: arguments::value_or(&matches, "max-tokens", "32")?,
        rounds: arguments::value_or(&matches, "rounds", "5")?,
        round_time: Duration::from_millis(arguments::value_or(&matches, "round-ms", "2000")?),
        rate: arguments::optional(&matches, "rate")?,
    }))
}
