//! Gateways, engines and the network between them on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::NonZeroUsize;
use std::time::Duration;

use hdrhistogram::Histogram;
use lichenpulley_core::identity::{AttemptId, WeightVersion};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::routing::prefix::prefix_group;
use lichenpulley_core::routing::{LoadReport, PoolConfig};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::StreamRequest;

use super::policy::{Policy, PolicyKind, replica_id};
use super::site::Scenario;
use crate::engine::CacheConfig;
use crate::engine::answer::Answer;
use crate::engine::model::{EngineConfig, EngineModel};
use crate::load::{Prompt, Workload, WorkloadConfig, histogram, record};

/// Places in an engine's batch.
const CAPACITY: u32 = 16;
/// Assumed, since the users are still gathering theirs: a step's time, and what each stream adds to it.
const STEP_TIME: Duration = Duration::from_millis(15);
const STEP_TIME_PER_STREAM: Duration = Duration::from_micros(500);
/// The mean length of a live answer, measured over this many prompts, sets the rate of live arrivals.
const LENGTH_SAMPLE: u64 = 20_000;
const LIVE_MAX_TOKENS: u32 = 512;
const ROLLOUT_MAX_TOKENS: u32 = 2_048;
/// How often each gateway asks each replica for its load.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a request waits that no replica may take.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Requests are not counted before this.
const WARM_UP: Duration = Duration::from_secs(20);
const PREFIX_GROUPS: u32 = 96;
const PREFIX_BYTES: usize = 2_048;
/// Blocks of an engine's cache: a quarter of all prefixes.
const CACHE_BLOCKS: usize = PREFIX_GROUPS as usize * PREFIX_BYTES / 64 / 4;

/// What one run gave.
pub struct Outcome {
    /// Times of live requests to the whole answer, in microseconds.
    pub live_whole: Histogram<u64>,
    /// Times of live requests to the first token, in microseconds.
    pub live_first: Histogram<u64>,
    /// Tokens a second.
    pub tokens_per_second: f64,
    /// The share of prompt blocks that were cached.
    pub cache_hit_share: f64,
    /// Refusals by engines, and waits because every replica was at its limit.
    pub refused: u64,
    /// See [`Outcome::refused`].
    pub waits: u64,
}

#[derive(Debug)]
enum Event {
    /// The next live request arrives at a gateway.
    Arrival { gateway: usize },
    /// A request is routed, for the first time or again.
    Route { request: usize },
    /// A request reaches its engine.
    Reach { request: usize },
    /// Something is due at an engine.
    Wake { replica: usize },
    /// News of a request reaches its gateway.
    News { request: usize, news: News },
    /// A gateway asks each replica for its load.
    Poll { gateway: usize },
    /// A load report reaches a gateway.
    Report { gateway: usize, replica: usize, asked_at: Timestamp, report: LoadReport },
}

#[derive(Debug)]
enum News {
    Admitted(LoadReport),
    FirstToken,
    Finished(LoadReport),
    Refused,
}

struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

struct Request {
    gateway: usize,
    arrived: Timestamp,
    priority: Priority,
    prompt: Prompt,
    replica: usize,
    tries: u32,
    asked_at: Timestamp,
    tokens_seen: u32,
}

/// One run.
pub struct World<'a> {
    scenario: &'a Scenario,
    now: Timestamp,
    sequence: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    policies: Vec<Policy>,
    engines: Vec<EngineModel>,
    wakes: Vec<Option<Timestamp>>,
    requests: Vec<Request>,
    live: Workload,
    rollouts: Workload,
    live_per_second: f64,
    warm: bool,
    tokens_before: u64,
    outcome: Outcome,
}

impl<'a> World<'a> {
    /// A world at rest. The same scenario and seed draw the same prompts and arrivals under every policy.
    pub fn new(scenario: &'a Scenario, kind: PolicyKind, config: PoolConfig, seed: u64) -> Self {
        let zones = scenario.replica_zones();
        let policy = |gateway: usize| Policy::new(kind, &zones, config, seed * 101 + gateway as u64);
        let workload =
            |seed| WorkloadConfig { prefix_groups: PREFIX_GROUPS, prefix_bytes: PREFIX_BYTES, seed };
        let outcome = Outcome {
            live_whole: histogram(),
            live_first: histogram(),
            tokens_per_second: 0.0,
            cache_hit_share: 0.0,
            refused: 0,
            waits: 0,
        };
        Self {
            scenario,
            now: Timestamp::ORIGIN,
            sequence: 0,
            queue: BinaryHeap::new(),
            policies: (0..scenario.zones.len()).map(policy).collect(),
            engines: (0..scenario.replicas).map(engine).collect(),
            wakes: vec![None; scenario.replicas],
            requests: Vec::new(),
            live: Workload::new(workload(seed)),
            rollouts: Workload::new(workload(seed + 1_000)),
            live_per_second: live_rate(scenario),
            warm: false,
            tokens_before: 0,
            outcome,
        }
    }

