//! The table `[places]`: the regions of this node and of the zones.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{RegionName, ZoneName};
use lichenpulley_core::ingress::places::ZoneMap;

use super::reader::SettingsReader;

/// The table `[places]`: the regions of this node and of the zones.
#[derive(Clone, Debug, Default)]
pub struct PlaceSettings {
    /// Region of this node; defaults to the region that `zones` gives for the node's zone.
    pub region: Option<RegionName>,
    /// Region of each zone. When empty, all zones belong to one region.
    pub zones: ZoneMap,
}

impl PlaceSettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let region = reader.optional_name("places.region").map(RegionName::new);
        let zones = reader.name_table("places.zones").into_iter();
        let zones: BTreeMap<String, RegionName> =
            zones.map(|(zone, region)| (zone, RegionName::new(region))).collect();
        Self { region, zones: ZoneMap::new(zones) }
    }

    /// Derives the region of this node from `zones` if it is not set, and reports a contradiction between the two keys.
    pub(super) fn resolve_region(&mut self, reader: &mut SettingsReader, zone: &ZoneName) {
        let of_zone = self.zones.region(zone.as_str()).cloned();
        match (&self.region, of_zone) {
            (None, of_zone) => self.region = of_zone,
            (Some(region), Some(of_zone)) if *region != of_zone => reader.add_problem(
                "places.region",
                format!("is {region}, but `places.zones` puts zone {zone} in {of_zone}"),
                "give both the same region, or remove this key",
            ),
            _ => {}
        }
    }
}
