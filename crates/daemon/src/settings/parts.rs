//! Settings of each part, each key with its unit, default and bounds.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::placement::ToleranceTarget;
use lichenpulley_core::scaling::ScalingPolicy;
use lichenpulley_core::usage::reporter::ReporterConfig;
use lichenpulley_core::usage::window::WindowLength;
use lichenpulley_platform::cloud::{Duty, duty_named};

use crate::cluster::NodeCapacity;

use super::reader::{Bounds, SettingsReader};

/// `[machine]`: what the machine gives this process.
#[derive(Clone, Copy, Debug)]
pub struct MachineSettings {
    /// The share of one core.
    pub processor_share: f64,
    /// How many times as fast as others that core is.
    pub processor_speed: f64,
    /// Memory, in bytes.
    pub memory_bytes: usize,
}

impl MachineSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            processor_share: reader.fraction("machine.processor_share", 1.0, 0.001..=1_024.0),
            processor_speed: reader.fraction("machine.processor_speed", 1.0, 0.001..=1_024.0),
            memory_bytes: (reader.fraction("machine.memory_mb", 1_024.0, 16.0..=1_048_576.0) * 1e6) as usize,
        }
    }

    /// How much work the machine can do.
    pub fn capacity(&self) -> NodeCapacity {
        NodeCapacity::from_cores(self.processor_share * self.processor_speed)
    }
}

/// `[peers]`: connections to other nodes.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Nodes asked first when this one joins; the machine list adds to them.
    pub seeds: Vec<SocketAddr>,
    /// A connection unused for so long is closed.
    pub idle: Duration,
    /// A connection that is not made by then is given up.
    pub connect_timeout: Duration,
    /// A peer that takes or acknowledges nothing for so long is given up, and the connection made anew.
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
    /// A replica that has not confirmed itself for so long gets no new work (brief point 7).
    pub eligibility: Duration,
    /// The deadline of a request that names none.
    pub default_deadline: Duration,
    /// A connection to an engine that is not made by then is given up.
    pub connect_timeout: Duration,
    /// A caller that takes nothing of its answer for so long is given up.
    pub stall_timeout: Duration,
    /// Largest request body, in bytes.
    pub body_limit_bytes: usize,
    /// Threads that carry traffic; 0 for one for each processor.
    pub traffic_threads: usize,
}

impl GatewaySettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let body_limit = Bounds { default: 4 << 20, accepted: 1_024..=(64 << 20) };
        let threads = Bounds { default: 0, accepted: 0..=1_024 };
        Self {
            eligibility: reader.milliseconds("gateway.eligibility_ms", 3_000, 200..=10_000),
            default_deadline: reader.milliseconds("gateway.default_deadline_ms", 120_000, 100..=3_600_000),
            connect_timeout: reader.milliseconds("gateway.connect_timeout_ms", 500, 10..=10_000),
            stall_timeout: reader.milliseconds("gateway.stall_timeout_ms", 30_000, 1_000..=600_000),
            body_limit_bytes: to_usize(reader.number("gateway.body_limit_bytes", &body_limit)),
            traffic_threads: to_usize(reader.number("gateway.traffic_threads", &threads)),
        }
    }
}

/// `[membership]`: liveness of nodes.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// One member is probed in each interval.
    pub probe_interval: Duration,
    /// A probe unanswered for so long is tried through others.
    pub probe_timeout: Duration,
    /// A suspected member that has not refuted it after so many probe intervals, times the decimal logarithm of the
    /// cluster's size, is taken as failed.
    pub suspicion_multiplier: u32,
}

impl MembershipSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let multiplier = Bounds { default: 5, accepted: 1..=100 };
        let multiplier = reader.number("membership.suspicion_multiplier", &multiplier);
        Self {
            probe_interval: reader.milliseconds("membership.probe_interval_ms", 500, 20..=60_000),
            probe_timeout: reader.milliseconds("membership.probe_timeout_ms", 150, 5..=30_000),
            suspicion_multiplier: u32::try_from(multiplier).unwrap_or(u32::MAX),
        }
    }
}