    /// Runs for `measured` after the warm-up.
    pub fn run(mut self, measured: Duration) -> Outcome {
        self.begin();
        let warm_at = Timestamp::ORIGIN + WARM_UP;
        let end = warm_at + measured;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            if !self.warm && self.now >= warm_at {
                self.warm = true;
                self.tokens_before = self.tokens_generated();
            }
            self.handle(next.event);
        }
        let tokens = self.tokens_generated() - self.tokens_before;
        self.outcome.tokens_per_second = tokens as f64 / measured.as_secs_f64();
        let lookups = self.engines.iter().map(EngineModel::cache_lookups);
        let (blocks, cached) =
            lookups.fold((0, 0), |sum, lookup| (sum.0 + lookup.blocks, sum.1 + lookup.cached));
        self.outcome.cache_hit_share = cached as f64 / (blocks as f64).max(1.0);
        self.outcome
    }

    fn begin(&mut self) {
        for gateway in 0..self.policies.len() {
            self.schedule(Duration::ZERO, Event::Poll { gateway });
            self.schedule(Duration::from_millis(50), Event::Arrival { gateway });
        }
        let places = f64::from(CAPACITY) * self.scenario.replicas as f64;
        let rollouts = (places * self.scenario.rollout_share) as usize;
        for number in 0..rollouts {
            let gateway = number % self.policies.len();
            let request = self.request(gateway, Priority::Rollout);
            self.schedule(Duration::from_millis(50 + number as u64), Event::Route { request });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { gateway } => self.arrive(gateway),
            Event::Route { request } => self.route(request),
            Event::Reach { request } => self.reach(request),
            Event::Wake { replica } => self.wake(replica),
            Event::News { request, news } => self.hear(request, news),
            Event::Poll { gateway } => self.poll(gateway),
            Event::Report { gateway, replica, asked_at, report } => {
                self.policies[gateway].observe(replica, asked_at, report, self.now);
            }
        }
    }

    fn arrive(&mut self, gateway: usize) {
        let request = self.request(gateway, Priority::Live);
        self.route(request);
        let per_gateway = self.live_per_second / self.policies.len() as f64;
        let gap = self.live.next_gap(per_gateway);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival { gateway });
    }

    fn request(&mut self, gateway: usize, priority: Priority) -> usize {
        let prompt = match priority {
            Priority::Live => self.live.draw(),
            Priority::Rollout => self.rollouts.draw(),
        };
        self.requests.push(Request {
            gateway,
            arrived: self.now,
            priority,
            prompt,
            replica: 0,
            tries: 0,
            asked_at: self.now,
            tokens_seen: 0,
        });
        self.requests.len() - 1
    }

    fn route(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let group = prefix_group(&request.prompt.text);
        let chosen = self.policies[request.gateway].choose(self.now, group, request.priority);
        let Some(replica) = chosen else {
            self.outcome.waits += u64::from(self.warm);
            return self.schedule(RETRY_PAUSE, Event::Route { request: number });
        };
        request.replica = replica;
        request.tries += 1;
        request.asked_at = self.now;
        let delay = self.scenario.delay(request.gateway, replica);
        self.schedule(delay, Event::Reach { request: number });
    }

    fn reach(&mut self, number: usize) {
        let request = &self.requests[number];
        let replica = request.replica;
        let stream = StreamRequest {
            attempt: attempt_id(number, request.tries),
            prompt: request.prompt.text.clone(),
            prior_tokens: Vec::new(),
            max_tokens: max_tokens(request.priority),
            priority: request.priority,
            seed: request.prompt.seed,
        };
        let admitted = self.engines[replica].submit(self.now, &stream).is_ok();
        let news = if admitted {
            News::Admitted(self.engines[replica].present_load(self.now))
        } else {
            News::Refused
        };
        self.tell(number, news);
        self.schedule_wake(replica);
    }

    fn wake(&mut self, replica: usize) {
        if self.wakes[replica] != Some(self.now) {
            return;
        }
        self.wakes[replica] = None;
        for attempt in self.engines[replica].advance(self.now) {
            self.look_at(replica, &attempt);
        }
        self.schedule_wake(replica);
    }

    /// Sends news of a stream that has changed.
    fn look_at(&mut self, replica: usize, attempt: &AttemptId) {
        let Some(number) = request_number(attempt) else { return };
        let seen = self.requests[number].tokens_seen;
        let Some(slice) = self.engines[replica].read(attempt, seen) else { return };
        let new: usize = slice.runs.iter().map(|run| run.tokens.len()).sum();
        self.requests[number].tokens_seen += new as u32;
        if seen == 0 && new > 0 {
            self.tell(number, News::FirstToken);
        }
        if slice.end.is_some() {
            let load = self.engines[replica].present_load(self.now);
            self.tell(number, News::Finished(load));
        }
    }

    fn hear(&mut self, number: usize, news: News) {
        let request = &self.requests[number];
        let policy = &mut self.policies[request.gateway];
        let live = request.priority == Priority::Live;
        let counted = live && request.arrived >= Timestamp::ORIGIN + WARM_UP;
        let took = self.now.saturating_since(request.arrived);
        match news {
            News::Admitted(load) => policy.observe(request.replica, request.asked_at, load, self.now),
            News::FirstToken => {
                let start = self.now.saturating_since(request.asked_at);
                policy.started(request.replica, request.priority, start, self.now);
                if counted {
                    record(&mut self.outcome.live_first, took);
                }
            }
            News::Finished(load) => {
                // The load rode on the last event, so it stands for one way ago.
                let delay = self.scenario.delay(request.gateway, request.replica);
                let sent_at = Timestamp::from_micros(self.now.as_micros() - delay.as_micros() as u64);
                policy.observe(request.replica, sent_at, load, self.now);
                policy.finished(request.replica, false, self.now);
                if counted {
                    record(&mut self.outcome.live_whole, took);
                }
                if !live {
                    let next = self.request(self.requests[number].gateway, Priority::Rollout);
                    self.route(next);
                }
            }
            News::Refused => {
                policy.finished(request.replica, true, self.now);
                self.outcome.refused += u64::from(self.warm);
                self.schedule(RETRY_PAUSE, Event::Route { request: number });
            }
        }
    }

    fn poll(&mut self, gateway: usize) {
        for replica in 0..self.engines.len() {
            let delay = self.scenario.delay(gateway, replica);
            let report = self.engines[replica].lagging_load(self.now);
            let event = Event::Report { gateway, replica, asked_at: self.now, report };
            self.schedule(delay * 2, event);
        }
        self.schedule(POLL_INTERVAL, Event::Poll { gateway });
    }

    fn tell(&mut self, number: usize, news: News) {
        let request = &self.requests[number];
        let delay = self.scenario.delay(request.gateway, request.replica);
        self.schedule(delay, Event::News { request: number, news });
    }

    fn schedule_wake(&mut self, replica: usize) {
        let Some(wake) = self.engines[replica].next_wake() else { return };
        if self.wakes[replica].is_none_or(|set| set > wake) {
            self.wakes[replica] = Some(wake);
            self.schedule(wake.saturating_since(self.now), Event::Wake { replica });
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let scheduled = Scheduled { at: self.now + after, sequence: self.sequence, event };
        self.queue.push(Reverse(scheduled));
    }

    fn tokens_generated(&self) -> u64 {
        self.engines.iter().map(EngineModel::tokens_generated).sum()
    }
}

