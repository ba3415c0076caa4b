//! Exports the membership protocol's counters as metrics.
//!
//! Keeps the counters last exported, so that metrics grow by the difference.

use lichenpulley_core::membership::Counters;
use prometheus::{IntCounter, IntGauge, Registry};

/// Size of a UDP and an IPv4 header; IPv6 headers have 20 bytes more.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Metrics of one node's membership protocol, registered once.
pub(super) struct ProtocolMetrics {
    live_members: IntGauge,
    bytes_sent: IntCounter,
    bytes_received: IntCounter,
    undecodable: IntCounter,
    probes_unanswered: IntCounter,
    stall_credit_ms: IntCounter,
    last: Counters,
}

impl ProtocolMetrics {
    /// Registers the metrics.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let live_members = IntGauge::new("lichenpulley_membership_live_members", "Members held to be live")?;
        registry.register(Box::new(live_members.clone()))?;
        Ok(Self {
            live_members,
            bytes_sent: counter(
                "lichenpulley_membership_sent_bytes_total",
                "Bytes sent by the membership protocol, UDP and IPv4 headers counted",
            )?,
            bytes_received: counter(
                "lichenpulley_membership_received_bytes_total",
                "Bytes received by the membership protocol, UDP and IPv4 headers counted",
            )?,
            undecodable: counter(
                "lichenpulley_membership_undecodable_total",
                "Datagrams dropped because they could not be decoded",
            )?,
            probes_unanswered: counter(
                "lichenpulley_membership_probes_unanswered_total",
                "Probes that neither the member nor another in its place answered",
            )?,
            stall_credit_ms: counter(
                "lichenpulley_membership_stall_credit_ms_total",
                "Own stalls, in milliseconds, that were not counted against other members",
            )?,
            last: Counters::default(),
        })
    }

    /// Adds the changes since the last call.
    pub(super) fn record(&mut self, counters: Counters, live_members: usize) {
        let last = std::mem::replace(&mut self.last, counters);
        self.live_members.set(i64::try_from(live_members).unwrap_or(i64::MAX));
        let sent = counters.datagrams_sent - last.datagrams_sent;
        self.bytes_sent.inc_by(counters.bytes_sent - last.bytes_sent + sent * DATAGRAM_HEADER_BYTES);
        let received = counters.datagrams_received - last.datagrams_received;
        self.bytes_received
            .inc_by(counters.bytes_received - last.bytes_received + received * DATAGRAM_HEADER_BYTES);
        self.undecodable.inc_by(counters.undecodable - last.undecodable);
        self.probes_unanswered.inc_by(counters.probes_unanswered - last.probes_unanswered);
        self.stall_credit_ms.inc_by(counters.stall_credit_us / 1_000 - last.stall_credit_us / 1_000);
    }
}
