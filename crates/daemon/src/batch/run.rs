//! Runs one item of a batch job at one replica.
//!
//! Owns the connection from the request to the last event. The controller decides how an item continues after
//! its run has ended.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response};
use lichenpulley_core::batch::controller::{RunEnd, RunEvent, RunId, RunStart};
use lichenpulley_core::batch::job::OutputEvent;
use lichenpulley_platform::headers;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::boot_clock::BootInstant;
use crate::context::Context;
use crate::http::response;
use crate::ingress::callers;
use crate::ingress::headers::reported_load;
use crate::ingress::pool::{HttpExchange, ReplicaPool, SendError};
use crate::ingress::sse::EventSplitter;
use crate::metrics::Latency;
use crate::quarantine::refuses_connections;

/// Timeout for connecting to a replica.
const RUN_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An item that is sent this long after the controller started it is logged, since its job may have ended.
const LATE_SEND_THRESHOLD: Duration = Duration::from_millis(500);

/// Runs an item and sends its events to the owner. Dropping the future closes the connection, which makes the
/// replica drop the item.
pub(super) async fn run(
    context: Context,
    pool: ReplicaPool,
    start: RunStart,
    decided_at: BootInstant,
    events: mpsc::Sender<(RunId, RunEvent)>,
) {
    let run = start.run;
    let began = Instant::now();
    let end = match send(&context, &pool, &start, decided_at).await {
        Ok(exchange) => read(&pool, &start, exchange, &events).await,
        Err(SendError::Withheld) => RunEnd::Rejected,
        Err(SendError::NotSent | SendError::Broken) => RunEnd::Broken,
    };
    if end == RunEnd::Broken {
        ::log::debug!(target: "batch", "{}: the run of {} at {} ended early.", context.node, start.item.id, start.replica.id);
    }
    context.metrics.observe(Latency::ItemRun, end.as_str(), began.elapsed());
    // Sending fails only once the owner has ended.
    let _ = events.send((run, RunEvent::Ended(end))).await;
}

async fn send(
    context: &Context,
    pool: &ReplicaPool,
    start: &RunStart,
    decided_at: BootInstant,
) -> Result<HttpExchange, SendError> {
    let request = build(start).map_err(|error| {
        // The ingress has already parsed each part of the item, so a retry elsewhere fails in the same way.
        ::log::error!(target: "batch", "Item {} can't be sent: {error}. Submit it again with a valid path and headers.", start.item.id);
        SendError::NotSent
    })?;
    let may_send = || {
        let waited = context.boot_clock.since(decided_at);
        if waited >= LATE_SEND_THRESHOLD {
            ::log::warn!(target: "batch", "Item {} is sent to {} {} ms after that was decided.", start.item.id, start.replica.id, waited.as_millis());
        }
        !context.metadata.is_closed(&start.replica)
    };
    pool.send(&start.replica, request, false, RUN_CONNECT_TIMEOUT, may_send).await
}

fn build(start: &RunStart) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::new(Full::new(Bytes::from(start.item.body.clone())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = start.item.path.parse()?;
    let fields = request.headers_mut();
    for (name, value) in &start.item.headers {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        fields.append(name, HeaderValue::from_str(value)?);
    }
    if start.tenant.is_some() {
        fields.remove(AUTHORIZATION);
        callers::set_tenant(fields, start.tenant.as_ref());
    }
    fields.insert(HOST, start.host.parse()?);
    fields.insert(headers::REQUEST_ID, start.item.id.parse()?);
    fields.insert(headers::EXPECT_REPLICA, start.replica.name.parse()?);
    if let Some(number) = start.last_event {
        fields.insert(headers::LAST_EVENT_ID, HeaderValue::from(number));
    }
    if start.urgency != NEUTRAL_URGENCY {
        fields.insert(headers::URGENCY, HeaderValue::from(u16::from(start.urgency)));
    }
    Ok(request)
}

/// Weight version of events for which the replica names none.
const UNKNOWN_VERSION: u64 = 0;
/// Urgency that a replica assumes without the header.
const NEUTRAL_URGENCY: u8 = 5;

async fn read(
    pool: &ReplicaPool,
    start: &RunStart,
    exchange: HttpExchange,
    events: &mpsc::Sender<(RunId, RunEvent)>,
) -> RunEnd {
    let HttpExchange { response, connection } = exchange;
    if let Some(end) = end_by_head(&response, &start.item.id) {
        return end;
    }
    let is_framed = response::is_framed(&response);
    let (head, mut body) = response.into_parts();
    // The owner uses only the pace, so that replicas without one cost no event.
    if let Some(load) = reported_load(&head.headers).filter(|load| load.pace_percent.is_some()) {
        // Sending fails only once the owner has ended.
        let _ = events.send((start.run, RunEvent::Load(load))).await;
    }
    let version = version_of_head(&head.headers, start);
    let mut reader =
        EventReader { start, events, version, newest_event: None, splitter: EventSplitter::default() };
    if let Err(end) = reader.read_all(&mut body).await {
        return end;
    }
    if reader.splitter.has_partial_event() {
        return RunEnd::Broken;
    }
    if !is_framed {
        return unframed_end(start, reader.newest_event).await;
    }
    pool.give_back(connection, &head.headers);
    RunEnd::Complete
}

/// Returns how a run ended whose answer has no length and ended between two events. It ends in the same way when its
/// replica crashes, so the item is resumed until a replica that is still alive brings nothing.
async fn unframed_end(start: &RunStart, newest_event: Option<u64>) -> RunEnd {
    if newest_event > start.last_event {
        return RunEnd::Unframed;
    }
    let is_confirmed = newest_event.is_none() && start.last_event.is_some();
    if is_confirmed && !refuses_connections(start.replica.address).await {
        RunEnd::Complete
    } else {
        RunEnd::Broken
    }
}

/// Forwards the events of one answer to the owner.
struct EventReader<'a> {
    start: &'a RunStart,
    events: &'a mpsc::Sender<(RunId, RunEvent)>,
    /// Weight version named by the newest event, or else by the response head.
    version: u64,
    /// Number of the newest event that was forwarded.
    newest_event: Option<u64>,
    splitter: EventSplitter,
}

