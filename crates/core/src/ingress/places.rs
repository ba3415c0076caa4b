//! Zones and regions: where replicas and machines stand, and where a request may be served.
//!
//! The zones come from the node's settings ([`ZoneMap`]); the regions that are allowed come from routes and
//! tenants ([`AllowedRegions`]), and both bind together.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crate::identity::RegionName;

/// Which region each zone lies in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<String, RegionName>,
}

impl ZoneMap {
    /// The map of these zones.
    pub const fn new(regions: BTreeMap<String, RegionName>) -> Self {
        Self { regions }
    }

    /// The region of a zone; `None` where the zone is not known.
    pub fn region(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether a zone is known.
    pub fn contains(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// All zones, with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&str, &RegionName)> {
        self.regions.iter().map(|(zone, region)| (zone.as_str(), region))
    }

    /// All regions, each once.
    pub fn regions(&self) -> BTreeSet<&RegionName> {
        self.regions.values().collect()
    }
}

/// The regions in which a request may be served and kept; all of them where nothing is said.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AllowedRegions(Option<Arc<BTreeSet<RegionName>>>);

impl AllowedRegions {
    /// Every region.
    pub const fn all() -> Self {
        Self(None)
    }

    /// These regions alone; every region where none is named.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Whether every region is allowed.
    pub const fn is_all(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is allowed. A place whose region is not known is allowed only where every region is.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match &self.0 {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }

    /// Whether a zone lies in a region that is allowed.
    pub fn allows_zone(&self, zones: &ZoneMap, zone: &str) -> bool {
        self.is_all() || self.allows(zones.region(zone))
    }

    /// Whether no region is allowed: what a route and its caller's tenant allow has nothing in common.
    pub fn allows_none(&self) -> bool {
        self.0.as_ref().is_some_and(|allowed| allowed.is_empty())
    }

    /// The regions that are named; none where every region is allowed.
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

    /// The regions that both allow: those of a route and of its caller's tenant bind together. May be none at
    /// all.
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
