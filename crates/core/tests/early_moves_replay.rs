//! Replays loads of plain requests on a virtual clock: a gateway that sends a steady rate of requests to replicas of which
//! one is silent or slow, or all are slow. The same load is replayed with replicas that report no pace, which is the
//! behaviour before early moves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::attempts::{Attempts, NextStep, SendOutcome};
use lichenpulley_core::ingress::chooser::ReplicaFeedback;
use lichenpulley_core::ingress::places::{AllowedRegions, ZoneMap};
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::selection::{NoCandidate, ReplicaSelector, SelectedReplica, SelectionQuery};
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::WarmupTracker;
use lichenpulley_core::retry::attempt_timeout;
use lichenpulley_core::retry::early_moves::{EarlyMoveDenial, EarlyMoveResult};
use lichenpulley_core::time::Timestamp;

const TARGET: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_millis(1_500);
const MAX_ATTEMPTS: u32 = 2;
const REPLICAS: usize = 10;
const SLOTS: usize = 2;
/// Time that a request runs at a replica of usual speed, in milliseconds.
const WORK_MS: u64 = 25;
/// Time in which all replicas work well, so that their speeds are measured.
const WARM_UP_MS: u64 = 4_000;
const END_MS: u64 = 14_000;

/// How replicas behave after the warm-up.
#[derive(Clone, Copy, PartialEq)]
enum Speed {
    Usual,
    /// Requests take this many times as long.
    Slower(u64),
    /// Requests are never answered.
    Silent,
}

/// One load.
#[derive(Clone, Copy)]
struct Load {
    /// Breaks ties between replicas.
    seed: u64,
    requests_per_s: u64,
    reports_pace: bool,
    /// Number of replicas whose speed changes after the warm-up.
    changed: usize,
    speed: Speed,
}

/// What became of the requests that arrived after the warm-up.
#[derive(Debug, Default)]
struct Outcome {
    requests: u64,
    in_target: u64,
    late: u64,
    unanswered: u64,
    refused: u64,
    early_moves: u64,
    /// Early moves after the first second of the change.
    later_early_moves: u64,
    later_moves: u64,
    denials: BTreeMap<&'static str, u64>,
    /// Shortest time between a send and an early move, in milliseconds.
    shortest_send_ms: Option<u64>,
    most_sends: usize,
}

struct Replica {
    speed: Speed,
    /// End of each running request and its number; `None` never ends.
    running: Vec<(Option<u64>, usize)>,
    waiting: VecDeque<usize>,
}

impl Replica {
    fn work_ms(&self) -> Option<u64> {
        match self.speed {
            Speed::Usual => Some(WORK_MS),
            Speed::Slower(factor) => Some(WORK_MS * factor),
            Speed::Silent => None,
        }
    }

    fn load(&self, reports_pace: bool) -> ReplicaLoad {
        let pace = match self.speed {
            Speed::Slower(factor) => 100 * factor,
            Speed::Usual | Speed::Silent => 100,
        };
        ReplicaLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            pace_percent: reports_pace.then_some(pace as u32),
        }
    }
}

struct Request {
    arrived_at: u64,
    attempts: Attempts,
    tried: Vec<String>,
    replica: usize,
    sent_at: u64,
    /// When it next tries to move as before.
    moves_at: u64,
    is_early_move_tried: bool,
}

struct Replay {
    load: Load,
    selector: ReplicaSelector,
    table: ReplicaTable,
    replicas: Vec<Replica>,
    /// Requests that wait for an answer, by number.
    requests: BTreeMap<usize, Request>,
    outcome: Outcome,
}

fn at(now_ms: u64) -> Timestamp {
    Timestamp::from_millis(now_ms)
}

fn whole_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn index(selected: &SelectedReplica) -> usize {
    selected.record.id.parse().expect("a number")
}

