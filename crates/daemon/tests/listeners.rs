//! Tests of a node's start where one of its ports is in use.

use std::net::TcpListener;
use std::time::Duration;

use lichenpulley_daemon::node::{Node, StartError};
use lichenpulley_daemon::settings::Settings;

const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Binds a port, and returns it with settings that name it.
fn taken(set: impl Fn(&mut Settings, std::net::SocketAddr)) -> (TcpListener, Settings) {
    let holder = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut settings = Settings::on_loopback("node-a", "zone-a");
    set(&mut settings, holder.local_addr().expect("an address"));
    (holder, settings)
}

/// Guards against a node that stays down after a restart because its port was in use for a moment.
#[tokio::test]
async fn a_node_starts_once_the_port_that_it_finds_in_use_is_free() {
    let cases: [fn(&mut Settings, std::net::SocketAddr); 4] = [
        |settings, address| settings.addresses.callers = address,
        |settings, address| settings.addresses.operators = address,
        |settings, address| settings.addresses.peers = address,
        |settings, address| settings.readiness = Some(address),
    ];
    for set in cases {
        let (holder, settings) = taken(set);
        let starting = tokio::spawn(Node::start(settings));
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert!(!starting.is_finished(), "the node waits for its port");
        drop(holder);
        let started = tokio::time::timeout(START_TIMEOUT, starting).await.expect("the start ends");
        started.expect("no panic").expect("the node starts");
    }
}

/// Guards against a start that waits without end, or fails without naming the address.
#[tokio::test]
async fn a_node_whose_port_stays_in_use_says_which() {
    let (holder, settings) = taken(|settings, address| settings.addresses.operators = address);
    let started = tokio::time::timeout(START_TIMEOUT, Node::start(settings)).await.expect("the start ends");
    let Err(StartError::Listen { key, address, .. }) = started else { panic!("the port is in use") };
    assert_eq!(key, "addresses.operators");
    assert_eq!(address, holder.local_addr().expect("an address"));
}
