//! When and from whom this node learned of each current evacuation, for the operators' list.
//!
//! [`super::zones`] records the times once a change is in force on this node.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// For each evacuated zone, when this node learned of the evacuation and from whom.
#[derive(Debug, Default)]
pub(super) struct EvacuationTimes {
    by_zone: Mutex<BTreeMap<String, (Instant, String)>>,
}

impl EvacuationTimes {
    pub(super) fn by_zone(&self) -> MutexGuard<'_, BTreeMap<String, (Instant, String)>> {
        self.by_zone.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
