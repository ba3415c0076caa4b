//! The faults of a soak, drawn from its seed.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::proxy::ProxyMode;
use crate::metadata_store::Condition;
use crate::platform_replica::ReplicaBehaviour;

/// One fault, for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and started again.
    KillGateway(usize),
    /// A store is killed and started again.
    KillStore(usize),
    /// A store is killed, its data are gone, and it is started again.
    WipeStore(usize),
    /// A gateway stands still.
    FreezeGateway(usize),
    /// A store stands still.
    FreezeStore(usize),
    /// All stores stand still.
    FreezeStores,
    /// A gateway is stopped as planned and started again.
    StopGateway(usize),
    /// The platform's metadata store fails for all.
    Platform(Condition),
    /// The platform's metadata store is not reached by one gateway.
    PlatformCut(usize, ProxyMode),
    /// A replica is not reached as it should be.
    ReplicaCut(usize, ProxyMode),
    /// A replica misbehaves.
    Replica(usize, ReplicaBehaviour),
}

/// A fault and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// What.
    pub fault: Fault,
    /// How long.
    pub lasts: Duration,
    /// The pause after it.
    pub pause: Duration,
    /// The zone, by its number, that the operator has had evacuated before it begins, until after its end.
    pub evacuated: Option<usize>,
}

/// How many there are of each kind of process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemSize {
    /// Gateways.
    pub gateways: usize,
    /// Stores.
    pub stores: usize,
    /// Replicas.
    pub replicas: usize,
    /// Zones; each has replicas.
    pub zones: usize,
}

/// The part of the faults that strike while a zone is evacuated.
const EVACUATED_SHARE: f64 = 0.25;

impl Fault {
    /// Whether two faults can't last at the same time: they strike the same process or connection, or would take more stores
    /// than may be lost at once.
    pub fn clashes_with(&self, other: &Self) -> bool {
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
        let strikes_store = |fault: &Self| {
            matches!(
                fault,
                Self::KillStore(_) | Self::WipeStore(_) | Self::FreezeStore(_) | Self::FreezeStores
            )
        };
        let strikes_platform = |fault: &Self| matches!(fault, Self::Platform(_) | Self::PlatformCut(..));
        let same = |left: Option<usize>, right: Option<usize>| left.is_some() && left == right;
        same(gateway(self), gateway(other))
            || same(replica(self), replica(other))
            || (strikes_store(self) && strikes_store(other))
            || (strikes_platform(self) && strikes_platform(other))
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
    /// Draws the next fault.
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
        let conditions = [Condition::Silent, Condition::Resets, Condition::Busy];
        let condition = conditions[random.random_range(0..conditions.len())];
        let behaviours = [
            ReplicaBehaviour::Rejects,
            ReplicaBehaviour::LosesAnswers,
            ReplicaBehaviour::BreaksAfter(2),
            ReplicaBehaviour::AnswersForAnother,
        ];
        let behaviour = behaviours[random.random_range(0..behaviours.len())];
        let fault = match random.random_range(0..10) {
            0 => Fault::KillGateway(gateway),
            1 => Fault::KillStore(store),
            2 => Fault::WipeStore(store),
            3 => Fault::FreezeGateway(gateway),
            4 => Fault::FreezeStore(store),
            5 => Fault::StopGateway(gateway),
            6 => Fault::Platform(condition),
            7 => Fault::PlatformCut(gateway, mode),
            8 => Fault::ReplicaCut(replica, mode),
            _ => Fault::Replica(replica, behaviour),
        };
        let lasts = Duration::from_millis(random.random_range(200..2_500));
        // The deployment tolerates the loss of one disk at a time: its successor must hold the log before the next one goes.
        let least_ms = if matches!(fault, Fault::WipeStore(_)) { 5_000 } else { 300 };
        let pause = Duration::from_millis(least_ms + random.random_range(0..1_500));
        let is_evacuated = random.random_bool(EVACUATED_SHARE);
        let evacuated = is_evacuated.then(|| random.random_range(0..size.zones));
        Self { fault, lasts, pause, evacuated }
    }

    /// Draws a fault that comes while another lasts: a node that may own the jobs is lost or stands still, or what it needs is away.
    pub fn draw_beside<R: Rng>(size: SystemSize, random: &mut R) -> Self {
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
}
