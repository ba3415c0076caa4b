//! Requests in the platform's form, decided without I/O: which route and service a request goes to, where it may be
//! served, which replica is sent it, and what to do when that replica fails.
//!
//! Start at [`selection`] for the choice of a replica and at [`attempts`] for retries. [`admission`] decides whether a
//! replica may be sent anything now, with [`warmups`] and [`warming_share`] for cold replicas; [`chooser`] orders those
//! that may. The daemon's `ingress` drives these with sockets, the clock and the lock.

pub mod admission;
pub mod attempts;
pub mod chooser;
pub mod lapse;
pub mod places;
pub mod replicas;
pub mod routes;
pub mod selection;
pub mod tenants;
pub mod warming_share;
pub mod warmups;
