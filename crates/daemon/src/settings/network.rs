//! The tables `[peers]`, `[gateway]` and `[membership]`: connections to other nodes, callers and engines, and failure
//! detection.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::SettingsReader;

/// The table `[peers]`: connections to other nodes.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Addresses contacted to join the cluster, in addition to the nodes of the machine list.
    pub seeds: Vec<SocketAddr>,
    /// Idle time after which a connection is closed.
    pub idle: Duration,
    /// Timeout of connecting to a peer.
    pub connect_timeout: Duration,
    /// Time without any acknowledged data after which a connection is closed and opened again. The operating system
    /// keeps a connection to a lost peer for about 15 minutes, during which each call on it fails at its deadline.
    pub stall_timeout: Duration,
}

impl PeerSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            seeds: reader.address_list("peers.seeds"),
            idle: reader.milliseconds("peers.idle_ms", 60_000, 1_000..=3_600_000),
            connect_timeout: reader.milliseconds("peers.connect_timeout_ms", 500, 10..=10_000),
            stall_timeout: reader.milliseconds("peers.stall_timeout_ms", 10_000, 1_000..=600_000),
        }
    }
}

/// The table `[gateway]`: callers' requests.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// How long a replica is eligible for new work after its last confirmation. It bounds the time in which requests may
    /// still be routed to a replica that has left.
    pub eligibility: Duration,
    /// Deadline of a request without one of its own, until the settings tree is loaded. The tree's
    /// `request_deadline_ms` has the same default.
    pub default_deadline: Duration,
    /// Timeout of connecting to an engine.
    pub connect_timeout: Duration,
    /// Time without progress after which a response to a caller is aborted, so that a caller that stopped reading does
    /// not block a planned stop.
    pub stall_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Number of traffic threads; 0 for one per processor.
    pub traffic_threads: usize,
}

impl GatewaySettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            eligibility: reader.milliseconds("gateway.eligibility_ms", 3_000, 200..=10_000),
            default_deadline: reader.milliseconds("gateway.default_deadline_ms", 120_000, 100..=3_600_000),
            connect_timeout: reader.milliseconds("gateway.connect_timeout_ms", 500, 10..=10_000),
            stall_timeout: reader.milliseconds("gateway.stall_timeout_ms", 30_000, 1_000..=600_000),
            body_limit_bytes: reader.count("gateway.body_limit_bytes", 4 << 20, 1_024..=(64 << 20)),
            traffic_threads: reader.count("gateway.traffic_threads", 0, 0..=1_024),
        }
    }
}

/// The table `[membership]`: failure detection. Short values declare live nodes failed and move their shards; long values
/// leave shards with a failed owner. `core/membership/config` explains how the defaults relate.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Interval between probes; each probes one member.
    pub probe_interval: Duration,
    /// Timeout of a direct probe, after which the member is probed indirectly through others.
    pub probe_timeout: Duration,
    /// Suspicion timeout, in probe intervals times the decimal logarithm of the cluster's size. A suspected member that
    /// has not refuted the suspicion by then is declared failed.
    pub suspicion_multiplier: u32,
}

impl MembershipSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            probe_interval: reader.milliseconds("membership.probe_interval_ms", 500, 20..=60_000),
            probe_timeout: reader.milliseconds("membership.probe_timeout_ms", 150, 5..=30_000),
            suspicion_multiplier: reader.number_u32("membership.suspicion_multiplier", 5, 1..=100),
        }
    }
}
