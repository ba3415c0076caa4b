//! Callers' requests to end batch jobs, held from the moment in which they are read: a caller that leaves at
//! once must not take the end with it. Owns those that wait for this node's first configuration; the others
//! belong to `batch::end_holder`.

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
use super::batch_calls::{answer_empty, refuse};
use super::callers::Caller;
use super::end_trace::EndTrace;
use crate::http::Body;

/// The most ends that wait for this node's first configuration. Chosen, not measured: bounds the memory of a
/// node that starts.
pub(super) const MAX_EARLY_ENDS: usize = 256;
/// How long they wait. A node that starts has a configuration within seconds of reaching the platform or a
/// peer. Chosen, not measured.
const EARLY_END_TIMEOUT: Duration = Duration::from_secs(120);

/// An end that is held, and the answer that its caller waits for.
pub(super) struct BegunEnd {
    ingress: Ingress,
    batch: BatchId,
    trace: EndTrace,
    response: BoxFuture<'static, BatchResponse>,
}

impl BegunEnd {
    /// Waits for the owner's answer.
    pub(super) async fn answer(mut self) -> Response<Body> {
        let response = self.response.await;
        self.trace.answered(&response);
        match response {
            BatchResponse::Ended => answer_empty(StatusCode::OK, self.batch.as_str()),
            other => refuse(&self.ingress, self.batch.as_str(), &other),
        }
    }
}

/// Holds what a request ends; `None` where it ends nothing, or its caller may not.
pub(super) fn begin(ingress: &Ingress, request: &Request<Incoming>) -> Option<BegunEnd> {
    if request.method() != Method::DELETE {
        return None;
    }
    let batch = BatchId::new(request.uri().path().strip_prefix(batch::JOB_PREFIX)?);
    let Some(table) = ingress.context.metadata.routes.load_full() else {
        hold_early(ingress, batch, request.headers());
        return None;
    };
    let key = key(&table, batch.clone(), request.headers())?;
    let trace = EndTrace::begin(&ingress.context, &batch);
    let response = Box::pin(ingress.batch.ends().end(key));
    Some(BegunEnd { ingress: ingress.clone(), batch, trace, response })
}

fn key(table: &RouteTable, batch: BatchId, fields: &HeaderMap) -> Option<EndKey> {
    let caller = Caller::identify(table, fields, false).ok()?;
    Some(EndKey { batch, caller: caller.tenant().cloned() })
}

/// A node that has no configuration yet can't tell who its callers are. It asks them to come back, and holds
/// the end once it can.
fn hold_early(ingress: &Ingress, batch: BatchId, fields: &HeaderMap) {
    let Ok(place) = Arc::clone(&ingress.early_ends).try_acquire_owned() else {
        log::warn!(target: "batch", "The end of {batch} is not held: {MAX_EARLY_ENDS} wait for a configuration already.");
        return;
    };
    let trace = EndTrace::begin(&ingress.context, &batch);
    let ingress = ingress.clone();
    let mut known = HeaderMap::new();
    known.extend(fields.get(AUTHORIZATION).map(|key| (AUTHORIZATION, key.clone())));
    tokio::spawn(async move {
        let table = tokio::time::timeout(EARLY_END_TIMEOUT, first_configuration(&ingress)).await;
        drop((place, trace));
        // Without a configuration in time, or with a key that it does not know, there is nothing to hold: the
        // caller was refused, and the trace above records that its end was not answered.
        let Some(key) = table.ok().and_then(|table| key(&table, batch, &known)) else { return };
        // The caller was asked to come back: nobody waits.
        drop(ingress.batch.ends().end(key));
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
