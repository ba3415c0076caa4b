//! The operator's configuration: routes from host and path prefix to services, and the properties of services
//! and routes.
//!
//! A configuration is immutable; each change creates a new version. The platform's adapter reads it from the
//! platform's documents.

use std::collections::BTreeMap;
use std::time::Duration;

use super::places::AllowedRegions;
use super::tenants::TenantDirectory;
use crate::identity::TenantName;

/// The kind of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once for each client attempt.
    NonIdempotent,
    /// Requests that are answered by a series of numbered events.
    Streaming,
    /// Batch jobs: sets of requests that are submitted together and run asynchronously.
    Batch,
}

/// A service with its weight in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its weight, relative to the route's other services.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The path prefix that it matches.
    pub path_prefix: String,
    /// The kind of its requests.
    pub kind: RouteKind,
    /// Timeout of a request; `None` for no limit of the route.
    pub timeout: Option<Duration>,
    /// Target answer time.
    pub target: Duration,
    /// The services that it forwards to; at least one.
    pub services: Vec<WeightedService>,
    /// Maximum number of replicas that one client attempt is sent to.
    pub max_attempts: u32,
    /// Whether a stream may be resumed at another replica.
    pub is_resumable: bool,
    /// Time from the first submission of a batch job after which its items may be abandoned.
    pub max_queue: Duration,
    /// Time from the first submission of a batch job at which all of its results are due.
    pub due: Duration,
    /// Whether each result must be generated with a single version of the weights.
    pub needs_single_version: bool,
    /// Priority, 0 being the highest; overridden by that of the caller's tenant.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Regions in which its requests may be served and stored.
    pub regions: AllowedRegions,
}

impl Route {
    /// Returns the service that `number`, modulo the sum of weights, selects; `None` if all weights are zero.
    pub fn service_at(&self, number: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|part| part.weight).sum();
        let mut remainder = number.checked_rem(total)?;
        for part in &self.services {
            if remainder < part.weight {
                return Some(&part.service);
            }
            remainder -= part.weight;
        }
        None
    }

    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// A service: a set of interchangeable replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Concurrent requests per replica, unless the replica states its own limit.
    pub slots: u32,
    /// Capacity of a replica's cache, in tokens; `None` if it has none.
    pub memory_tokens: Option<u64>,
    /// Models that its replicas serve.
    pub models: Vec<String>,
    /// Scaling bounds; `None` if the number of replicas is not managed here.
    pub scaling: Option<ScalingBounds>,
    /// Limits on its replicas while they are cold; `None` if they need no warm-up.
    pub cold: Option<ColdBounds>,
    /// Path at which each replica answers at once and may report its load; `None` if there is none.
    pub health_path: Option<String>,
}

/// The rate that a replica can handle while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Requests per second that one replica can handle, from all senders together.
    pub per_second: f64,
    /// Time for which a replica is cold after its start.
    pub duration: Duration,
}

/// Bounds and prices for the scaling of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Minimum number of replicas in a zone.
    pub min: u32,
    /// Maximum number of replicas in a zone.
    pub max: u32,
    /// Time that a new replica takes until it serves.
    pub start_time: Duration,
    /// Relative price of a replica per second, by zone.
    pub zone_prices: BTreeMap<String, f64>,
    /// Price of a preemptible replica, as a share of the regular price.
    pub preemptible_price: Option<f64>,
}

impl ScalingBounds {
    /// Validates the bounds.
    ///
    /// # Errors
    /// Returns an error if the minimum exceeds the maximum.
    pub fn validate(self) -> Result<Self, ScalingError> {
        if self.min > self.max {
            return Err(ScalingError { min: self.min, max: self.max });
        }
        Ok(self)
    }
}

/// The minimum number of replicas exceeds the maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the minimum of {min} replicas per zone exceeds the maximum of {max}; lower the one or raise the other"
)]
pub struct ScalingError {
    /// Minimum number of replicas in a zone.
    pub min: u32,
    /// Maximum number of replicas in a zone.
    pub max: u32,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version, increased by each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Tenants; `None` if callers need no keys.
    pub tenants: Option<TenantDirectory>,
}

impl RouteTable {
    /// Returns the route of a request: the host's route with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let matching =
            self.routes.iter().filter(|route| route.host == host && path.starts_with(&route.path_prefix));
        matching.max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the regions in which requests of a route and a tenant may be served and stored: those that both
    /// allow. A tenant that no longer exists imposes no restriction.
    pub fn allowed_regions(&self, route: &Route, tenant: Option<&TenantName>) -> AllowedRegions {
        let tenant = tenant.and_then(|name| self.tenants.as_ref()?.by_name(name));
        tenant.map_or_else(|| route.regions.clone(), |tenant| route.regions.intersect(&tenant.regions))
    }

    /// Returns the route with this name.
    pub fn by_name(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }
}
