//! The choice among replicas that report how long work takes there at present.
//!
//! The loads are those of a gateway that sees few answers, so that it meets a replica in a slowdown by chance and
//! does not see it again for seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::chooser::{ReplicaChooser, ReplicaFeedback};
use lichenpulley_core::ingress::probing::ProbePolicy;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::shared_bases::{SharingAnswer, SharingSchedule};
use lichenpulley_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SLOTS: u32 = 6;

fn replica(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "plain".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: SLOTS,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// Reports one answer: the load of its head, if any, and then its end.
fn answer(chooser: &mut ReplicaChooser, id: &str, took: Duration, pace_percent: Option<u32>, now: Timestamp) {
    chooser.record_sent(id);
    let load = ReplicaLoad { running: 0, waiting: 0, slots: SLOTS, pace_percent };
    chooser.record_reported_load(id, load, now);
    chooser.record_end(id, ReplicaFeedback::Answered(took), now);
}

fn chosen(chooser: &ReplicaChooser, records: &[ReplicaRecord], now: Timestamp) -> String {
    chooser.best_of(records.iter().collect(), now, 0).expect("a replica").id.clone()
}

/// Guards against a fast replica that is avoided for good since its only answer came during a slowdown.
#[test]
fn a_slowdown_at_the_time_of_an_answer_does_not_make_a_replica_slow() {
    let records = [replica("fast"), replica("slow")];
    let feed = |reports_pace: bool| {
        let mut chooser = ReplicaChooser::default();
        let pace = |percent| reports_pace.then_some(percent);
        answer(&mut chooser, "fast", Duration::from_millis(50), pace(250), at(1_000));
        answer(&mut chooser, "slow", Duration::from_millis(40), pace(100), at(1_010));
        chooser
    };
    let chooser = feed(true);
    assert_eq!(chosen(&chooser, &records, at(1_020)), "slow", "50 ms during the slowdown");
    assert_eq!(chosen(&chooser, &records, at(6_000)), "fast", "20 ms after it");
    assert_eq!(chosen(&feed(false), &records, at(6_000)), "slow", "without the pace, its mean is 50 ms");
}

/// Guards against a pace that is used for longer than a slowdown lasts.
#[test]
fn a_stale_pace_is_not_used() {
    let records = [replica("slowed"), replica("other")];
    let mut chooser = ReplicaChooser::default();
    answer(&mut chooser, "slowed", Duration::from_millis(20), Some(100), at(1_000));
    answer(&mut chooser, "other", Duration::from_millis(24), Some(100), at(1_000));
    assert_eq!(chosen(&chooser, &records, at(1_000)), "slowed");
    let load = ReplicaLoad { running: 0, waiting: 0, slots: SLOTS, pace_percent: Some(250) };
    chooser.record_reported_load("slowed", load, at(2_000));
    assert_eq!(chosen(&chooser, &records, at(2_000)), "other");
    assert_eq!(chosen(&chooser, &records, at(2_300)), "other");
    assert_eq!(chosen(&chooser, &records, at(2_500)), "slowed");
}

/// Guards against a base latency taken from an answer whose pace is not known.
#[test]
fn an_answer_without_a_pace_does_not_change_the_base_latency() {
    let record = replica("a");
    let mut chooser = ReplicaChooser::default();
    answer(&mut chooser, "a", Duration::from_millis(20), Some(100), at(1_000));
    answer(&mut chooser, "a", Duration::from_millis(90), None, at(5_000));
    assert_eq!(chooser.base_latency(&record), Some(Duration::from_millis(20)));
    assert!(chooser.reports_pace(["a"]));
}

/// Guards against a replica that ranks by its refusal after the refusal has expired, or whose base latency is
/// computed from the load assumed for a refusal.
#[test]
fn a_refusal_does_not_change_the_base_latency() {
    let record = replica("a");
    let mut chooser = ReplicaChooser::default();
    answer(&mut chooser, "a", Duration::from_millis(20), Some(100), at(1_000));
    chooser.record_sent("a");
    chooser.record_sent("a");
    chooser.record_end("a", ReplicaFeedback::Full, at(1_100));
    chooser.record_end("a", ReplicaFeedback::Answered(Duration::from_millis(300)), at(1_110));
    assert_eq!(chooser.base_latency(&record), Some(Duration::from_millis(20)));
    assert_eq!(chooser.expected_response(&record, at(2_000)), Some(Duration::from_millis(20)));
}

/// The choice of earlier releases: mean latency, requests in flight, and reported load.
#[derive(Default)]
struct EarlierChoice {
    latency_ms: BTreeMap<String, f64>,
    reported: BTreeMap<String, (Timestamp, u32)>,
}

impl EarlierChoice {
    fn answered(&mut self, id: &str, took: Duration, busy: u32, now: Timestamp) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mean = self.latency_ms.entry(id.to_owned()).or_insert(took_ms);
        *mean += 0.2 * (took_ms - *mean);
        self.reported.insert(id.to_owned(), (now, busy));
    }

    fn choose(&self, records: &[ReplicaRecord], now: Timestamp) -> String {
        let cost = |record: &ReplicaRecord| {
            let latency = self.latency_ms.get(&record.id).copied().unwrap_or(20.0);
            let reported = self.reported.get(&record.id);
            let busy = reported.filter(|(at, _)| now.saturating_since(*at) < Duration::from_millis(400));
            latency * (1.0 + f64::from(busy.map_or(0, |(_, busy)| *busy)) / f64::from(SLOTS))
        };
        let best = records.iter().min_by(|left, right| cost(left).total_cmp(&cost(right)));
        best.expect("a replica").id.clone()
    }
}

