//! Handles callers' requests to end batch jobs. An end is held from the moment it is read, so that it takes
//! effect even if the caller disconnects at once.
//!
//! This module holds ends that arrive before the node's first configuration; `batch::end_holder` holds all
//! others.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use lichenpulley_core::batch::pending_ends::EndKey;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_platform::batch;
use lichenpulley_protocol::internal::BatchResponse;

use super::Ingress;
use super::batch_calls::{empty_response, refuse};
use super::callers::Caller;
use super::end_trace::{self, EndTrace};
use crate::http::Body;

/// Maximum number of ends that wait for the node's first configuration.
pub(super) const MAX_EARLY_ENDS: usize = 256;
/// How long an end waits for the first configuration.
const EARLY_END_TIMEOUT: Duration = Duration::from_secs(120);
/// Reason of an end that is not held because its caller's key is not in the configuration.
const UNKNOWN_KEY: &str = "unknown_key";
/// Reason of an end that is not held because the node got no configuration in time.
const NO_CONFIGURATION: &str = "no_configuration";

/// A held end and the pending response to its caller.
pub(super) struct HeldEnd {
    ingress: Ingress,
    batch: BatchId,
    trace: EndTrace,
    response: BoxFuture<'static, BatchResponse>,
}

impl HeldEnd {
    /// Waits for the owner's answer.
    pub(super) async fn answer(mut self) -> Response<Body> {
        let response = self.response.await;
        self.trace.record_answer(&response);
        match response {
            BatchResponse::Ended => empty_response(StatusCode::OK, self.batch.as_str()),
            other => refuse(&self.ingress, self.batch.as_str(), &other),
        }
    }
}

/// Holds the end if the request is one. Returns `None` for other requests, for callers without a known key,
/// and while the node has no configuration.
pub(super) fn hold(ingress: &Ingress, request: &Request<Incoming>) -> Option<HeldEnd> {
    if request.method() != Method::DELETE {
        return None;
    }
    let batch = BatchId::new(request.uri().path().strip_prefix(batch::JOB_PREFIX)?);
    let Some(table) = ingress.context.metadata.routes.load_full() else {
        hold_early(ingress, batch, request.headers());
        return None;
    };
    let Some(key) = end_key(&table, batch.clone(), request.headers()) else {
        end_trace::record_refused(&ingress.context, &batch, UNKNOWN_KEY);
        return None;
    };
    let trace = EndTrace::begin(&ingress.context, &batch);
    let response = Box::pin(ingress.batch.ends().end(key));
    Some(HeldEnd { ingress: ingress.clone(), batch, trace, response })
}

fn end_key(table: &RouteTable, batch: BatchId, fields: &HeaderMap) -> Option<EndKey> {
    let caller = Caller::identify(table, fields, false).ok()?;
    Some(EndKey { batch, caller: caller.tenant().cloned() })
}

/// Holds an end that arrived before the first configuration. The node can't authenticate its caller yet, so
/// the caller is asked to retry, and the end is passed on once a configuration is loaded.
fn hold_early(ingress: &Ingress, batch: BatchId, fields: &HeaderMap) {
    let Ok(permit) = Arc::clone(&ingress.early_ends).try_acquire_owned() else {
        log::warn!(
            target: "batch",
            "Dropped the end of batch job {batch}: {MAX_EARLY_ENDS} ends are already waiting for a configuration; send it again."
        );
        return;
    };
    let trace = EndTrace::begin(&ingress.context, &batch);
    let ingress = ingress.clone();
    let mut authorization = HeaderMap::new();
    authorization.extend(fields.get(AUTHORIZATION).map(|key| (AUTHORIZATION, key.clone())));
    tokio::spawn(async move {
        let table = tokio::time::timeout(EARLY_END_TIMEOUT, first_configuration(&ingress)).await;
        drop((permit, trace));
        // The caller was already asked to retry, so the response is not awaited, and an end without a
        // configuration in time or with an unknown key is discarded.
        let key = match table {
            Ok(table) => end_key(&table, batch.clone(), &authorization).ok_or(UNKNOWN_KEY),
            Err(_) => Err(NO_CONFIGURATION),
        };
        match key {
            Ok(key) => drop(ingress.batch.ends().end(key)),
            Err(reason) => end_trace::record_refused(&ingress.context, &batch, reason),
        }
    });
}

async fn first_configuration(ingress: &Ingress) -> Arc<RouteTable> {
    let mut changes = ingress.context.metadata.watch();
    loop {
        if let Some(table) = ingress.context.metadata.routes.load_full() {
            return table;
        }
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