/// `[configuration]`: the settings tree and the replica directory.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// How often a reader asks the machine list.
    pub poll_interval: Duration,
    /// A call of the platform unanswered for so long is given up.
    pub platform_timeout: Duration,
    /// How long a watch of the object API is held open.
    pub watch_hold: Duration,
    /// Entries of replicas that vanished while the platform's metadata store was away are kept so long after its return.
    pub lapse_grace: Duration,
    /// In a large deployment, how many nodes read the platform's metadata store; the others follow them.
    pub readers: usize,
    /// With fewer coordinators each reads for itself.
    pub follow_from_nodes: usize,
}

impl ConfigurationSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let readers = Bounds { default: 6, accepted: 1..=1_024 };
        let least = Bounds { default: 24, accepted: 2..=1_000_000 };
        Self {
            readers: to_usize(reader.number("configuration.readers", &readers)),
            follow_from_nodes: to_usize(reader.number("configuration.follow_from_nodes", &least)),
            poll_interval: reader.milliseconds("configuration.poll_interval_ms", 1_000, 20..=60_000),
            platform_timeout: reader.milliseconds("configuration.platform_timeout_ms", 2_000, 20..=60_000),
            lapse_grace: reader.milliseconds("configuration.lapse_grace_ms", 2_000, 0..=600_000),
            watch_hold: reader.milliseconds("configuration.watch_hold_ms", 20_000, 100..=300_000),
        }
    }
}

/// `[coordinator]`: shards of control work.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// How often ownership of shards is looked at again.
    pub tick_interval: Duration,
    /// An order to an engine or a call of the scorer unanswered for so long is given up.
    pub call_timeout: Duration,
}

impl CoordinatorSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            tick_interval: reader.milliseconds("coordinator.tick_interval_ms", 200, 10..=60_000),
            call_timeout: reader.milliseconds("coordinator.call_timeout_ms", 2_000, 20..=60_000),
        }
    }
}

/// `[batch]`: batch jobs.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// An owner that has not appended for so long is taken over from.
    pub takeover_after: Duration,
    /// A new owner gives no orders to replicas for so long after the one before was last heard of.
    pub order_lease: Duration,
    /// How often the owner looks at what is due.
    pub tick_interval: Duration,
    /// The node that would own next begins to follow the log so long after an owner began.
    pub follow_after: Duration,
}

impl BatchSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            takeover_after: reader.milliseconds("batch.takeover_after_ms", 1_000, 200..=60_000),
            order_lease: reader.milliseconds("batch.order_lease_ms", 3_000, 0..=600_000),
            tick_interval: reader.milliseconds("batch.tick_interval_ms", 50, 5..=1_000),
            // Longer than a new owner reads a log of 45 MB (2.7 s): both would ask the same stores.
            follow_after: reader.milliseconds("batch.follow_after_ms", 5_000, 0..=600_000),
        }
    }
}

/// `[store]`: logs and claims on disk.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Bytes that may be used under the data folder.
    pub capacity_bytes: u64,
    /// A store replica that has not answered by then counts as missing.
    pub call_timeout: Duration,
    /// How long claims on request ids are kept.
    pub claim_window: ClaimWindow,
    /// A member of a replica set that has not been seen for so long is replaced.
    pub replace_after: Duration,
    /// Where fewer stores stand than a replica set should have, a smaller one is made once no other has come for so long.
    pub small_set_after: Duration,
    /// What the replica sets that this node chooses should bear.
    pub set_size: ToleranceTarget,
}

