//! Routing of the platform's requests: the route and service of a request, the regions in which it may be
//! served, the replica it is sent to, and what to do when that replica fails. The module performs no I/O.
//!
//! [`selection`] selects replicas and [`attempts`] decides on retries. [`admission`] decides whether a replica
//! may be sent requests now, with [`warmups`] and [`warming_share`] for cold replicas, and [`chooser`] ranks the
//! admitted ones. [`replica_subset`] divides the replicas of a large deployment among its gateways. [`unread`] bounds the
//! answers kept for callers that do not read them. The daemon's `ingress` supplies sockets, clock and locking.

pub mod admission;
pub mod attempts;
pub mod chooser;
pub mod lapse;
pub mod metadata_wait;
pub mod places;
pub mod probing;
pub mod replica_load;
pub mod replica_subset;
pub mod replicas;
mod response_model;
pub mod routes;
pub mod selection;
pub mod shared_bases;
pub mod tenants;
pub mod unread;
pub mod warming_share;
pub mod warmups;
