//! Stand-in for the platform's metadata store. It serves objects by kind and name over HTTP, with lists, watches and
//! conditional writes, and it simulates outages and stalled watches on request.

mod objects;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_daemon::http::request::{percent_decode, query_parameter};
use lichenpulley_platform::objects::{Event, Events, List, Object};
use serde_json::Value;
use tokio::sync::Notify;

use crate::error::LabError;
use crate::http::{self, ANY_PORT, Body, Reply, Server};
use crate::locked::lock;
use objects::{Objects, WriteError};

/// Path prefix of all objects.
const OBJECTS_PREFIX: &str = "/-/objects/";

/// Placeholder in a stored object for a value that is answered as the bytes of
/// [`MetadataStore::set_unreadable_bytes`].
pub const UNREADABLE_PLACEHOLDER: &str = "(unreadable)";

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// Serves every request.
    #[default]
    Normal,
    /// Accepts requests and never responds.
    Silent,
    /// Closes each connection without a response.
    Resets,
    /// Rejects every request with 503 and has no other effect.
    Busy,
}

#[derive(Default)]
struct State {
    objects: Objects,
    response_mode: ResponseMode,
    /// Kind whose requests are never answered.
    unresponsive_kind: Option<String>,
    /// Kind whose watches are never answered.
    stalled_watch_kind: Option<String>,
    /// Maximum number of objects in one page of a list; `None` answers with all objects at once.
    page_size: Option<usize>,
    /// Raw bytes that replace each quoted [`UNREADABLE_PLACEHOLDER`] in responses.
    unreadable: Vec<u8>,
    /// Kind of each list request so far.
    listed: Vec<String>,
    /// Kind of each watch that waits for a change.
    waiting: Vec<String>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// Handle of a running metadata store. Dropping it stops the server.
pub struct MetadataStore {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

/// Starts an empty store on a free loopback port.
///
/// # Errors
/// When no port can be bound.
pub async fn start() -> Result<MetadataStore, LabError> {
    let shared = Arc::new(Shared::default());
    let handler_state = Arc::clone(&shared);
    let handler = move |request| answer(Arc::clone(&handler_state), request);
    let server = http::serve(ANY_PORT, handler).await?;
    Ok(MetadataStore { address: server.address, shared, _server: server })
}

impl MetadataStore {
    /// Creates an object or replaces its `spec`, as an operator, a replica or a trainer does; its status is kept.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.lock().objects.put(kind, name, spec);
        self.shared.changed.notify_waiters();
    }

    /// Sets the bytes that lists and watches contain in place of each [`UNREADABLE_PLACEHOLDER`] string, to simulate
    /// an object that a writer corrupted.
    pub fn set_unreadable_bytes(&self, bytes: &[u8]) {
        self.shared.lock().unreadable = bytes.to_vec();
    }

    /// Sets the maximum number of objects in one page of a list.
    pub fn set_page_size(&self, objects: usize) {
        self.shared.lock().page_size = Some(objects);
    }

    /// Replaces the finalizers of an object, as any writer may.
    pub fn set_finalizers(&self, kind: &str, name: &str, finalizers: Vec<String>) {
        self.shared.lock().objects.set_finalizers(kind, name, finalizers);
        self.shared.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.lock().objects.remove(kind, name);
        self.shared.changed.notify_waiters();
    }

    /// Returns the current object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.shared.lock().objects.get(kind, name)
    }

    /// Returns all objects of a kind.
    pub fn list(&self, kind: &str) -> Vec<Object> {
        self.shared.lock().objects.list(kind)
    }

    /// Drops the history of changes: watches that start from an earlier revision get 410.
    pub fn compact(&self) {
        self.shared.lock().objects.compact();
        self.shared.changed.notify_waiters();
    }

    /// Returns the number of watches of a kind that wait for a change.
    pub fn waiting_watch_count(&self, kind: &str) -> usize {
        self.shared.lock().waiting.iter().filter(|waiting| *waiting == kind).count()
    }

    /// Returns the number of list requests for a kind so far.
    pub fn list_count(&self, kind: &str) -> usize {
        self.shared.lock().listed.iter().filter(|listed| *listed == kind).count()
    }

    /// Leaves new requests for this kind unanswered; other kinds are served. `None` restores all kinds.
    pub fn set_unresponsive_kind(&self, kind: Option<&str>) {
        self.shared.lock().unresponsive_kind = kind.map(str::to_owned);
    }

    /// Leaves watches of this kind unanswered, as on a stalled connection; lists are served.
    pub fn set_stalled_watch_kind(&self, kind: Option<&str>) {
        self.shared.lock().stalled_watch_kind = kind.map(str::to_owned);
    }

    /// Sets how requests that arrive from now on are answered.
    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.shared.lock().response_mode = response_mode;
    }
}

/// Counts a watch as waiting until it is answered or its client disconnects.
struct WaitingWatch<'a> {
    shared: &'a Shared,
    kind: &'a str,
}

