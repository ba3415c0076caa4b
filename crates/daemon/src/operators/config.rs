//! Endpoints of the settings tree of the native API: list all values, show an effective value, change a value.
//!
//! Reads use the snapshot in the context; changes go through [`crate::configuration::change`], which waits until they are in
//! force.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_core::configuration::path::LevelPath;
use lichenpulley_core::configuration::register::{Change, ChangeRefused};
use lichenpulley_core::configuration::schema::SchemaError;
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_protocol::error::{ErrorBody, Execution};
use lichenpulley_protocol::operator::{
    ChangeConfiguration, ConfigurationChanged, ConfigurationDocument, EffectiveSetting, SettingValue,
};

use crate::configuration::change::{self, ChangeError};
use crate::context::Context;
use crate::http::request::{Held, query_parameter, read_json};
use crate::http::{Body, response};

/// Maximum size of the body of a change, in bytes.
const MAX_CHANGE_BYTES: usize = 64 * 1024;

/// Lists every value that is set.
pub(super) fn list(context: &Context) -> Response<Body> {
    let view = context.configuration.load();
    let settings = view.tree.values().map(|(path, key, value)| SettingValue {
        path: path.to_string(),
        key: key.to_owned(),
        value: value.clone(),
    });
    let document = ConfigurationDocument { revision: view.revision, settings: settings.collect() };
    response::json(StatusCode::OK, &document)
}

/// Returns the value in force at a level, with the level that it is inherited from.
pub(super) fn effective(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    let path = query_parameter(request, "path").unwrap_or_else(|| "/".to_owned());
    let Some(key) = query_parameter(request, "key") else {
        let body = ErrorBody::new("bad_request", "no `key` is given", "ask with ?path={path}&key={key}");
        return response::error(StatusCode::BAD_REQUEST, &body);
    };
    match explain(context, &path, &key) {
        Ok(effective) => response::json(StatusCode::OK, &effective),
        Err(error) => response::error(StatusCode::BAD_REQUEST, &bad_setting(&error.to_string())),
    }
}

/// Changes a value.
pub(super) async fn change(context: &Context, request: Request<Incoming>) -> Response<Body> {
    let read = read_json::<ChangeConfiguration>(request, MAX_CHANGE_BYTES, &context.body_memory).await;
    let Held { value: requested, hold: _hold } = match read {
        Ok(read) => read,
        Err(error) => return error.into(),
    };
    let ChangeConfiguration { base_revision, change_id, path, key, value } = requested;
    match change::change(context, Change { change_id, base_revision, path, key, value }).await {
        Ok(revision) => response::json(StatusCode::OK, &ConfigurationChanged { revision }),
        Err(error) => response::error(error_status(&error), &error_body(&error)),
    }
}

fn explain(context: &Context, path: &str, key: &str) -> Result<EffectiveSetting, SchemaError> {
    let view = context.configuration.load();
    let path = LevelPath::parse(path)?;
    let explanation = view.tree.explain(&path, key)?;
    Ok(EffectiveSetting {
        path: path.to_string(),
        key: key.to_owned(),
        value: explanation.value,
        source: explanation.source.map(|source| source.to_string()),
        revision: view.revision,
    })
}

fn error_status(error: &ChangeError) -> StatusCode {
    match error {
        ChangeError::Refused(ChangeRefused::Conflict { .. } | ChangeRefused::ChangeIdReused { .. }) => {
            StatusCode::CONFLICT
        }
        ChangeError::Refused(_) => StatusCode::BAD_REQUEST,
        ChangeError::Unavailable | ChangeError::NoObjectApi => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::InDoubt { .. } | ChangeError::NotYetInForce { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn error_body(error: &ChangeError) -> ErrorBody {
    let mut body = split_remedy(error.kind(), &error.to_string());
    body.current_revision = match error {
        ChangeError::Refused(ChangeRefused::Conflict { current, .. }) => Some(*current),
        _ => None,
    };
    body.execution = Some(match error {
        ChangeError::InDoubt { .. } | ChangeError::NotYetInForce { .. } => Execution::Unknown,
        ChangeError::Refused(_) | ChangeError::Unavailable | ChangeError::NoObjectApi => Execution::NotRun,
    });
    if matches!(error, ChangeError::Unavailable) {
        body.retry_after_ms = Some(RetryCause::PlatformUnavailable.retry_after_ms());
    }
    body
}

fn bad_setting(message: &str) -> ErrorBody {
    split_remedy("bad_setting", message)
}

/// Splits an error text into message and remedy. Errors of this project end with the remedy, after the last semicolon.
fn split_remedy(kind: &str, text: &str) -> ErrorBody {
    let (message, remedy) = text.rsplit_once("; ").unwrap_or((text, "correct the request"));
    ErrorBody::new(kind, message, remedy)
}