/// Guards against a change for replicas that report three figures.
#[test]
fn replicas_without_a_pace_are_chosen_as_before() {
    let records: Vec<ReplicaRecord> = ["a", "b", "c", "d"].map(replica).to_vec();
    for seed in 0..8 {
        let mut random = Pcg64::seed_from_u64(seed);
        let (mut chooser, mut earlier) = (ReplicaChooser::default(), EarlierChoice::default());
        let mut now = at(1_000);
        for step in 0..500 {
            let id = &records[random.random_range(0..records.len())].id;
            let took = Duration::from_micros(random.random_range(5_000..80_000));
            let (running, waiting) = (random.random_range(0..=SLOTS), random.random_range(0..4));
            let load = ReplicaLoad { running, waiting, slots: SLOTS, pace_percent: None };
            chooser.record_sent(id);
            chooser.record_reported_load(id, load, now);
            chooser.record_end(id, ReplicaFeedback::Answered(took), now);
            earlier.answered(id, took, running + waiting, now);
            now = now + Duration::from_millis(random.random_range(0..600));
            let expected = earlier.choose(&records, now);
            assert_eq!(chosen(&chooser, &records, now), expected, "seed {seed}, step {step}");
        }
    }
}

fn shared(bases: &[(&str, u64)]) -> Vec<(String, Duration)> {
    bases.iter().map(|(id, base_ms)| ((*id).to_owned(), Duration::from_millis(*base_ms))).collect()
}

/// Guards against a gateway that tries each replica for itself, although the owner knows which ones are slow.
#[test]
fn shared_base_latencies_rank_replicas_that_this_node_has_not_measured() {
    let records = [replica("slow"), replica("fast"), replica("usual")];
    let mut chooser = ReplicaChooser::default();
    answer(&mut chooser, "usual", Duration::from_millis(20), Some(100), at(1_000));
    // The owner's requests need four times the work.
    let bases = shared(&[("slow", 128), ("fast", 48), ("usual", 80)]);
    chooser.record_shared_bases("plain", bases, at(2_000));
    for random in 0..8 {
        let best = chooser.best_of(records.iter().collect(), at(2_000), random);
        assert_eq!(best.expect("a replica").id, "fast");
    }
    assert_eq!(chooser.expected_response(&records[0], at(2_000)), Some(Duration::from_millis(32)));
    assert_eq!(chooser.expected_response(&records[1], at(2_000)), Some(Duration::from_millis(12)));
    assert!(!chooser.reports_pace(["slow", "fast"]), "they have not reported it to this node");
}

