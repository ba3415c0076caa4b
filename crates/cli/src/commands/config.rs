//! `config get`, `config set` and `config explain`: show and change settings.
//!
//! Each change has an id, so that it can be sent repeatedly until a response arrives and takes effect at most once.

use std::time::Duration;

use hyper::Method;
use lichenpulley_core::identity::Revision;
use lichenpulley_core::retry::backoff::Backoff;
use lichenpulley_protocol::error::Execution;
use lichenpulley_protocol::operator::{
    ChangeConfiguration, ConfigurationChanged, ConfigurationDocument, EffectiveSetting, SettingValue,
};
use serde::Serialize;

use crate::client::{Client, percent_encode};
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Number of times that a change is sent before it is reported as in doubt.
const CHANGE_ATTEMPTS: u32 = 4;
/// Pause before each repeat; at most 1.4 s for all repeats together.
const REPEAT_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_millis(800));

/// Filter of `config get`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Level to show, including the levels below it.
    pub path: Option<String>,
    /// Key to show.
    pub key: Option<String>,
}

/// A setting at a level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Path of the level.
    pub path: String,
    /// Key of the setting.
    pub key: String,
}

/// A change by `config set`.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange {
    /// The setting to change.
    pub setting: Setting,
    /// New value; `None` removes the value, so that the level inherits again.
    pub value: Option<serde_json::Value>,
    /// Revision that the change is based on; the current revision if absent.
    pub base: Option<Revision>,
    /// Id of the change; random if absent.
    pub change_id: Option<String>,
}

/// Effective value of a setting and the levels that it is derived from.
#[derive(Debug, Serialize)]
struct Explanation {
    #[serde(flatten)]
    effective: EffectiveSetting,
    /// Levels from the root to the path, each with the value that it sets.
    levels: Vec<LevelValue>,
}

#[derive(Debug, Serialize)]
struct LevelValue {
    path: String,
    value: Option<serde_json::Value>,
}

/// Shows the values that are set, with their levels.
///
/// # Errors
/// See [`CliError`].
pub async fn get(client: &Client, selection: &Selection, output: &mut Output<'_>) -> Result<(), CliError> {
    let mut document: ConfigurationDocument = client.get("/v1/config").await?;
    document.settings.retain(|setting| selection.selects(setting));
    output.result(&document, || {
        let mut table = Table::new(&["LEVEL", "KEY", "VALUE"]);
        for setting in &document.settings {
            table.row(vec![setting.path.clone(), setting.key.clone(), setting.value.to_string()]);
        }
        format!("{}\nrevision {}", table.render(), document.revision)
    })
}

impl Selection {
    fn selects(&self, setting: &SettingValue) -> bool {
        let level_fits = self.path.as_ref().is_none_or(|path| is_at_or_below(&setting.path, path));
        let key_fits = self.key.as_ref().is_none_or(|key| key == &setting.key);
        level_fits && key_fits
    }
}

/// Shows the value in force at a level and the values of the levels above it.
///
/// # Errors
/// See [`CliError`].
pub async fn explain(client: &Client, setting: &Setting, output: &mut Output<'_>) -> Result<(), CliError> {
    let query = format!("path={}&key={}", percent_encode(&setting.path), percent_encode(&setting.key));
    let effective: EffectiveSetting = client.get(&format!("/v1/config/effective?{query}")).await?;
    let document: ConfigurationDocument = client.get("/v1/config").await?;
    let levels = levels_down_to(&setting.path)
        .into_iter()
        .map(|path| LevelValue { value: value_at(&document, &path, &setting.key), path })
        .collect();
    let explanation = Explanation { effective, levels };
    output.result(&explanation, || describe(&explanation))
}

