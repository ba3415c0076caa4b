//! Tests of the limits on cold replicas: the load from all senders together, and the tracking of cold periods.

mod batch_support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use batch_support::{OwnerHarness, at, job, replica, routes, scored_job, scorer_replica, table};
use lichenpulley_core::batch::controller::RunEnd;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::admission::{Admission, AdmissionGate, EvacuatedZones};
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::routes::{ColdBounds, Route, RouteKind, RouteTable, WeightedService};
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::{ColdCause, WarmupTracker};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const COLD_TIME: Duration = Duration::from_secs(6);
/// When the replica turns cold.
const COLD_AT_MS: u64 = 6_000;
const STEP_MS: u64 = 20;
/// Maximum time that a request waits for its connection.
const MAX_WAIT_MS: u64 = 300;
/// Time for which a replaced owner may still start runs.
const OLD_OWNER_MS: u64 = 600;

/// Routes to a service with cold bounds: a plain route if `callers`, and a batch route if `batch`.
fn cold_routes(per_second: f64, callers: bool, batch: bool) -> RouteTable {
    let mut table = RouteTable::clone(&routes(false));
    let bounds = ColdBounds { per_second, duration: COLD_TIME };
    table.services.get_mut("engines").expect("the service").cold = Some(bounds);
    let scorers = table.services["engines"].clone();
    table.services.insert("scorers".to_owned(), scorers);
    if callers {
        let service = WeightedService { service: "engines".to_owned(), weight: 1 };
        let route = Route { kind: RouteKind::Idempotent, services: vec![service], ..table.routes[0].clone() };
        table.routes.push(route);
    }
    if !batch {
        table.routes.retain(|route| route.kind != RouteKind::Batch);
    }
    table
}

fn cold(id: &str, remaining: Duration) -> ReplicaRecord {
    ReplicaRecord { cold_left: remaining, ..replica(id, 1) }
}

fn node(number: usize) -> NodeId {
    NodeId::new(format!("gateway-{number}"))
}

struct Sender {
    gate: AdmissionGate,
    until_ms: u64,
}

/// Parameters of a simulated run.
#[derive(Clone, Debug)]
struct Plan {
    per_second: f64,
    callers: bool,
    batch: bool,
    gateways: usize,
    /// Gateways missing from each gateway's view.
    unseen: Vec<Vec<usize>>,
    /// Whether a network partition separates the gateways into halves.
    is_cut: bool,
    owner_change_ms: u64,
    /// A gateway that restarts, and when.
    restart: (usize, u64),
    waits_ms: Vec<u64>,
    knows_bounds: bool,
}

impl Plan {
    fn view(&self, gateway: usize) -> Vec<NodeId> {
        let half = self.gateways / 2;
        let is_visible = |other: &usize| {
            let is_near = !self.is_cut || (*other < half) == (gateway < half);
            *other == gateway || (is_near && (self.is_cut || !self.unseen[gateway].contains(other)))
        };
        (0..self.gateways).filter(is_visible).map(node).collect()
    }

    fn gateway(&self, gateway: usize, from_ms: u64) -> Sender {
        let order = GatewayOrder::new(node(gateway), at(from_ms));
        let gate = AdmissionGate::new(WarmupTracker::for_gateway(order, at(from_ms)));
        Sender { gate, until_ms: u64::MAX }
    }

    fn owner(from_ms: u64, until_ms: u64) -> Sender {
        Sender { gate: AdmissionGate::new(WarmupTracker::for_owner(at(from_ms))), until_ms }
    }

