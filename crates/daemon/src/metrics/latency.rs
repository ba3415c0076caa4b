//! Latency histograms of requests, runs, appends and orders.

use std::time::Duration;

use prometheus::{HistogramVec, Registry};

use super::registration;

/// Kind of operation whose latency is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// A request without streaming, from the end of its body to its response.
    Request,
    /// A streaming request, from the end of its body to the head of its response.
    StreamBegin,
    /// A run of a batch item.
    ItemRun,
    /// An append to the log of the batch jobs.
    Append,
    /// An order to a replica, until the replica reports that it is done.
    Order,
    /// A score request to one replica.
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

/// Upper bounds of the histogram buckets, in seconds. Each is at most about 2.5 times the previous one, which limits the
/// error of percentiles derived from the histogram.
const LATENCY_BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Histograms by kind of operation and outcome.
#[derive(Clone)]
pub(super) struct LatencyMetrics(HistogramVec);

impl LatencyMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        let help = "Latencies by what they are of and their outcome";
        let labels = ["of", "outcome"];
        let name = "lichenpulley_latency_seconds";
        Self(registration::histogram_vec(registry, name, help, &LATENCY_BUCKETS, &labels))
    }

    pub(super) fn observe(&self, latency: Latency, outcome: &str, elapsed: Duration) {
        self.0.with_label_values(&[latency.as_str(), outcome]).observe(elapsed.as_secs_f64());
    }
}
