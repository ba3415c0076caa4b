//! Deterministic simulation of communicating state machines on a virtual clock.
//!
//! A [`Process`] is a state machine without I/O. A [`Simulation`] runs many of them and delivers their messages with
//! delays, loss, duplication and reordering drawn from a seeded random source. It can kill, restart, freeze and
//! partition processes. The same seed, processes and calls give the same run, so that a failing run can be reproduced
//! from its seed.

mod faults;
mod link;
mod process_kinds;
mod simulation;

pub use faults::{Fault, FaultPlan, FaultRates};
pub use link::LinkQuality;
pub use simulation::{Outbox, Process, ProcessId, ProcessKind, Simulation};
