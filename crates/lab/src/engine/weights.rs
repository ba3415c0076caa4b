//! Weights of an engine, and the fences before its orders.

use std::collections::HashMap;

use lichenpulley_core::identity::{Epoch, ShardId, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::{Order, OrderRefused};

/// Which weights are loaded, wanted, or being swapped in.
#[derive(Debug)]
pub struct Weights {
    loaded: Option<WeightVersion>,
    wanted: Option<WeightVersion>,
    swap: Option<Swap>,
    fail_next_swap: bool,
}

#[derive(Debug)]
struct Swap {
    version: WeightVersion,
    ends: Timestamp,
}

impl Weights {
    /// `version` is loaded.
    pub const fn new(version: WeightVersion) -> Self {
        Self { loaded: Some(version), wanted: None, swap: None, fail_next_swap: false }
    }

    /// The loaded version; `None` during a swap and after one that failed.
    pub const fn loaded(&self) -> Option<WeightVersion> {
        self.loaded
    }

    /// The version to fetch.
    pub const fn wanted(&self) -> Option<WeightVersion> {
        self.wanted
    }

    /// Whether a failed swap has left nothing loaded.
    pub const fn lost(&self) -> bool {
        self.loaded.is_none() && self.swap.is_none()
    }

    /// When the swap ends.
    pub fn swap_ends(&self) -> Option<Timestamp> {
        self.swap.as_ref().map(|swap| swap.ends)
    }

    /// `version` was ordered; a version that is loaded or on its way changes nothing.
    pub fn begin_fetch(&mut self, version: WeightVersion) {
        let on_its_way = self.swap.as_ref().map(|swap| swap.version);
        let settled = on_its_way.or(self.loaded) == Some(version);
        self.wanted = if settled { None } else { Some(version) };
    }

    /// `version` has been fetched and swaps in until `ends`, if it is still wanted.
    pub fn begin_swap(&mut self, version: WeightVersion, ends: Timestamp) {
        if self.wanted != Some(version) {
            return;
        }
        self.wanted = None;
        self.loaded = None;
        self.swap = Some(Swap { version, ends });
    }

    /// Ends a swap that is due; true where one ended, whether it worked or failed.
    pub fn finish_swap(&mut self, now: Timestamp) -> bool {
        let Some(swap) = self.swap.take_if(|swap| swap.ends <= now) else {
            return false;
        };
        let failed = std::mem::take(&mut self.fail_next_swap);
        self.loaded = if failed { None } else { Some(swap.version) };
        true
    }

    /// The next swap fails partway.
    pub const fn fail_next_swap(&mut self) {
        self.fail_next_swap = true;
    }
}

/// The highest epoch seen for each shard. Kept in memory only: an engine that restarts has forgotten it.
#[derive(Debug, Default)]
pub struct Fences {
    highest: HashMap<ShardId, Epoch>,
}

impl Fences {
    /// Lets an order through unless its epoch is below the highest seen for its shard.
    ///
    /// # Errors
    /// The highest epoch seen.
    pub fn admit(&mut self, order: &Order) -> Result<(), OrderRefused> {
        let highest_epoch = self.highest.get(&order.shard).copied().unwrap_or_default();
        if order.epoch < highest_epoch {
            return Err(OrderRefused { highest_epoch });
        }
        self.highest.insert(order.shard.clone(), order.epoch);
        Ok(())
    }
}
