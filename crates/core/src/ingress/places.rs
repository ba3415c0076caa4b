//! Zones and regions: the location of replicas and machines, and the regions in which a request may be served.
//!
//! The node's settings assign zones to regions ([`ZoneMap`]). Routes and tenants restrict regions
//! ([`AllowedRegions`]); a request must satisfy both.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crate::identity::RegionName;

/// Maps each zone to its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<String, RegionName>,
}

impl ZoneMap {
    /// Creates a map from zones to regions.
    pub const fn new(regions: BTreeMap<String, RegionName>) -> Self {
        Self { regions }
    }

    /// Returns the region of a zone; `None` if the zone is unknown.
    pub fn region(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether a zone is known.
    pub fn contains(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// Iterates over all zones with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&str, &RegionName)> {
        self.regions.iter().map(|(zone, region)| (zone.as_str(), region))
    }

    /// Returns the set of all regions.
    pub fn regions(&self) -> BTreeSet<&RegionName> {
        self.regions.values().collect()
    }
}

/// The regions in which a request may be served and stored; all regions by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AllowedRegions(Option<Arc<BTreeSet<RegionName>>>);

impl AllowedRegions {
    /// Allows every region.
    pub const fn all() -> Self {
        Self(None)
    }

    /// Allows only these regions, or every region if there are none.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Whether every region is allowed.
    pub const fn is_all(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is allowed. An unknown region (`None`) is allowed only if every region is.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.0 {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }

    /// Whether a zone is in an allowed region.
    pub fn allows_zone(&self, zones: &ZoneMap, zone: &str) -> bool {
        self.is_all() || self.allows(zones.region(zone))
    }

    /// Whether no region is allowed, as when a route and its caller's tenant have none in common.
    pub fn allows_none(&self) -> bool {
        self.0.as_ref().is_some_and(|allowed| allowed.is_empty())
    }

    /// Iterates over the named regions; empty if every region is allowed.
    pub fn named(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter().flat_map(|regions| regions.iter())
    }

    /// Whether every region that `other` allows is allowed here.
    pub fn includes(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(allowed), Some(other)) => other.is_subset(allowed),
        }
    }

    /// Returns the regions that both allow; possibly none.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(left), Some(right)) => Self(Some(Arc::new(left.intersection(right).cloned().collect()))),
        }
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else { return formatter.write_str("all") };
        let names: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
        formatter.write_str(if names.is_empty() { "none" } else { "" })?;
        formatter.write_str(&names.join(","))
    }
}
