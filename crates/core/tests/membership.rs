//! Membership: settings, datagrams, budget, and revisions that ride along.

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

fn refused_field(change: impl FnOnce(&mut Config)) -> &'static str {
    let mut config = Config::default();
    change(&mut config);
    config.validate().expect_err("the setting is refused").field
}

#[test]
fn every_bound_names_its_field() {
    assert!(Config::default().validate().is_ok());
    assert_eq!(refused_field(|config| config.probe_interval = Duration::ZERO), "probe_interval");
    assert_eq!(refused_field(|config| config.probe_timeout = config.probe_interval), "probe_timeout");
    assert_eq!(refused_field(|config| config.suspicion_multiplier = 0), "suspicion_multiplier");
    assert_eq!(refused_field(|config| config.retransmission_multiplier = 0), "retransmission_multiplier");
    assert_eq!(refused_field(|config| config.maximum_payload_bytes = 100), "maximum_payload_bytes");
    assert_eq!(refused_field(|config| config.update_bytes_per_second = 1), "update_bytes_per_second");
    assert_eq!(refused_field(|config| config.update_burst_bytes = 1), "update_burst_bytes");
    assert_eq!(refused_field(|config| config.sync_interval = Duration::ZERO), "sync_interval");
    assert_eq!(refused_field(|config| config.sync_pages = 0), "sync_pages");
    assert_eq!(refused_field(|config| config.reconnect_interval = Duration::ZERO), "reconnect_interval");
    assert_eq!(refused_field(|config| config.join_retry = Duration::ZERO), "join_retry");
    assert_eq!(refused_field(|config| config.forget_left_after = Duration::ZERO), "forget_left_after");
}

#[test]
fn a_name_that_fits_no_datagram_is_refused() {
    for name in ["", &"n".repeat(65)] {
        let info = MemberInfo {
            node: NodeId::new(name),
            zone: ZoneName::new("zone"),
            address: address(0),
            attributes: 0,
        };
        let refused =
            Membership::new(Config::default(), info, Incarnation(1), Vec::new(), 1, Timestamp::ORIGIN);
        assert!(matches!(refused.err(), Some(StartError::Name { what: "node id", .. })));
    }
}

#[test]
fn the_suspicion_timeout_grows_with_the_logarithm_of_the_cluster() {
    let config = Config::default();
    assert_eq!(config.suspicion_timeout(1), config.suspicion_timeout(10));
    assert_eq!(config.suspicion_timeout(100), config.suspicion_timeout(10) * 2);
    assert_eq!(config.suspicion_timeout(1_000), config.suspicion_timeout(10) * 3);
}

/// The letter allows 3 KB a second for all control; membership aims at a third. Each datagram that one node sends
/// another receives, so the bytes received are the same on average.
#[test]
fn a_quiet_cluster_of_the_letters_size_stays_within_its_share_of_bytes() {
    let mut cluster = introduced(410, 1, &Config::default());
    let all = ids(0..410);
    for id in &all {
        cluster.interact(*id, |node, _, _| {
            node.membership.announce(DOCUMENT, Revision(1_000_000));
            node.membership.announce("directory", Revision(1_000_000));
        });
    }
    // Every node has asked a seed for the list, which costs it some 25 KB once.
    cluster.run_for(Duration::from_secs(10));
    let before = totals(&cluster, &all);
    let elapsed = Duration::from_secs(30);
    cluster.run_for(elapsed);
    let sent = bytes_per_second(before, totals(&cluster, &all), all.len(), elapsed);
    assert!(sent * 2.0 < 1_000.0, "{sent} bytes a second sent, and as many received");
}

/// The budget of updates bounds what a node sends whatever happens: here half of the cluster is gone at once.
#[test]
fn bytes_stay_bounded_when_half_of_the_cluster_is_lost() {
    let config = Config::default();
    let mut cluster = introduced(140, 2, &config);
    let first = in_first_region(140);
    let second = without(&ids(0..140), &first);
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
    assert!(sent < f64::from(config.update_bytes_per_second) + burst + probes, "{sent} bytes a second");
}

/// Each node that hears of a revision pulls it and then announces it, as the configuration part does.
#[test]
fn a_revision_is_heard_by_all_within_seconds_under_loss() {
    let mut cluster = introduced(410, 3, &Config::default());
    let all = ids(0..410);
    cluster.set_link(LinkQuality { loss: 0.2, ..LinkQuality::POOR });
    cluster.interact(all[7], |node, _, _| node.membership.announce(DOCUMENT, Revision(9)));
    let mut holders = 0;
    for _ in 0..100 {
        cluster.run_for(Duration::from_millis(100));
        holders = 1 + pull_what_was_heard(&mut cluster);
        if holders == all.len() {
            return;
        }
    }
    panic!("only {holders} of {} hold the revision after ten seconds", all.len());
}

fn pull_what_was_heard(cluster: &mut Cluster) -> usize {
    let ids: Vec<_> = cluster.ids().filter(|id| id.0 != 7).collect();
    let pulled = ids.into_iter().filter(|id| {
        let heard = cluster.process(*id).membership.announced_revisions().get(DOCUMENT).cloned();
        heard.is_some_and(|heard| {
            cluster.interact(*id, |node, _, _| node.membership.announce(DOCUMENT, heard.revision));
            heard.revision == Revision(9)
        })
    });
    pulled.collect::<Vec<_>>().len()
}

proptest! {
    #[test]
    fn bytes_from_anywhere_never_panic(payload in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut cluster = introduced(3, 1, &Config::default());
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
    fn a_message_with_flipped_bytes_never_panics(position in 0_usize..120, value in any::<u8>()) {
        let mut cluster = introduced(3, 1, &Config::default());
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

/// A store was known to all nodes but the one that placed the jobs' log, for 27 seconds: it had heard of all others from a list made before
/// that store came, and missed the news of it. The store probed it all the while, as a member like any other. The log was placed on the two
/// stores that were known, and was lost with one of them.
#[test]
fn a_member_that_is_not_known_is_asked_who_it_is_when_it_probes() {
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
    let (here, store) = (info("here", 1), info("store", 2));
    let (mut membership, mut unknown) = (start(&here), start(&store));
    let ping = Body::Ping { target: here.node.clone() };
    let probe = Message::new(store.node.clone(), 1, ping, Vec::new()).encode();
    membership.handle_datagram(Timestamp::ORIGIN, store.address, &probe);
    // What they send each other follows from that probe alone: no time passes.
    for _ in 0..4 {
        while let Some(sent) = membership.poll_transmit() {
            unknown.handle_datagram(Timestamp::ORIGIN, here.address, &sent.payload);
        }
        while let Some(sent) = unknown.poll_transmit() {
            membership.handle_datagram(Timestamp::ORIGIN, store.address, &sent.payload);
        }
    }
    assert!(membership.member(&store.node).is_some(), "the store is known");
    assert!(unknown.member(&here.node).is_some());
}
