//! The tables `[configuration]`, `[coordinator]`, `[batch]` and `[stop]`: intervals and timeouts of the control thread.

use std::time::Duration;

use super::reader::SettingsReader;

/// The table `[configuration]`: the settings tree, the replica directory and the platform's metadata.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Interval between two reads of the machine list.
    pub poll_interval: Duration,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// How long one watch call is kept open while nothing changes.
    pub watch_hold: Duration,
    /// How long the entries of replicas that lapsed during an outage of the platform's metadata store are kept after the
    /// store is reachable again. Replicas renew their entries within about two seconds.
    pub lapse_grace: Duration,
    /// Number of nodes of a large deployment that read the platform's metadata store directly; the others follow one of
    /// them. docs/decisions/platform.md has the cost of either way.
    pub readers: usize,
    /// Number of coordinators from which nodes follow a reader; below it, each reads the store directly.
    pub follow_from_nodes: usize,
}

impl ConfigurationSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            readers: reader.count("configuration.readers", 6, 1..=1_024),
            follow_from_nodes: reader.count("configuration.follow_from_nodes", 24, 2..=1_000_000),
            poll_interval: reader.milliseconds("configuration.poll_interval_ms", 1_000, 20..=60_000),
            platform_timeout: reader.milliseconds("configuration.platform_timeout_ms", 2_000, 20..=60_000),
            lapse_grace: reader.milliseconds("configuration.lapse_grace_ms", 2_000, 0..=600_000),
            watch_hold: reader.milliseconds("configuration.watch_hold_ms", 20_000, 100..=300_000),
        }
    }
}

/// The table `[coordinator]`: ownership of control shards of the native API.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Interval between two checks of which shards this node should own; it adds to the duration of a takeover.
    pub tick_interval: Duration,
    /// Timeout of an order to an engine and of a call to the scorer.
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

/// The table `[batch]`: batch jobs.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// How long an owner may go without an append to its log before another node takes over. A live owner appends at
    /// least every 200 ms.
    pub takeover_after: Duration,
    /// How long an order of the previous owner to a replica blocks orders of a new owner to it. The platform defines this
    /// lease; with a shorter value here, it refuses orders.
    pub order_lease: Duration,
    /// Interval at which the owner schedules work and checks timers.
    pub tick_interval: Duration,
    /// Delay after the start of an owner before the next candidate begins to follow its log. It exceeds the time in
    /// which a new owner reads a large log, so that the two don't load the same stores at once.
    pub follow_after: Duration,
}

impl BatchSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            takeover_after: reader.milliseconds("batch.takeover_after_ms", 1_000, 200..=60_000),
            order_lease: reader.milliseconds("batch.order_lease_ms", 3_000, 0..=600_000),
            tick_interval: reader.milliseconds("batch.tick_interval_ms", 50, 5..=1_000),
            follow_after: reader.milliseconds("batch.follow_after_ms", 5_000, 0..=600_000),
        }
    }
}

/// The table `[stop]`: planned stop.
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// Minimum time after the notice during which new work is refused with a response while the port stays open, so
    /// that load balancers see `readyz` fail before connections do.
    pub notice: Duration,
}

impl StopSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self { notice: reader.milliseconds("stop.notice_ms", 3_000, 0..=600_000) }
    }
}
