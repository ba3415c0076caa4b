//! The choice among replicas that report how long work takes there at present.
//!
//! The loads are those of a gateway that sees few answers, so that it meets a replica in a slowdown by chance and
//! does not see it again for seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::ingress::chooser::{ReplicaChooser, ReplicaFeedback};
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
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
