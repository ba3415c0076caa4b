//! Coordination logic of lichenpulley, as deterministic state machines.
//!
//! The crate does no I/O, reads no clock and uses no global source of randomness. The caller passes in events
//! with the current [`time::Timestamp`] and receives actions and the time of the next wake-up. The same events
//! in the same order give the same actions, so each state machine runs under the daemon as well as in a
//! simulation with a virtual clock.

pub mod batch;
pub mod configuration;
pub mod decision;
pub mod duties;
pub mod identity;
pub mod ingress;
pub mod intake;
pub mod membership;
pub mod quarantine;
pub mod relay;
pub mod replication;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod scaling;
pub mod time;
pub mod usage;
pub mod weights;