/// Guards against an expected response in the scale of the owner's requests.
#[test]
fn shared_base_latencies_give_no_expected_response_before_their_scale_is_known() {
    let records = [replica("slow"), replica("fast")];
    let mut chooser = ReplicaChooser::default();
    chooser.record_shared_bases("plain", shared(&[("slow", 128), ("fast", 48)]), at(1_000));
    assert_eq!(chosen(&chooser, &records, at(1_000)), "fast");
    assert_eq!(chooser.expected_response(&records[1], at(1_000)), None);
    assert_eq!(chooser.base_latency(&records[1]), None);
}

/// Guards against hints that outweigh what this node measures itself, and against hints of an owner that this node no
/// longer reaches.
#[test]
fn own_measurements_outweigh_shared_ones_and_shared_ones_expire() {
    let record = replica("a");
    let mut chooser = ReplicaChooser::default();
    let base_ms = |chooser: &ReplicaChooser| {
        chooser.base_latency(&record).expect("a base latency").as_secs_f64() * 1_000.0
    };
    // Another replica determines the scale, which is one.
    for number in 0..20 {
        answer(&mut chooser, "other", Duration::from_millis(20), Some(100), at(1_000 + number));
    }
    let hint = || shared(&[("a", 40), ("other", 20)]);
    chooser.record_shared_bases("plain", hint(), at(1_100));
    assert!((base_ms(&chooser) - 40.0).abs() < 0.01);
    for number in 0..20 {
        answer(&mut chooser, "a", Duration::from_millis(20), Some(100), at(2_000 + number));
    }
    let mixed = base_ms(&chooser);
    assert!(20.0 < mixed && mixed < 30.0, "closer to its own 20 ms: {mixed}");
    chooser.expire_shared_bases(at(31_000));
    assert!((base_ms(&chooser) - mixed).abs() < 0.01, "29.9 s old");
    chooser.expire_shared_bases(at(31_100));
    assert!((base_ms(&chooser) - 20.0).abs() < 0.01, "30 s old");
}

/// Guards against a hint that replaces the mean response time of a replica that reports no pace to this node.
#[test]
fn a_shared_base_latency_is_not_used_for_a_replica_measured_without_a_pace() {
    let records = [replica("a"), replica("b")];
    let mut chooser = ReplicaChooser::default();
    answer(&mut chooser, "a", Duration::from_millis(30), None, at(1_000));
    answer(&mut chooser, "b", Duration::from_millis(40), None, at(1_000));
    chooser.record_shared_bases("plain", shared(&[("a", 80), ("b", 20)]), at(1_000));
    assert_eq!(chosen(&chooser, &records, at(2_000)), "a");
    assert_eq!(chooser.expected_response(&records[0], at(2_000)), None);
}

/// Guards against figures of one or two answers that are sent to all gateways.
#[test]
fn a_base_latency_is_shared_only_after_several_answers() {
    let mut chooser = ReplicaChooser::default();
    for number in 0..4 {
        answer(&mut chooser, "a", Duration::from_millis(20), Some(100), at(1_000 + number));
        answer(&mut chooser, "b", Duration::from_millis(20), None, at(1_000 + number));
    }
    assert_eq!(chooser.base_latency_to_share("a"), None);
    answer(&mut chooser, "a", Duration::from_millis(20), Some(100), at(1_100));
    answer(&mut chooser, "b", Duration::from_millis(20), None, at(1_100));
    assert_eq!(chooser.base_latency_to_share("a"), Some(Duration::from_millis(20)));
    assert_eq!(chooser.base_latency_to_share("b"), None, "it reports no pace");
}

