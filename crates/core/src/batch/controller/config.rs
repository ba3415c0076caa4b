//! Times and limits of the owner.

use std::time::Duration;

use crate::duties::DutyConfig;
use crate::ingress::places::{AllowedRegions, ZoneMap};

/// Chosen, not measured: shorter takes runs away from replicas that are full or cold, longer holds an item at
/// one that is gone.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Chosen, not measured: some twenty pauses between events of a measured replica (40 ms). Shorter takes runs
/// from replicas that stood still for a moment, longer holds an item at one that is gone.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Measured in 20 plays: a mean worth of 0.736 with 1 s and 0.733 with 400 ms, which writes more.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Chosen, not measured: shorter drops results that callers have not read yet, longer fills the capacity with
/// texts.
const JOB_RETENTION: Duration = Duration::from_secs(125);
/// Chosen, not measured: the bound on machines with much memory; an owner lowers it to a part of its
/// machine's memory.
const CAPACITY_BYTES: usize = 96 << 20;
/// Others take over after a second of silence; this leaves four more tries, and confirms the authority three
/// times within its 600 ms.
const OWNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Times and limits of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// A run without a first event for this time is taken up elsewhere.
    pub first_event_timeout: Duration,
    /// A run without a further event for this time is taken up elsewhere.
    pub event_timeout: Duration,
    /// Events of a run are kept on the stores this often, so that a new owner resumes there.
    pub progress_interval: Duration,
    /// How long an ended or finished job is kept, from when it was taken.
    pub retention: Duration,
    /// Bytes of items and results that are held at a time; more are refused.
    pub capacity_bytes: usize,
    /// The pause after which the shard's clock is written down where nothing else is.
    pub heartbeat_interval: Duration,
    /// Duties towards the platform.
    pub duties: DutyConfig,
    /// Which region each zone lies in.
    pub zones: ZoneMap,
    /// The regions of the shard that is owned. The owner of a shard of some regions runs items and scores
    /// them; orders to replicas and duties are left to the owner of the shard without such limits, since one
    /// holder gives them.
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
            heartbeat_interval: OWNER_HEARTBEAT_INTERVAL,
            duties: DutyConfig::default(),
            zones: ZoneMap::default(),
            regions: AllowedRegions::all(),
        }
    }
}
