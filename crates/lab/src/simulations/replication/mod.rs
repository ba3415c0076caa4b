//! Replicated logs and claims on a virtual clock: several owners, gateways and operators at once, kills, freezes,
//! cuts, lost and doubled messages, lost disks, clocks that jump, and a platform that is down.

mod change;
mod check;
mod claimant;
mod message;
mod operator;
mod owner;
mod platform;
mod store;
mod world;

use std::time::Duration;

use lichenpulley_core::replication::acceptor::AcceptorChecks;
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::proposer::{ProposerChecks, Transmit};
use lichenpulley_core::replication::reconfigurer::ReconfigurerChecks;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember};
use lichenpulley_simulation::{Outbox, ProcessId};

pub use claimant::ClaimRun;
pub use owner::{Observation, ObservationKind};

use crate::simulations::ScheduleReport;
use message::Message;
use world::World;

/// The platform's process.
const PLATFORM: ProcessId = ProcessId(0);
/// A request without an answer is sent again after this time.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(100);

/// The mechanisms under proof. All on in service.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Those of the store replicas.
    pub acceptor: AcceptorChecks,
    /// Those of the owners.
    pub proposer: ProposerChecks,
    /// Those of changes of the replica set.
    pub reconfigurer: ReconfigurerChecks,
    /// What a store answers is on its disk.
    pub sync_before_reply: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            acceptor: AcceptorChecks::default(),
            proposer: ProposerChecks::default(),
            reconfigurer: ReconfigurerChecks::default(),
            sync_before_reply: true,
        }
    }
}

impl Mechanisms {
    /// Short enough that claims are forgotten during a run.
    const fn window(self) -> ClaimWindow {
        ClaimWindow { retention: Duration::from_secs(3), maximum_clock_skew: Duration::from_millis(500) }
    }
}

/// Who changes the log's set of stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Operators, through the platform's document.
    ByOperators,
    /// The log's owner, through the log; it is cut off while it does so, more often than not.
    ByOwner,
}

/// What one run showed.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// What must hold and did not.
    pub violations: Vec<String>,
    /// Whether the log could be taken over once all faults had ended.
    pub came_back: bool,
    /// Records that were acknowledged.
    pub acknowledged: usize,
    /// Take-overs that succeeded.
    pub take_overs: usize,
    /// Claims that were granted.
    pub granted: usize,
    /// Claims that were not.
    pub refused: usize,
    /// Replica sets that were replaced.
    pub replacements: u64,
    /// How often an owner went on in another set of stores.
    pub continued: usize,
    /// Messages delivered.
    pub messages: u64,
    /// What owners observed, with the process of each, in the order of time.
    pub observations: Vec<(usize, Observation)>,
    /// Claims, in the order of their ends.
    pub claims: Vec<ClaimRun>,
}

/// Runs one schedule.
pub fn simulate(seed: u64, mechanisms: Mechanisms) -> RunReport {
    simulate_changes(seed, mechanisms, Changes::ByOperators)
}

/// Runs one schedule with the changes of the log's stores by one or the other.
pub fn simulate_changes(seed: u64, mechanisms: Mechanisms, changes: Changes) -> RunReport {
    let run = World::new(seed, mechanisms, changes).run(seed);
    let mut violations = run.violations;
    violations.extend(check::check_log(&run.observations));
    violations.extend(check::check_claims(&run.claims));
    let kinds = || run.observations.iter().map(|(_, observation)| &observation.kind);
    let acknowledged = kinds().map(|kind| match kind {
        ObservationKind::Acknowledged { records, .. } => records.len(),
        _ => 0,
    });
    let granted = run.claims.iter().filter(|claim| claim.granted).count();
    RunReport {
        violations,
        came_back: run.came_back,
        acknowledged: acknowledged.sum(),
        take_overs: kinds().filter(|kind| matches!(kind, ObservationKind::Recovered(_))).count(),
        granted,
        refused: run.claims.len() - granted,
        continued: kinds().filter(|kind| matches!(kind, ObservationKind::Continued)).count(),
        replacements: run.generations.saturating_sub(2),
        messages: run.messages,
        observations: run.observations,
        claims: run.claims,
    }
}

/// Runs the schedule of a seed with every mechanism on, where operators change the log's stores.
pub(crate) fn run_schedule(seed: u64) -> ScheduleReport {
    simulate(seed, Mechanisms::default()).summarized()
}

/// The same where the log's owner changes them.
pub(crate) fn run_schedule_by_owner(seed: u64) -> ScheduleReport {
    simulate_changes(seed, Mechanisms::default(), Changes::ByOwner).summarized()
}

impl RunReport {
    fn summarized(self) -> ScheduleReport {
        let mut violations = self.violations;
        if !self.came_back {
            violations.push("no owner could take the log over after all faults had ended".to_owned());
        }
        ScheduleReport {
            violations,
            counts: vec![
                ("records acknowledged", self.acknowledged as u64),
                ("takeovers", self.take_overs as u64),
                ("claims granted", self.granted as u64),
                ("claims not granted", self.refused as u64),
                ("owners that went on in another set", self.continued as u64),
                ("replica sets replaced", self.replacements),
                ("messages delivered", self.messages),
            ],
        }
    }
}

/// Sends a request to a member of one of the sets.
fn transmit(sets: &[ReplicaSet], request: Transmit, outbox: &mut Outbox<Message>) {
    let member = sets.iter().find_map(|set| set.member(&request.to));
    if let Some(member) = member {
        outbox.send(process_of(member), Message::Request(request.request));
    }
}

/// The process that runs a store: its address is its number.
fn process_of(member: &SetMember) -> ProcessId {
    ProcessId(member.address.parse().unwrap_or(usize::MAX))
}
