//! Metrics of a gateway that serves the platform API: cold replicas, evacuated zones, quarantined requests, early moves,
//! refusals, questions for base latencies, and probes.

use lichenpulley_core::ingress::warmups::ColdCount;
use lichenpulley_core::retry::early_moves::{EarlyMoveDenial, EarlyMoveResult};
use lichenpulley_protocol::operator::RegionRefusals;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::registration::{self, to_gauge};

/// Gauges and counters of a gateway that serves the platform API.
#[derive(Clone)]
pub(super) struct IngressMetrics {
    cold_replicas: IntGaugeVec,
    evacuated_zones: IntGauge,
    quarantined_requests: IntGauge,
    unread_answer_bytes: IntGauge,
    request_body_bytes: IntGauge,
    region_refusals: IntCounterVec,
    refusals: IntCounterVec,
    early_moves: IntCounterVec,
    early_move_denials: IntCounterVec,
    shared_base_answers: IntCounterVec,
    probes: IntCounterVec,
}

impl IngressMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            cold_replicas: registration::gauge_vec(
                registry,
                "lichenpulley_cold_replicas",
                "Cold replicas, by whether this gateway has a share of what they bear",
                &["share"],
            ),
            evacuated_zones: registration::gauge(
                registry,
                "lichenpulley_evacuated_zones",
                "Zones whose replicas this node sends nothing, as the operator asked",
            ),
            quarantined_requests: registration::gauge(
                registry,
                "lichenpulley_quarantined_requests",
                "Requests that this node keeps from all replicas, since replicas ended under them",
            ),
            unread_answer_bytes: registration::gauge(
                registry,
                "lichenpulley_unread_answer_bytes",
                "Bytes kept for callers that have not read them yet",
            ),
            request_body_bytes: registration::gauge(
                registry,
                "lichenpulley_request_body_bytes",
                "Memory that request bodies hold, and what was made of them",
            ),
            region_refusals: registration::counter_vec(
                registry,
                "lichenpulley_region_refusals_total",
                "Requests refused that are bound to some regions, by these and by reason",
                &["regions", "reason"],
            ),
            refusals: registration::counter_vec(
                registry,
                "lichenpulley_refusals_total",
                "Requests of callers refused, by reason",
                &["reason"],
            ),
            early_moves: registration::counter_vec(
                registry,
                "lichenpulley_early_moves_total",
                "Plain requests that moved to another replica to be answered within their target, by result",
                &["result"],
            ),
            early_move_denials: registration::counter_vec(
                registry,
                "lichenpulley_early_moves_denied_total",
                "Plain requests that were overdue and did not move early, by reason",
                &["reason"],
            ),
            shared_base_answers: registration::counter_vec(
                registry,
                "lichenpulley_shared_base_latency_questions_total",
                "Questions for base latencies of replicas to the owner of the batch jobs, by answer",
                &["answer"],
            ),
            probes: registration::counter_vec(
                registry,
                "lichenpulley_load_probes_total",
                "Requests before which the load of two replicas was queried, by result",
                &["result"],
            ),
        }
    }

    pub(super) fn set_cold_replicas(&self, count: ColdCount) {
        let set = |share: &str, count: usize| {
            self.cold_replicas.with_label_values(&[share]).set(to_gauge(count));
        };
        set("own", count.sendable);
        set("none", count.cold - count.sendable);
    }

    pub(super) fn set_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.set(to_gauge(zones));
    }

    pub(super) fn set_quarantined_requests(&self, requests: usize) {
        self.quarantined_requests.set(to_gauge(requests));
    }

    pub(super) fn set_request_body_bytes(&self, bytes: u64) {
        self.request_body_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(super) fn set_unread_answer_bytes(&self, bytes: u64) {
        self.unread_answer_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(super) fn count_region_refusal(&self, regions: &str, reason: &str) {
        self.region_refusals.with_label_values(&[regions, reason]).inc();
    }

    pub(super) fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_early_move(&self, result: EarlyMoveResult) {
        self.early_moves.with_label_values(&[result.as_str()]).inc();
    }

    pub(super) fn count_early_move_denial(&self, denial: EarlyMoveDenial) {
        self.early_move_denials.with_label_values(&[denial.as_str()]).inc();
    }

    pub(super) fn count_shared_base_question(&self, answer: &str) {
        self.shared_base_answers.with_label_values(&[answer]).inc();
    }

    pub(super) fn count_probes(&self, result: &str) {
        self.probes.with_label_values(&[result]).inc();
    }

    /// Returns the number of refusals by regions and reason.
    pub(super) fn region_refusals(&self) -> Vec<RegionRefusals> {
        let families = prometheus::core::Collector::collect(&self.region_refusals);
        let metrics = families.iter().flat_map(|family| family.get_metric());
        let read = |metric: &prometheus::proto::Metric| {
            // Every metric of the family has both labels, so the default is never used.
            let label = |name: &str| {
                let label = metric.get_label().iter().find(|label| label.name() == name);
                label.map(|label| label.value().to_owned()).unwrap_or_default()
            };
            let count = metric.get_counter().get_value() as u64;
            RegionRefusals { regions: label("regions"), reason: label("reason"), count }
        };
        metrics.map(read).collect()
    }
}
