//! Faults in the middle of the demonstration's job: an engine crashes, then the node that owns the job is killed.

use std::time::Duration;

use lichenpulley_core::identity::{JobId, ShardId};

use super::system::System;
use crate::engine::faults::EngineFault;
use crate::trainer::Trainer;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ENGINE_DOWN_MS: u64 = 1_000;

/// Crashes an engine after the first step's samples and kills the owner of the job after the second step's.
pub async fn disturb(system: &System, trainer: &Trainer, job: &JobId, samples_per_step: u32) {
    wait_until_trained(trainer, u64::from(samples_per_step)).await;
    if let Some(engine) = system.engines.first() {
        engine.inject(EngineFault::Crash { down_ms: ENGINE_DOWN_MS, weight_version: None }).await;
    }
    wait_until_trained(trainer, 2 * u64::from(samples_per_step)).await;
    kill_owner(system, &ShardId::new(format!("job/{job}")));
}

async fn wait_until_trained(trainer: &Trainer, samples: u64) {
    while trainer.report().samples < samples {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn kill_owner(system: &System, shard: &ShardId) {
    let Some(first) = system.nodes.first() else { return };
    let view = first.context().cluster.load();
    let Some(owner) = view.owner_of(shard) else { return };
    let owner = system.nodes.iter().find(|node| node.context().node == owner.node);
    if let Some(owner) = owner {
        owner.kill();
    }
}
