//! A stand-in for the users' platform's metadata store: objects by kind and name, lists, watches, conditional writes, and
//! the ways in which it fails.

mod objects;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_platform::objects::{Event, Events, List, Object};
use serde_json::Value;
use tokio::sync::Notify;

use crate::error::LabError;
use crate::http::{self, ANY_PORT, Body, Reply, Server};
use crate::locked::lock;
use objects::{Objects, WriteRefusal};

/// The path under which all objects lie.
const PREFIX: &str = "/-/objects/";

/// Stands for bytes that are no text, in what is put into the store.
pub const UNREADABLE_PLACEHOLDER: &str = "(unreadable)";

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// As it should.
    #[default]
    Normal,
    /// It takes requests and says nothing.
    Silent,
    /// It closes each connection without an answer.
    Resets,
    /// It does nothing and says so.
    Busy,
}

#[derive(Default)]
struct State {
    objects: Objects,
    response_mode: ResponseMode,
    /// A kind of which it says nothing.
    unresponsive_kind: Option<String>,
    /// A kind whose watches hear nothing.
    stalled_watch_kind: Option<String>,
    /// What stands in place of each [`UNREADABLE_PLACEHOLDER`] in answers.
    unreadable: Vec<u8>,
    /// The kinds that were listed, each time.
    listed: Vec<String>,
    /// The kinds of the watches that wait.
    waiting: Vec<String>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// A running stand-in.
pub struct MetadataStore {
    /// Where it answers.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

/// Starts a store without objects on a free loopback port.
///
/// # Errors
/// When no port can be had.
pub async fn start() -> Result<MetadataStore, LabError> {
    let shared = Arc::new(Shared::default());
    let answering = Arc::clone(&shared);
    let handler = move |request| answer(Arc::clone(&answering), request);
    let server = http::serve(ANY_PORT, handler).await?;
    Ok(MetadataStore { address: server.address, shared, _server: server })
}

impl MetadataStore {
    /// Writes an object's `spec`, as the operator, a replica or a trainer does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.lock().objects.put(kind, name, spec);
        self.shared.changed.notify_waiters();
    }

    /// Answers with these bytes wherever [`UNREADABLE_PLACEHOLDER`] stands as a text, as where a writer put them there.
    pub fn set_unreadable_bytes(&self, bytes: &[u8]) {
        self.shared.lock().unreadable = bytes.to_vec();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.lock().objects.remove(kind, name);
        self.shared.changed.notify_waiters();
    }

    /// An object as it stands.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.shared.lock().objects.get(kind, name)
    }

    /// All objects of a kind.
    pub fn list(&self, kind: &str) -> Vec<Object> {
        self.shared.lock().objects.list(kind)
    }

    /// Drops the history: watches that begin before now get 410.
    pub fn compact(&self) {
        self.shared.lock().objects.compact();
        self.shared.changed.notify_waiters();
    }

    /// How many watches of a kind wait for a change.
    pub fn waiting_watch_count(&self, kind: &str) -> usize {
        self.shared.lock().waiting.iter().filter(|waiting| *waiting == kind).count()
    }

    /// How often a kind was listed.
    pub fn list_count(&self, kind: &str) -> usize {
        self.shared.lock().listed.iter().filter(|listed| *listed == kind).count()
    }

    /// Says nothing of this kind from now on; all else is answered.
    pub fn set_unresponsive_kind(&self, kind: Option<&str>) {
        self.shared.lock().unresponsive_kind = kind.map(str::to_owned);
    }

    /// Watches of this kind hear nothing from now on, as on connections that fell silent; lists are answered.
    pub fn set_stalled_watch_kind(&self, kind: Option<&str>) {
        self.shared.lock().stalled_watch_kind = kind.map(str::to_owned);
    }

    /// Answers in another way from now on.
    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.shared.lock().response_mode = response_mode;
    }
}

/// A watch that waits, until it is answered or dropped.
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

    /// JSON with the unreadable bytes in their places.
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
    let Some(rest) = path.strip_prefix(PREFIX) else { return http::not_found(&path).into() };
    let parts: Vec<&str> = rest.split('/').collect();
    if parts.first().is_some_and(|kind| shared.lock().is_unresponsive(kind)) {
        return std::future::pending().await;
    }
    let answered = match (request.method().clone(), parts.as_slice()) {
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
    answered.into()
}

fn parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

async fn read_kind(shared: &Shared, kind: &str, request: &Request<Incoming>) -> Response<Body> {
    let after: Option<u64> = parameter(request, "watch").and_then(|revision| revision.parse().ok());
    let Some(after) = after else {
        let mut state = shared.lock();
        state.listed.push(kind.to_owned());
        let list = List { items: state.objects.list(kind), has_more: false, at: state.objects.revision() };
        return state.raw_json(&list);
    };
    let _waiting = WaitingWatch::begin(shared, kind);
    let wait_ms = parameter(request, "wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
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
            let Some(events) = state.objects.events_after(kind, after) else {
                return http::empty(StatusCode::GONE);
            };
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                let events: Vec<Event> = events;
                return state.raw_json(&Events { events, at: state.objects.revision() });
            }
        }
        // Whether it was woken or the time is over, the loop checks again.
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
        Err(refusal) => return refusal,
    };
    let written = match name {
        None => shared.lock().objects.create(kind, object),
        Some(name) => shared.lock().objects.replace(kind, name, object, is_status),
    };
    shared.changed.notify_waiters();
    match written {
        Ok(object) => http::json(StatusCode::OK, &object),
        Err(WriteRefusal::Conflict(object)) => http::json(StatusCode::CONFLICT, &object),
        Err(WriteRefusal::NotFound) => http::empty(StatusCode::NOT_FOUND),
    }
}
