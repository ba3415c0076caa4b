//! Configures the controller of batch jobs for a shard on this machine.

use lichenpulley_core::batch::controller::ControllerConfig;
use lichenpulley_core::duties::DutyConfig;

use crate::ownership::scope::Scope;

/// Share of the machine's memory for items and results of the main shard, in percent. Leaves room for a
/// followed log of nearly the same size on the same machine. With more, a machine that also follows a log
/// runs out of memory; with less, jobs are refused early.
const MAIN_MEMORY_PERCENT: usize = 35;
/// Share of the machine's memory for items and results of a regional shard, in percent. A machine may own
/// regional shards in addition to the main shard.
const REGIONAL_MEMORY_PERCENT: usize = 20;

/// Builds the controller's configuration for a shard on this machine. Only the main shard has duties.
pub(super) fn controller_config(scope: &Scope) -> ControllerConfig {
    let settings = &scope.context.settings;
    let config = ControllerConfig::default();
    let memory_percent = if scope.is_main() { MAIN_MEMORY_PERCENT } else { REGIONAL_MEMORY_PERCENT };
    let bookkeeping_bytes = settings.machine.memory_bytes / 100 * memory_percent;
    let capacity_bytes = config.capacity_bytes.min(bookkeeping_bytes);
    let duties = DutyConfig { usage: settings.duties.usage(), scaling: settings.duties.scaling() };
    let duties = if scope.is_main() { duties } else { DutyConfig::default() };
    let (zones, regions) = (settings.places.zones.clone(), scope.regions.clone());
    ControllerConfig { capacity_bytes, bookkeeping_bytes, duties, zones, regions, ..config }
}
