//! Simulations of bursts of crashes: afterwards every open item is at a replica, and all are done.

mod batch_support;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use batch_support::{MODEL, OwnerHarness, at, job, replica, table};
use lichenpulley_core::batch::controller::{RunEnd, RunId};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::quarantine::{CrashReport, Fingerprint, Quarantine, RequestContent, Suspect};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 60;
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
const FAULTS_UNTIL_MS: u64 = 15_000;
const END_MS: u64 = 36_000;
/// An open item must be at a replica again within this time of steady state.
const PLACED_WITHIN_MS: u64 = 5_000;
const REPLICAS: usize = 8;
const SLOTS: u32 = 4;
/// Fewer than half of the slots.
const ITEMS: usize = 12;
const EVENT_MS: u64 = 100;
/// Probability of each kind of fault in one step.
const FAULT_PROBABILITY: f64 = 0.01;
const REJECTION_PROBABILITY: f64 = 0.2;

/// A simulated replica.
struct Server {
    record: ReplicaRecord,
    is_alive: bool,
    /// When the list shows its end or its newest record.
    shown_at_ms: u64,
    /// When another one takes its place.
    replaced_at_ms: Option<u64>,
}

struct SimulatedRun {
    item: String,
    replica: String,
    next_event_ms: u64,
    next_number: u64,
}

