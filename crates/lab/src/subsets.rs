//! `lichenpulley-lab compare-subsets`: how evenly 410 gateways load 870 replicas when each uses a subset.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::time::Duration;

use lichenpulley_core::identity::{NodeId, ReplicaId};
use lichenpulley_core::routing::subset;
use lichenpulley_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::arguments;
use crate::engine::answer::Answer;
use crate::error::LabError;

const GATEWAYS: usize = 410;
const REPLICAS: usize = 870;
const REQUESTS_PER_SECOND: u64 = 9_900;
/// Virtual time; the first half fills the replicas, the second is measured.
const SECONDS: u64 = 30;
/// Time of a token.
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Replicas of a subset that a request is weighed among.
const CANDIDATES: usize = 4;
/// A gateway knows what its own requests told it, at most this old, as loads ride on answers.
const LOAD_LAG: Duration = Duration::from_millis(200);

/// `lichenpulley-lab compare-subsets`.
///
/// # Errors
/// When the command line is wrong.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seed", "seed of the requests (default 1)", "SEED");
    flags.optflag("h", "help", "print this help and end");
    let Some(matches) = arguments::parse("compare-subsets", &flags, arguments)? else {
        return Ok(());
    };
    let seed = arguments::value_or(&matches, "seed", "1")?;
    println!("{:>11} {:>22} {:>20}", "subset", "most loaded / mean", "unused replicas");
    for size in [4, 8, 16, 32, 64, 870] {
        println!("{size:>11} {}", measure(size, seed));
    }
    Ok(())
}

/// How evenly the replicas were loaded.
#[derive(Clone, Copy, Debug)]
pub struct SubsetBalance {
    /// Streams at the most loaded replica, over the mean, averaged over looks.
    pub most_over_mean: f64,
    /// Replicas in no subset.
    pub unused: usize,
}

impl fmt::Display for SubsetBalance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:>22.2} {:>20}", self.most_over_mean, self.unused)
    }
}

/// Runs requests of the letter's rate over subsets of `size`: each goes to the least loaded of a few replicas of
/// its gateway's subset, by the loads of 200 ms ago.
pub fn measure(size: usize, seed: u64) -> SubsetBalance {
    let subsets = subsets(size);
    let mut used = vec![false; REPLICAS];
    subsets.iter().flatten().for_each(|replica| used[*replica] = true);

    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut streams = vec![0_u32; REPLICAS];
    let mut reported = streams.clone();
    let mut reported_at = Timestamp::ORIGIN;
    let mut ends: BinaryHeap<Reverse<(Timestamp, usize)>> = BinaryHeap::new();
    let (mut ratios, mut looks) = (0.0, 0);
    for number in 0..SECONDS * REQUESTS_PER_SECOND {
        let now = Timestamp::from_micros(number * 1_000_000 / REQUESTS_PER_SECOND);
        while ends.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, replica))) = ends.pop() {
                streams[replica] -= 1;
            }
        }
        if now >= reported_at + LOAD_LAG {
            reported.clone_from(&streams);
            reported_at = now;
            if now.as_micros() > SECONDS * 500_000 {
                ratios += most_over_mean(&streams);
                looks += 1;
            }
        }
        let subset = &subsets[random.random_range(0..GATEWAYS)];
        let drawn = (0..CANDIDATES).map(|_| subset[random.random_range(0..subset.len())]);
        let Some(replica) = drawn.min_by_key(|replica| reported[*replica]) else { continue };
        streams[replica] += 1;
        let tokens = Answer::of("subset", number).token_count(u32::MAX);
        ends.push(Reverse((now + TOKEN_TIME * tokens, replica)));
    }
    let unused = used.iter().filter(|used| !**used).count();
    SubsetBalance { most_over_mean: ratios / f64::from(looks.max(1)), unused }
}

fn subsets(size: usize) -> Vec<Vec<usize>> {
    let replicas: Vec<ReplicaId> = (0..REPLICAS).map(|number| ReplicaId::new(format!("{number}"))).collect();
    let number = |replica: &ReplicaId| replica.as_str().parse().unwrap_or(0);
    (0..GATEWAYS)
        .map(|gateway| {
            let node = NodeId::new(format!("gateway-{gateway}"));
            subset::choose(&node, &replicas, size).into_iter().map(number).collect()
        })
        .collect()
}

fn most_over_mean(streams: &[u32]) -> f64 {
    let total: u32 = streams.iter().sum();
    let most = streams.iter().copied().max().unwrap_or(0);
    f64::from(most) * streams.len() as f64 / f64::from(total.max(1))
}
