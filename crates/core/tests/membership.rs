//! Tests of the membership settings, datagram decoding, bandwidth limits and document announcements.

mod membership_support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use lichenpulley_core::identity::{NodeId, Revision, ZoneName};
use lichenpulley_core::membership::{
    Body, Config, Incarnation, MemberInfo, Membership, Message, StartError, Update,
};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::LinkQuality;
use membership_support::*;
use proptest::prelude::*;

const DOCUMENT: &str = "configuration";

fn invalid_field(change: impl FnOnce(&mut Config)) -> &'static str {
    let mut config = Config::default();
    change(&mut config);
    config.validate().expect_err("the setting is refused").field
}

#[test]
fn config_errors_name_the_invalid_field() {
    assert!(Config::default().validate().is_ok());
    assert_eq!(invalid_field(|config| config.probe_interval = Duration::ZERO), "probe_interval");
    assert_eq!(invalid_field(|config| config.probe_timeout = config.probe_interval), "probe_timeout");
    assert_eq!(invalid_field(|config| config.suspicion_multiplier = 0), "suspicion_multiplier");
    assert_eq!(invalid_field(|config| config.retransmission_multiplier = 0), "retransmission_multiplier");
    assert_eq!(invalid_field(|config| config.maximum_payload_bytes = 100), "maximum_payload_bytes");
    assert_eq!(invalid_field(|config| config.update_bytes_per_second = 1), "update_bytes_per_second");
    assert_eq!(invalid_field(|config| config.update_burst_bytes = 1), "update_burst_bytes");
    assert_eq!(invalid_field(|config| config.sync_interval = Duration::ZERO), "sync_interval");
    assert_eq!(invalid_field(|config| config.sync_pages = 0), "sync_pages");
    assert_eq!(invalid_field(|config| config.reconnect_interval = Duration::ZERO), "reconnect_interval");
    assert_eq!(invalid_field(|config| config.join_retry = Duration::ZERO), "join_retry");
    assert_eq!(invalid_field(|config| config.forget_left_after = Duration::ZERO), "forget_left_after");
}

#[test]
fn empty_and_overlong_names_are_rejected() {
    for name in ["", &"n".repeat(65)] {
        let info = MemberInfo {
            node: NodeId::new(name),
            zone: ZoneName::new("zone"),
            address: address(0),
            attributes: 0,
        };
        let result =
            Membership::new(Config::default(), info, Incarnation(1), Vec::new(), 1, Timestamp::ORIGIN);
        assert!(matches!(result.err(), Some(StartError::Name { what: "node id", .. })));
    }
}

#[test]
fn suspicion_timeout_grows_with_the_logarithm_of_the_cluster_size() {
    let config = Config::default();
    assert_eq!(config.suspicion_timeout(1), config.suspicion_timeout(10));
    assert_eq!(config.suspicion_timeout(100), config.suspicion_timeout(10) * 2);
    assert_eq!(config.suspicion_timeout(1_000), config.suspicion_timeout(10) * 3);
}

/// The requirement is at most 3 KB per second of control traffic per node; membership may use a third of it. On
/// average a node receives as many bytes as it sends.
#[test]
fn idle_cluster_of_410_nodes_stays_within_its_bandwidth_budget() {
    let mut cluster = cluster_with_full_views(410, 1, &Config::default());
    let all = ids(0..410);
    for id in &all {
        cluster.interact(*id, |node, _, _| {
            node.membership.announce(DOCUMENT, Revision(1_000_000));
            node.membership.announce("directory", Revision(1_000_000));
        });
    }
    // Excludes the member list that each node requests from a seed once, about 25 KB.
    cluster.run_for(Duration::from_secs(10));
    let before = totals(&cluster, &all);
    let elapsed = Duration::from_secs(30);
    cluster.run_for(elapsed);
    let sent = bytes_per_second(before, totals(&cluster, &all), all.len(), elapsed);
    assert!(sent * 2.0 < 1_000.0, "{sent} bytes per second sent, and as many received");
}

/// The byte budget for updates limits the traffic even if half of the cluster fails at once.
#[test]
fn bandwidth_stays_bounded_when_half_of_the_cluster_fails() {
    let config = Config::default();
    let mut cluster = cluster_with_full_views(140, 2, &config);
    let first = in_first_region(140);
    let second = excluding(&ids(0..140), &first);
    cluster.run_for(Duration::from_secs(5));
    for id in &second {
        cluster.kill(*id);
    }
    let before = totals(&cluster, &first);
    let elapsed = Duration::from_secs(30);
    cluster.run_for(elapsed);
    let sent = bytes_per_second(before, totals(&cluster, &first), first.len(), elapsed);
    let burst = f64::from(config.update_burst_bytes) / elapsed.as_secs_f64();
    let probes = 1_500.0;
    assert!(sent < f64::from(config.update_bytes_per_second) + burst + probes, "{sent} bytes per second");
}