struct Schedule {
    random: Pcg64Mcg,
    harness: OwnerHarness,
    needs_single_version: bool,
    /// Start of the current owner's clock.
    owner_since_ms: u64,
    now_ms: u64,
    servers: Vec<Server>,
    lives: usize,
    runs: BTreeMap<RunId, SimulatedRun>,
    taken: (usize, usize),
    /// Number of events of each item.
    lengths: HashMap<String, u64>,
    last_at_replica_ms: HashMap<String, u64>,
    quarantine: Arc<Quarantine>,
    /// Records of earlier owners.
    records: Vec<Record>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let needs_single_version = random.random_bool(0.3);
        let harness = OwnerHarness::new(Ledger::default(), needs_single_version, &[]);
        let mut schedule = Self {
            random,
            harness,
            needs_single_version,
            owner_since_ms: 0,
            now_ms: 0,
            servers: Vec::new(),
            lives: 0,
            runs: BTreeMap::new(),
            taken: (0, 0),
            lengths: HashMap::new(),
            last_at_replica_ms: HashMap::new(),
            quarantine: Arc::default(),
            records: Vec::new(),
        };
        for _ in 0..REPLICAS {
            schedule.add_server();
        }
        schedule.show_list();
        schedule
    }

    fn owner_ms(&self) -> u64 {
        self.now_ms - self.owner_since_ms
    }

    fn add_server(&mut self) {
        self.lives += 1;
        let record = ReplicaRecord { slots: SLOTS, ..replica(&format!("r{}", self.lives), 1) };
        self.servers.push(Server { record, is_alive: true, shown_at_ms: self.now_ms, replaced_at_ms: None });
    }

    fn submit(&mut self, id: &str) {
        let job = job(id, ITEMS / 2, 0);
        for item in &job.items {
            let length = self.random.random_range(2..60);
            self.lengths.insert(item.id.clone(), length);
            self.last_at_replica_ms.insert(item.id.clone(), self.now_ms);
        }
        self.harness.submit(at(self.owner_ms()), job);
    }

    /// Gives the owner the list of replicas as the platform shows it now.
    fn show_list(&mut self) {
        let now_ms = self.now_ms;
        self.servers.retain(|server| {
            server.is_alive || server.shown_at_ms > now_ms || server.replaced_at_ms.is_some()
        });
        let listed = self.servers.iter().filter(|server| server.is_alive || server.shown_at_ms > now_ms);
        let records: Vec<ReplicaRecord> = listed.map(|server| server.record.clone()).collect();
        self.harness.controller.update(at(self.owner_ms()), None, &table(&records), &BTreeMap::new());
        self.harness.drain_actions();
    }

    /// Picks a living replica.
    fn pick(&mut self) -> Option<usize> {
        let alive: Vec<usize> =
            (0..self.servers.len()).filter(|index| self.servers[*index].is_alive).collect();
        (!alive.is_empty()).then(|| alive[self.random.random_range(0..alive.len())])
    }

    fn inject_faults(&mut self) {
        if self.random.random_bool(FAULT_PROBABILITY) {
            self.crash_some();
        }
        if self.random.random_bool(FAULT_PROBABILITY)
            && let Some(index) = self.pick()
        {
            self.servers[index].record.is_draining = true;
            self.servers[index].replaced_at_ms = Some(self.now_ms + 1_000);
        }
        if self.random.random_bool(FAULT_PROBABILITY)
            && let Some(index) = self.pick()
        {
            *self.servers[index].record.models.entry(MODEL.to_owned()).or_default() += 1;
        }
        if self.random.random_bool(FAULT_PROBABILITY / 2.0) {
            self.replace_owner();
        }
    }

    /// Crashes up to three replicas. Other nodes report the items that ran there.
    fn crash_some(&mut self) {
        for _ in 0..self.random.random_range(1..=3) {
            let Some(index) = self.pick() else { return };
            let (shown_in, replaced_in) =
                (self.random.random_range(0..3_000), self.random.random_range(500..4_000));
            let server = &mut self.servers[index];
            server.is_alive = false;
            server.shown_at_ms = self.now_ms + shown_in;
            server.replaced_at_ms = Some(self.now_ms + replaced_in);
        }
        let content =
            RequestContent { method: "POST", host: "host", path: "/r/x", tenant: None, body: b"body" };
        let fingerprint = Fingerprint::of(&content);
        let report = |replica: &str| CrashReport {
            replica: replica.to_owned(),
            suspects: vec![Suspect { fingerprint, is_repeated: true }],
            cleared: Vec::new(),
        };
        self.quarantine = Arc::new(Quarantine::from_reports(["a", "b", "c"].map(report).iter()));
        self.harness.controller.set_quarantine(at(self.owner_ms()), Arc::clone(&self.quarantine));
    }

    /// Replaces the owner by one that recovers the committed records. All runs are lost.
    fn replace_owner(&mut self) {
        self.records.append(&mut self.harness.records);
        let mut ledger = Ledger::default();
        self.records.iter().cloned().for_each(|record| ledger.apply(record));
        self.owner_since_ms = self.now_ms;
        self.runs.clear();
        self.taken = (0, 0);
        self.harness = OwnerHarness::new(ledger, self.needs_single_version, &[]);
        self.harness.controller.set_quarantine(at(0), Arc::clone(&self.quarantine));
        self.show_list();
    }

    fn replace_servers(&mut self) {
        let now_ms = self.now_ms;
        let due = |server: &Server| server.replaced_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let count = self.servers.iter().filter(|server| due(server)).count();
        for server in self.servers.iter_mut().filter(|server| due(server)) {
            server.replaced_at_ms = None;
            if server.is_alive {
                server.is_alive = false;
                server.shown_at_ms = now_ms;
            }
        }
        (0..count).for_each(|_| self.add_server());
    }

    fn take_orders(&mut self) {
        let has_faults = self.now_ms < FAULTS_UNTIL_MS;
        let (mut started, mut stopped) = self.taken;
        while started < self.harness.started.len() || stopped < self.harness.stopped.len() {
            if let Some(start) = self.harness.started.get(started).cloned() {
                started += 1;
                if has_faults && self.random.random_bool(REJECTION_PROBABILITY) {
                    self.harness.end(at(self.owner_ms()), start.run, RunEnd::Rejected);
                    continue;
                }
                let run = SimulatedRun {
                    item: start.item.id,
                    replica: start.replica.id,
                    next_event_ms: self.now_ms + EVENT_MS,
                    next_number: start.last_event.map_or(0, |number| number + 1),
                };
                self.runs.insert(start.run, run);
            } else {
                self.runs.remove(&self.harness.stopped[stopped]);
                stopped += 1;
            }
        }
        for run in &self.harness.stopped {
            self.runs.remove(run);
        }
        self.taken = (started, stopped);
    }

    fn advance_runs(&mut self) {
        let now = at(self.owner_ms());
        for id in self.runs.keys().copied().collect::<Vec<_>>() {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            let (item, replica) = (run.item.clone(), run.replica.clone());
            let server = self.servers.iter().find(|server| server.record.id == replica && server.is_alive);
            let Some(server) = server else {
                self.runs.remove(&id);
                self.harness.end(now, id, RunEnd::Broken);
                continue;
            };
            self.last_at_replica_ms.insert(item.clone(), self.now_ms);
            if self.now_ms < run.next_event_ms {
                continue;
            }
            let (number, version) = (run.next_number, server.record.models[MODEL]);
            run.next_number += 1;
            run.next_event_ms += EVENT_MS;
            self.harness.event(now, id, number, version);
            if number + 1 >= self.lengths[&item] {
                self.runs.remove(&id);
                self.harness.end(now, id, RunEnd::Complete);
            }
        }
    }

    fn step(&mut self) {
        if self.now_ms < FAULTS_UNTIL_MS {
            self.inject_faults();
        }
        self.replace_servers();
        self.advance_runs();
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.show_list();
            self.harness.controller.tick(at(self.owner_ms()));
        }
        self.harness.commit_appends(at(self.owner_ms()));
        self.take_orders();
        self.now_ms += STEP_MS;
    }

    /// Returns the ids of the items that are not listed.
    fn open_items(&self) -> BTreeSet<String> {
        let ledger = self.harness.controller.ledger();
        let jobs = ["first", "second"].into_iter().filter_map(|id| ledger.job(&BatchId::new(id)));
        let open = |job: &lichenpulley_core::batch::ledger::JobState| {
            let items = job.job.items.iter().zip(0..).filter(|(_, position)| job.is_open(*position));
            items.map(|(item, _)| item.id.clone()).collect::<Vec<_>>()
        };
        jobs.flat_map(open).collect()
    }
}

