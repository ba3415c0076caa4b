//! Membership of this node in the cluster: runs the core's state machine with a UDP socket and timers, and
//! publishes the view of the live members.
//!
//! Other parts of a node use it through the [`MembershipHandle`] in their context. Its messages also carry
//! the revisions of the documents that every node holds, so that an outdated node learns from which member to
//! pull.

mod driver;
pub(crate) mod handle;
mod meter;
mod report;

pub use handle::{AnnouncedRevision, AnnouncedRevisions, MembershipHandle};

use std::net::SocketAddr;
use std::sync::Arc;

use lichenpulley_core::identity::Revision;
use lichenpulley_core::membership::{Config, Incarnation, MemberInfo, Membership};
use lichenpulley_core::time::Timestamp;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;

use self::driver::Driver;
use self::meter::ProtocolMetrics;
use crate::cluster::{ClusterView, Member};
use crate::context::Context;
use crate::decisions::unix_milliseconds;
use crate::settings::MembershipSettings;

/// Interval between attempts to reconnect to a failed member, in probe intervals: 5 s with the default. Lets
/// a healed partition merge again.
const RECONNECT_PROBE_INTERVALS: u32 = 10;

/// Interval between full exchanges of the member tables, in probe intervals: 30 s with the default. Repairs
/// lost updates.
const SYNC_PROBE_INTERVALS: u32 = 60;

/// Wait for a seed's answer before the next seed is tried, in probe intervals: 1 s with the default.
const JOIN_RETRY_PROBE_INTERVALS: u32 = 2;

/// Parameters with which a node joins the cluster.
#[derive(Clone, Debug)]
pub struct StartMembership {
    /// This node, with the addresses to which its sockets are actually bound.
    pub member: Member,
    /// Peer addresses of nodes that may already be members; this node's own address is skipped.
    pub seeds: Vec<SocketAddr>,
}

/// Joins the cluster and publishes the live members in `context.cluster` until the node has stopped.
///
/// Spawns the membership task on the current runtime, which must be the control thread's. If the protocol
/// rejects the settings, the node logs the reason and remains the only member of its view.
pub fn start(context: Context, socket: UdpSocket, start: StartMembership) {
    context.cluster.store(Arc::new(ClusterView::new(vec![Arc::new(start.member.clone())])));
    match create_driver(context, socket, start) {
        Ok(driver) => drop(tokio::spawn(driver.run())),
        Err(error) => log::error!(target: "membership", "This node can't join the cluster: {error}."),
    }
}

/// Why the membership task could not start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Protocol(#[from] lichenpulley_core::membership::StartError),
    #[error("{0}; start membership once for each node")]
    Metrics(#[from] prometheus::Error),
    #[error("the membership task was started twice; start it once for each node")]
    AlreadyStarted,
}

fn create_driver(context: Context, socket: UdpSocket, start: StartMembership) -> Result<Driver, StartError> {
    let commands = context.membership.claim_commands().ok_or(StartError::AlreadyStarted)?;
    let meter = ProtocolMetrics::new(context.metrics.registry())?;
    let origin = Instant::now();
    let StartMembership { member, seeds } = start;
    let info = MemberInfo {
        node: member.node,
        zone: member.zone,
        address: member.peer_address,
        attributes: member.capacity.to_attributes(member.roles),
    };
    let config = protocol_config(&context.settings.membership);
    let incarnation = Incarnation(unix_milliseconds());
    let random_seed = rand::random();
    let membership = Membership::new(config, info, incarnation, seeds, random_seed, Timestamp::ORIGIN)?;
    Ok(Driver::new(context, socket, membership, commands, meter, origin))
}

fn protocol_config(settings: &MembershipSettings) -> Config {
    Config {
        probe_interval: settings.probe_interval,
        probe_timeout: settings.probe_timeout,
        suspicion_multiplier: settings.suspicion_multiplier,
        reconnect_interval: settings.probe_interval * RECONNECT_PROBE_INTERVALS,
        sync_interval: settings.probe_interval * SYNC_PROBE_INTERVALS,
        join_retry: settings.probe_interval * JOIN_RETRY_PROBE_INTERVALS,
        ..Config::default()
    }
}

/// Announces to the other members, with every message from now on, that this node holds `revision` of
/// `document`.
pub fn announce_revision(context: &Context, document: &str, revision: Revision) {
    context.membership.announce_revision(document, revision);
}

/// Subscribes to the highest announced revision of each document, with a member that holds it.
pub fn watch_revisions(context: &Context) -> watch::Receiver<AnnouncedRevisions> {
    context.membership.watch_revisions()
}

/// Announces to the other members that this node leaves, so that a planned stop is not treated as a failure.
///
/// Returns when the notice has been sent to a few members, or after a short timeout.
pub async fn leave(context: &Context) {
    context.membership.leave().await;
}
