//! The live stream of decisions, one event a line, until the caller leaves or the node has stopped.
//!
//! Relies on [`crate::decisions`]; a caller that reads too slowly loses decisions, which shows as a jump in `sequence`.

use hyper::Response;
use tokio::sync::broadcast::error::RecvError;

use crate::context::Context;
use crate::http::Body;
use crate::http::events::event_stream;

/// Events that wait for one watcher's socket.
const WATCHER_BUFFER: usize = 64;

/// Streams decisions from now on, until the watcher goes or the node has stopped.
pub(super) fn watch(context: &Context) -> Response<Body> {
    let (sender, response) = event_stream(WATCHER_BUFFER);
    let mut decisions = context.decisions.watch();
    let stopped = context.stopped.clone();
    tokio::spawn(async move {
        loop {
            let next = tokio::select! {
                // The last decisions before the end are sent as well.
                biased;
                next = decisions.recv() => next,
                () = sender.closed() => return,
                () = stopped.cancelled() => break,
            };
            match next {
                Ok(event) => {
                    if sender.send(&event).await.is_err() {
                        return;
                    }
                }
                // The jump in `sequence` tells the watcher.
                Err(RecvError::Lagged(lost)) => {
                    log::debug!(target: "operators", "A watcher was too slow and lost {lost} decisions.");
                }
                Err(RecvError::Closed) => break,
            }
        }
        // An error only says that the watcher has gone.
        let _ = sender.finish().await;
    });
    response
}
