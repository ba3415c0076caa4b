//! How long requests, runs, appends and orders take.

use std::time::Duration;

use prometheus::{HistogramVec, Registry};

use super::registration;

/// What a latency is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// A plain request, from the time it was read whole to its answer.
    Request,
    /// A stream, to the head of its answer.
    StreamBegin,
    /// A run of an item of a batch job.
    ItemRun,
    /// An append to the log of the batch jobs.
    Append,
    /// An order to a replica, until it reports what was ordered.
    Order,
    /// A score request at one replica.
    Score,
}

impl Latency {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::StreamBegin => "stream_begin",
            Self::ItemRun => "item_run",
            Self::Append => "append",
            Self::Order => "order",
            Self::Score => "score",
        }
    }
}

/// Upper bounds of the latency histograms, in seconds, each at most some twice the one before. Chosen, not measured:
/// with wider steps a percentile read from the histogram would be off by more than that factor.
const LATENCY_BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// One histogram for each kind of latency and outcome.
#[derive(Clone)]
pub(super) struct LatencyMetrics(HistogramVec);

impl LatencyMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        let help = "Latencies by what they are of and their outcome";
        let labels = ["of", "outcome"];
        let name = "lichenpulley_latency_seconds";
        Self(registration::histograms(registry, name, help, &LATENCY_BOUNDS, &labels))
    }

    pub(super) fn observe(&self, latency: Latency, outcome: &str, took: Duration) {
        self.0.with_label_values(&[latency.as_str(), outcome]).observe(took.as_secs_f64());
    }
}
