//! `lichenpulley-lab simulate-weights`: schedules under faults, and the time of a wave at a given size.

use std::time::Duration;

use getopts::{Matches, Options};
use lichenpulley_core::weights::WaveConfig;

use super::world::{Mechanisms, WaveSize, run_seed, time_until_all};
use crate::error::LabError;

/// Schedules tried where none are named.
const DEFAULT_SEEDS: u64 = 200;
/// Violations printed in full.
const PRINTED_VIOLATIONS: usize = 10;
/// Concurrent fetches that are compared.
const CONCURRENT_LOADS: [usize; 5] = [32, 64, 128, 256, 435];

/// Runs schedules, or with `--replicas` prints the time until all replicas have new weights.
///
/// # Errors
/// When the arguments can't be used, or when an invariant was broken.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = Options::new();
    options.optopt("", "seeds", "schedules to try (default 200)", "NUMBER");
    options.optopt("", "replicas", "measure a wave over so many replicas without engines instead", "NUMBER");
    options.optopt(
        "",
        "bound-seconds",
        "time in which the store's rate alone would do it (default 18)",
        "NUMBER",
    );
    options.optopt("", "link-seconds", "time of one fetch at the replica's own link (default 3)", "NUMBER");
    options.optopt("", "swap-ms", "time of a swap in a replica (default 500)", "NUMBER");
    options.optflag("h", "help", "print this help and end");
    let matches = options.parse(arguments).map_err(|error| LabError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("usage: lichenpulley-lab simulate-weights [options]"));
        return Ok(());
    }
    match number(&matches, "replicas", 0)? {
        0 => run_schedules(number(&matches, "seeds", DEFAULT_SEEDS)?),
        replicas => measure(&matches, replicas),
    }
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64, LabError> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().map_err(|_| LabError::Usage(format!("--{name} takes a whole number, not `{text}`")))
}

fn run_schedules(seeds: u64) -> Result<(), LabError> {
    let (mut faults, mut broken) = (0, 0);
    for seed in 0..seeds {
        let report = run_seed(seed, Mechanisms::default());
        faults += report.faults;
        if report.violations.is_empty() {
            continue;
        }
        broken += 1;
        if broken <= PRINTED_VIOLATIONS {
            println!("seed {seed}: {:?}", report.violations);
        }
    }
    println!("schedules tried   {seeds}");
    println!("schedules broken  {broken}");
    println!("faults            {faults}");
    if broken > 0 {
        return Err(LabError::CheckFailed(format!("{broken} schedules broke an invariant")));
    }
    Ok(())
}

fn measure(matches: &Matches, replicas: u64) -> Result<(), LabError> {
    let weight_bytes = 16e9;
    let replicas = usize::try_from(replicas).unwrap_or(usize::MAX);
    let bound = number(matches, "bound-seconds", 18)?.max(1);
    let link = number(matches, "link-seconds", 3)?.max(1);
    let size = WaveSize {
        replicas,
        weight_bytes,
        store_bytes_per_second: replicas as f64 * weight_bytes / bound as f64,
        link_bytes_per_second: weight_bytes / link as f64,
        swap_time: Duration::from_millis(number(matches, "swap-ms", 500)?),
        swap_failure: 0.0,
    };
    println!("{replicas} replicas, the store's rate alone allows {:.1} s", size.least_time().as_secs_f64());
    println!("concurrent fetches   time until all have the version");
    for max_concurrent_loads in CONCURRENT_LOADS {
        let config = WaveConfig { max_concurrent_loads, ..WaveConfig::default() };
        match time_until_all(size, config) {
            Some(time) => println!("{max_concurrent_loads:18}   {:.1} s", time.as_secs_f64()),
            None => println!("{max_concurrent_loads:18}   not within an hour"),
        }
    }
    Ok(())
}
