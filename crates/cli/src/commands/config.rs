//! `config get`, `config set` and `config explain`.
//!
//! A change is named by an id, so that it can be sent again until it is answered and takes effect once.

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

/// How often a change is sent before it is reported as in doubt. Chosen, not measured: fewer leave an operator to repeat it by
/// hand, more keep them waiting for an object API that is away.
const CHANGE_ATTEMPTS: u32 = 4;
/// The pause before a repeat. Chosen, not measured: all repeats fit in 1.4 s, in which a node that restarts is back or another
/// is asked.
const REPEAT_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_millis(800));

/// What `config get` shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Only this level and those below it.
    pub path: Option<String>,
    /// Only this key.
    pub key: Option<String>,
}

/// A setting at a level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// The level's path.
    pub path: String,
    /// The key.
    pub key: String,
}

/// What `config set` changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange {
    /// Which setting.
    pub setting: Setting,
    /// Its new value; `None` removes it, so that the level inherits again.
    pub value: Option<serde_json::Value>,
    /// The revision the change is based on; read first where absent.
    pub base: Option<Revision>,
    /// Names the change; drawn at random where absent.
    pub change_id: Option<String>,
}

/// How a setting comes by its value.
#[derive(Debug, Serialize)]
struct Explanation {
    #[serde(flatten)]
    effective: EffectiveSetting,
    /// The levels from the organisation down to the path, with what each sets.
    levels: Vec<LevelValue>,
}

#[derive(Debug, Serialize)]
struct LevelValue {
    path: String,
    value: Option<serde_json::Value>,
}

/// Shows the values that are set, each at its level.
///
/// # Errors
/// See [`CliError`].
pub async fn get(client: &Client, selection: &Selection, output: &mut Output<'_>) -> Result<(), CliError> {
    let mut document: ConfigurationDocument = client.get("/v1/config").await?;
    document.settings.retain(|setting| selection.holds(setting));
    output.result(&document, || {
        let mut table = Table::new(&["LEVEL", "KEY", "VALUE"]);
        for setting in &document.settings {
            table.row(vec![setting.path.clone(), setting.key.clone(), setting.value.to_string()]);
        }
        format!("{}\nrevision {}", table.render(), document.revision)
    })
}

impl Selection {
    fn holds(&self, setting: &SettingValue) -> bool {
        let level_fits = self.path.as_ref().is_none_or(|path| is_at_or_below(&setting.path, path));
        let key_fits = self.key.as_ref().is_none_or(|key| key == &setting.key);
        level_fits && key_fits
    }
}

/// Shows the value in force at a level and the levels that it came through.
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

/// Changes a setting. A lost answer is met by repeating the same change, which takes effect once.
///
/// # Errors
/// See [`CliError`]; [`CliError::InDoubt`] where no repeat was answered either.
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
        if !in_doubt || is_verdict(&error) {
            return Err(error);
        }
        if attempt == CHANGE_ATTEMPTS {
            let cause = format!("{error}, after {attempt} tries");
            let change_id = request.change_id.clone();
            return Err(CliError::InDoubt { change_id, base: request.base_revision, cause });
        }
        output.note(&format!("{error}; repeating the same change, id {}", request.change_id))?;
        tokio::time::sleep(REPEAT_BACKOFF.pause(attempt)).await;
        attempt += 1;
    }
}

/// Whether the change may have taken effect although the answer is no success.
fn leaves_in_doubt(error: &CliError) -> bool {
    match error {
        CliError::ReplyLost { .. } | CliError::Undecodable { .. } => true,
        CliError::Refused { status, body } => *status >= 500 && body.execution != Some(Execution::NotRun),
        _ => false,
    }
}

/// Whether the node says for certain that the change did not take effect.
fn is_verdict(error: &CliError) -> bool {
    matches!(error, CliError::Refused { .. }) && !leaves_in_doubt(error)
}

fn random_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn value_at(document: &ConfigurationDocument, path: &str, key: &str) -> Option<serde_json::Value> {
    let found = document.settings.iter().find(|setting| setting.path == path && setting.key == key);
    found.map(|setting| setting.value.clone())
}

/// The levels from the root to a path: `/a/b` gives `/`, `/a`, `/a/b`.
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
