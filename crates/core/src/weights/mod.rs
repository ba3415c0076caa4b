//! Waves of fenced orders that bring a weight version to all replicas of a pool.