/// Each node that receives an announcement pulls the revision and announces it too, like the configuration.
#[test]
fn announced_revision_reaches_all_nodes_within_ten_seconds_under_packet_loss() {
    let mut cluster = cluster_with_full_views(410, 3, &Config::default());
    let all = ids(0..410);
    cluster.set_link(LinkQuality { loss: 0.2, ..LinkQuality::POOR });
    cluster.interact(all[7], |node, _, _| node.membership.announce(DOCUMENT, Revision(9)));
    let mut holders = 0;
    for _ in 0..100 {
        cluster.run_for(Duration::from_millis(100));
        holders = 1 + pull_announced_revisions(&mut cluster);
        if holders == all.len() {
            return;
        }
    }
    panic!("only {holders} of {} hold the revision after ten seconds", all.len());
}

fn pull_announced_revisions(cluster: &mut Cluster) -> usize {
    let ids: Vec<_> = cluster.ids().filter(|id| id.0 != 7).collect();
    let pulled = ids.into_iter().filter(|id| {
        let announced = cluster.process(*id).membership.announced_revisions().get(DOCUMENT).cloned();
        announced.is_some_and(|announced| {
            cluster.interact(*id, |node, _, _| node.membership.announce(DOCUMENT, announced.revision));
            announced.revision == Revision(9)
        })
    });
    pulled.collect::<Vec<_>>().len()
}

proptest! {
    #[test]
    fn arbitrary_datagrams_never_panic(payload in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut cluster = cluster_with_full_views(3, 1, &Config::default());
        let mut payload = payload;
        cluster.interact(ids([0])[0], |node, now, _| {
            node.membership.handle_datagram(now, address(1), &payload);
            if let Some(version) = payload.first_mut() {
                *version = 1;
            }
            node.membership.handle_datagram(now, address(1), &payload);
        });
    }

    #[test]
    fn corrupted_messages_never_panic(position in 0_usize..120, value in any::<u8>()) {
        let mut cluster = cluster_with_full_views(3, 1, &Config::default());
        let info = MemberInfo {
            node: NodeId::new("node-001"),
            zone: ZoneName::new("zone"),
            address: address(1),
            attributes: 3,
        };
        let body = lichenpulley_core::membership::Body::Ping { target: NodeId::new("node-000") };
        let mut message = Message::new(NodeId::new("node-001"), 1, body, Vec::new());
        message.updates.push(Update::alive(&info, Incarnation(77)));
        let mut payload = message.encode();
        prop_assert_eq!(Message::decode(&payload), Ok(message));
        let position = position % payload.len();
        payload[position] = value;
        cluster.interact(ids([0])[0], |node, now, _| {
            node.membership.handle_datagram(now, address(1), &payload);
        });
    }
}

/// Guards against a node that misses the update about a new member, and does not learn of it although the member
/// probes it.
#[test]
fn unknown_prober_is_added_by_table_comparison() {
    let info = |name: &str, port: u16| MemberInfo {
        node: NodeId::new(name),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        attributes: 0,
    };
    let start = |info: &MemberInfo| {
        Membership::new(Config::default(), info.clone(), Incarnation(1), Vec::new(), 1, Timestamp::ORIGIN)
            .expect("a valid configuration")
    };
    let (local, store) = (info("here", 1), info("store", 2));
    let (mut membership, mut store_membership) = (start(&local), start(&store));
    let ping = Body::Ping { target: local.node.clone() };
    let probe = Message::new(store.node.clone(), 1, ping, Vec::new()).encode();
    membership.handle_datagram(Timestamp::ORIGIN, store.address, &probe);
    // All exchanged messages result from that probe: the time does not advance.
    for _ in 0..4 {
        while let Some(sent) = membership.poll_transmit() {
            store_membership.handle_datagram(Timestamp::ORIGIN, local.address, &sent.payload);
        }
        while let Some(sent) = store_membership.poll_transmit() {
            membership.handle_datagram(Timestamp::ORIGIN, store.address, &sent.payload);
        }
    }
    assert!(membership.member(&store.node).is_some(), "the store is known");
    assert!(store_membership.member(&local.node).is_some());
}
