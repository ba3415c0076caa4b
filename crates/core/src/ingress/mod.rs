//! Plain requests: which service a request goes to, which replica serves it, and what to do when one fails.

pub mod admission;
pub mod attempts;
pub mod lapse;
pub mod places;
pub mod replicas;
pub mod routes;
pub mod tenants;
pub mod warming_share;
pub mod warmups;
