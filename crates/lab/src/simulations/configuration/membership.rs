//! The members as each node sees them: what a failure detector would tell, with its delays.

use std::collections::BTreeSet;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Peer;
use lichenpulley_core::identity::ZoneName;
use lichenpulley_core::time::Timestamp;

use super::node::node_name;

/// A member that can't be reached is taken out of a view after this.
const DETECTION: Duration = Duration::from_secs(5);
/// A member that can be reached again is taken in after this.
const JOINING: Duration = Duration::from_millis(500);

/// Which nodes can reach each other now.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Nodes that are alive and not frozen, by number.
    pub running: Vec<bool>,
    /// Groups cut off from all others.
    pub cuts: Vec<BTreeSet<usize>>,
}

impl Reachability {
    /// Whether two running nodes can reach each other.
    fn between(&self, one: usize, other: usize) -> bool {
        let same_side = |group: &BTreeSet<usize>| group.contains(&one) == group.contains(&other);
        self.running[one] && self.running[other] && self.cuts.iter().all(same_side)
    }

    /// Whether a node runs on the side of the platform and the operators.
    pub fn is_connected(&self, node: usize) -> bool {
        self.running[node] && !self.cuts.iter().any(|group| group.contains(&node))
    }
}

/// One direction of one pair.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    in_view: bool,
    last_reached: Timestamp,
    reached_since: Option<Timestamp>,
}

/// The views of all nodes.
#[derive(Debug)]
pub struct Views {
    zones: Vec<ZoneName>,
    pairs: Vec<Pair>,
}

impl Views {
    /// Views of nodes that have not met yet.
    pub fn new(zones: Vec<ZoneName>) -> Self {
        let count = zones.len();
        Self { zones, pairs: vec![Pair::default(); count * count] }
    }

    /// A node starts with an empty view.
    pub fn restarted(&mut self, node: usize) {
        let count = self.zones.len();
        self.pairs[node * count..(node + 1) * count].fill(Pair::default());
    }

    /// Takes in who can be reached now.
    pub fn update(&mut self, reachability: &Reachability, now: Timestamp) {
        let count = self.zones.len();
        for from in (0..count).filter(|from| reachability.running[*from]) {
            for to in 0..count {
                let reached = reachability.between(from, to);
                self.pairs[from * count + to].update(reached, now);
            }
        }
    }

    /// The live members as a node sees them, itself included.
    pub fn of(&self, node: usize) -> Vec<Peer> {
        let count = self.zones.len();
        let in_view = |other: &usize| *other == node || self.pairs[node * count + other].in_view;
        let members = (0..count).filter(in_view);
        members.map(|other| Peer { node: node_name(other), zone: self.zones[other].clone() }).collect()
    }

    /// The zone of a node.
    pub fn zone(&self, node: usize) -> &ZoneName {
        &self.zones[node]
    }
}

impl Pair {
    fn update(&mut self, reached: bool, now: Timestamp) {
        if reached {
            self.last_reached = now;
            let since = *self.reached_since.get_or_insert(now);
            self.in_view |= now.saturating_since(since) >= JOINING;
        } else {
            self.reached_since = None;
            self.in_view &= now.saturating_since(self.last_reached) < DETECTION;
        }
    }
}
