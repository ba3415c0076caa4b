//! Prompts in groups that share a prefix, a few of them popular. The lengths of their answers are long-tailed by
//! [`crate::engine::answer`].

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Words that prefixes are made of.
const WORDS: [&str; 8] = ["screen", "battery", "market", "permit", "stall", "ticket", "price", "repair"];

/// How prompts are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkloadConfig {
    /// Groups that share a prefix; the n-th is drawn in proportion to 1/n.
    pub prefix_groups: u32,
    /// Bytes of each prefix.
    pub prefix_bytes: usize,
    /// The seed of the draws.
    pub seed: u64,
}

impl Default for WorkloadConfig {
    fn default() -> Self {
        Self { prefix_groups: 32, prefix_bytes: 512, seed: 1 }
    }
}

/// One prompt, and the seed under which it is sampled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The text.
    pub text: String,
    /// The seed of sampling.
    pub seed: u64,
}

/// Draws prompts.
#[derive(Clone, Debug)]
pub struct Workload {
    random: Pcg64Mcg,
    prefixes: Vec<String>,
    cumulative_weights: Vec<f64>,
    drawn: u64,
    seed: u64,
}

impl Workload {
    /// A workload; the same configuration draws the same prompts.
    pub fn new(config: WorkloadConfig) -> Self {
        let groups = config.prefix_groups.max(1);
        let weights = (1..=groups).scan(0.0, |sum, rank| {
            *sum += 1.0 / f64::from(rank);
            Some(*sum)
        });
        Self {
            random: Pcg64Mcg::seed_from_u64(config.seed),
            prefixes: (0..groups).map(|group| prefix(group, config.prefix_bytes)).collect(),
            cumulative_weights: weights.collect(),
            drawn: 0,
            seed: config.seed,
        }
    }

    /// The next prompt; no two are alike.
    pub fn draw(&mut self) -> Prompt {
        let whole = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let point = self.random.random_range(0.0..whole);
        let group = self.cumulative_weights.partition_point(|weight| *weight <= point);
        self.drawn += 1;
        let prefix = &self.prefixes[group.min(self.prefixes.len() - 1)];
        Prompt { text: format!("{prefix}question {}-{}", self.seed, self.drawn), seed: self.random.random() }
    }

    /// The time to the next arrival of a Poisson process with this rate, in seconds.
    pub fn next_gap(&mut self, per_second: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() / per_second
    }
}

fn prefix(group: u32, bytes: usize) -> String {
    let mut text = format!("group {group} ");
    let mut words = WORDS.iter().cycle().skip(group as usize % WORDS.len());
    while text.len() < bytes {
        text.push_str(words.next().copied().unwrap_or("word"));
        text.push(' ');
    }
    text.truncate(bytes);
    text
}
