//! Membership nodes on the simulated network, and helpers to inspect them.

// Each test binary uses only some of the helpers.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use lichenpulley_core::identity::{NodeId, ZoneName};
use lichenpulley_core::membership::{
    Body, Config, Counters, Event, EventKind, Incarnation, MemberInfo, Membership, Message, Update,
};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{LinkQuality, Outbox, Process, ProcessId, Simulation};

/// Number of zones in the required deployment.
pub const ZONES: usize = 7;

/// Number of zones in the first region; the other zones form the second region.
pub const FIRST_REGION_ZONES: usize = 4;

/// Size of a UDP header and an IPv4 header, in bytes.
pub const HEADER_BYTES: u64 = 28;

const PORT: u16 = 7_000;
const SEEDS: usize = 3;

/// A node and the events that it reported.
pub struct Node {
    pub membership: Membership,
    pub events: Vec<(Timestamp, Event)>,
    index: usize,
    run: u64,
    config: Config,
    now: Timestamp,
}

impl Node {
    pub fn new(index: usize, run: u64, config: &Config, now: Timestamp) -> Self {
        let info = MemberInfo {
            node: node_id(index),
            zone: ZoneName::new(format!("zone-{}", index % ZONES)),
            address: address(index),
            attributes: 0,
        };
        let seeds = (0..SEEDS).map(address).collect();
        let incarnation = Incarnation(1_000 * (run + 1));
        let seed = (index as u64) << 16 | run;
        let membership = Membership::new(config.clone(), info, incarnation, seeds, seed, now).unwrap();
        Self { membership, events: Vec::new(), index, run, config: config.clone(), now }
    }

    /// Returns the node after a restart, which keeps only its id and address.
    pub fn next_run(&self, now: Timestamp) -> Self {
        Self::new(self.index, self.run + 1, &self.config, now)
    }

    /// Returns the node after a restart with the same incarnation as before.
    pub fn next_run_with_same_incarnation(&self, now: Timestamp) -> Self {
        Self::new(self.index, self.run, &self.config, now)
    }

    fn alive_update(&self) -> Update {
        let record = self.membership.member(&node_id(self.index)).unwrap();
        Update::alive(&record.info, record.claim.incarnation)
    }

    fn receive_list(&mut self, list: &[Update]) {
        for entries in list.chunks(16) {
            let body = Body::ListPage { entries: entries.to_vec(), next: None };
            let page = Message::new(NodeId::new("list"), 0, body, Vec::new());
            self.membership.handle_datagram(self.now, address(0), &page.encode());
        }
    }

    pub fn drain(&mut self, now: Timestamp, outbox: &mut Outbox<Vec<u8>>) {
        self.now = now;
        while let Some(transmit) = self.membership.poll_transmit() {
            assert!(transmit.payload.len() <= self.config.maximum_payload_bytes);
            outbox.send(process_at(transmit.destination), transmit.payload);
        }
        while let Some(event) = self.membership.poll_event() {
            self.events.push((now, event));
        }
    }
}

impl Process for Node {
    type Message = Vec<u8>;

    fn start(&mut self, now: Timestamp, outbox: &mut Outbox<Vec<u8>>) {
        self.drain(now, outbox);
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, payload: Vec<u8>, outbox: &mut Outbox<Vec<u8>>) {
        self.membership.handle_datagram(now, address(from.0), &payload);
        self.drain(now, outbox);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Vec<u8>>) {
        self.membership.handle_timeout(now);
        self.drain(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.membership.poll_timeout()
    }
}

pub type Cluster = Simulation<Node>;

pub fn node_id(index: usize) -> NodeId {
    NodeId::new(format!("node-{index:03}"))
}

pub fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), PORT).into()
}

fn process_at(address: SocketAddr) -> ProcessId {
    let SocketAddr::V4(address) = address else { panic!("not an address of the simulation: {address}") };
    let [_, _, high, low] = address.ip().octets();
    ProcessId(usize::from(u16::from_be_bytes([high, low])))
}

/// Creates a cluster in which every node knows all members, as if it had received the whole list from a seed.
pub fn cluster_with_full_views(size: usize, seed: u64, config: &Config) -> Cluster {
    let mut cluster = Cluster::new(seed, LinkQuality::GOOD);
    let now = cluster.now();
    let nodes: Vec<Node> = (0..size).map(|index| Node::new(index, 0, config, now)).collect();
    let list: Vec<Update> = nodes.iter().map(Node::alive_update).collect();
    for mut node in nodes {
        node.receive_list(&list);
        cluster.add(node);
    }
    assert!(views_are(&cluster, &ids(0..size), &ids(0..size)));
    cluster
}

