//! Tests of allowed regions: set operations, the shards of batch jobs, and the replicas to which an owner sends.

mod batch_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use batch_support::{OwnerHarness, at, job, replica, routes, scored_job, scorer_replica, table};
use lichenpulley_core::batch::controller::{ControllerConfig, RunEnd};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::regional::{region_sets, regions_of, shard_of, unknown_regions};
use lichenpulley_core::batch::score_plan::ScoreEnd;
use lichenpulley_core::identity::{RegionName, TenantName};
use lichenpulley_core::ingress::places::{AllowedRegions, ZoneMap};
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::routes::{RouteKind, RouteTable};
use lichenpulley_core::ingress::tenants::{Tenant, TenantDirectory};
use proptest::prelude::*;

const REGIONS: [&str; 3] = ["east", "west", "north"];

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::of(names.iter().map(|name| RegionName::new(*name)))
}

/// Maps two zones to each region.
fn zones() -> ZoneMap {
    let zones = REGIONS.iter().flat_map(|region| {
        (0..2).map(move |number| (format!("{region}-{number}"), RegionName::new(*region)))
    });
    ZoneMap::new(zones.collect())
}

fn allowed() -> impl Strategy<Value = AllowedRegions> {
    prop::sample::subsequence(REGIONS.to_vec(), 0..=REGIONS.len()).prop_map(|names| regions(&names))
}

/// Returns the routes with these allowed regions of the batch route, the scorers' route and the tenant.
fn restricted_routes(
    batch: &AllowedRegions,
    scorers: &AllowedRegions,
    tenant: &AllowedRegions,
) -> RouteTable {
    let mut table = RouteTable::clone(&routes(false));
    for route in &mut table.routes {
        let is_batch = route.kind == RouteKind::Batch;
        route.regions = if is_batch { batch.clone() } else { scorers.clone() };
    }
    let tenant_record = Tenant::new(TenantName::new("anna"), ["key"], None).expect("a tenant");
    table.tenants =
        Some(TenantDirectory::new(vec![tenant_record.with_regions(tenant.clone())]).expect("a directory"));
    table
}

proptest! {
    #[test]
    fn an_intersection_allows_what_both_allow(left in allowed(), right in allowed(), other in allowed()) {
        let both = left.intersect(&right);
        for region in REGIONS.map(RegionName::new) {
            let by_each = left.allows(Some(&region)) && right.allows(Some(&region));
            prop_assert_eq!(both.allows(Some(&region)), by_each);
        }
        prop_assert_eq!(both.allows(None), left.is_all() && right.is_all());
        prop_assert_eq!(&both, &right.intersect(&left));
        prop_assert_eq!(both.intersect(&other), left.intersect(&right.intersect(&other)));
        prop_assert!(left.includes(&both) && right.includes(&both));
        let allows_none = !both.is_all() && REGIONS.iter().all(|name| !both.allows(Some(&RegionName::new(*name))));
        prop_assert_eq!(both.allows_none(), allows_none);
    }

    /// Shard names are unique per set of regions, and the set can be derived from the name.
    #[test]
    fn each_set_of_regions_has_a_shard_of_its_own(
        left in prop::collection::btree_set("[a-z_/.,-]{1,6}", 1..4),
        right in prop::collection::btree_set("[a-z_/.,-]{1,6}", 1..4),
    ) {
        let set = |names: &std::collections::BTreeSet<String>| {
            AllowedRegions::of(names.iter().map(|name| RegionName::new(name.clone())))
        };
        let (left, right) = (set(&left), set(&right));
        prop_assert_eq!(&regions_of(&shard_of(&left)), &left);
        prop_assert_eq!(shard_of(&left) == shard_of(&right), left == right);
        prop_assert!(shard_of(&left) != shard_of(&AllowedRegions::all()));
    }
}

