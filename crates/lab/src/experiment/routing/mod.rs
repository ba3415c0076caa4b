//! `lichenpulley-lab experiment routing`: the core's balancer against round robin and least reported load, on the
//! engine's state machine with long-tailed lengths, on a virtual clock, in one run.

mod plot;
mod policy;
mod site;
mod world;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hdrhistogram::Histogram;
use lichenpulley_core::routing::PoolConfig;

use self::policy::PolicyKind;
use self::site::Scenario;
use self::world::{Outcome, World};
use crate::arguments;
use crate::error::LabError;
use crate::load::histogram;

/// A policy's runs of one scenario, over all seeds.
pub struct PolicyResult {
    /// The policy.
    pub kind: PolicyKind,
    /// Live requests to the whole answer, in microseconds.
    pub live_whole: Histogram<u64>,
    /// Live requests to the first token, in microseconds.
    pub live_first: Histogram<u64>,
    tokens_per_second: f64,
    cache_hit_share: f64,
    refused: u64,
    waits: u64,
    p99_by_seed: Vec<u64>,
}

/// Runs the experiment and writes `routing.csv` and one plot for each site and pool.
///
/// # Errors
/// When the command line is wrong or a result can't be written.
pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seeds", "runs of each scenario and policy (default 5)", "COUNT");
    flags.optopt("", "seconds", "virtual time that is measured in each run (default 300)", "SECONDS");
    flags.optopt(
        "",
        "tolerated-start-ms",
        "a first token within this time is no congestion (default: the core's)",
        "MILLISECONDS",
    );
    flags.optopt("", "pool", "one pool only (default: all)", "NAME");
    flags.optopt("", "output", "folder for the results (default: docs/measures)", "FOLDER");
    flags.optflag("h", "help", "print this help and end");
    let Some(matches) = arguments::parse("experiment routing", &flags, arguments)? else {
        return Ok(());
    };
    let seeds: u64 = arguments::value_or(&matches, "seeds", "5")?;
    let measured = Duration::from_secs(arguments::value_or(&matches, "seconds", "300")?);
    let mut config = PoolConfig::default();
    if let Some(milliseconds) = arguments::optional(&matches, "tolerated-start-ms")? {
        config.concurrency.tolerated_start = Duration::from_millis(milliseconds);
    }
    let pool: Option<String> = arguments::optional(&matches, "pool")?;
    let wanted = |scenario: &Scenario| pool.as_ref().is_none_or(|pool| scenario.pool == pool);
    let output: PathBuf = arguments::value_or(&matches, "output", "docs/measures")?;
    std::fs::create_dir_all(&output).map_err(|source| not_written(&output, source))?;
    let mut table = header();
    for scenario in Scenario::all().into_iter().filter(wanted) {
        let results = PolicyKind::ALL.map(|kind| repeat(&scenario, kind, config, seeds, measured));
        for result in &results {
            write_row(&mut table, &scenario, result);
        }
        let path = output.join(format!("routing-{}-{}.svg", scenario.site, scenario.pool));
        let title = format!("{} {}: live requests", scenario.site, scenario.pool);
        plot::latency(&path, &title, &results)?;
    }
    print!("{table}");
    let path = output.join("routing.csv");
    std::fs::write(&path, table).map_err(|source| not_written(&path, source))
}

fn repeat(
    scenario: &Scenario,
    kind: PolicyKind,
    config: PoolConfig,
    seeds: u64,
    measured: Duration,
) -> PolicyResult {
    let mut result = PolicyResult {
        kind,
        live_whole: histogram(),
        live_first: histogram(),
        tokens_per_second: 0.0,
        cache_hit_share: 0.0,
        refused: 0,
        waits: 0,
        p99_by_seed: Vec::new(),
    };
    for seed in 1..=seeds {
        let outcome = World::new(scenario, kind, config, seed).run(measured);
        result.add(&outcome, seeds);
    }
    result
}

impl PolicyResult {
    fn add(&mut self, outcome: &Outcome, seeds: u64) {
        // Both have the same bounds, so the addition can't fail.
        let _ = self.live_whole.add(&outcome.live_whole);
        let _ = self.live_first.add(&outcome.live_first);
        self.tokens_per_second += outcome.tokens_per_second / seeds as f64;
        self.cache_hit_share += outcome.cache_hit_share / seeds as f64;
        self.refused += outcome.refused;
        self.waits += outcome.waits;
        self.p99_by_seed.push(outcome.live_whole.value_at_quantile(0.99));
    }
}

fn header() -> String {
    "site,pool,policy,live_requests,whole_p50_ms,whole_p99_ms,whole_p99_ms_lowest_seed,whole_p99_ms_highest_seed,\
     first_token_p50_ms,first_token_p99_ms,tokens_per_second,cache_hit_share,engine_refusals,waits_at_limit\n"
        .to_owned()
}

fn write_row(table: &mut String, scenario: &Scenario, result: &PolicyResult) {
    let milliseconds = |microseconds: u64| microseconds as f64 / 1_000.0;
    let quantile = |histogram: &Histogram<u64>, quantile| milliseconds(histogram.value_at_quantile(quantile));
    let lowest = result.p99_by_seed.iter().min().copied().unwrap_or_default();
    let highest = result.p99_by_seed.iter().max().copied().unwrap_or_default();
    // Writing to a string can't fail.
    let _ = writeln!(
        table,
        "{},{},{},{},{:.1},{:.1},{:.1},{:.1},{:.1},{:.1},{:.0},{:.3},{},{}",
        scenario.site,
        scenario.pool,
        result.kind.as_str(),
        result.live_whole.len(),
        quantile(&result.live_whole, 0.5),
        quantile(&result.live_whole, 0.99),
        milliseconds(lowest),
        milliseconds(highest),
        quantile(&result.live_first, 0.5),
        quantile(&result.live_first, 0.99),
        result.tokens_per_second,
        result.cache_hit_share,
        result.refused,
        result.waits,
    );
}

fn not_written(path: &Path, source: std::io::Error) -> LabError {
    LabError::Io {
        action: format!("write {}", path.display()),
        remedy: "give --output a folder that can be written",
        source,
    }
}
