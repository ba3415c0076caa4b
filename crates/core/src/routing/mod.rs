//! Which replica serves a request: eligibility, load, prefix affinity and concurrency limits.

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
