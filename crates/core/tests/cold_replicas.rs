//! Cold replicas: what all senders together send to one, whatever they know of each other.

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

const LASTS: Duration = Duration::from_secs(6);
/// When the replica's record says that it is cold.
const COLD_AT_MS: u64 = 6_000;
const STEP_MS: u64 = 20;
/// How long a request may wait for its connection.
const MAX_WAIT_MS: u64 = 300;
/// An owner that lost the batch jobs may start runs for so long.
const OLD_OWNER_MS: u64 = 600;

/// Routes whose engines are cold for a while, with a route of this kind to them beside the batch jobs.
fn cold_routes(per_second: f64, callers: bool, batch: bool) -> RouteTable {
    let mut table = RouteTable::clone(&routes(false));
    let bounds = ColdBounds { per_second, duration: LASTS };
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

fn cold(id: &str, left: Duration) -> ReplicaRecord {
    ReplicaRecord { cold_left: left, ..replica(id, 1) }
}

fn node(number: usize) -> NodeId {
    NodeId::new(format!("gateway-{number}"))
}

struct Sender {
    gate: AdmissionGate,
    until_ms: u64,
}

/// What differs from one run to the next.
#[derive(Clone, Debug)]
struct Plan {
    per_second: f64,
    callers: bool,
    batch: bool,
    gateways: usize,
    /// Gateways that each view lacks.
    unseen: Vec<Vec<usize>>,
    /// Whether each half knows nothing of the other.
    is_cut: bool,
    owner_change_ms: u64,
    /// A gateway that starts anew, and when.
    restart: (usize, u64),
    waits_ms: Vec<u64>,
    knows_bounds: bool,
}

impl Plan {
    fn view(&self, gateway: usize) -> Vec<NodeId> {
        let half = self.gateways / 2;
        let sees = |other: &usize| {
            let is_near = !self.is_cut || (*other < half) == (gateway < half);
            *other == gateway || (is_near && (self.is_cut || !self.unseen[gateway].contains(other)))
        };
        (0..self.gateways).filter(sees).map(node).collect()
    }

    fn gateway(&self, gateway: usize, from_ms: u64) -> Sender {
        let order = GatewayOrder::new(node(gateway), at(from_ms));
        let gate = AdmissionGate::new(WarmupTracker::of_gateway(order, at(from_ms)));
        Sender { gate, until_ms: u64::MAX }
    }

    fn owner(from_ms: u64, until_ms: u64) -> Sender {
        Sender { gate: AdmissionGate::new(WarmupTracker::of_owner(at(from_ms))), until_ms }
    }

    /// When requests to the replica left while it was cold. Each sender sends as soon as its gate is open.
    fn run(&self) -> Vec<u64> {
        let mut table = cold_routes(self.per_second, self.callers, self.batch);
        if !self.knows_bounds {
            table.services.values_mut().for_each(|service| service.cold = None);
        }
        let mut senders: Vec<Sender> = (0..self.gateways).map(|gateway| self.gateway(gateway, 0)).collect();
        senders.push(Self::owner(0, self.owner_change_ms + OLD_OWNER_MS));
        let end_ms = COLD_AT_MS + u64::try_from(LASTS.as_millis()).expect("short");
        let (mut left, mut waits) = (Vec::new(), self.waits_ms.iter().cycle());
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            if now_ms == self.restart.1 {
                senders[self.restart.0] = self.gateway(self.restart.0, now_ms);
            }
            if now_ms == self.owner_change_ms {
                senders.push(Self::owner(now_ms, u64::MAX));
            }
            let gone_ms = now_ms.saturating_sub(COLD_AT_MS);
            let is_cold = now_ms >= COLD_AT_MS;
            // The record is as old as it may be: each second a new one comes.
            let left_for = LASTS - Duration::from_millis(gone_ms / 1_000 * 1_000);
            let record = cold("r", if is_cold { left_for } else { Duration::ZERO });
            for (number, sender) in senders.iter_mut().enumerate() {
                let is_owner = number >= self.gateways;
                let may_send = if is_owner { self.batch } else { self.callers };
                if !may_send || now_ms > sender.until_ms {
                    continue;
                }
                if now_ms % 200 == 0 {
                    sender.look(&table, &record, &self.view(number.min(self.gateways - 1)), at(now_ms));
                }
                if is_cold && sender.gate.admission(&record, at(now_ms)).is_open() {
                    sender.gate.record_sent(&record, at(now_ms));
                    left.push(now_ms + waits.next().expect("some"));
                }
            }
        }
        left
    }

    /// The most requests that the replica stands in a second.
    fn bound(&self) -> usize {
        (self.per_second * 1.5 + 5.0) as usize
    }
}

impl Sender {
    fn look(&mut self, table: &RouteTable, record: &ReplicaRecord, view: &[NodeId], now: Timestamp) {
        let warmups = self.gate.warmups_mut();
        warmups.set_routes(table);
        if let Some(order) = warmups.order_mut() {
            order.observe(view.iter(), true, now);
        }
        warmups.set_replicas(std::iter::once(record), now);
    }
}

