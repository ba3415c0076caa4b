//! When this node learnt of each evacuation that stands, and through whom, for the operators' list.
//!
//! Owns these times; [`super::zones`] notes them once a change is in force on this node.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// When this node learnt of each evacuation that stands, and through whom, by zone.
#[derive(Debug, Default)]
pub(super) struct EvacuationTimes {
    learnt: Mutex<BTreeMap<String, (Instant, String)>>,
}

impl EvacuationTimes {
    pub(super) fn learnt(&self) -> MutexGuard<'_, BTreeMap<String, (Instant, String)>> {
        self.learnt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