impl EventReader<'_> {
    /// Reads until the body ends. Returns the run's end as the error if the connection breaks, an event can't
    /// be parsed, or the owner has ended.
    async fn read_all(&mut self, body: &mut Incoming) -> Result<(), RunEnd> {
        while let Some(frame) = body.frame().await {
            // The cause is irrelevant: the run is resumed elsewhere.
            let Ok(frame) = frame else { return Err(RunEnd::Broken) };
            // Trailers contain no events.
            let Ok(bytes) = frame.into_data() else { continue };
            self.splitter.push(&bytes);
            self.forward_events().await?;
        }
        Ok(())
    }

    /// Forwards all complete events.
    async fn forward_events(&mut self) -> Result<(), RunEnd> {
        loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(()),
                Err(error) => {
                    ::log::info!(target: "batch", "Failed to parse the events of item {} from replica {}: {error}.", self.start.item.id, self.start.replica.id);
                    return Err(RunEnd::Broken);
                }
            };
            self.version = event.version.unwrap_or(self.version);
            let Some(number) = event.number else { continue };
            let output = OutputEvent { number, version: self.version, data: event.data };
            // Sending fails only once the owner has ended.
            if self.events.send((self.start.run, RunEvent::Event(output))).await.is_err() {
                return Err(RunEnd::Broken);
            }
            self.newest_event = self.newest_event.max(Some(number));
        }
    }
}

/// Returns the weight version named by the response head, which applies to events that name none themselves.
/// Without either, an event counts as made by version 0, which jobs that require a version don't accept.
fn version_of_head(fields: &hyper::HeaderMap, start: &RunStart) -> u64 {
    let Some(value) = fields.get(headers::WEIGHT_VERSION) else { return UNKNOWN_VERSION };
    let version = value.to_str().ok().and_then(|version| version.trim().parse().ok());
    version.unwrap_or_else(|| {
        ::log::warn!(target: "batch", "Item {} at replica {}: invalid weight version {value:?}. Correct the header that the replica sends.", start.item.id, start.replica.id);
        UNKNOWN_VERSION
    })
}

/// Returns the end of a run if the response head determines it, or `None` if events follow.
fn end_by_head(response: &Response<Incoming>, item: &str) -> Option<RunEnd> {
    let fields = response.headers();
    let status = response.status();
    let is_own = fields.get(headers::REQUEST_ID).is_some_and(|id| id.as_bytes() == item.as_bytes());
    if !is_own {
        return Some(RunEnd::Broken);
    }
    if status.as_u16() == headers::STATUS_MISDIRECTED {
        return Some(RunEnd::OtherReplica);
    }
    if fields.contains_key(headers::NOT_RUN) {
        return Some(RunEnd::Rejected);
    }
    let is_signed = fields.contains_key(headers::SIGNATURE);
    match status.as_u16() {
        200..=299 if is_signed => None,
        headers::STATUS_UNPROCESSABLE if is_signed => Some(RunEnd::Unprocessable),
        500 if is_signed => Some(RunEnd::Failed),
        _ => Some(RunEnd::Broken),
    }
}