fn most_in_a_second(mut left: Vec<u64>) -> usize {
    left.sort_unstable();
    let within = |(first, from): (usize, &u64)| left[first..].partition_point(|at| *at < from + 1_000);
    left.iter().enumerate().map(within).max().unwrap_or(0)
}

fn plan() -> impl Strategy<Value = Plan> {
    let kinds = prop_oneof![Just((true, true)), Just((true, false)), Just((false, true))];
    (0.3_f64..60.0, kinds, 2_usize..40, any::<bool>()).prop_flat_map(
        |(per_second, kinds, gateways, is_cut)| {
            let unseen = prop::collection::vec(prop::collection::vec(0..gateways, 0..3), gateways);
            let changes = (COLD_AT_MS / 200..60, 0..gateways, 0_u64..60);
            let waits = prop::collection::vec(0..MAX_WAIT_MS, 1..50);
            (unseen, changes, waits).prop_map(move |(unseen, (change, restarted, restart), waits_ms)| Plan {
                per_second,
                callers: kinds.0,
                batch: kinds.1,
                gateways,
                unseen,
                is_cut,
                owner_change_ms: change * 200,
                restart: (restarted, restart * 200),
                waits_ms,
                knows_bounds: true,
            })
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Whatever senders know of each other, a cold replica gets no more in any second than it stands.
    #[test]
    fn all_senders_together_stay_within_what_a_cold_replica_stands(plan in plan()) {
        let most = most_in_a_second(plan.run());
        prop_assert!(most <= plan.bound(), "{most} of {}", plan.bound());
    }
}

fn calm(gateways: usize) -> Plan {
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
fn a_cold_replica_gets_a_good_part_of_what_it_bears_and_far_too_much_without_the_budget() {
    let sent = calm(12).run().len();
    let bears = 3 * usize::try_from(LASTS.as_secs()).expect("short");
    assert!((bears / 2..=bears + 3).contains(&sent), "{sent} of {bears}");
    let unbound = Plan { knows_bounds: false, ..calm(12) };
    assert!(most_in_a_second(unbound.run()) > unbound.bound());
}

#[test]
fn a_gateway_that_has_just_started_or_met_nobody_sends_nothing_to_a_cold_replica() {
    let (table, record) = (cold_routes(3.0, true, false), cold("r", LASTS));
    let opens = |is_joined: bool| {
        let order = GatewayOrder::new(node(0), at(0));
        let mut gate = AdmissionGate::new(WarmupTracker::of_gateway(order, at(0)));
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
    let mut gate = AdmissionGate::new(WarmupTracker::of_owner(at(0)));
    gate.warmups_mut().set_routes(&cold_routes(2.0, false, true));
    gate.warmups_mut().set_replicas(records.iter(), at(5_000));
    gate
}

#[test]
fn replicas_of_a_zone_that_is_given_back_are_cold_until_a_later_record_says_otherwise() {
    let records = [replica("a", 1), replica("b", 1)];
    let mut gate = owner_gate(&records);
    assert!(!gate.is_cold("a", at(5_000)));
    let zones = BTreeSet::from([records[0].zone.clone()]);
    gate.set_evacuated(Arc::new(EvacuatedZones { zones }), at(6_000));
    assert_eq!(gate.admission(&records[0], at(6_000)), Admission::Evacuated);
    gate.set_evacuated(Arc::default(), at(10_000));
    assert!(gate.is_cold("a", at(10_000)) && gate.is_cold("b", at(10_000)));
    assert_eq!(
        gate.warmups().cold_period("a", at(10_000)).map(|spell| spell.cause),
        Some(ColdCause::ZoneReturned)
    );
    // A record that may have been written before proves nothing, a later one does.
    let written = |version: u64| [replica("a", version), replica("b", 1)];
    gate.warmups_mut().set_replicas(written(2).iter(), at(10_500));
    assert!(gate.is_cold("a", at(11_900)));
    gate.warmups_mut().set_replicas(written(3).iter(), at(12_000));
    assert!(!gate.is_cold("a", at(12_600)), "after the ramp");
    assert!(gate.is_cold("b", at(12_600)));
    assert!(!gate.is_cold("b", at(16_500)));
}

#[test]
fn a_record_that_says_nothing_counts_as_that_of_a_replica_just_started() {
    let gate = owner_gate(&[cold("a", ReplicaRecord::COLD_UNKNOWN), cold("b", Duration::ZERO)]);
    let spell = gate.warmups().cold_period("a", at(5_000)).expect("cold");
    assert_eq!((spell.cause, spell.until), (ColdCause::Unknown, at(11_000)));
    assert!(!gate.is_cold("b", at(5_000)));
}

#[test]
fn a_replica_that_turns_cold_between_two_looks_is_closed_at_once() {
    let gate = owner_gate(&[replica("a", 1)]);
    assert_eq!(gate.admission(&cold("a", LASTS), at(5_100)), Admission::Warming(at(11_100)));
    assert_eq!(gate.admission(&cold("new", LASTS), at(5_100)), Admission::Warming(at(11_100)));
}

#[test]
fn a_replica_that_turns_cold_again_is_cold_whatever_its_record_said_before() {
    let mut gate = owner_gate(&[cold("a", LASTS)]);
    let mut take = |left_ms: u64, now_ms: u64| {
        let record = cold("a", Duration::from_millis(left_ms));
        gate.warmups_mut().set_replicas(std::iter::once(&record), at(now_ms));
        gate.warmups().cold_period("a", at(now_ms)).map(|spell| spell.until)
    };
    assert_eq!(take(4_000, 7_500), Some(at(11_000)), "the same cold time, from an older record");
    assert_eq!(take(3_000, 7_600), Some(at(10_600)));
    assert_eq!(take(2_900, 10_000), Some(at(12_900)), "anew before it was over");
    assert_eq!(take(2_800, 20_000), Some(at(22_800)), "anew, and what lay between was not read");
}

#[test]
fn replicas_of_a_zone_that_came_back_together_are_not_opened_in_one_moment() {
    let records: Vec<ReplicaRecord> = (0..24).map(|number| cold(&format!("r{number}"), LASTS)).collect();
    let gate = owner_gate(&records);
    let cold_at = |ms: u64| records.iter().filter(|record| gate.is_cold(&record.id, at(ms))).count();
    assert_eq!(cold_at(10_999), 24);
    assert!((4..20).contains(&cold_at(11_250)), "{}", cold_at(11_250));
    assert_eq!(cold_at(11_500), 0);
}

/// An owner that has owned for long, with replicas that turn cold now.
fn cold_owner(records: &[ReplicaRecord]) -> OwnerHarness {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[]);
    let routes = Arc::new(cold_routes(2.0, false, true));
    bench.controller.update(at(5_000), Some(routes), &table(records), &BTreeMap::new());
    bench.drain_actions();
    bench
}

#[test]
fn an_owner_starts_items_on_a_cold_replica_one_by_one_and_a_new_one_waits_first() {
    let mut bench = cold_owner(&[cold("a", LASTS)]);
    bench.submit(at(5_000), job("j", 4, 0));
    assert_eq!(bench.started.len(), 1);
    bench.controller.tick(at(5_480));
    bench.drain_actions();
    assert_eq!(bench.started.len(), 1);
    bench.controller.tick(at(5_500));
    bench.drain_actions();
    assert_eq!(bench.started.len(), 2, "two a second");

    let mut successor = OwnerHarness::new(bench.ledger_of_records(), false, &[]);
    let routes = Arc::new(cold_routes(2.0, false, true));
    let records = table(&[cold("a", LASTS)]);
    successor.controller.update(at(10), Some(routes), &records, &BTreeMap::new());
    successor.controller.tick(at(1_200));
    successor.drain_actions();
    assert!(successor.started.is_empty(), "the last second's budget is spent");
    successor.controller.tick(at(1_300));
    successor.drain_actions();
    assert_eq!(successor.started.len(), 1);
}

#[test]
fn score_requests_that_leave_together_count_one_after_the_other() {
    let scorer = ReplicaRecord { cold_left: LASTS, ..scorer_replica("s") };
    let mut bench = cold_owner(&[replica("a", 1), scorer]);
    bench.submit(at(5_000), scored_job("j", 2));
    let runs: Vec<_> = bench.started.iter().map(|start| start.run).collect();
    assert_eq!(runs.len(), 2);
    for run in runs {
        bench.event(at(5_010), run, 0, 1);
        bench.end(at(5_020), run, RunEnd::Complete);
    }
    bench.commit_appends(at(5_030));
    assert_eq!(bench.scores.len(), 1);
}

#[test]
fn the_pace_of_a_cold_replica_is_forgotten_once_it_is_warm() {
    let mut bench = cold_owner(&[cold("a", Duration::from_secs(1)), replica("b", 1)]);
    let run_at = |bench: &mut OwnerHarness, position: usize, replica: &str, from_ms: u64, gap_ms: u64| {
        let start = &bench.started[position];
        assert_eq!(start.replica.id, replica);
        let run = start.run;
        bench.event(at(from_ms), run, 0, 1);
        bench.event(at(from_ms + gap_ms), run, 1, 1);
        bench.end(at(from_ms + gap_ms), run, RunEnd::Complete);
        bench.commit_appends(at(from_ms + gap_ms));
    };
    bench.submit(at(5_000), job("cold", 1, 0));
    run_at(&mut bench, 0, "a", 5_010, 200);
    bench.submit(at(7_000), job("warm", 3, 0));
    run_at(&mut bench, 3, "a", 7_010, 10);
    run_at(&mut bench, 1, "b", 7_020, 100);
    run_at(&mut bench, 2, "b", 7_130, 100);
    bench.submit(at(7_300), job("last", 1, 0));
    assert_eq!(bench.started[4].replica.id, "a", "ten milliseconds against a hundred");
}
