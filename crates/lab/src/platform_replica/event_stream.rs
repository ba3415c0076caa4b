//! Streams of numbered events that a simulated replica sends, in full or up to a connection error.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use lichenpulley_platform::headers;

use super::answers::signed;
use super::{ReplicaBehaviour, ReplicaPlan, SeenRequest, State, crash};
use crate::http::Body;
use crate::locked::lock;

/// Counts the stream as abandoned if it is dropped before it is finished.
pub(super) struct StreamGuard {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) is_finished: bool,
    /// Whether the replica crashes during the stream.
    pub(super) crashes: bool,
}

impl StreamGuard {
    /// Marks the stream as finished.
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            lock(&self.state).abandoned += 1;
        }
    }
}

/// Number of events that are sent before the replica crashes.
const EVENTS_BEFORE_CRASH: u64 = 2;

/// Returns a stream of numbered events, starting after the event in the reader's `Last-Event-ID` header if there is one.
pub(super) fn events(
    plan: &ReplicaPlan,
    behaviour: ReplicaBehaviour,
    seen: &SeenRequest,
    guard: StreamGuard,
) -> Response<Body> {
    let last = seen.headers.get(headers::LAST_EVENT_ID).and_then(|number| number.parse::<u64>().ok());
    let first = last.map_or(0, |number| number + 1);
    let break_at = match behaviour {
        ReplicaBehaviour::BreaksAfter(events) => first + events,
        _ if guard.crashes => first + EVENTS_BEFORE_CRASH,
        _ => u64::MAX,
    };
    let pause = if let ReplicaBehaviour::Takes(time) = behaviour { time } else { plan.pause };
    let end = plan.events;
    let frames = stream::unfold((first, guard), move |(number, mut guard)| async move {
        if number >= break_at && number < end {
            let error = std::io::Error::new(
                std::io::ErrorKind::ConnectionReset,
                "stream broken by the simulated replica",
            );
            guard.is_finished = true;
            if guard.crashes {
                crash(&guard.state);
            }
            return Some((Err(error), (u64::MAX, guard)));
        }
        if number >= end {
            guard.finish();
            return None;
        }
        tokio::time::sleep(pause).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), (number + 1, guard)))
    });
    let mut answer = signed(StatusCode::OK, &seen.id, &[]);
    let fields = answer.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    let version = plan.models.values().copied().max().unwrap_or(1);
    fields.insert(headers::WEIGHT_VERSION, HeaderValue::from(version));
    *answer.body_mut() = StreamBody::new(frames).boxed();
    answer
}
