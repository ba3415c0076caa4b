//! Prompts in groups that share a prefix, a few of them popular. The lengths of their answers are long-tailed by
//! [`crate::engine::answer`].

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Words that prefixes are made of.
const WORDS: [&str; 8] = ["screen", "battery", "market", "permit", "stall", "ticket", "price", "repair"];

/// Groups that share a prefix; the n-th is drawn in proportion to 1/n. Chosen, not measured: enough for a few
/// popular ones and many rare ones.
const PREFIX_GROUPS: u32 = 32;

/// Bytes of each prefix. Chosen, not measured: eight blocks of the stand-in engine's prefix cache.
const PREFIX_BYTES: usize = 512;

/// The seed of the draws: every run draws the same prompts.
const SEED: u64 = 1;

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
}

impl Default for Workload {
    /// A workload; each draws the same prompts.
    fn default() -> Self {
        let weights = (1..=PREFIX_GROUPS).scan(0.0, |sum, rank| {
            *sum += 1.0 / f64::from(rank);
            Some(*sum)
        });
        Self {
            random: Pcg64Mcg::seed_from_u64(SEED),
            prefixes: (0..PREFIX_GROUPS).map(|group| prefix(group, PREFIX_BYTES)).collect(),
            cumulative_weights: weights.collect(),
            drawn: 0,
        }
    }
}

impl Workload {
    /// The next prompt; no two are alike.
    pub fn draw(&mut self) -> Prompt {
        let whole = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let point = self.random.random_range(0.0..whole);
        let group = self.cumulative_weights.partition_point(|weight| *weight <= point);
        self.drawn += 1;
        let prefix = &self.prefixes[group.min(self.prefixes.len() - 1)];
        Prompt { text: format!("{prefix}question {}-{}", SEED, self.drawn), seed: self.random.random() }
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