fn engine(number: usize) -> EngineModel {
    let mut config = EngineConfig::new(replica_id(number));
    config.capacity = CAPACITY;
    config.step_time = STEP_TIME;
    config.step_time_per_stream = STEP_TIME_PER_STREAM;
    config.retention = Duration::from_secs(1);
    let blocks = NonZeroUsize::new(CACHE_BLOCKS).unwrap_or(NonZeroUsize::MIN);
    config.cache = CacheConfig { blocks, ..CacheConfig::default() };
    EngineModel::new(config, 1, WeightVersion(1))
}

/// Live arrivals a second that keep the scenario's share of all places busy, at the step time of a full batch.
fn live_rate(scenario: &Scenario) -> f64 {
    let lengths = (0..LENGTH_SAMPLE).map(|seed| Answer::of("length", seed).token_count(LIVE_MAX_TOKENS));
    let mean_length = lengths.map(f64::from).sum::<f64>() / LENGTH_SAMPLE as f64;
    let step = STEP_TIME + STEP_TIME_PER_STREAM * CAPACITY;
    let places = f64::from(CAPACITY) * scenario.replicas as f64;
    scenario.live_share * places / (mean_length * step.as_secs_f64())
}

const fn max_tokens(priority: Priority) -> u32 {
    match priority {
        Priority::Live => LIVE_MAX_TOKENS,
        Priority::Rollout => ROLLOUT_MAX_TOKENS,
    }
}

fn attempt_id(request: usize, tries: u32) -> AttemptId {
    AttemptId::new(format!("{request}/{tries}"))
}

fn request_number(attempt: &AttemptId) -> Option<usize> {
    attempt.as_str().split('/').next()?.parse().ok()
}
