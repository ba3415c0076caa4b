//! Timeouts and limits of the owner.

use std::time::Duration;

use crate::duties::DutyConfig;
use crate::ingress::places::{AllowedRegions, ZoneMap};

/// Allows for the queueing and cold start of a replica. A shorter one takes runs away from replicas that are full or
/// cold, a longer one holds an item at a replica that is gone.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// About twenty times the typical pause between two events (40 ms). A shorter one takes runs from replicas that
/// paused for a moment, a longer one holds an item at a replica that is gone.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// With 400 ms jobs were no faster and more was written.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Gives callers time to read their results. A longer time fills the capacity with texts.
const JOB_RETENTION: Duration = Duration::from_secs(125);
/// Upper bound; the driver lowers it to a share of the machine's memory.
const CAPACITY_BYTES: usize = 96 << 20;
/// Candidates take over after one second of silence, and authority lasts 600 ms: an append may be lost
/// without losing either.
const OWNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Timeouts and limits of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// Time without a first event after which a run is resumed on another replica.
    pub first_event_timeout: Duration,
    /// Time without a further event after which a run is resumed on another replica.
    pub event_timeout: Duration,
    /// Interval at which the events of a run are written to the log, so that a new owner can resume there.
    pub progress_interval: Duration,
    /// How long an ended or finished job is kept, counted from its acceptance.
    pub retention: Duration,
    /// Bytes of items and results held at a time; jobs beyond this are refused.
    pub capacity_bytes: usize,
    /// Memory for the bookkeeping of items and their fields beside these bytes; jobs beyond this are refused.
    pub bookkeeping_bytes: usize,
    /// Time without an append after which the shard's clock is appended as a heartbeat.
    pub heartbeat_interval: Duration,
    /// Settings of the duties towards the platform.
    pub duties: DutyConfig,
    /// Maps zones to regions.
    pub zones: ZoneMap,
    /// The regions that the owned shard is restricted to. The owner of a restricted shard only runs and
    /// scores items. Orders to replicas and duties are left to the owner of the unrestricted shard, so that
    /// only one node issues them.
    pub regions: AllowedRegions,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            first_event_timeout: FIRST_EVENT_TIMEOUT,
            event_timeout: NEXT_EVENT_TIMEOUT,
            progress_interval: PROGRESS_INTERVAL,
            retention: JOB_RETENTION,
            capacity_bytes: CAPACITY_BYTES,
            bookkeeping_bytes: usize::MAX,
            heartbeat_interval: OWNER_HEARTBEAT_INTERVAL,
            duties: DutyConfig::default(),
            zones: ZoneMap::default(),
            regions: AllowedRegions::all(),
        }
    }
}
