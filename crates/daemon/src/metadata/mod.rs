//! This node's copy of the platform's metadata: the operator's configuration, replicas, model versions
//! published by trainers, evacuations and quarantine records.
//!
//! In a small deployment every node watches the platform itself; in a large one a few nodes do, and the
//! others follow them (see `lichenpulley_core::relay`) and hold a subset of the replicas. A node that can't reach the platform uses a peer's
//! copy. Invariant: within the life of a process, the copy of a kind never goes back to an earlier revision,
//! nor the configuration to an earlier version.

mod announcements;
pub mod client;
mod copy;
mod evacuations;
mod freshness;
pub(crate) mod handle;
pub mod history;
mod kind_index;
pub(crate) mod peers;
mod reachability;
mod relay;
pub mod retirements;
mod subset;
mod subset_layouts;
mod watcher;
pub mod zones;

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_protocol::internal::{MetadataKind, MetadataRequest, MetadataResponse};
use tokio::time::Instant;

pub use self::handle::MetadataHandle;
pub(crate) use self::subset::answer as answer_subset;
use crate::context::Context;
use crate::quarantine;
use lichenpulley_core::time::whole_millis;

/// Starts the watchers on the current runtime if the settings name a metadata store. Nodes that are neither
/// gateway nor coordinator need no metadata and start none.
pub fn start(context: &Context) {
    let roles = context.settings.roles;
    if !roles.gateway && !roles.coordinator {
        return;
    }
    let Some(client) = client::MetadataClient::from_settings(&context.settings) else { return };
    let reach = reachability::start(Arc::clone(context), client.clone());
    quarantine::start(context, client.clone());
    for kind in MetadataKind::ALL {
        tokio::spawn(watcher::run(Arc::clone(context), client.clone(), kind, reach.clone()));
    }
}

/// Maximum time that an answer to a peer waits for a change. It is longer than followers request, and only
/// limits for how long a faulty peer can occupy a task.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// Answers a peer that follows this node or that can't reach the platform.
pub async fn answer(context: &Context, request: &MetadataRequest) -> MetadataResponse {
    let metadata = &context.metadata;
    let until = Instant::now() + MAX_ANSWER_WAIT.min(Duration::from_millis(request.wait_ms));
    let mut changes = metadata.watch();
    let update = loop {
        // A subset of the replicas is of no use to another node.
        let history = metadata.history(request.kind).filter(|history| history.layout().is_none());
        let update = history.and_then(|history| history.update_since(request.newer_than));
        if update.is_some() || Instant::now() >= until {
            break update;
        }
        // After a change, a timeout or the end of the handle alike, the history is checked again.
        let _ = tokio::time::timeout_at(until, changes.changed()).await;
    };
    let holds_all = metadata.history(request.kind).is_some_and(|history| history.layout().is_none());
    let age = if holds_all { metadata.freshness.age(request.kind) } else { Duration::MAX };
    MetadataResponse { update, age_ms: whole_millis(age) }
}
