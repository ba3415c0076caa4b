//! The operator's configuration: routes from host and path prefix to services, and what each service and
//! route allows.
//!
//! Values only, never changed: a change makes the next version. The platform's adapter reads them from its
//! documents; units and bounds stand beside the fields.

use std::collections::BTreeMap;
use std::time::Duration;

use super::places::AllowedRegions;
use super::tenants::TenantDirectory;
use crate::identity::TenantName;

/// What a route's requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    NonIdempotent,
    /// Answered by a series of numbered events.
    Streaming,
    /// Batch jobs: sets of requests that are taken together and run afterwards.
    Batch,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Where it goes.
    pub service: String,
    /// Its weight among those of the route.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it serves.
    pub host: String,
    /// The beginning of the paths it serves.
    pub path_prefix: String,
    /// What its requests are.
    pub kind: RouteKind,
    /// How long a request may be held.
    pub timeout: Option<Duration>,
    /// Within this time an answer is worth most.
    pub target: Duration,
    /// Its services; at least one.
    pub services: Vec<WeightedService>,
    /// The greatest number of replicas that one attempt of a client is sent to.
    pub max_attempts: u32,
    /// Whether a stream may be continued at another replica.
    pub is_resumable: bool,
    /// When an item of a batch job may be given up, from the job's first send.
    pub max_queue: Duration,
    /// When all results of a batch job are due, from its first send.
    pub due: Duration,
    /// Whether a result must come from a single version of the weights.
    pub needs_single_version: bool,
    /// Its rank among routes, 0 first; that of a caller's tenant goes before it.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Where its requests may be served and kept.
    pub regions: AllowedRegions,
}

impl Route {
    /// The service that a number below the sum of weights falls to. `None` where all weights are zero.
    pub fn service_at(&self, number: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|part| part.weight).sum();
        let mut rest = number.checked_rem(total)?;
        for part in &self.services {
            if rest < part.weight {
                return Some(&part.service);
            }
            rest -= part.weight;
        }
        None
    }

    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// A service: replicas that serve the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Requests that a replica takes at a time where it does not say so itself.
    pub slots: u32,
    /// Tokens that a replica's memory holds; `None` where it keeps none.
    pub memory_tokens: Option<u64>,
    /// The models that its replicas serve.
    pub models: Vec<String>,
    /// How its replicas may be ordered; `None` where their number is not ours to choose.
    pub scaling: Option<ScalingBounds>,
    /// The rate of its replicas while they are cold; `None` where they are as good as warm from their start.
    pub cold: Option<ColdBounds>,
}

/// The rate that a replica can take for a while after its start, or after it turned cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Requests a second that one replica can take, from all senders together.
    pub per_second: f64,
    /// How long a replica is cold after its start.
    pub duration: Duration,
}

/// How the replicas of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// The fewest in a zone.
    pub min: u32,
    /// The most in a zone.
    pub max: u32,
    /// How long a new one takes until it serves.
    pub start_time: Duration,
    /// What a second of a replica costs in each zone, in proportion to others.
    pub zone_prices: BTreeMap<String, f64>,
    /// What one that may be taken away costs, as a part of another.
    pub preemptible_price: Option<f64>,
}

impl ScalingBounds {
    /// Bounds whose fewest and most fit together.
    ///
    /// # Errors
    /// When they don't.
    pub fn check(self) -> Result<Self, ScalingError> {
        if self.min > self.max {
            return Err(ScalingError { min: self.min, max: self.max });
        }
        Ok(self)
    }
}

/// More replicas are asked for at least than at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at least {min} replicas of a zone are more than at most {max}; lower the one or raise the other")]
pub struct ScalingError {
    /// The fewest in a zone.
    pub min: u32,
    /// The most in a zone.
    pub max: u32,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest request head.
    pub header_bytes: usize,
    /// The longest request body.
    pub body_bytes: usize,
    /// How long a head may take.
    pub header_timeout: Duration,
    /// How long a connection may rest.
    pub idle_timeout: Duration,
}

/// The operator's configuration. Never changed: a change makes the next version.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Goes up with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Tenants; `None` where callers need no key.
    pub tenants: Option<TenantDirectory>,
}

impl RouteTable {
    /// The route of a request: of the host's routes, the one with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let fitting =
            self.routes.iter().filter(|route| route.host == host && path.starts_with(&route.path_prefix));
        fitting.max_by_key(|route| route.path_prefix.len())
    }

    /// Where the requests of a route and a tenant may be served and kept: both bind. A tenant that is gone
    /// binds no more.
    pub fn allowed_regions(&self, route: &Route, tenant: Option<&TenantName>) -> AllowedRegions {
        let tenant = tenant.and_then(|name| self.tenants.as_ref()?.by_name(name));
        tenant.map_or_else(|| route.regions.clone(), |tenant| route.regions.intersect(&tenant.regions))
    }

    /// The route with this name.
    pub fn by_name(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }
}
