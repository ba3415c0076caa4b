//! Keeps the settings tree and the directory of machines up to date on this node, and applies operators'
//! changes.
//!
//! `document_task` runs the core's dissemination for each of the two documents, `source` reads the platform
//! if this node is one of its few readers, and `change` applies an operator's change.

pub mod change;
mod document_task;
pub(crate) mod handle;
pub mod platform;
mod source;
pub(crate) mod view;

use std::sync::Arc;

use lichenpulley_core::configuration::document::Document;
use lichenpulley_protocol::internal::configuration::DocumentName;
use lichenpulley_protocol::internal::{ConfigurationRequest, ConfigurationResponse};

pub use handle::ConfigurationHandle;
pub use view::ConfigurationView;

use crate::context::Context;
use crate::directory::ReplicaDirectory;

/// Starts the tasks of both documents on the current runtime, which must be the control thread's.
///
/// A node that finds its replicas in the platform's metadata store and names no source of either document has none.
/// At the start of a large cluster all nodes would otherwise ask the same few members which revision is in force.
pub fn start(context: &Context) {
    let platform = &context.settings.platform;
    let has_source = platform.object_api.is_some() || platform.machine_list.is_some();
    if platform.metadata_store.is_some() && !has_source {
        return publish_empty(context);
    }
    for document in DocumentName::ALL {
        document_task::start(context, document);
    }
}

/// Puts empty documents in force. Messages of peers are answered without replies.
fn publish_empty(context: &Context) {
    let empty = Arc::new(Document::default());
    for document in DocumentName::ALL {
        drop(context.documents.claim_events(document));
        context.documents.publish(document, Arc::clone(&empty));
    }
    context.configuration.store(Arc::new(ConfigurationView::new(&empty)));
    context.directory.store(Arc::new(ReplicaDirectory::from_document(&empty)));
}

/// Answers a dissemination message of a peer.
pub async fn answer(context: &Context, request: ConfigurationRequest) -> ConfigurationResponse {
    let replies = context.documents.receive(request.document, request.from, request.message).await;
    ConfigurationResponse { replies }
}
