//! Sends orders and state queries to engines over HTTP.
//!
//! Translates between the core's orders and the engines' interface. Relies on the engine to refuse an order
//! of an earlier epoch.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::weights::{OrderCommand, OrderResult, WeightReport};
use lichenpulley_protocol::engine::{Command, EngineRole, LoadReport, Order, OrderAccepted, OrderRefused};

use crate::http::client::{ClientError, HttpClient};

/// Sends orders to engines, fenced by one owner's epoch.
#[derive(Clone)]
pub(super) struct EngineClient {
    pub(super) http: HttpClient,
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    /// Timeout of a call.
    pub(super) call_timeout: Duration,
}

impl EngineClient {
    /// Sends an order and returns its result.
    pub(super) async fn order(&self, address: SocketAddr, command: OrderCommand) -> OrderResult {
        let command = match command {
            OrderCommand::LoadWeights(weight_version) => Command::LoadWeights { weight_version },
            OrderCommand::ChangeRole { draining: true } => Command::ChangeRole { role: EngineRole::Draining },
            OrderCommand::ChangeRole { draining: false } => Command::ChangeRole { role: EngineRole::Serving },
        };
        let order = Order { shard: self.shard.clone(), epoch: self.epoch, command };
        let result = self.http.post_json(address, "/v1/orders", &order, self.call_timeout).await;
        match result {
            Ok(OrderAccepted { load, .. }) => OrderResult::Accepted(report(&load)),
            Err(error) => refused(&error).unwrap_or(OrderResult::NoAnswer),
        }
    }

    /// Requests an engine's load report; returns `None` if the call fails.
    pub(super) async fn ask(&self, address: SocketAddr) -> Option<WeightReport> {
        let load: Result<LoadReport, ClientError> =
            self.http.get_json(address, "/v1/load", self.call_timeout).await;
        match load {
            Ok(load) => Some(report(&load)),
            Err(error) => {
                // The controller polls it again after the interval of its state.
                log::debug!(target: "weights", "The engine at {address} gave no report: {error}.");
                None
            }
        }
    }
}

fn refused(error: &ClientError) -> Option<OrderResult> {
    if error.status() != Some(StatusCode::CONFLICT) {
        return None;
    }
    let OrderRefused { highest_epoch } = error.body()?;
    Some(OrderResult::Refused { highest_epoch })
}

fn report(load: &LoadReport) -> WeightReport {
    WeightReport { weight_version: load.weight_version, draining: load.role == EngineRole::Draining }
}