    /// Runs the senders, each of which sends whenever its gate admits it. Returns when requests reached the cold
    /// replica.
    fn run(&self) -> Vec<u64> {
        let mut table = cold_routes(self.per_second, self.callers, self.batch);
        if !self.knows_bounds {
            table.services.values_mut().for_each(|service| service.cold = None);
        }
        let mut senders: Vec<Sender> = (0..self.gateways).map(|gateway| self.gateway(gateway, 0)).collect();
        senders.push(Self::owner(0, self.owner_change_ms + OLD_OWNER_MS));
        let end_ms = COLD_AT_MS + u64::try_from(COLD_TIME.as_millis()).expect("short");
        let (mut arrivals, mut waits) = (Vec::new(), self.waits_ms.iter().cycle());
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            if now_ms == self.restart.1 {
                senders[self.restart.0] = self.gateway(self.restart.0, now_ms);
            }
            if now_ms == self.owner_change_ms {
                senders.push(Self::owner(now_ms, u64::MAX));
            }
            let cold_for_ms = now_ms.saturating_sub(COLD_AT_MS);
            let is_cold = now_ms >= COLD_AT_MS;
            // Records are as old as possible: a new one is written each second.
            let remaining = COLD_TIME - Duration::from_millis(cold_for_ms / 1_000 * 1_000);
            let record = cold("r", if is_cold { remaining } else { Duration::ZERO });
            for (number, sender) in senders.iter_mut().enumerate() {
                let is_owner = number >= self.gateways;
                let may_send = if is_owner { self.batch } else { self.callers };
                if !may_send || now_ms > sender.until_ms {
                    continue;
                }
                if now_ms % 200 == 0 {
                    sender.update(&table, &record, &self.view(number.min(self.gateways - 1)), at(now_ms));
                }
                if is_cold && sender.gate.admission(&record, at(now_ms)).is_open() {
                    sender.gate.record_sent(&record, at(now_ms));
                    arrivals.push(now_ms + waits.next().expect("some"));
                }
            }
        }
        arrivals
    }

    /// Returns the maximum number of requests per second that the replica tolerates.
    fn bound(&self) -> usize {
        (self.per_second * 1.5 + 5.0) as usize
    }
}

impl Sender {
    fn update(&mut self, table: &RouteTable, record: &ReplicaRecord, view: &[NodeId], now: Timestamp) {
        let warmups = self.gate.warmups_mut();
        warmups.set_routes(table);
        if let Some(order) = warmups.order_mut() {
            order.observe(view.iter(), true, now);
        }
        warmups.set_replicas(std::iter::once(record), now);
    }
}