#[test]
fn a_job_is_restricted_by_its_route_and_its_tenant() {
    let table =
        restricted_routes(&regions(&["east", "west"]), &regions(&["north"]), &regions(&["west", "north"]));
    assert_eq!(region_sets(&table).into_iter().collect::<Vec<_>>(), [regions(&["west"])]);
    let apart = restricted_routes(&regions(&["east"]), &AllowedRegions::all(), &regions(&["west"]));
    assert!(region_sets(&apart).is_empty(), "no shard exists for an empty set");
    assert!(region_sets(&routes(false)).is_empty(), "a deployment without restrictions has one shard");
    assert!(regions_of(&shard_of(&AllowedRegions::all())).is_all());
}

#[test]
fn regions_without_a_zone_are_reported() {
    let table =
        restricted_routes(&regions(&["east", "atlantis"]), &regions(&["west"]), &regions(&["lemuria"]));
    let unknown: Vec<&str> = unknown_regions(&table, &zones()).into_iter().map(RegionName::as_str).collect();
    assert_eq!(unknown, ["atlantis", "lemuria"]);
    assert!(unknown_regions(&routes(false), &zones()).is_empty());
}

/// An event that affects an owner.
#[derive(Clone, Debug)]
enum Event {
    /// The operator changes the regions of the batch route, the scorers' route and the tenant.
    Restrict(AllowedRegions, AllowedRegions, AllowedRegions),
    /// An engine, or a scorer if true, is added to a zone.
    AddReplica(bool, usize),
    /// All replicas of a zone are removed.
    RemoveReplicas(usize),
    Submit(bool),
    EndRun(usize, u8),
    EndScore(usize, bool),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (allowed(), allowed(), allowed()).prop_map(|(batch, scorers, tenant)| Event::Restrict(
            batch, scorers, tenant
        )),
        3 => (any::<bool>(), 0..6_usize).prop_map(|(is_scorer, zone)| Event::AddReplica(is_scorer, zone)),
        1 => (0..6_usize).prop_map(Event::RemoveReplicas),
        3 => any::<bool>().prop_map(Event::Submit),
        4 => (any::<prop::sample::Index>(), 0..4_u8)
            .prop_map(|(run, end)| Event::EndRun(run.index(64), end)),
        2 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(score, is_scored)| Event::EndScore(score.index(64), is_scored)),
        2 => (1..2_500_u64).prop_map(Event::Wait),
    ]
}

/// The owner of a shard with the configuration against which its sends are checked.
struct CheckedOwner {
    harness: OwnerHarness,
    shard: AllowedRegions,
    table: RouteTable,
    replicas: Vec<ReplicaRecord>,
    now_ms: u64,
    count: usize,
    /// Number of runs and of score requests that have been checked.
    checked: (usize, usize),
}

impl CheckedOwner {
    fn new(shard: AllowedRegions) -> Self {
        let config =
            ControllerConfig { zones: zones(), regions: shard.clone(), ..ControllerConfig::default() };
        let harness = OwnerHarness::with_config(config, Ledger::default(), false, &[]);
        let all = AllowedRegions::all();
        let table = restricted_routes(&all, &all, &all);
        Self { harness, shard, table, replicas: Vec::new(), now_ms: 0, count: 0, checked: (0, 0) }
    }

    fn update(&mut self) {
        let (routes, versions) = (Arc::new(self.table.clone()), BTreeMap::from([("pricing".to_owned(), 9)]));
        let replicas = table(&self.replicas);
        self.harness.controller.update(at(self.now_ms), Some(routes), &replicas, &versions);
    }

