//! `[peers]`, `[gateway]` and `[membership]`: connections to other nodes, to callers and engines, and liveness of nodes.
//!
//! The text of a default says where its figure comes from; "chosen" means that it was not measured.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::SettingsReader;

/// `[peers]`: connections to other nodes.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Nodes asked first when this one joins; the machine list adds to them.
    pub seeds: Vec<SocketAddr>,
    /// A connection unused for this time is closed. Chosen: shorter costs a handshake more often, longer keeps sockets of
    /// nodes that are seldom asked.
    pub idle: Duration,
    /// A connection that takes longer to make is given up. Chosen: shorter fails behind a busy peer, longer delays what
    /// waits for one that is gone.
    pub connect_timeout: Duration,
    /// A peer that takes or acknowledges nothing for this time is given up, and the connection made anew: the
    /// system alone keeps a connection to a vanished peer for a quarter of an hour, and each call on it ends at its
    /// deadline. Chosen: shorter cuts off peers on a slow link, longer lets calls go on failing.
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

/// `[gateway]`: callers' requests.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// A replica that has not confirmed itself for this time gets no new work: within a few seconds after it leaves
    /// nothing may reach it (promise P7). Longer breaks that, shorter drops replicas whose reports are late.
    pub eligibility: Duration,
    /// The deadline of a request that names none, until the settings tree is known. The tree's `request_deadline_ms`
    /// has the same default. Chosen, not measured: shorter ends long answers, longer holds slots for callers that have left.
    pub default_deadline: Duration,
    /// A connection to an engine that takes longer to make is given up. Chosen, as `peers.connect_timeout_ms`.
    pub connect_timeout: Duration,
    /// A caller that takes nothing of its answer for this time is given up. Chosen: shorter cuts off slow readers,
    /// longer lets one that stopped reading hold up a planned stop.
    pub stall_timeout: Duration,
    /// Largest request body, in bytes. Chosen: smaller refuses long prompts, larger costs a
    /// gateway more memory for each request that it reads.
    pub body_limit_bytes: usize,
    /// Threads that carry traffic; 0 for one for each processor. Chosen, not measured: fewer leave processors idle, more
    /// take turns on them.
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

/// `[membership]`: liveness of nodes. Too short takes live nodes for dead and moves their shards, too long keeps shards
/// with a dead owner. `core/membership/config` says how the defaults belong together.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// One member is probed in each interval.
    pub probe_interval: Duration,
    /// A probe unanswered for this time is tried through others.
    pub probe_timeout: Duration,
    /// A suspected member that has not refuted it after this many probe intervals, times the decimal logarithm of the
    /// cluster's size, is taken as failed.
    pub suspicion_multiplier: u32,
}

impl MembershipSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            probe_interval: reader.milliseconds("membership.probe_interval_ms", 500, 20..=60_000),
            probe_timeout: reader.milliseconds("membership.probe_timeout_ms", 150, 5..=30_000),
            suspicion_multiplier: reader.small_number("membership.suspicion_multiplier", 5, 1..=100),
        }
    }
}
