//! Owns shards of control work: rollout jobs and weight waves.
