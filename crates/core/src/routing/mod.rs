//! Which engine of a pool serves a request: eligibility, load, prefix affinity and concurrency limits.
//!
//! Start at [`pool`], which joins the parts: [`eligibility`] decides who may be sent work, [`concurrency`]
//! how much, [`balancer`] which of them is cheapest, [`subset`] which ones a node uses at all. Rules only,
//! without I/O; the daemon's `gateway` sends, and reports what came of it. The replicas of the platform's
//! services are chosen in [`crate::ingress::chooser`], whose head gives the reason for two rules.
//! Measurements: docs/decisions/routing.md.

pub mod balancer;
pub mod concurrency;
pub mod eligibility;
pub mod load;
pub mod pool;
pub mod prefix;
pub mod replica;
pub mod subset;

pub use load::{EngineRole, LoadReport};
pub use pool::{Pool, PoolConfig, RouteQuery, RouteRefusal};
