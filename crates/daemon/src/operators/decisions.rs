//! Endpoint that streams decisions live as server-sent events.
//!
//! Subscribes to [`crate::decisions`]. A client that reads too slowly loses decisions, visible as a gap in `sequence`.

use hyper::Response;
use tokio::sync::broadcast::error::RecvError;

use crate::context::Context;
use crate::http::Body;
use crate::http::events::event_stream;

/// Maximum events buffered for the socket of one client; later ones stay in the ring of [`crate::decisions`].
const WATCHER_BUFFER: usize = 64;

/// Streams new decisions until the client disconnects or the node has stopped.
pub(super) fn watch(context: &Context) -> Response<Body> {
    let (sender, response) = event_stream(WATCHER_BUFFER);
    let mut decisions = context.decisions.watch();
    let stopped = context.stopped.clone();
    tokio::spawn(async move {
        loop {
            let next = tokio::select! {
                // Decisions take precedence, so that those recorded before the stop are sent.
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
                // The client sees the gap in `sequence`.
                Err(RecvError::Lagged(lost)) => {
                    log::debug!(target: "operators", "A client of the decision stream read too slowly and lost {lost} decisions.");
                }
                Err(RecvError::Closed) => break,
            }
        }
        // An error only means that the client has disconnected.
        let _ = sender.finish().await;
    });
    response
}
