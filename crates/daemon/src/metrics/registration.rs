//! Makes metrics and registers them.
//!
//! Names and labels are constants of this crate, each registered once for a registry, so Prometheus can't refuse them;
//! a name that it does refuse is a fault in this crate that every start of a node shows.

use prometheus::core::Collector;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// A gauge without labels.
pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    registered(registry, IntGauge::new(name, help))
}

/// A gauge for each combination of labels.
pub(super) fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    registered(registry, IntGaugeVec::new(Opts::new(name, help), labels))
}

/// A counter for each combination of labels.
pub(super) fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    registered(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

/// A histogram of seconds, with these upper bounds, for each combination of labels.
pub(super) fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    bounds: &[f64],
    labels: &[&str],
) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    registered(registry, HistogramVec::new(options, labels))
}

/// Processor time, memory and open files of the process, under the names that every Prometheus client uses. The
/// budget of control (docs/CAPACITY.md) is watched by them.
#[cfg(target_os = "linux")]
pub(super) fn process(registry: &Registry) {
    let process = prometheus::process_collector::ProcessCollector::for_self();
    registry.register(Box::new(process)).expect("registered once");
}

/// Elsewhere the library has no collector for the process.
#[cfg(not(target_os = "linux"))]
pub(super) fn process(_registry: &Registry) {}

/// A count as a gauge holds it.
pub(super) fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn registered<M: Collector + Clone + 'static>(registry: &Registry, made: Result<M, prometheus::Error>) -> M {
    let metric = made.expect("a valid name");
    registry.register(Box::new(metric.clone())).expect("registered once");
    metric
}
