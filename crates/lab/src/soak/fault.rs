//! Faults that a soak injects, drawn from its seed.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::proxy::ProxyMode;
use crate::metadata_store::ResponseMode;
use crate::platform_replica::ReplicaBehaviour;

/// A fault that is injected and later undone. Its `Debug` form is part of the soak's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a gateway and restarts it.
    KillGateway(usize),
    /// Kills a store and restarts it.
    KillStore(usize),
    /// Kills a store, deletes its data and restarts it.
    WipeStore(usize),
    /// Suspends a gateway with SIGSTOP.
    FreezeGateway(usize),
    /// Suspends a store with SIGSTOP.
    FreezeStore(usize),
    /// Suspends all stores with SIGSTOP.
    FreezeStores,
    /// Stops a gateway gracefully with SIGTERM and restarts it.
    StopGateway(usize),
    /// Kills all gateways at once and restarts them.
    KillGateways,
    /// Kills all stores and gateways at once and restarts them.
    KillNodes,
    /// Makes the platform's metadata store fail for all nodes.
    Platform(ResponseMode),
    /// Disturbs the connections of one gateway to the platform's metadata store.
    PlatformCut(usize, ProxyMode),
    /// Disturbs the connections to a replica.
    ReplicaCut(usize, ProxyMode),
    /// Makes a replica misbehave.
    Replica(usize, ReplicaBehaviour),
}

/// A fault with its timing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// The fault.
    pub fault: Fault,
    /// Time from the injection of the fault until it is undone.
    pub lasts: Duration,
    /// Pause after the fault is undone.
    pub pause: Duration,
    /// Index of the zone that is evacuated from before the fault begins until after it is undone.
    pub evacuated: Option<usize>,
}

/// Number of processes of each kind, and of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemSize {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of stores.
    pub stores: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of zones; each has at least one replica.
    pub zones: usize,
}

/// Probability that a zone is evacuated during a fault.
const EVACUATION_PROBABILITY: f64 = 0.25;

impl Fault {
    /// Returns whether two faults must not overlap: they affect the same process or connection, or together would make
    /// more stores fail than the deployment tolerates.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        let gateway = |fault: &Self| match fault {
            Self::KillGateway(number) | Self::FreezeGateway(number) | Self::StopGateway(number) => {
                Some(*number)
            }
            _ => None,
        };
        let replica = |fault: &Self| match fault {
            Self::ReplicaCut(number, _) | Self::Replica(number, _) => Some(*number),
            _ => None,
        };
        let affects_store = |fault: &Self| {
            matches!(
                fault,
                Self::KillStore(_) | Self::WipeStore(_) | Self::FreezeStore(_) | Self::FreezeStores
            )
        };
        let affects_platform = |fault: &Self| matches!(fault, Self::Platform(_) | Self::PlatformCut(..));
        let same = |left: Option<usize>, right: Option<usize>| left.is_some() && left == right;
        same(gateway(self), gateway(other))
            || same(replica(self), replica(other))
            || (affects_store(self) && affects_store(other))
            || (affects_platform(self) && affects_platform(other))
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.fault)?;
        match self.evacuated {
            Some(zone) => write!(formatter, ", zone {zone} evacuated"),
            None => Ok(()),
        }
    }
}

impl PlannedFault {
    /// Draws a fault and its timing.
    pub fn draw<R: Rng>(size: SystemSize, random: &mut R) -> Self {
        let gateway = random.random_range(0..size.gateways);
        let store = random.random_range(0..size.stores);
        let replica = random.random_range(0..size.replicas);
        let modes = [
            ProxyMode::Delayed(Duration::from_millis(150)),
            ProxyMode::Resets,
            ProxyMode::Silent,
            ProxyMode::DeafBack,
        ];
        let mode = modes[random.random_range(0..modes.len())];
        let response_modes = [ResponseMode::Silent, ResponseMode::Resets, ResponseMode::Busy];
        let response_mode = response_modes[random.random_range(0..response_modes.len())];
        let behaviours = [
            ReplicaBehaviour::Rejects,
            ReplicaBehaviour::LosesAnswers,
            ReplicaBehaviour::BreaksAfter(2),
            ReplicaBehaviour::AnswersForAnother,
            ReplicaBehaviour::CutsHeads,
        ];
        let behaviour = behaviours[random.random_range(0..behaviours.len())];
        let fault = match random.random_range(0..10) {
            0 => Fault::KillGateway(gateway),
            1 => Fault::KillStore(store),
            2 => Fault::WipeStore(store),
            3 => Fault::FreezeGateway(gateway),
            4 => Fault::FreezeStore(store),
            5 => Fault::StopGateway(gateway),
            6 => Fault::Platform(response_mode),
            7 => Fault::PlatformCut(gateway, mode),
            8 => Fault::ReplicaCut(replica, mode),
            _ => Fault::Replica(replica, behaviour),
        };
        let lasts = Duration::from_millis(random.random_range(200..2_500));
        // The deployment tolerates the loss of one disk at a time: the emptied store must have copied the log before the next
        // disk is lost.
        let min_pause_ms = if matches!(fault, Fault::WipeStore(_)) { 5_000 } else { 300 };
        let pause = Duration::from_millis(min_pause_ms + random.random_range(0..1_500));
        let is_evacuated = random.random_bool(EVACUATION_PROBABILITY);
        let evacuated = is_evacuated.then(|| random.random_range(0..size.zones));
        Self { fault, lasts, pause, evacuated }
    }

    /// Draws a fault that overlaps another: it kills, suspends or stops a gateway, which may own jobs, suspends all stores, or
    /// cuts a gateway off from the metadata store.
    pub fn draw_overlapping<R: Rng>(size: SystemSize, random: &mut R) -> Self {
        let gateway = random.random_range(0..size.gateways);
        let fault = match random.random_range(0..8) {
            0..=2 => Fault::KillGateway(gateway),
            3 | 4 => Fault::FreezeGateway(gateway),
            5 => Fault::StopGateway(gateway),
            6 => Fault::FreezeStores,
            _ => Fault::PlatformCut(gateway, ProxyMode::Silent),
        };
        let lasts = Duration::from_millis(random.random_range(200..2_500));
        Self { fault, lasts, pause: Duration::ZERO, evacuated: None }
    }

    /// Draws the loss of a store's disk, to be injected at the same moment as another fault.
    pub fn draw_disk_loss<R: Rng>(size: SystemSize, random: &mut R) -> Self {
        let fault = Fault::WipeStore(random.random_range(0..size.stores));
        Self { fault, lasts: Duration::ZERO, pause: Duration::ZERO, evacuated: None }
    }

    /// Draws an outage: all gateways, or all nodes, are killed at once. It may overlap any other fault.
    pub fn draw_outage<R: Rng>(random: &mut R) -> Self {
        let fault = if random.random_bool(0.5) { Fault::KillGateways } else { Fault::KillNodes };
        let lasts = Duration::from_millis(random.random_range(200..2_000));
        Self { fault, lasts, pause: Duration::ZERO, evacuated: None }
    }
}
