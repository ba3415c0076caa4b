//! Membership of this node in the cluster: the UDP socket, timers and view round the core's state machine.
//!
//! Parts of a node reach it through the [`MembershipHandle`] in their context. The revisions of the documents
//! that every node holds ride on its messages, so that a node which is behind learns from whom to pull.

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
use self::meter::Meter;
use crate::cluster::{ClusterView, Member};
use crate::context::Context;
use crate::decisions::unix_milliseconds;
use crate::settings::MembershipSettings;

/// A failed member is tried again once in so many probe intervals. Chosen, not measured: 5 s with the
/// default interval; longer delays the merging of a healed partition, shorter costs datagrams to dead
/// nodes.
const RECONNECT_PROBES: u32 = 10;

/// Whole tables are compared once in so many probe intervals. Chosen, not measured: 30 s with the default
/// interval; longer leaves a lost update unrepaired for longer.
const SYNC_PROBES: u32 = 60;

/// A seed that did not answer is followed by the next after so many probe intervals. Chosen, not measured:
/// 1 s with the default interval; longer delays a start whose first seed is down.
const JOIN_RETRY_PROBES: u32 = 2;

/// What a node brings into the cluster.
#[derive(Clone, Debug)]
pub struct StartMembership {
    /// This node, with the addresses that its sockets have in truth.
    pub member: Member,
    /// Peer addresses of nodes that may already be members; its own address is skipped.
    pub seeds: Vec<SocketAddr>,
}

/// Joins the cluster and publishes the live members in `context.cluster` until the node has stopped.
///
/// Spawns its task on the current runtime, the one of the control thread. A node whose settings the protocol
/// can't work with stays alone in its view and says why in the log.
pub fn start(context: Context, socket: UdpSocket, start: StartMembership) {
    context.cluster.store(Arc::new(ClusterView { members: vec![start.member.clone()] }));
    match driver(context, socket, start) {
        Ok(driver) => drop(tokio::spawn(driver.run())),
        Err(error) => log::error!(target: "membership", "This node stays alone: {error}."),
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
    Twice,
}

fn driver(context: Context, socket: UdpSocket, start: StartMembership) -> Result<Driver, StartError> {
    let commands = context.membership.take_commands().ok_or(StartError::Twice)?;
    let meter = Meter::new(context.metrics.registry())?;
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
        reconnect_interval: settings.probe_interval * RECONNECT_PROBES,
        sync_interval: settings.probe_interval * SYNC_PROBES,
        join_retry: settings.probe_interval * JOIN_RETRY_PROBES,
        ..Config::default()
    }
}

/// Tells the other members, on every message from now on, that this node holds `revision` of `document`.
pub fn announce_revision(context: &Context, document: &str, revision: Revision) {
    context.membership.announce_revision(document, revision);
}

/// The highest revision of each document that any member has announced, with the member that holds it.
pub fn watch_revisions(context: &Context) -> watch::Receiver<AnnouncedRevisions> {
    context.membership.watch_revisions()
}

/// Tells the other members that this node leaves, so that they needn't find out; for a planned stop.
///
/// Returns when the notice has been sent to a few members, or after a short time.
pub async fn leave(context: &Context) {
    context.membership.leave().await;
}
