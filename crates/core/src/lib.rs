//! Coordination parts of lichenpulley, as deterministic state machines.
//!
//! Nothing here reads a clock, opens a socket, touches a file or draws from a global random source.
//! A caller hands in events together with the present [`time::Timestamp`], and takes out actions and
//! the time of the next wake-up. The same events in the same order give the same actions, so each part
//! can be driven by a simulation on a virtual clock as well as by the daemon.

pub mod batch;
pub mod configuration;
pub mod decision;
pub mod duties;
pub mod identity;
pub mod ingress;
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
