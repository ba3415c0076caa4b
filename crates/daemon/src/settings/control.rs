//! `[configuration]`, `[coordinator]`, `[batch]` and `[stop]`: what the control thread does, and when.
//!
//! The text of a default says where its figure comes from; "chosen" means that it was not measured.

use std::time::Duration;

use super::reader::SettingsReader;

/// `[configuration]`: the settings tree, the replica directory and the platform's metadata.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// How often a reader asks the machine list. Chosen: longer sees new engines later, shorter costs the list calls.
    pub poll_interval: Duration,
    /// A call of the platform unanswered for this time is given up. Chosen: longer learns later that it is away.
    pub platform_timeout: Duration,
    /// How long a watch is held open. Chosen: shorter costs a call more often, and brings no change sooner.
    pub watch_hold: Duration,
    /// Entries of replicas that vanished while the platform's metadata store was away are kept for this time after its
    /// return: replicas write theirs again within about two seconds, as the platform says.
    pub lapse_grace: Duration,
    /// In a large deployment, how many nodes read the platform's metadata store; the others follow them. Chosen: more
    /// cost the store calls, and fewer may all be cut off at once. docs/decisions/platform.md has what following is worth.
    pub readers: usize,
    /// With fewer coordinators each reads for itself. Chosen: four times the readers, so that following spares calls.
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

/// `[coordinator]`: shards of control work of the product's own interface.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// How often this node checks which shards it should own. Chosen: longer lengthens each takeover by as much.
    pub tick_interval: Duration,
    /// An order to an engine or a call of the scorer unanswered for this time is given up. Chosen: shorter repeats
    /// calls that would have been answered, longer holds up what waits for a silent engine.
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
    /// An owner that has not appended for this time is taken over from. Chosen: five of the 200 ms within which an
    /// owner appends; shorter takes over from one that is only busy, longer leaves jobs without an owner.
    pub takeover_after: Duration,
    /// How long another owner's order to a replica keeps a new owner from ordering the same replica. The platform gives
    /// it; shorter than the platform's has orders refused, longer delays new versions after a takeover.
    pub order_lease: Duration,
    /// How often the owner checks what is due. Chosen: longer leaves free slots empty, shorter costs processor time.
    pub tick_interval: Duration,
    /// The node that would own next begins to follow the log this long after an owner began. Longer than a new owner
    /// reads a log of 45 MB (2.7 s measured): both would ask the same stores.
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

/// `[stop]`: planned stop (promise P8).
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// For at least this time after the notice new work is refused with an answer, not with a closed port, so that load
    /// balancers see `readyz` fail before connections do. Chosen: some checks of a load balancer that asks each second.
    pub notice: Duration,
}

impl StopSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self { notice: reader.milliseconds("stop.notice_ms", 3_000, 0..=600_000) }
    }
}
