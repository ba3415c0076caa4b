//! Prometheus metrics of the store.
//!
//! They are registered once per registry; operators rely on the names.

use prometheus::{IntCounter, IntGauge, Registry};

/// Counters and gauges that the store thread updates.
#[derive(Clone)]
pub(super) struct StoreMetrics {
    requests: IntCounter,
    syncs: IntCounter,
    failures: IntCounter,
    used_bytes: IntGauge,
}

impl StoreMetrics {
    /// Registers the metrics.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            requests: IntCounter::new("lichenpulley_store_requests_total", "Requests done by the store")?,
            syncs: IntCounter::new("lichenpulley_store_syncs_total", "Transactions synced to the disk")?,
            failures: IntCounter::new("lichenpulley_store_failures_total", "Transactions dropped")?,
            used_bytes: IntGauge::new("lichenpulley_store_used_bytes", "Bytes of entries and claims kept")?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.syncs.clone()))?;
        registry.register(Box::new(metrics.failures.clone()))?;
        registry.register(Box::new(metrics.used_bytes.clone()))?;
        Ok(metrics)
    }

    pub(super) fn record_transaction(&self, requests: usize, used_bytes: u64, synced: bool) {
        self.requests.inc_by(requests as u64);
        if synced {
            self.syncs.inc();
        }
        self.used_bytes.set(i64::try_from(used_bytes).unwrap_or(i64::MAX));
    }

    pub(super) fn record_failure(&self) {
        self.failures.inc();
    }

    /// Returns the number of transactions synced so far.
    pub(super) fn syncs(&self) -> u64 {
        self.syncs.get()
    }
}
