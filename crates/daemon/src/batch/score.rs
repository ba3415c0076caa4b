//! Sends one score request to one replica.
//!
//! Owns the connection until the complete answer is received. `core::batch::score_plan` decides when a
//! request is repeated.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use lichenpulley_core::batch::score_plan::{ScoreEnd, ScoreId, ScoreStart};
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::quarantine::RunSender;
use lichenpulley_platform::headers;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::context::Context;
use crate::ingress::pool::{HttpExchange, ReplicaPool, SendError};
use crate::ingress::{answer_body, callers, headers as fields};
use crate::metrics::Latency;
use crate::quarantine::TracedRun;

/// Maximum size of a scorer's answer, in bytes. The body is not kept; it only has to be complete.
const MAX_SCORE_ANSWER_BYTES: usize = 8 << 20;

/// The end of a score request.
pub(super) struct ScoreEnded {
    pub(super) id: ScoreId,
    pub(super) end: ScoreEnd,
    /// Load that the replica reported, if it did.
    pub(super) load: Option<ReplicaLoad>,
}

/// Sends a score request and reports its end to the owner. Dropping the future closes the connection.
pub(super) async fn score(
    context: Context,
    pool: ReplicaPool,
    start: ScoreStart,
    ends: mpsc::UnboundedSender<ScoreEnded>,
) {
    let began = Instant::now();
    let mut load = None;
    let answer = tokio::time::timeout(start.timeout, send(&context, &pool, &start, &mut load)).await;
    // An answer that is incomplete at the timeout counts as broken off.
    let end = answer.unwrap_or(ScoreEnd::Broken);
    context.metrics.observe(Latency::Score, end.as_str(), began.elapsed());
    // Sending fails only once the owner has ended.
    let _ = ends.send(ScoreEnded { id: start.id, end, load });
}

async fn send(
    context: &Context,
    pool: &ReplicaPool,
    start: &ScoreStart,
    load: &mut Option<ReplicaLoad>,
) -> ScoreEnd {
    let request = match build(start) {
        Ok(request) => request,
        Err(error) => {
            ::log::error!(target: "batch", "Score request {} can't be sent: {error}. Submit its job again with a valid path and host of the scorer.", start.request.id);
            return ScoreEnd::Broken;
        }
    };
    let fingerprint = start.request.fingerprint(start.tenant.as_ref());
    let mut traced = TracedRun::begin(context, fingerprint, &start.replica, RunSender::Owner);
    let may_send = || !context.metadata.is_closed(&start.replica);
    let sent = pool.send(&start.replica, request, false, start.timeout, may_send).await;
    let HttpExchange { response, connection } = match sent {
        Ok(exchange) => exchange,
        Err(error) => {
            traced.record_send_error(error).await;
            return if error == SendError::Withheld { ScoreEnd::Rejected } else { ScoreEnd::Broken };
        }
    };
    let needs_body = answer_body::needs_body(&response);
    let (head, body) = response.into_parts();
    *load = fields::reported_load(&head.headers);
    if !fields::echoes_request_id(&head.headers, Some(&start.request.id)) {
        return ScoreEnd::Broken;
    }
    // An incomplete answer does not prove that the request was scored.
    if !is_complete(body, needs_body).await {
        drop(connection);
        traced.record_broken().await;
        return ScoreEnd::Broken;
    }
    pool.give_back(connection, &head.headers);
    let end = classify_answer(head.status, &head.headers);
    match end {
        ScoreEnd::Rejected => traced.record_not_run(),
        ScoreEnd::Scored(_) | ScoreEnd::Failed | ScoreEnd::Broken => traced.record_complete(),
    }
    end
}

/// Reads a body to its end without keeping it. Returns whether it is complete and not too long.
async fn is_complete(body: Incoming, needs_body: bool) -> bool {
    let mut body = Limited::new(body, MAX_SCORE_ANSWER_BYTES);
    let mut is_empty = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        is_empty &= frame.data_ref().is_none_or(Bytes::is_empty);
    }
    !(needs_body && is_empty)
}

fn build(start: &ScoreStart) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::new(Full::new(Bytes::from(start.request.body.clone())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = start.request.path.parse()?;
    let head = request.headers_mut();
    head.insert(HOST, start.request.host.parse()?);
    head.insert(headers::REQUEST_ID, start.request.id.parse()?);
    callers::set_tenant(head, start.tenant.as_ref());
    fields::set_replica_and_deadline(head, &start.replica.name, start.timeout);
    Ok(request)
}

/// Classifies a complete answer by its status and headers.
fn classify_answer(status: StatusCode, head: &hyper::HeaderMap) -> ScoreEnd {
    if head.contains_key(headers::NOT_RUN) || status.as_u16() == headers::STATUS_MISDIRECTED {
        return ScoreEnd::Rejected;
    }
    let signature = head.get(headers::SIGNATURE).and_then(|value: &HeaderValue| value.to_str().ok());
    match signature {
        Some(signature) if fields::is_signed(head) && status.is_success() => {
            ScoreEnd::Scored(signature.to_owned())
        }
        Some(_) if status == StatusCode::INTERNAL_SERVER_ERROR => ScoreEnd::Failed,
        _ => ScoreEnd::Broken,
    }
}
