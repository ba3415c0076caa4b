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

use lichenpulley_protocol::internal::configuration::DocumentName;
use lichenpulley_protocol::internal::{ConfigurationRequest, ConfigurationResponse};

pub use handle::ConfigurationHandle;
pub use view::ConfigurationView;

use crate::context::Context;

/// Starts the tasks of both documents on the current runtime, which must be the control thread's.
pub fn start(context: &Context) {
    for document in DocumentName::ALL {
        document_task::start(context, document);
    }
}

/// Answers a dissemination message of a peer.
pub async fn answer(context: &Context, request: ConfigurationRequest) -> ConfigurationResponse {
    let replies = context.documents.receive(request.document, request.from, request.message).await;
    ConfigurationResponse { replies }
}
