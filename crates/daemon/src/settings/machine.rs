//! The table `[machine]`: the resources available to this process. Control work is assigned to the most capable nodes.

use std::ops::RangeInclusive;

use rustix::process::{Resource, getrlimit};

use super::reader::SettingsReader;
use crate::cluster::NodeCapacity;

/// Accepted shares of a core and relative speeds.
const PROCESSOR_BOUNDS: RangeInclusive<f64> = 0.001..=1_024.0;
/// Bytes per megabyte, the unit of `memory_mb`.
const MEGABYTE: f64 = 1e6;

/// Resources of the machine that are available to this process.
#[derive(Clone, Copy, Debug)]
pub struct MachineSettings {
    /// Number of cores; a fraction for a share of one core.
    pub processor_share: f64,
    /// Speed of a core relative to a reference core.
    pub processor_speed: f64,
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors that the process may have open; `None` for the operating system's limit.
    pub max_descriptors: Option<u64>,
}

impl MachineSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let processor_share = reader.float("machine.processor_share", 1.0, PROCESSOR_BOUNDS);
        let processor_speed = reader.float("machine.processor_speed", 1.0, PROCESSOR_BOUNDS);
        let memory_mb = reader.float("machine.memory_mb", 1_024.0, 16.0..=1_048_576.0);
        let max_descriptors = reader.count("machine.max_descriptors", 0, 0..=(1 << 30)) as u64;
        Self {
            processor_share,
            processor_speed,
            memory_bytes: (memory_mb * MEGABYTE) as usize,
            max_descriptors: Some(max_descriptors).filter(|descriptors| *descriptors > 0),
        }
    }

    /// Returns the number of descriptors that the process may have open.
    pub fn descriptors(&self) -> u64 {
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        self.max_descriptors.unwrap_or(u64::MAX).min(allowed)
    }

    /// Returns the capacity that membership announces for this node.
    pub fn capacity(&self) -> NodeCapacity {
        NodeCapacity::from_cores(self.processor_share * self.processor_speed)
    }
}
