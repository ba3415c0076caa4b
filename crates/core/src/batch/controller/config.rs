//! Times and limits of the owner.

use std::time::Duration;

use crate::duties::DutyConfig;
use crate::ingress::places::{AllowedRegions, ZoneMap};

/// Times and limits of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// A run without a first event for so long is taken up elsewhere.
    pub first_event_timeout: Duration,
    /// A run without a further event for so long is taken up elsewhere.
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
    /// The regions of the shard that is owned. The owner of a shard of some regions runs items and scores them; orders to
    /// replicas and duties are left to the owner of the shard without such limits, since one holder gives them.
    pub regions: AllowedRegions,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            first_event_timeout: Duration::from_millis(1_200),
            event_timeout: Duration::from_millis(900),
            progress_interval: Duration::from_millis(1_000),
            retention: Duration::from_secs(125),
            capacity_bytes: 96 << 20,
            heartbeat_interval: Duration::from_millis(200),
            duties: DutyConfig::default(),
            zones: ZoneMap::default(),
            regions: AllowedRegions::all(),
        }
    }
}