fn run(seed: u64) {
    let mut schedule = Schedule::new(seed);
    schedule.submit("first");
    while schedule.now_ms < END_MS {
        if schedule.now_ms == FAULTS_UNTIL_MS / 3 {
            schedule.submit("second");
        }
        schedule.step();
        // The last replica returns, and the list shows it, within four seconds.
        if schedule.now_ms < FAULTS_UNTIL_MS + 4_000 {
            continue;
        }
        let alive = schedule.servers.iter().filter(|server| server.is_alive).count();
        assert!(alive >= REPLICAS, "seed {seed}: {alive} replicas");
        for item in schedule.open_items() {
            let steady_since = schedule.last_at_replica_ms[&item].max(FAULTS_UNTIL_MS + 4_000);
            let absent_ms = schedule.now_ms.saturating_sub(steady_since);
            assert!(
                absent_ms <= PLACED_WITHIN_MS,
                "seed {seed}: {item} at no replica at {} ms",
                schedule.now_ms
            );
        }
    }
    let open = schedule.open_items();
    assert!(open.is_empty(), "seed {seed}: {open:?} are not done");
    let ledger = schedule.harness.controller.ledger();
    let is_complete = |id: &str| {
        let job = ledger.job(&BatchId::new(id)).expect("the job");
        job.results.len() == ITEMS / 2 && job.results.iter().all(|result| result.is_complete)
    };
    assert!(is_complete("first") && is_complete("second"), "seed {seed}: an item was given up");
}

/// Items that nodes had reported as suspect were at no replica again after the crashes had ended.
#[test]
fn after_a_burst_of_crashes_every_open_item_is_at_a_replica_within_five_seconds() {
    (0..SEEDS).for_each(run);
}