    fn apply(&mut self, event: Event) {
        let now = at(self.now_ms);
        match event {
            Event::Restrict(batch, scorers, tenant) => {
                self.table = restricted_routes(&batch, &scorers, &tenant)
            }
            Event::AddReplica(is_scorer, zone) => {
                let id = format!("replica-{}", self.count);
                let record = if is_scorer { scorer_replica(&id) } else { replica(&id, 1) };
                let zone = format!("{}-{}", REGIONS[zone / 2], zone % 2);
                self.replicas.push(ReplicaRecord { zone, ..record });
            }
            Event::RemoveReplicas(zone) => {
                let zone = format!("{}-{}", REGIONS[zone / 2], zone % 2);
                self.replicas.retain(|record| record.zone != zone);
            }
            Event::Submit(is_scored) => {
                let id = format!("job-{}", self.count);
                let mut job = if is_scored { scored_job(&id, 3) } else { job(&id, 3, 0) };
                job.tenant = Some(TenantName::new("anna"));
                self.harness.submit(now, job);
            }
            Event::EndRun(position, end) => {
                let end = [RunEnd::Broken, RunEnd::Rejected, RunEnd::OtherReplica, RunEnd::Complete]
                    [usize::from(end)];
                if let Some(start) = self.harness.started.get(position) {
                    let run = start.run;
                    self.harness.event(now, run, 0, 1);
                    self.harness.end(now, run, end);
                }
            }
            Event::EndScore(position, is_scored) => {
                let end = if is_scored { ScoreEnd::Scored("seal".to_owned()) } else { ScoreEnd::Broken };
                if position < self.harness.scores.len() {
                    self.harness.score_end(now, position, end);
                }
            }
            Event::Wait(milliseconds) => self.now_ms += milliseconds,
        }
        self.count += 1;
        self.update();
        self.harness.controller.tick(at(self.now_ms));
        self.harness.commit_appends(at(self.now_ms));
    }

    /// Checks that everything sent since the last check went to allowed regions of `table`.
    fn check(&mut self, table: &RouteTable) -> Result<(), TestCaseError> {
        let zones = zones();
        let tenant = TenantName::new("anna");
        let allowed = |host: &str, path: &str| {
            table.find(host, path).map(|route| table.allowed_regions(route, Some(&tenant)))
        };
        let batch = allowed("host", "/r/x").expect("a route").intersect(&self.shard);
        for start in &self.harness.started[self.checked.0..] {
            prop_assert!(batch.allows_zone(&zones, &start.replica.zone), "{} of {batch}", start.replica.zone);
        }
        let scorers = allowed("host", "/score/x").expect("a route");
        for start in &self.harness.scores[self.checked.1..] {
            prop_assert!(scorers.allows_zone(&zones, &start.replica.zone));
        }
        self.checked = (self.harness.started.len(), self.harness.scores.len());
        prop_assert!(
            self.shard.is_all() || self.harness.loads.is_empty(),
            "only the owner of the unrestricted shard orders loads"
        );
        Ok(())
    }
}

proptest! {
    /// For any order of events, nothing is sent to a replica outside the regions of the route, the tenant and the shard.
    #[test]
    fn an_owner_sends_only_to_replicas_in_allowed_regions(
        shard in allowed(),
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut owner = CheckedOwner::new(shard);
        for event in events {
            let before = owner.table.clone();
            let is_restriction = matches!(event, Event::Restrict(..));
            owner.apply(event);
            // An owner sends to replicas that an event frees before it applies the new configuration.
            let in_force = if is_restriction { owner.table.clone() } else { before };
            owner.check(&in_force)?;
        }
    }
}

#[test]
fn an_item_waits_for_an_allowed_replica_and_runs_there_at_once() {
    let mut owner = CheckedOwner::new(regions(&["west"]));
    owner.apply(Event::AddReplica(false, 0));
    owner.apply(Event::Submit(false));
    assert!(owner.harness.started.is_empty());
    owner.apply(Event::AddReplica(false, 2));
    let zones: Vec<&str> = owner.harness.started.iter().map(|start| start.replica.zone.as_str()).collect();
    assert_eq!(zones, ["west-0", "west-0"], "one run per slot");
}

#[test]
fn the_owner_of_the_unrestricted_shard_orders_loads() {
    let mut owner = CheckedOwner::new(AllowedRegions::all());
    owner.apply(Event::AddReplica(false, 0));
    owner.apply(Event::Wait(4_000));
    owner.apply(Event::Wait(4_000));
    assert!(!owner.harness.loads.is_empty());
}
