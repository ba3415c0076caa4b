//! Decides when a gateway queries the load of two replicas just before it sends a request.
//!
//! A gateway that sees few answers does not know the present load of any replica. During a shortage, when some replicas
//! have queues and others do not, the load of two candidates just before a send is worth the two queries (the power of
//! two choices; Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024). Outside a
//! shortage they would only add load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Time for which an answer shows that there is a shortage. In a large deployment, a gateway sees one answer of a service
/// in about five seconds.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(10);
/// Time without probes after those that showed no load, for example because the health path does not report it.
const NO_LOAD_BACKOFF: Backoff = Backoff::new(Duration::from_secs(1), Duration::from_secs(60));

/// What this node knows of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceState {
    shortage_until: Timestamp,
    /// Whether the last request during the shortage was probed; the next one is not, which bounds the cost.
    was_last_probed: bool,
    not_before: Timestamp,
    /// Consecutive probes that showed no load.
    failures: u32,
}

/// Decides when to probe, by service.
#[derive(Clone, Debug, Default)]
pub struct ProbePolicy {
    /// The services in which there was a shortage.
    services: BTreeMap<String, ServiceState>,
}

impl ProbePolicy {
    /// Records an answer: the requests that waited at the replica, if it reported them, and whether the answer was later
    /// than the route's target.
    pub fn record_answer(&mut self, service: &str, waiting: Option<u32>, is_late: bool, now: Timestamp) {
        if !is_late && waiting.unwrap_or(0) == 0 {
            return;
        }
        self.services.entry(service.to_owned()).or_default().shortage_until = now + SHORTAGE_MEMORY;
    }

    /// Returns whether to probe for a request that is sent now: every other one during a shortage.
    pub fn should_probe(&mut self, service: &str, now: Timestamp) -> bool {
        let Some(state) = self.services.get_mut(service) else { return false };
        if now >= state.shortage_until || now < state.not_before {
            return false;
        }
        state.was_last_probed = !state.was_last_probed;
        state.was_last_probed
    }

    /// Records whether the probes for a request showed the load of the replicas.
    pub fn record_probes(&mut self, service: &str, showed_load: bool, now: Timestamp) {
        let Some(state) = self.services.get_mut(service) else { return };
        if showed_load {
            state.failures = 0;
            return;
        }
        state.failures = state.failures.saturating_add(1);
        state.not_before = now + NO_LOAD_BACKOFF.pause(state.failures);
    }

    /// Drops the services that are no longer configured.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }
}
