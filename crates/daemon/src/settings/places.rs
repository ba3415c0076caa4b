//! `[places]`: which region this node and each zone lie in.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{RegionName, ZoneName};
use lichenpulley_core::ingress::places::ZoneMap;

use super::reader::SettingsReader;

/// `[places]`: which region this node and each zone lie in.
#[derive(Clone, Debug, Default)]
pub struct PlaceSettings {
    /// The region of this node; where it isn't given, the one that `zones` names for the node's zone.
    pub region: Option<RegionName>,
    /// Which region each zone lies in; empty where nothing is said, and all zones are taken as one region.
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

    /// Fills in the region of this node, and notes where the two keys say different things.
    pub(super) fn settle(&mut self, reader: &mut SettingsReader, zone: &ZoneName) {
        let of_zone = self.zones.region(zone.as_str()).cloned();
        match (&self.region, of_zone) {
            (None, of_zone) => self.region = of_zone,
            (Some(region), Some(of_zone)) if *region != of_zone => reader.problem(
                "places.region",
                format!("is {region}, and `places.zones` has zone {zone} in {of_zone}"),
                "give both the same region, or remove this key",
            ),
            _ => {}
        }
    }
}