fn max_per_second(mut arrivals: Vec<u64>) -> usize {
    arrivals.sort_unstable();
    let within = |(first, from): (usize, &u64)| arrivals[first..].partition_point(|at| *at < from + 1_000);
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

fn plan() -> impl Strategy<Value = Plan> {
    let kinds = prop_oneof![Just((true, true)), Just((true, false)), Just((false, true))];
    (0.3_f64..60.0, kinds, 2_usize..40, any::<bool>()).prop_flat_map(
        |(per_second, kinds, gateways, is_cut)| {
            let unseen = prop::collection::vec(prop::collection::vec(0..gateways, 0..3), gateways);
            let changes = (COLD_AT_MS / 200..60, 0..gateways, 0_u64..60);
            let waits = prop::collection::vec(0..MAX_WAIT_MS, 1..50);
            (unseen, changes, waits).prop_map(
                move |(unseen, (change, restarted_gateway, restart), waits_ms)| Plan {
                    per_second,
                    callers: kinds.0,
                    batch: kinds.1,
                    gateways,
                    unseen,
                    is_cut,
                    owner_change_ms: change * 200,
                    restart: (restarted_gateway, restart * 200),
                    waits_ms,
                    knows_bounds: true,
                },
            )
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// A cold replica gets no more requests in any second than it tolerates, regardless of the senders' views.
    #[test]
    fn all_senders_together_stay_within_the_bound_of_a_cold_replica(plan in plan()) {
        let max_observed = max_per_second(plan.run());
        prop_assert!(max_observed <= plan.bound(), "{max_observed} of {}", plan.bound());
    }
}

fn steady_plan(gateways: usize) -> Plan {
    Plan {
        per_second: 3.0,
        callers: true,
        batch: true,
        gateways,
        unseen: vec![Vec::new(); gateways],
        is_cut: false,
        owner_change_ms: 60_000,
        restart: (0, 60_001),
        waits_ms: vec![0],
        knows_bounds: true,
    }
}

#[test]
fn a_cold_replica_is_well_used_and_is_overloaded_without_the_budget() {
    let sent = steady_plan(12).run().len();
    let capacity = 3 * usize::try_from(COLD_TIME.as_secs()).expect("short");
    assert!((capacity / 2..=capacity + 3).contains(&sent), "{sent} of {capacity}");
    let unlimited = Plan { knows_bounds: false, ..steady_plan(12) };
    assert!(max_per_second(unlimited.run()) > unlimited.bound());
}

#[test]
fn a_gateway_that_just_started_or_has_not_joined_sends_nothing_to_a_cold_replica() {
    let (table, record) = (cold_routes(3.0, true, false), cold("r", COLD_TIME));
    let opens = |is_joined: bool| {
        let order = GatewayOrder::new(node(0), at(0));
        let mut gate = AdmissionGate::new(WarmupTracker::for_gateway(order, at(0)));
        gate.warmups_mut().set_routes(&table);
        let mut opened = None;
        for now_ms in (0..5_000).step_by(100) {
            let order = gate.warmups_mut().order_mut().expect("a gateway");
            order.observe([node(0)].iter(), is_joined, at(now_ms));
            gate.warmups_mut().set_replicas(std::iter::once(&record), at(now_ms));
            if opened.is_none() && gate.admission(&record, at(now_ms)).is_open() {
                opened = Some(now_ms);
            }
        }
        opened
    };
    assert_eq!(opens(true), Some(3_000));
    assert_eq!(opens(false), None);
}

fn owner_gate(records: &[ReplicaRecord]) -> AdmissionGate {
    let mut gate = AdmissionGate::new(WarmupTracker::for_owner(at(0)));
    gate.warmups_mut().set_routes(&cold_routes(2.0, false, true));
    gate.warmups_mut().set_replicas(records.iter(), at(5_000));
    gate
}

#[test]
fn replicas_of_a_readmitted_zone_are_cold_until_a_newer_record_states_otherwise() {
    let records = [replica("a", 1), replica("b", 1)];
    let mut gate = owner_gate(&records);
    assert!(!gate.is_cold("a", at(5_000)));
    let zones = BTreeSet::from([records[0].zone.clone()]);
    gate.set_evacuated(Arc::new(EvacuatedZones { zones }), at(6_000));
    assert_eq!(gate.admission(&records[0], at(6_000)), Admission::Evacuated);
    gate.set_evacuated(Arc::default(), at(10_000));
    assert!(gate.is_cold("a", at(10_000)) && gate.is_cold("b", at(10_000)));
    assert_eq!(
        gate.warmups().cold_period("a", at(10_000)).map(|period| period.cause),
        Some(ColdCause::ZoneReturned)
    );
    // A record that may be older than the readmission is ignored.
    let written = |version: u64| [replica("a", version), replica("b", 1)];
    gate.warmups_mut().set_replicas(written(2).iter(), at(10_500));
    assert!(gate.is_cold("a", at(11_900)));
    gate.warmups_mut().set_replicas(written(3).iter(), at(12_000));
    assert!(!gate.is_cold("a", at(12_600)), "after the ramp");
    assert!(gate.is_cold("b", at(12_600)));
    assert!(!gate.is_cold("b", at(16_500)));
}

#[test]
fn a_record_without_a_cold_time_counts_as_that_of_a_new_replica() {
    let gate = owner_gate(&[cold("a", ReplicaRecord::COLD_UNKNOWN), cold("b", Duration::ZERO)]);
    let period = gate.warmups().cold_period("a", at(5_000)).expect("cold");
    assert_eq!((period.cause, period.until), (ColdCause::Unknown, at(11_000)));
    assert!(!gate.is_cold("b", at(5_000)));
}

#[test]
fn a_replica_that_turns_cold_between_two_updates_is_blocked_at_once() {
    let gate = owner_gate(&[replica("a", 1)]);
    assert_eq!(gate.admission(&cold("a", COLD_TIME), at(5_100)), Admission::Warming(at(11_100)));
    assert_eq!(gate.admission(&cold("new", COLD_TIME), at(5_100)), Admission::Warming(at(11_100)));
}

#[test]
fn a_replica_that_turns_cold_again_starts_a_new_period() {
    let mut gate = owner_gate(&[cold("a", COLD_TIME)]);
    let mut take = |left_ms: u64, now_ms: u64| {
        let record = cold("a", Duration::from_millis(left_ms));
        gate.warmups_mut().set_replicas(std::iter::once(&record), at(now_ms));
        gate.warmups().cold_period("a", at(now_ms)).map(|period| period.until)
    };
    assert_eq!(take(4_000, 7_500), Some(at(11_000)), "the same period, from an older record");
    assert_eq!(take(3_000, 7_600), Some(at(10_600)));
    assert_eq!(take(2_900, 10_000), Some(at(12_900)), "a new period before the first ended");
    assert_eq!(take(2_800, 20_000), Some(at(22_800)), "a new period, although no warm record was read");
}

#[test]
fn replicas_that_warm_up_together_open_at_different_times() {
    let records: Vec<ReplicaRecord> = (0..24).map(|number| cold(&format!("r{number}"), COLD_TIME)).collect();
    let gate = owner_gate(&records);
    let cold_at = |ms: u64| records.iter().filter(|record| gate.is_cold(&record.id, at(ms))).count();
    assert_eq!(cold_at(10_999), 24);
    assert!((4..20).contains(&cold_at(11_250)), "{}", cold_at(11_250));
    assert_eq!(cold_at(11_500), 0);
}

/// Returns an established owner whose replicas turn cold now.
fn cold_owner(records: &[ReplicaRecord]) -> OwnerHarness {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[]);
    let routes = Arc::new(cold_routes(2.0, false, true));
    harness.controller.update(at(5_000), Some(routes), &table(records), &BTreeMap::new());
    harness.drain_actions();
    harness
}

#[test]
fn an_owner_limits_starts_on_a_cold_replica_and_a_new_owner_waits_first() {
    let mut harness = cold_owner(&[cold("a", COLD_TIME)]);
    harness.submit(at(5_000), job("j", 4, 0));
    assert_eq!(harness.started.len(), 1);
    harness.controller.tick(at(5_480));
    harness.drain_actions();
    assert_eq!(harness.started.len(), 1);
    harness.controller.tick(at(5_500));
    harness.drain_actions();
    assert_eq!(harness.started.len(), 2, "two per second");

    let mut successor = OwnerHarness::new(harness.ledger_of_records(), false, &[]);
    let routes = Arc::new(cold_routes(2.0, false, true));
    let records = table(&[cold("a", COLD_TIME)]);
    successor.controller.update(at(10), Some(routes), &records, &BTreeMap::new());
    successor.controller.tick(at(1_200));
    successor.drain_actions();
    assert!(successor.started.is_empty(), "the budget counts as used up by the previous owner");
    successor.controller.tick(at(1_300));
    successor.drain_actions();
    assert_eq!(successor.started.len(), 1);
}

#[test]
fn concurrent_score_requests_count_against_the_budget() {
    let scorer = ReplicaRecord { cold_left: COLD_TIME, ..scorer_replica("s") };
    let mut harness = cold_owner(&[replica("a", 1), scorer]);
    harness.submit(at(5_000), scored_job("j", 2));
    let runs: Vec<_> = harness.started.iter().map(|start| start.run).collect();
    assert_eq!(runs.len(), 2);
    for run in runs {
        harness.event(at(5_010), run, 0, 1);
        harness.end(at(5_020), run, RunEnd::Complete);
    }
    harness.commit_appends(at(5_030));
    assert_eq!(harness.scores.len(), 1);
}

#[test]
fn the_pace_measured_on_a_cold_replica_is_discarded_once_it_is_warm() {
    let mut harness = cold_owner(&[cold("a", Duration::from_secs(1)), replica("b", 1)]);
    let run_at = |harness: &mut OwnerHarness, position: usize, replica: &str, from_ms: u64, gap_ms: u64| {
        let start = &harness.started[position];
        assert_eq!(start.replica.id, replica);
        let run = start.run;
        harness.event(at(from_ms), run, 0, 1);
        harness.event(at(from_ms + gap_ms), run, 1, 1);
        harness.end(at(from_ms + gap_ms), run, RunEnd::Complete);
        harness.commit_appends(at(from_ms + gap_ms));
    };
    harness.submit(at(5_000), job("cold", 1, 0));
    run_at(&mut harness, 0, "a", 5_010, 200);
    harness.submit(at(7_000), job("warm", 3, 0));
    run_at(&mut harness, 3, "a", 7_010, 10);
    run_at(&mut harness, 1, "b", 7_020, 100);
    run_at(&mut harness, 2, "b", 7_130, 100);
    harness.submit(at(7_300), job("last", 1, 0));
    assert_eq!(harness.started[4].replica.id, "a", "ten milliseconds against a hundred");
}