impl StoreSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let capacity = Bounds { default: 1 << 30, accepted: (1 << 20)..=(1 << 44) };
        let losses = Bounds { default: 1, accepted: 0..=4 };
        let groups = Bounds { default: 0, accepted: 0..=4 };
        Self {
            capacity_bytes: reader.number("store.capacity_bytes", &capacity),
            call_timeout: reader.milliseconds("store.call_timeout_ms", 1_000, 20..=60_000),
            claim_window: ClaimWindow {
                retention: reader.milliseconds("store.claim_retention_ms", 900_000, 1_000..=86_400_000),
                maximum_clock_skew: reader.milliseconds("store.maximum_clock_skew_ms", 30_000, 0..=600_000),
            },
            replace_after: reader.milliseconds("store.replace_after_ms", 600_000, 1_000..=86_400_000),
            // Stores of one deployment start within seconds of each other, and nothing is served meanwhile.
            small_set_after: reader.milliseconds("store.small_set_after_ms", 5_000, 0..=3_600_000),
            set_size: ToleranceTarget::tolerating(to_usize(reader.number("store.tolerated_losses", &losses)))
                .with_zones(to_usize(reader.number("store.tolerated_zones", &groups)))
                .with_regions(to_usize(reader.number("store.tolerated_regions", &groups))),
        }
    }
}

/// `[duties]`: calls to the platform that one node makes at a time.
#[derive(Clone, Copy, Debug)]
pub struct DutySettings {
    /// Where the platform takes them; without it there are none.
    pub platform: Option<SocketAddr>,
    reports_usage: bool,
    orders_replicas: bool,
    usage: ReporterConfig,
    scaling: ScalingPolicy,
}

impl DutySettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let (mut reports_usage, mut orders_replicas) = (false, false);
        for name in reader.text_list("duties.held") {
            match duty_named(&name) {
                Some(Duty::Usage) => reports_usage = true,
                Some(Duty::Scaling) => orders_replicas = true,
                None => reader.problem(
                    "duties.held",
                    format!("\"{name}\" is no duty"),
                    "use \"usage_report\" or \"autoscaler\"",
                ),
            }
        }
        let window = Duration::from_secs_f64(reader.fraction("duties.usage_window_s", 60.0, 1.0..=86_400.0));
        let due_after = Duration::from_secs_f64(reader.fraction("duties.usage_due_s", 60.0, 0.1..=86_400.0));
        let margin = Bounds { default: 100, accepted: 50..=400 };
        let margin = reader.number("duties.replica_margin_percent", &margin);
        Self {
            platform: reader.service_address("duties.platform"),
            reports_usage,
            orders_replicas,
            usage: ReporterConfig { window: WindowLength::new(window), due_after },
            scaling: ScalingPolicy {
                margin_percent: u32::try_from(margin).unwrap_or(u32::MAX),
                hold: reader.milliseconds("duties.replica_hold_ms", 60_000, 1_000..=86_400_000),
            },
        }
    }

    /// Both duties, with windows of a second, for a system inside a test or a demonstration.
    pub fn on_loopback(platform: SocketAddr) -> Self {
        let second = Duration::from_secs(1);
        Self {
            platform: Some(platform),
            reports_usage: true,
            orders_replicas: true,
            usage: ReporterConfig { window: WindowLength::new(second), due_after: second },
            scaling: ScalingPolicy::default(),
        }
    }

    /// Whether calls are expected that could go nowhere.
    pub(super) const fn lacks_platform(&self) -> bool {
        self.platform.is_none() && (self.reports_usage || self.orders_replicas)
    }

    /// How usage is told, where it is.
    pub fn usage(&self) -> Option<ReporterConfig> {
        self.platform.filter(|_| self.reports_usage).map(|_| self.usage)
    }

    /// How replicas are ordered, where they are.
    pub fn scaling(&self) -> Option<ScalingPolicy> {
        self.platform.filter(|_| self.orders_replicas).map(|_| self.scaling)
    }
}

/// `[stop]`: planned stop (brief point 8).
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// New work is still refused by word, not by a closed port, for at least so long after the notice, so that
    /// load balancers see `readyz` fail before connections do.
    pub notice: Duration,
}

impl StopSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self { notice: reader.milliseconds("stop.notice_ms", 3_000, 0..=600_000) }
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
