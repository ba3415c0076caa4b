//! The stand-ins, the load generator, experiments and simulations.

pub mod http;
