//! How a run is drawn, and which mechanism is off in it.

use std::time::Duration;

use lichenpulley_core::configuration::dissemination::{Ablation, Config};
use lichenpulley_simulation::{FaultRates, LinkQuality};

use super::node::NodeOptions;

/// A mechanism that is off in a run, to show that the checks find its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SwitchedOff {
    /// Everything is on.
    #[default]
    Nothing,
    /// The platform does not check the base version of a write.
    BaseVersion,
    /// Writers do not search the register for the change's id.
    ChangeIds,
    /// Nodes take in whatever arrives.
    MonotoneGuard,
    /// Nodes put a revision in force without a majority of the quorum set, and start without asking it.
    Quorum,
}

/// How a run is drawn.
#[derive(Clone, Debug)]
pub struct WorldOptions {
    /// Nodes.
    pub nodes: usize,
    /// Regions, over which the nodes are spread, each with three zones.
    pub regions: usize,
    /// Operators.
    pub operators: u64,
    /// Mean pause of an operator between two changes.
    pub mean_pause: Duration,
    /// Time during which faults fall.
    pub duration: Duration,
    /// How the network treats messages while faults fall.
    pub link: LinkQuality,
    /// How often nodes are killed, frozen and cut off; `None` for never.
    pub rates: Option<FaultRates>,
    /// Mean time between two faults of the platform; `None` for never.
    pub platform_faults: Option<Duration>,
    /// An accepted change must be in force everywhere after this.
    pub in_force_within: Duration,
    /// What is off.
    pub switched_off: SwitchedOff,
    /// How documents spread.
    pub dissemination: Config,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            nodes: 12,
            regions: 2,
            operators: 3,
            mean_pause: Duration::from_secs(3),
            duration: Duration::from_secs(120),
            link: LinkQuality::POOR,
            rates: Some(FaultRates {
                mean_interval: Duration::from_secs(6),
                longest_outage: Duration::from_secs(15),
            }),
            platform_faults: Some(Duration::from_secs(15)),
            in_force_within: Duration::from_secs(13),
            switched_off: SwitchedOff::Nothing,
            dissemination: Config::default(),
        }
    }
}

impl WorldOptions {
    /// How nodes are built, with what is switched off.
    pub(super) fn node_options(&self) -> NodeOptions {
        let mut dissemination = self.dissemination.clone();
        dissemination.ablation = Ablation {
            without_monotone_guard: self.switched_off == SwitchedOff::MonotoneGuard,
            without_quorum: self.switched_off == SwitchedOff::Quorum,
        };
        NodeOptions { dissemination, forgets_change_ids: self.switched_off == SwitchedOff::ChangeIds }
    }
}
