//! Creates and registers metrics.
//!
//! Panics on an invalid or duplicate name. Names and labels are constants of this crate, so such an error fails every start
//! of a node.

use prometheus::core::Collector;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Registers a gauge without labels.
pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

/// Registers a gauge with labels.
pub(super) fn gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(registry, IntGaugeVec::new(Opts::new(name, help), labels))
}

/// Registers a counter with labels.
pub(super) fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

/// Registers a histogram of seconds with labels; `bounds` are the upper bounds of its buckets.
pub(super) fn histogram_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    bounds: &[f64],
    labels: &[&str],
) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    register(registry, HistogramVec::new(options, labels))
}

/// Registers processor time, memory and open files of the process, under the standard names of Prometheus clients. They
/// show the resource budget of the control thread (docs/CAPACITY.md).
#[cfg(target_os = "linux")]
pub(super) fn register_process_metrics(registry: &Registry) {
    let process = prometheus::process_collector::ProcessCollector::for_self();
    registry.register(Box::new(process)).expect("registered once");
}

/// Does nothing: the library has a process collector only for Linux.
#[cfg(not(target_os = "linux"))]
pub(super) fn register_process_metrics(_registry: &Registry) {}

/// Converts a count to the value of a gauge, saturating.
pub(super) fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn register<M: Collector + Clone + 'static>(registry: &Registry, created: Result<M, prometheus::Error>) -> M {
    let metric = created.expect("a valid name");
    registry.register(Box::new(metric.clone())).expect("registered once");
    metric
}
