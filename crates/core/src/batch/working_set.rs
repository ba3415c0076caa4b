//! Chooses the replicas that the owner of the batch jobs works with.
//!
//! Inputs: the listed replicas, the slots of each, the regions of the shard, and the items that were recently open at a
//! time, by service and model.
//!
//! The owner orders loads for all replicas that it works with, and considers them for each item. Both would grow with
//! the service, even while its jobs need few of the replicas. The owner therefore works with as many as the items need,
//! with a reserve for losses and for replicas that are loading. All of them are used in a service that has no more.
//!
//! Replicas are chosen by a hash of their names: the choice is spread over the zones, changes little as replicas come
//! and go, and is the same for the next owner, which finds the newest versions loaded there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ingress::admission::AdmissionGate;
use crate::ingress::replicas::{ReplicaRecord, ReplicaTable};
use crate::time::Timestamp;

/// Slots for each item that is open at a time. The second one replaces lost replicas and those that are loading.
const SLOTS_PER_ITEM: f64 = 2.0;
/// Minimum number of replicas of each service.
const MIN_REPLICAS: usize = 64;
/// Time in which a past demand decreases by half.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(60);

/// The greatest number of items that were recently open at a time, by service and model.
#[derive(Clone, Debug, Default)]
pub(super) struct ItemDemand {
    peaks: BTreeMap<String, BTreeMap<Option<String>, Peak>>,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    items: f64,
    at: Timestamp,
}

impl Peak {
    fn items_at(&self, now: Timestamp) -> f64 {
        let half_lives = now.saturating_since(self.at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.items * 0.5_f64.powf(half_lives)
    }
}

impl ItemDemand {
    /// Records the number of items of a model that are open now in jobs for a service.
    pub(super) fn observe(&mut self, service: &str, model: Option<&str>, open_items: usize, now: Timestamp) {
        let models = self.peaks.entry(service.to_owned()).or_default();
        let peak = models.entry(model.map(str::to_owned)).or_insert(Peak { items: 0.0, at: now });
        if open_items as f64 >= peak.items_at(now) {
            *peak = Peak { items: open_items as f64, at: now };
        }
    }

    /// Returns how many replicas with this number of slots a service needs.
    pub(super) fn replicas(&self, service: &str, slots: u32, now: Timestamp) -> usize {
        let models = self.peaks.get(service).into_iter().flat_map(BTreeMap::values);
        let of_model = |peak: &Peak| (peak.items_at(now) * SLOTS_PER_ITEM / f64::from(slots.max(1))).ceil();
        let needed: f64 = models.map(of_model).sum();
        (needed as usize).max(MIN_REPLICAS)
    }
}

/// Returns the ids of the replicas to work with. Where a service has more than it needs, only those are chosen that
/// accept new work in an allowed zone.
pub(super) fn choose<'a>(
    listed: &'a ReplicaTable,
    demand: &ItemDemand,
    gate: &AdmissionGate,
    allows_zone: impl Fn(&str) -> bool,
    now: Timestamp,
) -> BTreeSet<&'a str> {
    let mut services: BTreeMap<&str, Vec<&ReplicaRecord>> = BTreeMap::new();
    for record in listed.records.values() {
        services.entry(&record.service).or_default().push(record);
    }
    let mut chosen = BTreeSet::new();
    for (service, mut records) in services {
        let slots = records.iter().map(|record| record.slots).min().unwrap_or_default();
        let needed = demand.replicas(service, slots, now);
        if records.len() > needed {
            records.retain(|record| {
                !record.is_draining && !gate.is_evacuated(record) && allows_zone(&record.zone)
            });
            take_first(&mut records, needed);
        }
        chosen.extend(records.into_iter().map(|record| record.id.as_str()));
    }
    chosen
}

/// Reduces the records to the first `count` in the order of the hash.
fn take_first(records: &mut Vec<&ReplicaRecord>, count: usize) {
    if records.len() <= count {
        return;
    }
    records.select_nth_unstable_by_key(count, |record| (xxh3_64(record.name.as_bytes()), &record.id));
    records.truncate(count);
}
