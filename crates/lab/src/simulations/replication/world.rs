//! The processes of a run and its schedule of faults.

use std::time::Duration;

use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use lichenpulley_core::replication::group::GroupPhase;
use lichenpulley_core::replication::placement::{ToleranceTarget, first_set};
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{
    Fault, FaultPlan, FaultRates, LinkQuality, ProcessId, Simulation, process_kinds,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::claimant::{ClaimRun, Claimant};
use super::message::Message;
use super::operator::Operator;
use super::owner::{Observation, Owner, OwnerChecks};
use super::platform::Platform;
use super::store::{Store, StoreConfig};
use super::{Changes, Mechanisms, PLATFORM};

const STORES: usize = 5;
const OPERATORS: usize = 2;
const OWNERS: usize = 3;
const CLAIMANTS: usize = 3;
const FIRST_STORE: usize = 1;
const FIRST_OPERATOR: usize = FIRST_STORE + STORES;
const FIRST_OWNER: usize = FIRST_OPERATOR + OPERATORS;
const FIRST_CLAIMANT: usize = FIRST_OWNER + OWNERS;
const ZONES: [&str; 3] = ["sando-hall", "couva-room", "pointe-rack"];

/// How long faults fall.
const FAULTY_TIME: Duration = Duration::from_secs(12);
/// How long the system has to come back afterwards.
const CALM_TIME: Duration = Duration::from_secs(20);
/// Time between two draws of faults that the plan does not know.
const DRAW_INTERVAL: Duration = Duration::from_millis(100);
/// How often an owner that changes the stores is cut off at a draw.
const CUT_RATE: f64 = 0.15;
/// Most that a store's clock is off, in milliseconds.
const CLOCK_OFFSET_MS: i64 = 3_000;

process_kinds! {
    /// A process of the run.
    pub(super) enum WorldProcess(Message) {
        Platform(Platform),
        Store(Store),
        Operator(Operator),
        Owner(Owner),
        Claimant(Claimant),
    }
}

/// What a run left behind.
pub(super) struct RunTrace {
    pub(super) observations: Vec<(usize, Observation)>,
    pub(super) claims: Vec<ClaimRun>,
    pub(super) violations: Vec<String>,
    pub(super) came_back: bool,
    pub(super) generations: u64,
    pub(super) messages: u64,
}

/// One run under one seed.
pub(super) struct World {
    simulation: Simulation<WorldProcess>,
    random: Pcg64Mcg,
    mechanisms: Mechanisms,
    log_shard: ShardId,
    claim_shard: ShardId,
    disks: u64,
    /// Who changes the log's set of stores.
    changes: Changes,
    /// A store whose machine is to be taken away: operators replace it while it still answers.
    leaving: Option<usize>,
}

impl World {
    pub(super) fn new(seed: u64, mechanisms: Mechanisms, changes: Changes) -> Self {
        let (log_shard, claim_shard) = (ShardId::new("job/pricing"), ShardId::new("claims/0"));
        let stores: Vec<SetMember> = (0..STORES).map(|number| member(number, 0)).collect();
        let sets: Vec<ReplicaSet> = [&log_shard, &claim_shard]
            .into_iter()
            .filter_map(|shard| first_set(shard, &stores, ToleranceTarget::default()))
            .collect();
        let mut simulation = Simulation::new(seed, LinkQuality::POOR);
        simulation.add(Platform::new(&sets).into());
        let config = mechanisms.store_config();
        for store in &stores {
            let store = Store::new(store.store.clone(), config.clone());
            simulation.add(store.into());
        }
        for number in 0..OPERATORS {
            let shards = match changes {
                Changes::ByOperators => vec![log_shard.clone(), claim_shard.clone()],
                Changes::ByOwner => vec![claim_shard.clone()],
            };
            let name = format!("operator-{number}");
            let operator_seed = seed.wrapping_mul(31).wrapping_add(number as u64);
            let operator =
                Operator::new(name, operator_seed, shards, stores.clone(), mechanisms.reconfigurer);
            simulation.add(operator.into());
        }
        let checks = OwnerChecks { proposer: mechanisms.proposer, reconfigurer: mechanisms.reconfigurer };
        for number in 0..OWNERS {
            let owner_seed = seed.wrapping_mul(37).wrapping_add(number as u64);
            let owner = Owner::new(format!("owner-{number}"), owner_seed, sets[0].clone(), checks);
            simulation.add(owner.into());
        }
        for number in 0..CLAIMANTS {
            let name = format!("gateway-{number}");
            let claimant_seed = seed.wrapping_mul(41).wrapping_add(number as u64);
            let claimant = Claimant::new(name, claimant_seed, sets[1].clone(), mechanisms.reconfigurer);
            simulation.add(claimant.into());
        }
        let random = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
        Self { simulation, random, mechanisms, log_shard, claim_shard, disks: 0, changes, leaving: None }
    }

    /// Runs the schedule to its end.
    pub(super) fn run(mut self, seed: u64) -> RunTrace {
        self.run_faults(seed);
        self.run_calm();
        self.finish()
    }

    fn run_faults(&mut self, seed: u64) {
        let targets: Vec<ProcessId> = self.simulation.ids().filter(|id| *id != PLATFORM).collect();
        let rates = FaultRates {
            mean_interval: Duration::from_millis(120),
            longest_outage: Duration::from_millis(1_500),
        };
        let plan = FaultPlan::draw(seed.wrapping_add(1), &targets, FAULTY_TIME, rates);
        let mut faults = plan.faults().iter().peekable();
        let mut at = Timestamp::ORIGIN;
        while at < Timestamp::ORIGIN + FAULTY_TIME {
            at = at + DRAW_INTERVAL;
            while let Some((due, fault)) = faults.next_if(|(due, _)| *due <= at) {
                self.simulation.run_until(*due);
                self.apply(fault);
            }
            self.simulation.run_until(at);
            self.draw_other_faults();
        }
    }

    /// Heals everything, and lets one owner take the log over last.
    fn run_calm(&mut self) {
        self.simulation.heal();
        self.simulation.set_link(LinkQuality::GOOD);
        for id in self.simulation.ids().collect::<Vec<_>>() {
            self.apply(&Fault::Restart(id));
        }
        self.set_platform(false, false);
        self.notify_operators();
        if self.changes == Changes::ByOwner {
            self.notify_owners();
        }
        self.simulation.run_for(CALM_TIME / 2);
        for owner in FIRST_OWNER..FIRST_CLAIMANT {
            let last = owner == FIRST_OWNER;
            self.simulation.interact_as(ProcessId(owner), |owner: &mut Owner, now, _| {
                owner.active = false;
                if last {
                    owner.start_over(now);
                }
            });
        }
        if self.changes == Changes::ByOwner {
            self.notify_owners();
        }
        self.simulation.run_for(CALM_TIME / 2);
    }

    fn finish(self) -> RunTrace {
        let mut violations = Vec::new();
        let mut observations = Vec::new();
        let mut claims = Vec::new();
        for id in self.simulation.ids() {
            match self.simulation.process(id) {
                WorldProcess::Store(store) => violations.extend(store.violations.iter().cloned()),
                WorldProcess::Owner(owner) => {
                    let seen = owner.observations.iter().cloned();
                    observations.extend(seen.map(|observation| (id.0, observation)));
                }
                WorldProcess::Claimant(claimant) => claims.extend(claimant.runs.iter().cloned()),
                WorldProcess::Platform(_) | WorldProcess::Operator(_) => {}
            }
        }
        observations.sort_by_key(|(_, observation)| observation.at);
        claims.sort_by_key(|run| run.ended);
        let came_back = self.came_back();
        let messages = self.simulation.delivered();
        RunTrace { observations, claims, violations, came_back, generations: self.generations(), messages }
    }

    /// Whether the last take-over succeeded after the calm began.
    fn came_back(&self) -> bool {
        let calm_since = Timestamp::ORIGIN + FAULTY_TIME + CALM_TIME / 2;
        let owner = self.simulation.process_as::<Owner>(ProcessId(FIRST_OWNER));
        owner.is_some_and(|owner| owner.recovered_since(calm_since))
    }

    fn generations(&self) -> u64 {
        let Some(platform) = self.simulation.process_as::<Platform>(PLATFORM) else { return 0 };
        let of = |shard| platform.document(shard).map_or(0, |document| document.current.generation.0);
        let latest = self.latest_log_set().map_or(0, |set| set.generation.0);
        of(&self.log_shard).max(latest) + of(&self.claim_shard)
    }

    fn apply(&mut self, fault: &Fault) {
        self.simulation.apply(fault, WorldProcess::restarted);
    }

    /// Platform outages, lost replies, clocks that jump, and disks that are lost.
    fn draw_other_faults(&mut self) {
        self.notify_operators();
        if self.changes == Changes::ByOwner {
            self.notify_owners();
            self.cut_changing_owner();
        }
        match self.random.random_range(0..30) {
            0 => self.set_platform(true, false),
            1 => self.set_platform(false, true),
            2..=7 => self.set_platform(false, false),
            8 => self.move_a_clock(),
            9..=12 => self.take_a_store(),
            _ => {}
        }
    }

    fn set_platform(&mut self, down: bool, lose_replies: bool) {
        self.simulation.interact_as(PLATFORM, |platform: &mut Platform, _, _| {
            platform.set_faults(down, lose_replies);
        });
    }

    fn move_a_clock(&mut self) {
        let number = self.random.random_range(0..STORES);
        let offset = self.random.random_range(-CLOCK_OFFSET_MS..=CLOCK_OFFSET_MS);
        self.simulation.interact_as(ProcessId(FIRST_STORE + number), |store: &mut Store, _, _| {
            store.set_clock_offset(offset);
        });
    }

    /// Takes a store away, where no other change is under way: with its machine still up, or with its disk lost and
    /// replaced by an empty one.
    fn take_a_store(&mut self) {
        if !self.is_settled() {
            return;
        }
        let number = self.random.random_range(0..STORES);
        if self.random.random_bool(0.5) {
            self.leaving = Some(number);
            return;
        }
        let id = ProcessId(FIRST_STORE + number);
        self.disks += 1;
        let store = member(number, self.disks).store;
        let config = self.mechanisms.store_config();
        self.simulation.kill(id);
        self.simulation.restart(id, |_| Store::new(store, config).into());
    }

    /// Notifies operators which stores there are; those that are down or frozen learn it later.
    fn notify_operators(&mut self) {
        let stores = self.stores();
        for operator in FIRST_OPERATOR..FIRST_OWNER {
            let stores = stores.clone();
            self.simulation.interact_as(ProcessId(operator), |operator: &mut Operator, _, _| {
                operator.set_stores(stores);
            });
        }
    }

    /// Notifies owners which stores there are, and those that search for the log of its latest set.
    fn notify_owners(&mut self) {
        let (stores, in_force) = (self.stores(), self.latest_log_set());
        for owner in FIRST_OWNER..FIRST_CLAIMANT {
            let (stores, in_force) = (stores.clone(), in_force.clone());
            self.simulation.interact_as(ProcessId(owner), |owner: &mut Owner, _, _| {
                owner.set_stores(stores, in_force);
            });
        }
    }

    /// Cuts an owner off while it changes the stores; the cut heals while a successor works.
    fn cut_changing_owner(&mut self) {
        let changing = (FIRST_OWNER..FIRST_CLAIMANT)
            .map(ProcessId)
            .find(|id| self.simulation.process_as(*id).is_some_and(Owner::is_changing));
        if let Some(owner) = changing.filter(|_| self.random.random_bool(CUT_RATE)) {
            self.simulation.cut_off(&[owner]);
        }
    }

    /// The latest set of the log in which a store takes part.
    fn latest_log_set(&self) -> Option<ReplicaSet> {
        let stores = (0..STORES).filter_map(|number| self.store(number));
        let groups = stores.filter_map(|store| store.group(&self.log_shard));
        let active = groups.filter(|group| group.phase == GroupPhase::Active).map(|group| &group.set);
        active.max_by_key(|set| set.generation).cloned()
    }

    /// Whether every member of every current set takes part in it.
    fn is_settled(&self) -> bool {
        let Some(platform) = self.simulation.process_as::<Platform>(PLATFORM) else { return false };
        [&self.log_shard, &self.claim_shard].into_iter().all(|shard| {
            let settled = platform.document(shard).filter(|document| document.pending.is_none());
            let by_owner = self.changes == Changes::ByOwner && shard == &self.log_shard;
            let latest = self.latest_log_set().filter(|_| by_owner);
            let current = latest.or_else(|| settled.map(|document| document.current.clone()));
            current.is_some_and(|set| set.members.iter().all(|member| self.takes_part(&set, member)))
        })
    }

    fn takes_part(&self, set: &ReplicaSet, member: &SetMember) -> bool {
        let Some(store) = self.simulation.process_as::<Store>(super::process_of(member)) else {
            return false;
        };
        let group = store.group(&set.shard);
        // A member of the first generation that was never asked has nothing to lose.
        let fresh = set.generation.0 == 1 && group.is_none();
        let active = group.is_some_and(|group| &group.set == set && group.phase == GroupPhase::Active);
        store.id() == &member.store && (fresh || active)
    }

    fn store(&self, number: usize) -> Option<&Store> {
        self.simulation.process_as(ProcessId(FIRST_STORE + number))
    }

    fn stores(&self) -> Vec<SetMember> {
        let numbers = (0..STORES).filter(|number| Some(*number) != self.leaving);
        let as_member = |number, store: &Store| SetMember { store: store.id().clone(), ..member(number, 0) };
        numbers.filter_map(|number| Some(as_member(number, self.store(number)?))).collect()
    }
}

/// Store `number` with one of its disks: a lost one is replaced by another.
fn member(number: usize, disk: u64) -> SetMember {
    SetMember {
        store: StoreId::new(format!("disk-{number}-{disk}")),
        node: NodeId::new(format!("store-{number}")),
        zone: ZoneName::new(ZONES[number % ZONES.len()]),
        address: (FIRST_STORE + number).to_string(),
    }
}

impl Mechanisms {
    fn store_config(self) -> StoreConfig {
        StoreConfig {
            window: self.window(),
            checks: self.acceptor,
            sync_before_reply: self.sync_before_reply,
        }
    }
}