fn describe(explanation: &Explanation) -> String {
    let effective = &explanation.effective;
    let source = effective.source.as_deref();
    let mut table = Table::new(&["LEVEL", "VALUE", ""]);
    for level in &explanation.levels {
        let value = level.value.as_ref().map_or_else(|| "inherits".to_owned(), ToString::to_string);
        let mark = if source == Some(level.path.as_str()) { "in force" } else { "" };
        table.row(vec![level.path.clone(), value, mark.to_owned()]);
    }
    let origin = source.map_or_else(|| "the built-in default".to_owned(), |path| format!("level {path}"));
    format!(
        "{} at {} is {}, from {origin}, at revision {}\n{}",
        effective.key,
        effective.path,
        effective.value,
        effective.revision,
        table.render()
    )
}

/// Changes a setting. If no response arrives, the same change is repeated; its id makes it take effect at most once.
///
/// # Errors
/// See [`CliError`]. Returns [`CliError::InDoubt`] if no attempt gets a definite response.
pub async fn set(client: &Client, change: &SettingChange, output: &mut Output<'_>) -> Result<(), CliError> {
    let base_revision = match change.base {
        Some(base) => base,
        None => client.get::<ConfigurationDocument>("/v1/config").await?.revision,
    };
    let request = ChangeConfiguration {
        base_revision,
        change_id: change.change_id.clone().unwrap_or_else(random_change_id),
        path: change.setting.path.clone(),
        key: change.setting.key.clone(),
        value: change.value.clone(),
    };
    let changed = send_until_answered(client, &request, output).await?;
    output.result(&changed, || format!("accepted at revision {}", changed.revision))
}

async fn send_until_answered(
    client: &Client,
    request: &ChangeConfiguration,
    output: &mut Output<'_>,
) -> Result<ConfigurationChanged, CliError> {
    let mut in_doubt = false;
    let mut attempt = 1;
    loop {
        let error = match client.send(Method::PUT, "/v1/config", request).await {
            Ok(changed) => return Ok(changed),
            Err(error) => error,
        };
        in_doubt |= leaves_in_doubt(&error);
        if !in_doubt || is_definite_refusal(&error) {
            return Err(error);
        }
        if attempt == CHANGE_ATTEMPTS {
            let cause = format!("{error}, after {attempt} attempts");
            let change_id = request.change_id.clone();
            return Err(CliError::InDoubt { change_id, base: request.base_revision, cause });
        }
        output.note(&format!("{error}; repeating the same change, id {}", request.change_id))?;
        tokio::time::sleep(REPEAT_BACKOFF.pause(attempt)).await;
        attempt += 1;
    }
}

/// Returns whether the change may have taken effect despite the error.
fn leaves_in_doubt(error: &CliError) -> bool {
    match error {
        CliError::ReplyLost { .. } | CliError::Undecodable { .. } => true,
        CliError::Refused { status, body } => *status >= 500 && body.execution != Some(Execution::NotRun),
        _ => false,
    }
}

/// Returns whether the node's response proves that the change did not take effect.
fn is_definite_refusal(error: &CliError) -> bool {
    matches!(error, CliError::Refused { .. }) && !leaves_in_doubt(error)
}

fn random_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn value_at(document: &ConfigurationDocument, path: &str, key: &str) -> Option<serde_json::Value> {
    let found = document.settings.iter().find(|setting| setting.path == path && setting.key == key);
    found.map(|setting| setting.value.clone())
}

/// Returns the levels from the root to a path: `/a/b` gives `/`, `/a`, `/a/b`.
fn levels_down_to(path: &str) -> Vec<String> {
    let mut levels = vec!["/".to_owned()];
    let mut level = String::new();
    for part in path.split('/').filter(|part| !part.is_empty()) {
        level.push('/');
        level.push_str(part);
        levels.push(level.clone());
    }
    levels
}

fn is_at_or_below(path: &str, ancestor: &str) -> bool {
    let ancestor = ancestor.trim_end_matches('/');
    path == ancestor || path.strip_prefix(ancestor).is_some_and(|rest| rest.starts_with('/'))
}