impl Replay {
    fn new(load: Load) -> Self {
        let record = |number: usize| ReplicaRecord {
            id: number.to_string(),
            name: number.to_string(),
            service: "plain".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "east".to_owned(),
            slots: SLOTS as u32,
            is_draining: false,
            models: BTreeMap::new(),
            cold_left: Duration::ZERO,
        };
        let order = GatewayOrder::new(NodeId::new("gateway"), Timestamp::ORIGIN);
        let warmups = WarmupTracker::for_gateway(order, Timestamp::ORIGIN);
        let replica = |_| Replica { speed: Speed::Usual, running: Vec::new(), waiting: VecDeque::new() };
        Self {
            load,
            selector: ReplicaSelector::new(warmups),
            table: ReplicaTable::new((0..REPLICAS).map(record)),
            replicas: (0..REPLICAS).map(replica).collect(),
            requests: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut arrived = 0;
        for now in 0..END_MS + whole_ms(DEADLINE) + 1 {
            if now == WARM_UP_MS {
                for replica in &mut self.replicas[..self.load.changed] {
                    replica.speed = self.load.speed;
                }
            }
            self.answer_completed(now);
            self.give_up_expired(now);
            self.move_waiting(now);
            while now < END_MS && arrived * 1_000 / self.load.requests_per_s <= now {
                self.arrive(arrived as usize, now);
                arrived += 1;
            }
            self.start_waiting(now);
        }
        assert!(self.requests.is_empty());
        self.outcome
    }

    /// Runs `select` with a query for a request that was tried at these replicas.
    fn select<Selected>(
        &mut self,
        tried: &[String],
        now: u64,
        select: impl FnOnce(
            &mut ReplicaSelector,
            &SelectionQuery<'_>,
            Option<&ReplicaTable>,
            Option<Arc<EvacuatedZones>>,
            u64,
        ) -> Selected,
    ) -> Selected {
        let (zones, regions) = (ZoneMap::new(BTreeMap::new()), AllowedRegions::all());
        let query = SelectionQuery {
            service: "plain",
            regions: &regions,
            zones: &zones,
            tried,
            is_quarantined: false,
        };
        // Any fixed sequence without a pattern breaks ties.
        let random = (now + self.load.seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        select(&mut self.selector, &query, Some(&self.table), Some(Arc::default()), random)
    }

    fn arrive(&mut self, number: usize, now: u64) {
        let is_counted = now >= WARM_UP_MS;
        self.outcome.requests += u64::from(is_counted);
        self.selector.early_moves_mut().record_request("plain", at(now));
        let selected = self.select(&[], now, |selector, query, table, evacuated, random| {
            selector.check_queues(query, DEADLINE, table, evacuated.clone(), at(now))?;
            selector.select(query, table, evacuated, at(now), random)
        });
        match selected {
            Ok(selected) => {
                let request = Request {
                    arrived_at: now,
                    attempts: Attempts::new(true, MAX_ATTEMPTS),
                    tried: Vec::new(),
                    replica: 0,
                    sent_at: now,
                    moves_at: 0,
                    is_early_move_tried: false,
                };
                self.requests.insert(number, request);
                self.send(number, &selected, now);
            }
            Err(NoCandidate::NoTime(_)) => self.outcome.refused += u64::from(is_counted),
            Err(reason) => panic!("{reason:?}"),
        }
    }

    fn send(&mut self, number: usize, selected: &SelectedReplica, now: u64) {
        let request = self.requests.get_mut(&number).expect("a request");
        let remaining = DEADLINE - Duration::from_millis(now - request.arrived_at);
        request.replica = index(selected);
        request.tried.push(selected.record.id.clone());
        request.sent_at = now;
        request.moves_at = now + whole_ms(attempt_timeout::for_request(remaining));
        request.is_early_move_tried = false;
        self.outcome.most_sends = self.outcome.most_sends.max(request.tried.len());
        self.replicas[request.replica].waiting.push_back(number);
    }

    fn start_waiting(&mut self, now: u64) {
        for replica in &mut self.replicas {
            while replica.running.len() < SLOTS {
                let Some(number) = replica.waiting.pop_front() else { break };
                replica.running.push((replica.work_ms().map(|work| now + work), number));
            }
        }
    }

    fn answer_completed(&mut self, now: u64) {
        for replica in 0..self.replicas.len() {
            let running = std::mem::take(&mut self.replicas[replica].running);
            let (ended, running) =
                running.into_iter().partition(|(end, _)| end.is_some_and(|end| end <= now));
            self.replicas[replica].running = running;
            let ended: Vec<(Option<u64>, usize)> = ended;
            for (_, number) in ended {
                let is_waited_for =
                    self.requests.get(&number).is_some_and(|request| request.replica == replica);
                if !is_waited_for {
                    continue;
                }
                let request = self.requests.remove(&number).expect("a request");
                let load = self.replicas[replica].load(self.load.reports_pace);
                self.selector.record_reported_load(&replica.to_string(), load, at(now));
                self.selector.early_moves_mut().record_answer(
                    "plain",
                    &replica.to_string(),
                    load.waiting,
                    at(now),
                );
                let took = Duration::from_millis(now - request.sent_at);
                self.selector.record_end(&replica.to_string(), ReplicaFeedback::Answered(took), at(now));
                self.record_result(&request, Some(now - request.arrived_at), now);
                if request.arrived_at >= WARM_UP_MS {
                    let is_in_target = now - request.arrived_at <= whole_ms(TARGET);
                    self.outcome.in_target += u64::from(is_in_target);
                    self.outcome.late += u64::from(!is_in_target);
                }
            }
        }
    }

    fn give_up_expired(&mut self, now: u64) {
        let expired = |request: &Request| now - request.arrived_at >= whole_ms(DEADLINE);
        let numbers: Vec<usize> =
            self.requests.iter().filter(|(_, request)| expired(request)).map(|(number, _)| *number).collect();
        for number in numbers {
            let request = self.requests.remove(&number).expect("a request");
            self.leave(number, &request, now);
            self.record_result(&request, None, now);
            self.outcome.unanswered += u64::from(request.arrived_at >= WARM_UP_MS);
        }
    }

    fn record_result(&mut self, request: &Request, elapsed_ms: Option<u64>, now: u64) {
        if request.attempts.has_moved_early() {
            let result = EarlyMoveResult::of(elapsed_ms.map(Duration::from_millis), TARGET);
            self.selector.early_moves_mut().record_result("plain", result, at(now));
        }
    }

    /// Ends the send of a request without an answer. Work that has begun continues at the replica.
    fn leave(&mut self, number: usize, request: &Request, now: u64) {
        self.replicas[request.replica].waiting.retain(|waiting| *waiting != number);
        self.selector.record_end(&request.replica.to_string(), ReplicaFeedback::NoAnswer, at(now));
    }

    fn move_waiting(&mut self, now: u64) {
        let is_due = |request: &Request| {
            now >= request.moves_at
                || (!request.is_early_move_tried && now >= request.sent_at + whole_ms(TARGET) / 2)
        };
        let due = self.requests.iter().filter(|(_, request)| is_due(request));
        let numbers: Vec<usize> = due.map(|(number, _)| *number).collect();
        for number in numbers {
            let request = &self.requests[&number];
            let remaining = DEADLINE - Duration::from_millis(now - request.arrived_at);
            let target_left = TARGET.saturating_sub(Duration::from_millis(now - request.arrived_at));
            let sent_at = at(request.sent_at);
            let tried = request.tried.clone();
            if !request.is_early_move_tried
                && at(now) >= attempt_timeout::early_move_at(TARGET, sent_at, sent_at)
                && request.attempts.may_move_early(remaining)
            {
                self.requests.get_mut(&number).expect("a request").is_early_move_tried = true;
                let selected = self.select(&tried, now, |selector, query, table, evacuated, random| {
                    selector.select_early(query, target_left, table, evacuated, at(now), random)
                });
                match selected {
                    Ok(selected) => {
                        self.record_early_move(number, now);
                        self.move_to(number, &selected, now);
                    }
                    Err(denial) => self.record_denial(denial),
                }
                continue;
            }
            if now >= request.moves_at && request.attempts.may_move(remaining) {
                let request = self.requests.get_mut(&number).expect("a request");
                request.moves_at = now + whole_ms(attempt_timeout::MOVE_RETRY_INTERVAL);
                let selected = self.select(&tried, now, |selector, query, table, evacuated, random| {
                    selector.select_alternative(query, false, table, evacuated, at(now), random)
                });
                if let Ok(selected) = selected {
                    self.outcome.later_moves += 1;
                    self.move_to(number, &selected, now);
                }
            }
        }
    }

    fn record_early_move(&mut self, number: usize, now: u64) {
        let request = self.requests.get_mut(&number).expect("a request");
        request.attempts.record_early_move();
        let sent_for = now - request.sent_at;
        let shortest = self.outcome.shortest_send_ms.map_or(sent_for, |shortest| shortest.min(sent_for));
        self.outcome.shortest_send_ms = Some(shortest);
        self.outcome.early_moves += 1;
        self.outcome.later_early_moves += u64::from(now >= WARM_UP_MS + 1_000);
    }

    fn record_denial(&mut self, denial: EarlyMoveDenial) {
        *self.outcome.denials.entry(denial.as_str()).or_default() += 1;
    }

    fn move_to(&mut self, number: usize, selected: &SelectedReplica, now: u64) {
        let mut request = self.requests.remove(&number).expect("a request");
        self.leave(number, &request, now);
        let remaining = DEADLINE - Duration::from_millis(now - request.arrived_at);
        let next = request.attempts.next_step(SendOutcome::TimedOut, remaining);
        assert_eq!(
            next,
            NextStep::TryAnother,
            "a slot was reserved only for a request that may be sent again"
        );
        self.requests.insert(number, request);
        self.send(number, selected, now);
    }
}

/// Returns the outcome with and without reported paces.
fn replay(load: Load) -> (Outcome, Outcome) {
    let with_pace = Replay::new(Load { reports_pace: true, ..load }).run();
    let without_pace = Replay::new(Load { reports_pace: false, ..load }).run();
    println!("with pace: {with_pace:?}\nwithout: {without_pace:?}");
    assert_eq!(without_pace.early_moves, 0, "off where no pace is reported");
    assert_eq!(without_pace.refused, 0, "off where no pace is reported");
    assert!(with_pace.most_sends <= MAX_ATTEMPTS as usize);
    assert!(with_pace.shortest_send_ms.is_none_or(|shortest| shortest >= whole_ms(TARGET) / 2));
    (with_pace, without_pace)
}

fn one_of_ten(speed: Speed) -> Load {
    Load { seed: 0, requests_per_s: 100, reports_pace: true, changed: 1, speed }
}

fn all(requests_per_s: u64, speed: Speed) -> Load {
    Load { seed: 0, requests_per_s, reports_pace: true, changed: REPLICAS, speed }
}

/// Early moves that the budget grants to the requests after the warm-up, and one second of savings.
fn budget(outcome: &Outcome) -> u64 {
    outcome.requests / 10 + (END_MS - WARM_UP_MS) / 1_000 + 20
}

#[test]
fn requests_at_a_silent_replica_are_answered_by_others_within_the_target() {
    for seed in [0, 1_000, 2_000] {
        let (with_pace, without_pace) = replay(Load { seed, ..one_of_ten(Speed::Silent) });
        assert!(without_pace.late >= 3, "moves after 300 ms are late");
        assert_eq!(with_pace.late + with_pace.unanswered, 0);
        assert!(with_pace.early_moves <= budget(&with_pace));
    }
}

#[test]
fn a_replica_that_is_four_times_slower_causes_no_late_requests() {
    let (with_pace, _) = replay(one_of_ten(Speed::Slower(4)));
    assert_eq!(with_pace.late + with_pace.unanswered, 0);
    assert!(with_pace.early_moves <= budget(&with_pace));
}

/// Guards against repeats that take the slots of first attempts: the load is 1.3 times the capacity.
#[test]
fn early_moves_stop_while_all_replicas_are_slow_and_requests_wait() {
    let (with_pace, _) = replay(all(260, Speed::Slower(4)));
    assert!(with_pace.early_moves <= budget(&with_pace));
    assert_eq!(with_pace.later_early_moves, 0, "the answers show waiting requests");
    assert!(with_pace.denials["shortage"] > 0);
}

/// The load of one gateway of many: it sees few answers, so that the reports of a slowdown are old, and its budget of one
/// a second is more than its requests.
#[test]
fn early_moves_of_a_gateway_with_few_requests_stop_while_all_replicas_are_slow() {
    for requests_per_s in [1, 12, 60] {
        let (with_pace, _) = replay(all(requests_per_s, Speed::Slower(8)));
        assert!(with_pace.early_moves <= budget(&with_pace), "{requests_per_s} a second");
        assert!(with_pace.later_early_moves <= 3, "{requests_per_s} a second");
    }
}
