//! `[store]`: logs and claims on disk, and the stores that this node chooses for a log.

use std::time::Duration;

use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::placement::ToleranceTarget;

use super::reader::SettingsReader;

/// Most losses of one kind that may be tolerated. Chosen, not measured: each one takes two stores more, and every append
/// waits for a majority of all.
const MAX_LOSSES: usize = 4;

/// Logs and claims on disk.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Bytes that may be used under the data folder.
    pub capacity_bytes: u64,
    /// A store that has not answered within this time counts as missing. Chosen: shorter loses answers of a busy disk,
    /// longer holds up what needs another member.
    pub call_timeout: Duration,
    /// How long claims on request ids are kept, and how far clocks may differ.
    pub claim_window: ClaimWindow,
    /// A member of a replica set that has not answered for this time is replaced. Chosen: shorter copies logs for a
    /// machine that restarts, longer leaves a log with fewer members than it should have.
    pub replace_after: Duration,
    /// Where fewer stores stand than a replica set should have, a smaller one is made once no other has come for this
    /// time. Chosen: stores of one deployment start within seconds of each other, and nothing is served meanwhile.
    pub small_set_after: Duration,
    /// The losses that the replica sets of this node's choice should tolerate. Chosen, not measured: the loss of one disk by
    /// default; none stops a shard with its first disk, more makes each append wait for more stores.
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