impl<'a> WaitingWatch<'a> {
    fn begin(shared: &'a Shared, kind: &'a str) -> Self {
        shared.lock().waiting.push(kind.to_owned());
        Self { shared, kind }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        let waiting = &mut self.shared.lock().waiting;
        if let Some(position) = waiting.iter().position(|waiting| waiting == self.kind) {
            waiting.swap_remove(position);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn is_unresponsive(&self, kind: &str) -> bool {
        self.unresponsive_kind.as_deref() == Some(kind)
    }

    fn is_watch_stalled(&self, kind: &str) -> bool {
        self.stalled_watch_kind.as_deref() == Some(kind)
    }

    /// Returns the page of a list that begins after a name.
    fn page(&self, kind: &str, after: Option<&str>) -> List {
        let mut items = self.objects.list(kind);
        items.retain(|object| after.is_none_or(|after| object.metadata.name.as_str() > after));
        let page_size = self.page_size.unwrap_or(usize::MAX);
        let has_more = items.len() > page_size;
        items.truncate(page_size);
        List { items, has_more, at: self.objects.revision() }
    }

    /// Serializes `value` and replaces each quoted placeholder by the unreadable bytes.
    fn raw_json(&self, value: &impl serde::Serialize) -> Response<Body> {
        let text = serde_json::to_string(value).unwrap_or_default();
        let placeholder = format!("\"{UNREADABLE_PLACEHOLDER}\"");
        let mut parts = text.split(&placeholder);
        let mut body = parts.next().unwrap_or_default().as_bytes().to_vec();
        for part in parts {
            body.extend_from_slice(&self.unreadable);
            body.extend_from_slice(part.as_bytes());
        }
        http::raw_json(StatusCode::OK, body)
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let response_mode = shared.lock().response_mode;
    match response_mode {
        ResponseMode::Normal => {}
        ResponseMode::Silent => return std::future::pending().await,
        ResponseMode::Resets => return Reply::Hang,
        ResponseMode::Busy => return http::empty(StatusCode::SERVICE_UNAVAILABLE).into(),
    }
    let path = request.uri().path().to_owned();
    let Some(rest) = path.strip_prefix(OBJECTS_PREFIX) else { return http::not_found(&path).into() };
    let parts: Vec<String> = rest.split('/').map(percent_decode).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    if parts.first().is_some_and(|kind| shared.lock().is_unresponsive(kind)) {
        return std::future::pending().await;
    }
    let response = match (request.method().clone(), parts.as_slice()) {
        (Method::GET, [kind]) => read_kind(&shared, kind, &request).await,
        (Method::GET, [kind, name]) => match shared.lock().objects.get(kind, name) {
            Some(object) => http::json(StatusCode::OK, &object),
            None => http::empty(StatusCode::NOT_FOUND),
        },
        (Method::POST, [kind]) => write(&shared, kind, None, false, request).await,
        (Method::PUT, [kind, name]) => write(&shared, kind, Some(name), false, request).await,
        (Method::PUT, [kind, name, "status"]) => write(&shared, kind, Some(name), true, request).await,
        (Method::DELETE, [kind, name]) => match shared.lock().objects.remove(kind, name) {
            true => {
                shared.changed.notify_waiters();
                http::json(StatusCode::OK, &Value::Null)
            }
            false => http::empty(StatusCode::NOT_FOUND),
        },
        _ => http::not_found(&path),
    };
    response.into()
}

async fn read_kind(shared: &Shared, kind: &str, request: &Request<Incoming>) -> Response<Body> {
    let after_revision: Option<u64> =
        query_parameter(request, "watch").and_then(|revision| revision.parse().ok());
    let Some(after_revision) = after_revision else {
        let mut state = shared.lock();
        state.listed.push(kind.to_owned());
        let list = state.page(kind, query_parameter(request, "after_rev").as_deref());
        return state.raw_json(&list);
    };
    let _waiting = WaitingWatch::begin(shared, kind);
    let wait_ms = query_parameter(request, "wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if shared.lock().is_watch_stalled(kind) {
            return std::future::pending().await;
        }
        {
            let state = shared.lock();
            let Some(events) = state.objects.events_after(kind, after_revision) else {
                return http::empty(StatusCode::GONE);
            };
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                let events: Vec<Event> = events;
                return state.raw_json(&Events { events, at: state.objects.revision() });
            }
        }
        // The loop checks the events and the deadline again, whether notified or timed out.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

async fn write(
    shared: &Shared,
    kind: &str,
    name: Option<&str>,
    is_status: bool,
    request: Request<Incoming>,
) -> Response<Body> {
    let object: Object = match http::read_json(request).await {
        Ok(object) => object,
        Err(response) => return response,
    };
    let result = match name {
        None => shared.lock().objects.create(kind, object),
        Some(name) => shared.lock().objects.replace(kind, name, object, is_status),
    };
    shared.changed.notify_waiters();
    match result {
        Ok(object) => http::json(StatusCode::OK, &object),
        Err(WriteError::Conflict(object)) => http::json(StatusCode::CONFLICT, &object),
        Err(WriteError::NotFound) => http::empty(StatusCode::NOT_FOUND),
    }
}
