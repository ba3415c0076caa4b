//! The stand-ins, the load generator, the soak and the simulations.
//!
//! Each stand-in is one module with `pub async fn run(arguments: &[String]) -> Result<(), LabError>`
//! and one line in [`commands::COMMANDS`].

pub mod addresses;
pub mod arguments;
pub mod commands;
pub mod demo;
pub mod engine;
pub mod error;
pub mod http;
pub mod load;
mod locked;
pub mod machine_list;
pub mod metadata_store;
pub mod object_api;
pub mod platform_duties;
pub mod platform_replica;
pub mod ports;
pub mod scorer;
pub mod simulations;
pub mod soak;
pub mod trainer;
pub mod weight_store;
