//! A seeded network of state machines on a virtual clock.
//!
//! A [`Process`] is a state machine without I/O. A [`Simulation`] owns many of them, carries their messages with
//! delays, loss, duplicates and reordering drawn from one seed, and can kill, restart, freeze and cut them off.
//! The same seed, processes and calls give the same run, so a failing schedule is replayed by its seed.
//!
//! Written here because `turmoil` and `madsim` can't be had, and tokio's paused clock drives sockets and timers
//! rather than state machines without them.

mod faults;
mod link;
mod process_kinds;
mod simulation;

pub use faults::{Fault, FaultPlan, FaultRates};
pub use link::LinkQuality;
pub use simulation::{Outbox, Process, ProcessId, ProcessKind, Simulation};
