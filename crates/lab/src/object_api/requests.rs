//! Request handlers of the object API, with its simulated faults.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::identity::Revision;
use lichenpulley_daemon::http::request::{percent_decode, query_parameter};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::platform::{ObjectList, PutObject};

use super::State;
use crate::http::{self, Body, Reply};

/// Time after which a watch without changes ends if its request has no `hold_ms`.
const DEFAULT_WATCH_HOLD: Duration = Duration::from_secs(20);
/// Upper limit of `hold_ms`.
const MAX_WATCH_HOLD: Duration = Duration::from_secs(300);
const OBJECTS_PREFIX: &str = "/objects/";

/// Answers a request, or closes its connection if the faults require it.
pub(super) async fn answer(state: Arc<State>, request: Request<Incoming>) -> Reply {
    if is_down(&state) {
        return Reply::Hang;
    }
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.strip_prefix(OBJECTS_PREFIX)) {
        (Method::GET, Some(key)) => read(&state, &percent_decode(key)).into(),
        (Method::PUT, Some(key)) => write(&state, &percent_decode(key), request).await,
        (Method::GET, None) if path == "/objects" => list(&state, &request).into(),
        (Method::GET, None) if path == "/watch" => watch(&state, &request).await,
        _ => http::not_found(&path).into(),
    }
}

fn is_down(state: &State) -> bool {
    state.lock().faults.down
}

fn read(state: &State, key: &str) -> Response<Body> {
    match state.lock().store.get(key) {
        Some(object) => http::json(StatusCode::OK, object),
        None => {
            let message = format!("there is no object {key}");
            let error = ErrorBody::new("no_such_object", message, "create it with base_version null");
            http::json(StatusCode::NOT_FOUND, &error)
        }
    }
}

async fn write(state: &State, key: &str, request: Request<Incoming>) -> Reply {
    let change = match http::read_json::<PutObject>(request).await {
        Ok(change) => change,
        Err(response) => return response.into(),
    };
    let mut inner = state.lock();
    inner.counters.writes += 1;
    match inner.store.put(key, change) {
        Ok(object) => {
            let is_lost = inner.faults.consume_lost_reply();
            inner.counters.lost_replies += u64::from(is_lost);
            drop(inner);
            state.changed.send_replace(());
            if is_lost { Reply::Hang } else { http::json(StatusCode::OK, &object).into() }
        }
        Err(conflict) => http::json(StatusCode::CONFLICT, &conflict).into(),
    }
}

fn list(state: &State, request: &Request<Incoming>) -> Response<Body> {
    let prefix = query_parameter(request, "prefix").unwrap_or_default();
    http::json(StatusCode::OK, &state.lock().store.list(&prefix))
}

async fn watch(state: &State, request: &Request<Incoming>) -> Reply {
    let prefix = query_parameter(request, "prefix").unwrap_or_default();
    let after = query_parameter(request, "after");
    let Ok(after) = after.as_deref().unwrap_or("0").parse().map(Revision) else {
        return http::bad_request("`after` must be a revision: a whole number").into();
    };
    let hold = query_parameter(request, "hold_ms").and_then(|hold| hold.parse().ok());
    let hold = hold.map_or(DEFAULT_WATCH_HOLD, Duration::from_millis).min(MAX_WATCH_HOLD);
    let _open = OpenWatch::begin(state);
    let mut changed = state.changed.subscribe();
    let deadline = tokio::time::Instant::now() + hold;
    loop {
        if is_down(state) {
            return Reply::Hang;
        }
        let changes = state.lock().store.changed_after(&prefix, after);
        if !changes.objects.is_empty() {
            return http::json(StatusCode::OK, &changes).into();
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            let no_changes = ObjectList { objects: Vec::new(), revision: changes.revision };
            return http::json(StatusCode::OK, &no_changes).into();
        }
    }
}

/// Counts a watch as open until it is answered or its client disconnects.
struct OpenWatch<'state> {
    state: &'state State,
}

impl<'state> OpenWatch<'state> {
    fn begin(state: &'state State) -> Self {
        let mut inner = state.lock();
        let counters = &mut inner.counters;
        counters.open_watches += 1;
        counters.peak_open_watches = counters.peak_open_watches.max(counters.open_watches);
        drop(inner);
        Self { state }
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.state.lock().counters.open_watches -= 1;
    }
}