/// Creates a cluster whose nodes join through the seeds, and waits until all views are complete.
pub fn cluster_from_seeds(size: usize, seed: u64, config: &Config) -> Cluster {
    let mut cluster = Cluster::new(seed, LinkQuality::GOOD);
    for index in 0..size {
        cluster.add(Node::new(index, 0, config, cluster.now()));
    }
    let all = ids(0..size);
    let formed = run_until_views(&mut cluster, &all, &all, Duration::from_secs(120));
    assert!(formed, "the cluster of {size} did not form within two minutes");
    cluster
}

pub fn ids(indexes: impl IntoIterator<Item = usize>) -> Vec<ProcessId> {
    indexes.into_iter().map(ProcessId).collect()
}

pub fn in_zone(size: usize, zone: usize) -> Vec<ProcessId> {
    ids((0..size).filter(|index| index % ZONES == zone))
}

pub fn in_first_region(size: usize) -> Vec<ProcessId> {
    ids((0..size).filter(|index| index % ZONES < FIRST_REGION_ZONES))
}

pub fn excluding(all: &[ProcessId], excluded: &[ProcessId]) -> Vec<ProcessId> {
    all.iter().copied().filter(|id| !excluded.contains(id)).collect()
}

/// Returns whether the live members of each observer are exactly `expected`.
pub fn views_are(cluster: &Cluster, observers: &[ProcessId], expected: &[ProcessId]) -> bool {
    let expected: Vec<NodeId> = expected.iter().map(|id| node_id(id.0)).collect();
    observers.iter().all(|observer| {
        let membership = &cluster.process(*observer).membership;
        let view = membership.live_members().map(|info| &info.node);
        membership.live_count() == expected.len() && view.eq(expected.iter())
    })
}

/// Runs until the live members of each observer are `expected`, checking every 100 ms. Returns whether this
/// happened within `limit`.
pub fn run_until_views(
    cluster: &mut Cluster,
    observers: &[ProcessId],
    expected: &[ProcessId],
    limit: Duration,
) -> bool {
    let deadline = cluster.now() + limit;
    while !views_are(cluster, observers, expected) {
        if cluster.now() >= deadline {
            return false;
        }
        cluster.run_for(Duration::from_millis(100));
    }
    true
}

/// Counts the failures that observers reported of members that are not among `failed`.
pub fn false_failures(cluster: &Cluster, observers: &[ProcessId], failed: &[ProcessId]) -> usize {
    let failed: BTreeSet<NodeId> = failed.iter().map(|id| node_id(id.0)).collect();
    count_events(cluster, observers, |event| event.kind == EventKind::Failed && !failed.contains(&event.node))
}

pub fn count_events(cluster: &Cluster, observers: &[ProcessId], wanted: impl Fn(&Event) -> bool) -> usize {
    let events = observers.iter().flat_map(|id| &cluster.process(*id).events);
    events.filter(|(_, event)| wanted(event)).count()
}

pub fn clear_events(cluster: &mut Cluster) {
    for id in cluster.ids().collect::<Vec<_>>() {
        cluster.interact(id, |node, _, _| node.events.clear());
    }
}

pub fn totals(cluster: &Cluster, observers: &[ProcessId]) -> Counters {
    let mut total = Counters::default();
    for id in observers {
        let counters = cluster.process(*id).membership.counters();
        total.datagrams_sent += counters.datagrams_sent;
        total.bytes_sent += counters.bytes_sent;
        total.suspicions_raised += counters.suspicions_raised;
        total.probes_unanswered += counters.probes_unanswered;
        total.failures_declared += counters.failures_declared;
        total.stall_credit_us += counters.stall_credit_us;
    }
    total
}

/// Returns the average bytes per second sent by a node, including headers.
pub fn bytes_per_second(before: Counters, after: Counters, nodes: usize, elapsed: Duration) -> f64 {
    let payload = after.bytes_sent - before.bytes_sent;
    let headers = (after.datagrams_sent - before.datagrams_sent) * HEADER_BYTES;
    (payload + headers) as f64 / nodes as f64 / elapsed.as_secs_f64()
}