/// Questions that a schedule allows within `length` if each of them gets `result`.
fn questions(result: SharingAnswer, length: Duration, seed: u64) -> u32 {
    let mut random = Pcg64::seed_from_u64(seed);
    let owner = NodeId::new("owner");
    let mut schedule = SharingSchedule::new(at(0), &mut random);
    let (mut now, mut asked) = (at(0), 0);
    while now < at(0) + length {
        if schedule.is_due(Some(&owner), now) {
            asked += 1;
            schedule.record(Some(&owner), result, now, &mut random);
        }
        now = now + Duration::from_secs(1);
    }
    asked
}

/// Guards against a gateway that keeps asking an owner of the previous release, which closes the connection each time.
#[test]
fn an_owner_that_does_not_answer_is_asked_rarely() {
    for seed in 0..16 {
        let hour = Duration::from_secs(3_600);
        assert!((500..=900).contains(&questions(SharingAnswer::Some, hour, seed)));
        assert!((90..=170).contains(&questions(SharingAnswer::Empty, hour, seed)));
        assert!((90..=170).contains(&questions(SharingAnswer::NotOwner, hour, seed)));
        assert!((10..=24).contains(&questions(SharingAnswer::None, hour, seed)));
    }
}

/// Guards against a successor of a later release that is not asked for minutes.
#[test]
fn the_successor_of_an_owner_that_did_not_answer_is_asked_at_once() {
    let mut random = Pcg64::seed_from_u64(1);
    let (old, new) = (NodeId::new("old"), NodeId::new("new"));
    let mut schedule = SharingSchedule::new(at(0), &mut random);
    schedule.record(Some(&old), SharingAnswer::None, at(6_000), &mut random);
    assert!(!schedule.is_due(Some(&old), at(16_000)));
    assert!(!schedule.is_due(None, at(16_000)));
    assert!(schedule.is_due(Some(&new), at(16_000)));
    schedule.record(Some(&new), SharingAnswer::Some, at(16_000), &mut random);
    assert!(!schedule.is_due(Some(&new), at(16_001)));
}

/// Counts the requests that are probed among `requests`, one every 100 ms from `start_ms`.
fn probed(policy: &mut ProbePolicy, requests: u64, start_ms: u64) -> usize {
    (0..requests).filter(|number| policy.should_probe("plain", at(start_ms + number * 100))).count()
}

/// Guards against probes outside a shortage, and against more than one probed request out of two.
#[test]
fn every_other_request_is_probed_during_a_shortage_only() {
    let mut policy = ProbePolicy::default();
    assert_eq!(probed(&mut policy, 10, 0), 0);
    policy.record_answer("plain", Some(0), false, at(1_000));
    policy.record_answer("plain", None, false, at(1_000));
    policy.record_answer("other", Some(3), true, at(1_000));
    assert_eq!(probed(&mut policy, 10, 1_000), 0, "no queue and not late");
    policy.record_answer("plain", Some(1), false, at(2_000));
    assert_eq!(probed(&mut policy, 10, 2_000), 5);
    assert_eq!(probed(&mut policy, 10, 12_000), 0, "the queue was seen 10 s ago");
    policy.record_answer("plain", None, true, at(20_000));
    assert_eq!(probed(&mut policy, 10, 20_000), 5, "a late answer");
}

/// Guards against requests that are delayed by probes of a health path that does not answer or reports no load.
#[test]
fn probes_that_show_no_load_are_repeated_rarely() {
    let mut policy = ProbePolicy::default();
    let mut probes = 0;
    for number in 0..600 {
        let now = at(1_000 + number * 100);
        policy.record_answer("plain", Some(1), false, now);
        if policy.should_probe("plain", now) {
            probes += 1;
            policy.record_probes("plain", false, now);
        }
    }
    assert!((4..=7).contains(&probes), "{probes} within a minute");
}

/// Guards against state that is kept for services that are no longer configured.
#[test]
fn the_shortage_of_a_removed_service_is_forgotten() {
    let mut policy = ProbePolicy::default();
    policy.record_answer("plain", Some(1), false, at(1_000));
    policy.retain_services(|service| service != "plain");
    assert!(!policy.should_probe("plain", at(1_001)));
}
