//! The control thread: starts all subsystems and runs until the node stops.
//!
//! Owns two runtimes: the single-threaded control runtime, on which all shared state is modified, and the traffic runtime,
//! which handles callers' requests and runs batch items. Each subsystem gets the context and the handles that it depends on.

use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::listeners::Listeners;
use super::{NodeAddresses, StartError, Started, servers, stop};
use crate::batch::{self, BatchJobs};
use crate::cluster::Member;
use crate::configuration;
use crate::context::{Context, NodeContext};
use crate::coordinator::{self, Coordinator};
use crate::duties;
use crate::gateway::Dispatcher;
use crate::ingress::Ingress;
use crate::ingress::pool::ReplicaPool;
use crate::membership::{self, StartMembership};
use crate::metadata;
use crate::settings::Settings;
use crate::store::{self, Store};
use crate::suspension;

/// Runs a node on this thread until it has stopped or `abort` is cancelled.
pub(super) fn run(
    settings: Settings,
    listeners: Listeners,
    started: oneshot::Sender<Result<Started, StartError>>,
    abort: &CancellationToken,
) {
    let runtimes = build_runtimes(&settings);
    let (control, traffic) = match runtimes {
        Ok(runtimes) => runtimes,
        Err(error) => {
            drop(started.send(Err(StartError::Thread(error))));
            return;
        }
    };
    control.block_on(async {
        let context = NodeContext::new(settings, Handle::current());
        tokio::select! {
            () = run_subsystems(&context, listeners, started, traffic.handle()) => {}
            () = abort.cancelled() => {}
        }
    });
    // Remaining tasks are dropped at their next await point; a planned stop has completed its work by now.
    traffic.shutdown_background();
    control.shutdown_background();
}

fn build_runtimes(settings: &Settings) -> std::io::Result<(Runtime, Runtime)> {
    let control = Builder::new_current_thread().enable_all().build()?;
    let mut traffic = Builder::new_multi_thread();
    traffic.enable_all().thread_name("traffic");
    if settings.gateway.traffic_threads > 0 {
        traffic.worker_threads(settings.gateway.traffic_threads);
    }
    Ok((control, traffic.build()?))
}

async fn run_subsystems(
    context: &Context,
    listeners: Listeners,
    started: oneshot::Sender<Result<Started, StartError>>,
    traffic: &Handle,
) {
    let addresses = listeners.addresses;
    match start_subsystems(context, listeners, traffic) {
        Ok(servers) => {
            log::info!(
                target: "node",
                "{} listens: callers {}, operators {}, peers {}.",
                context.node, addresses.callers, addresses.operators, addresses.peers
            );
            let node = Started { addresses, context: Arc::clone(context) };
            if started.send(Ok(node)).is_err() {
                return;
            }
            stop::run_planned_stop(context, servers).await;
        }
        Err(error) => drop(started.send(Err(error))),
    }
}

/// Starts all subsystems, in the order of their dependencies.
fn start_subsystems(
    context: &Context,
    listeners: Listeners,
    traffic: &Handle,
) -> Result<stop::Servers, StartError> {
    let Listeners { callers, operators, readiness, peers, membership, addresses } = listeners;
    start_cluster_view(context, membership, addresses)?;
    let subsystems = Subsystems::start(context, traffic)?;
    let stop = stop::StopSignals::new(context);
    let peers = servers::serve_peers(context, peers, &subsystems, &stop)?;
    let ingress =
        context.settings.platform.metadata_store.is_some().then(|| start_platform_api(context, &subsystems));
    let operators = servers::serve_operators(context, operators, &subsystems, ingress.clone(), &stop)?;
    let callers = servers::serve_callers(context, callers, traffic, subsystems, ingress, &stop)?;
    if let Some(readiness) = readiness {
        servers::serve_readiness(context, readiness, stop.operators.clone())?;
    }
    Ok(stop::Servers { callers, operators, peers, stop })
}

/// Starts membership, configuration, suspension detection and metadata, which maintain this node's view of the cluster and
/// the platform.
fn start_cluster_view(
    context: &Context,
    membership: std::net::UdpSocket,
    addresses: NodeAddresses,
) -> Result<(), StartError> {
    let membership = UdpSocket::from_std(membership).map_err(StartError::Socket)?;
    start_membership(context, membership, addresses);
    configuration::start(context);
    suspension::start(context);
    metadata::start(context);
    Ok(())
}

/// Handles of the subsystems that implement the node's roles.
pub(super) struct Subsystems {
    pub(super) store: Option<Store>,
    pub(super) dispatcher: Dispatcher,
    pub(super) coordinator: Coordinator,
    pub(super) pool: ReplicaPool,
    pub(super) batch: BatchJobs,
}

impl Subsystems {
    fn start(context: &Context, traffic: &Handle) -> Result<Self, StartError> {
        let store = start_store(context)?;
        let dispatcher = Dispatcher::new(Arc::clone(context), traffic.clone());
        let coordinator = coordinator::start(Arc::clone(context), dispatcher.clone(), store.clone());
        let pool = ReplicaPool::new(context.boot_clock.clone());
        let batch = batch::start(context, pool.clone(), traffic.clone());
        Ok(Self { store, dispatcher, coordinator, pool, batch })
    }
}

/// Starts the platform API for callers, and the reports of its usage counts.
fn start_platform_api(context: &Context, subsystems: &Subsystems) -> Ingress {
    tokio::spawn(duties::report_usage(Arc::clone(context), subsystems.batch.clone()));
    Ingress::spawn(Arc::clone(context), subsystems.pool.clone(), subsystems.batch.clone())
}

fn start_store(context: &Context) -> Result<Option<Store>, StartError> {
    let Some(folder) = context.settings.data_folder.as_ref().filter(|_| context.settings.roles.store) else {
        return Ok(None);
    };
    let store = store::start(Arc::clone(context), folder);
    store.map(Some).map_err(|error| StartError::Store(error.to_string()))
}

fn start_membership(context: &Context, socket: UdpSocket, addresses: NodeAddresses) {
    let member = Member {
        node: context.node.clone(),
        zone: context.zone.clone(),
        roles: context.settings.roles,
        capacity: context.settings.machine.capacity(),
        peer_address: addresses.peers,
    };
    let seeds = context.settings.peers.seeds.clone();
    membership::start(Arc::clone(context), socket, StartMembership { member, seeds });
}
