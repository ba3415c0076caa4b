//! Selects the engine of a pool that serves a request, by eligibility, load, prefix affinity and concurrency
//! limits.
//!
//! [`pool`] is the entry point. It combines [`subset`] (the replicas that a node uses), [`eligibility`] (the
//! replicas that may be sent work), [`concurrency`] (how many requests each may be sent) and [`balancer`] (the
//! replica with the lowest cost). The module performs no I/O: the daemon's `gateway` sends requests and reports
//! their results. Replicas of the platform's services are chosen by [`crate::ingress::chooser`], whose
//! documentation explains why the policies differ. For measurements, see docs/decisions/routing.md.

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
