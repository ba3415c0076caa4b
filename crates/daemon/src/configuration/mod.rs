//! Brings the settings tree and the directory of machines to this node, and takes operators' changes.
//!
//! `document_task` drives the core's dissemination for each of the two documents, `source` reads the platform where
//! this node is one of its few readers, and `change` settles an operator's change.

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

/// Starts both documents on the current runtime, the one of the control thread.
pub fn start(context: &Context) {
    for document in DocumentName::ALL {
        document_task::start(context, document);
    }
}

/// Answers a peer.
pub async fn answer(context: &Context, request: ConfigurationRequest) -> ConfigurationResponse {
    let replies = context.documents.receive(request.document, request.from, request.message).await;
    ConfigurationResponse { replies }
}
