//! Starts the node's servers: for peers, operators, callers of either API, and readiness checks.
//!
//! Each server takes a bound socket and the handles of the subsystems that answer, and runs until its stop signal. Servers
//! for callers run on the traffic threads, all others on the control thread.

use std::sync::Arc;

use hyper::{Response, StatusCode};
use lichenpulley_core::intake::connections::ConnectionLimit;
use lichenpulley_protocol::error::ErrorBody;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use super::StartError;
use super::control::Subsystems;
use super::peer_service::{self, PeerService};
use super::stop::StopSignals;
use crate::context::Context;
use crate::gateway::Gateway;
use crate::http::server::{self, HeadLimits, ServerLimits, ServerStop};
use crate::http::socket::SocketLimits;
use crate::http::{Body, response};
use crate::ingress::{Ingress, readiness};
use crate::operators::{OperatorApi, OperatorDependencies};

/// Starts the server for other nodes.
pub(super) fn serve_peers(
    context: &Context,
    listener: std::net::TcpListener,
    subsystems: &Subsystems,
    stop: &StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let (coordinator, batch) = (subsystems.coordinator.clone(), subsystems.batch.clone());
    let service = PeerService::new(Arc::clone(context), coordinator, batch, subsystems.store.clone());
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    Ok(tokio::spawn(peer_service::serve(listener, service, stop.peers.clone())))
}

/// Starts the server for operators.
pub(super) fn serve_operators(
    context: &Context,
    listener: std::net::TcpListener,
    subsystems: &Subsystems,
    ingress: Option<Ingress>,
    stop: &StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    let dependencies = OperatorDependencies {
        dispatcher: subsystems.dispatcher.clone(),
        coordinator: subsystems.coordinator.clone(),
        batch: subsystems.batch.clone(),
        ingress,
    };
    let api = OperatorApi::new(Arc::clone(context), dependencies);
    let answer = move |request| {
        let api = api.clone();
        async move { api.handle(request).await }
    };
    let connections = operator_connections(context);
    Ok(tokio::spawn(server::serve_limited(listener, stop.operators.clone(), connections, answer)))
}

/// Starts the server for callers: the platform API if the node has an `ingress`, else the native API.
pub(super) fn serve_callers(
    context: &Context,
    listener: std::net::TcpListener,
    traffic: &Handle,
    subsystems: Subsystems,
    ingress: Option<Ingress>,
    stop: &StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let machine = &context.settings.machine;
    let connections = ConnectionLimit::for_callers(machine.memory_bytes as u64, machine.descriptors());
    let socket = SocketLimits { stall_timeout: context.settings.gateway.stall_timeout };
    let limits = ServerLimits { socket, connections };
    let stop = stop.callers.clone();
    if let Some(ingress) = ingress {
        return serve_platform_api(listener, traffic, stop, limits, ingress);
    }
    let gateway = Gateway::new(Arc::clone(context), subsystems.dispatcher, subsystems.coordinator);
    let gateway = context.settings.roles.gateway.then_some(gateway);
    serve_native_api(listener, traffic, stop, limits, gateway)
}

/// Starts the server of the native API; it refuses all requests if the node has no gateway role.
fn serve_native_api(
    listener: std::net::TcpListener,
    traffic: &Handle,
    stop: ServerStop,
    limits: ServerLimits,
    gateway: Option<Gateway>,
) -> Result<JoinHandle<()>, StartError> {
    let entered = traffic.enter();
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    drop(entered);
    let answer = move |request| {
        let gateway = gateway.clone();
        async move {
            match gateway {
                Some(gateway) => gateway.handle(request).await,
                None => no_gateway_response(),
            }
        }
    };
    Ok(traffic.spawn(server::serve_with_limits(listener, stop, limits, HeadLimits::default, answer)))
}

/// Starts the server of the platform API.
fn serve_platform_api(
    listener: std::net::TcpListener,
    traffic: &Handle,
    stop: ServerStop,
    limits: ServerLimits,
    ingress: Ingress,
) -> Result<JoinHandle<()>, StartError> {
    let entered = traffic.enter();
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    drop(entered);
    let limit_source = ingress.clone();
    let head_limits = move || {
        let configured = limit_source.limits();
        configured.map_or_else(HeadLimits::default, |limits| HeadLimits {
            // The HTTP library applies this timeout to idle connections as well.
            timeout: limits.idle_timeout.max(limits.header_timeout),
            bytes: limits.header_bytes,
        })
    };
    let unread = Some(ingress.unread_meter());
    let answer = move |request| ingress.handle(request);
    Ok(traffic.spawn(server::serve_metered(listener, stop, limits, head_limits, unread, answer)))
}

/// Starts the server for readiness checks of load balancers.
pub(super) fn serve_readiness(
    context: &Context,
    listener: std::net::TcpListener,
    stop: ServerStop,
) -> Result<(), StartError> {
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    let connections = operator_connections(context);
    let context = Arc::clone(context);
    let answer = move |_| {
        let answer = readiness::answer(&context);
        async move { answer }
    };
    tokio::spawn(server::serve_limited(listener, stop, connections, answer));
    Ok(())
}

fn operator_connections(context: &Context) -> ConnectionLimit {
    let machine = &context.settings.machine;
    ConnectionLimit::for_operators(machine.memory_bytes as u64, machine.descriptors())
}

fn no_gateway_response() -> Response<Body> {
    let body = ErrorBody::new(
        "no_gateway",
        "this node has no gateway role",
        "ask a node whose `roles` hold \"gateway\"",
    );
    response::error(StatusCode::SERVICE_UNAVAILABLE, &body)
}
