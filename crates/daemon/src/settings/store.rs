//! The table `[store]`: logs and claims on disk, and the choice of replica sets.

use std::time::Duration;

use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::placement::ToleranceTarget;

use super::reader::SettingsReader;

/// Maximum number of tolerated losses of one kind. Each one adds two stores to a replica set, and an append waits for a
/// majority of them.
const MAX_LOSSES: usize = 4;

/// The table `[store]`: logs and claims on disk, and the choice of replica sets.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Maximum disk usage of the data folder, in bytes.
    pub capacity_bytes: u64,
    /// Timeout of a call to a store; a store that exceeds it counts as unreachable for the call.
    pub call_timeout: Duration,
    /// Retention of claims on request ids, and the maximum clock skew.
    pub claim_window: ClaimWindow,
    /// Time without an answer after which a member of a replica set is replaced; longer than the restart of a machine.
    pub replace_after: Duration,
    /// When fewer stores are available than a replica set should have, a smaller set is created once no further store
    /// has joined for this time.
    pub small_set_after: Duration,
    /// Losses that the replica sets chosen by this node should tolerate; by default one disk.
    pub set_size: ToleranceTarget,
}

impl StoreSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let losses = 0..=MAX_LOSSES;
        Self {
            capacity_bytes: reader.number("store.capacity_bytes", 1 << 30, (1 << 20)..=(1 << 44)),
            call_timeout: reader.milliseconds("store.call_timeout_ms", 1_000, 20..=60_000),
            claim_window: ClaimWindow {
                retention: reader.milliseconds("store.claim_retention_ms", 900_000, 1_000..=86_400_000),
                maximum_clock_skew: reader.milliseconds("store.maximum_clock_skew_ms", 30_000, 0..=600_000),
            },
            replace_after: reader.milliseconds("store.replace_after_ms", 600_000, 1_000..=86_400_000),
            small_set_after: reader.milliseconds("store.small_set_after_ms", 5_000, 0..=3_600_000),
            set_size: ToleranceTarget::tolerating(reader.count("store.tolerated_losses", 1, losses.clone()))
                .with_zones(reader.count("store.tolerated_zones", 0, losses.clone()))
                .with_regions(reader.count("store.tolerated_regions", 0, losses)),
        }
    }
}
