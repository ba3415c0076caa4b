//! `[machine]`: what the machine gives this process. The most capable machines own control work.

use std::ops::RangeInclusive;

use super::reader::SettingsReader;
use crate::cluster::NodeCapacity;

/// Shares of a core and speeds that are accepted; wide enough for any machine, so that only slips are refused.
const PROCESSOR_BOUNDS: RangeInclusive<f64> = 0.001..=1_024.0;
/// Bytes of a megabyte, in which the memory is given.
const MEGABYTE: f64 = 1e6;

/// What the machine gives this process.
#[derive(Clone, Copy, Debug)]
pub struct MachineSettings {
    /// The share of one core.
    pub processor_share: f64,
    /// How many times as fast as others that core is.
    pub processor_speed: f64,
    /// Memory, in bytes.
    pub memory_bytes: usize,
}

impl MachineSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let processor_share = reader.fraction("machine.processor_share", 1.0, PROCESSOR_BOUNDS);
        let processor_speed = reader.fraction("machine.processor_speed", 1.0, PROCESSOR_BOUNDS);
        let memory_mb = reader.fraction("machine.memory_mb", 1_024.0, 16.0..=1_048_576.0);
        Self { processor_share, processor_speed, memory_bytes: (memory_mb * MEGABYTE) as usize }
    }

    /// How much work the machine can do.
    pub fn capacity(&self) -> NodeCapacity {
        NodeCapacity::from_cores(self.processor_share * self.processor_speed)
    }
}
