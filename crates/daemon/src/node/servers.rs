//! The node's servers: peers, operators, callers in either interface, and load balancers.
//!
//! Each takes its bound socket and the handles of the parts that answer, and runs until its stop signal. Callers go on the
//! traffic threads, all others on the control thread. Owns no state.

use std::sync::Arc;

use hyper::{Response, StatusCode};
use lichenpulley_protocol::error::ErrorBody;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use super::StartError;
use super::control::ControlParts;
use super::peer_service::{self, PeerService};
use super::stop::StopSignals;
use crate::context::Context;
use crate::gateway::Gateway;
use crate::http::server::{self, HeadLimits, ServerStop};
use crate::http::socket::SocketLimits;
use crate::http::{Body, response};
use crate::ingress::{Ingress, readiness};
use crate::operators::{OperatorParts, Operators};

/// Other nodes' requests.
pub(super) fn serve_peers(
    context: &Context,
    listener: std::net::TcpListener,
    parts: &ControlParts,
    stop: &StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let (coordinator, batch) = (parts.coordinator.clone(), parts.batch.clone());
    let service = PeerService::new(Arc::clone(context), coordinator, batch, parts.store.clone());
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    Ok(tokio::spawn(peer_service::serve(listener, service, stop.peers.clone())))
}

/// Operators' requests.
pub(super) fn serve_operators(
    context: &Context,
    listener: std::net::TcpListener,
    parts: &ControlParts,
    ingress: Option<Ingress>,
    stop: &StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    let parts = OperatorParts {
        dispatcher: parts.dispatcher.clone(),
        coordinator: parts.coordinator.clone(),
        batch: parts.batch.clone(),
        ingress,
    };
    let answers = Operators::new(Arc::clone(context), parts);
    let answer = move |request| {
        let answers = answers.clone();
        async move { answers.handle(request).await }
    };
    Ok(tokio::spawn(server::serve(listener, stop.operators.clone(), answer)))
}

/// Callers in the platform's form where the node has an `ingress`, else in the product's own.
pub(super) fn serve_callers(
    context: &Context,
    listener: std::net::TcpListener,
    traffic: &Handle,
    parts: ControlParts,
    ingress: Option<Ingress>,
    stop: &StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let limits = SocketLimits { stall_timeout: context.settings.gateway.stall_timeout };
    let stop = stop.callers.clone();
    if let Some(ingress) = ingress {
        return serve_ingress(listener, traffic, stop, limits, ingress);
    }
    let gateway = Gateway::new(Arc::clone(context), parts.dispatcher, parts.coordinator);
    let gateway = context.settings.roles.gateway.then_some(gateway);
    serve_gateway(listener, traffic, stop, limits, gateway)
}

/// Callers in the product's own form; refused where the node has no gateway role.
fn serve_gateway(
    listener: std::net::TcpListener,
    traffic: &Handle,
    stop: ServerStop,
    limits: SocketLimits,
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
                None => no_gateway(),
            }
        }
    };
    Ok(traffic.spawn(server::serve_with_limits(listener, stop, limits, HeadLimits::default, answer)))
}

/// Callers in the platform's form.
fn serve_ingress(
    listener: std::net::TcpListener,
    traffic: &Handle,
    stop: ServerStop,
    limits: SocketLimits,
    ingress: Ingress,
) -> Result<JoinHandle<()>, StartError> {
    let entered = traffic.enter();
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    drop(entered);
    let limits_of = ingress.clone();
    let head_limits = move || {
        let configured = limits_of.limits();
        configured.map_or_else(HeadLimits::default, |limits| HeadLimits {
            // The library counts the time of a resting connection as well.
            timeout: limits.idle_timeout.max(limits.header_timeout),
            bytes: limits.header_bytes,
        })
    };
    let answer = move |request| ingress.handle(request);
    Ok(traffic.spawn(server::serve_with_limits(listener, stop, limits, head_limits, answer)))
}

/// Load balancers that ask whether the node is ready.
pub(super) fn serve_readiness(
    context: &Context,
    listener: std::net::TcpListener,
    stop: ServerStop,
) -> Result<(), StartError> {
    let listener = TcpListener::from_std(listener).map_err(StartError::Socket)?;
    let context = Arc::clone(context);
    let answer = move |_| {
        let answer = readiness::answer(&context);
        async move { answer }
    };
    tokio::spawn(server::serve(listener, stop, answer));
    Ok(())
}

fn no_gateway() -> Response<Body> {
    let body = ErrorBody::new(
        "no_gateway",
        "this node has no gateway role",
        "ask a node whose `roles` hold \"gateway\"",
    );
    response::error(StatusCode::SERVICE_UNAVAILABLE, &body)
}
