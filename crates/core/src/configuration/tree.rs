//! Resolves effective values of settings and the levels that they are inherited from.

use std::collections::BTreeMap;

use serde_json::Value;

use super::document::Document;
use super::path::{Level, LevelPath, PathError};
use super::schema::{self, BooleanSetting, IntegerSetting, SchemaError, Setting};
use crate::identity::{JobId, PoolName};

/// Separates the path from the key in a document entry. Occurs in neither.
const SEPARATOR: char = '#';

/// Settings by level. A level inherits each value that it does not set from its parent level.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use lichenpulley_core::configuration::document::Document;
/// use lichenpulley_core::configuration::path::LevelPath;
/// use lichenpulley_core::configuration::schema::{RETRY_BUDGET_PERCENT, STALENESS_BOUND};
/// use lichenpulley_core::configuration::tree::SettingsTree;
/// use lichenpulley_core::identity::Revision;
///
/// let site = LevelPath::parse("/ramsaran")?;
/// let pool = site.child("bench-assistant")?;
/// let set = |path, key, value: &str| (SettingsTree::entry_key(path, key), value.to_owned());
/// let entries = BTreeMap::from([
///     set(&site, "staleness_bound", "2"),
///     set(&site, "retry_budget_percent", "20"),
///     set(&pool, "staleness_bound", "1"),
/// ]);
/// let tree = SettingsTree::from_document(&Document::new(Revision(7), entries));
///
/// assert_eq!(tree.integer(&pool, &STALENESS_BOUND), 1, "set at the pool");
/// assert_eq!(tree.integer(&pool, &RETRY_BUDGET_PERCENT), 20, "inherited from the site");
/// let explanation = tree.explain(&pool, "retry_budget_percent")?;
/// assert_eq!(explanation.source, Some(site));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsTree {
    levels: BTreeMap<LevelPath, BTreeMap<String, Value>>,
}

/// An effective value and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The effective value.
    pub value: Value,
    /// The level that sets it; `None` if it is the schema default.
    pub source: Option<LevelPath>,
}

impl SettingsTree {
    /// Creates the tree from a document. Ignores unknown entries, so that a node can read a document written by a
    /// newer release.
    pub fn from_document(document: &Document) -> Self {
        let mut tree = Self::default();
        for (entry, text) in document.entries() {
            if let Some((path, key, value)) = parse_entry(entry, text) {
                tree.levels.entry(path).or_default().insert(key, value);
            }
        }
        tree
    }

    /// Returns the document key of a setting.
    pub fn entry_key(path: &LevelPath, key: &str) -> String {
        format!("{path}{SEPARATOR}{key}")
    }

    /// Returns all values that are set, with their paths and keys.
    pub fn values(&self) -> impl Iterator<Item = (&LevelPath, &str, &Value)> {
        let levels = self.levels.iter();
        levels.flat_map(|(path, values)| values.iter().map(move |(key, value)| (path, key.as_str(), value)))
    }

    /// Returns the effective value of a setting at a level, and its origin.
    ///
    /// # Errors
    /// Returns an error if the key is unknown.
    pub fn explain(&self, path: &LevelPath, key: &str) -> Result<Explanation, SchemaError> {
        let setting = schema::find(key).ok_or_else(|| SchemaError::unknown_key(path, key))?;
        Ok(self.explain_setting(path, setting))
    }

    /// Returns the effective value of an integer setting at a level.
    pub fn integer(&self, path: &LevelPath, setting: &'static IntegerSetting) -> u64 {
        let nearest = self.nearest(path, setting.key).and_then(|(_, value)| value.as_u64());
        nearest.unwrap_or(setting.default)
    }

    /// Returns the effective value of a boolean setting at a level.
    pub fn boolean(&self, path: &LevelPath, setting: &'static BooleanSetting) -> bool {
        let nearest = self.nearest(path, setting.key).and_then(|(_, value)| value.as_bool());
        nearest.unwrap_or(setting.default)
    }

    /// Returns the path of a pool that is placed in the tree, or the organisation's path otherwise.
    pub fn pool_path(&self, pool: &PoolName) -> LevelPath {
        let mut pools = self.levels.keys().filter(|path| path.level() >= Level::Pool);
        let found = pools.find_map(|path| {
            path.with_ancestors().find(|level| level.level() == Level::Pool && level.name() == pool.as_str())
        });
        found.unwrap_or_else(LevelPath::root)
    }

    /// Returns the path of a job below its pool, or the result of [`Self::pool_path`] if the pool is not placed in
    /// the tree or the job id is not a valid name.
    pub fn job_path(&self, pool: &PoolName, job: &JobId) -> LevelPath {
        let pool = self.pool_path(pool);
        let job: Result<LevelPath, PathError> = match pool.level() {
            Level::Pool => pool.child(job.as_str()),
            _ => return pool,
        };
        job.unwrap_or(pool)
    }

    fn explain_setting(&self, path: &LevelPath, setting: Setting) -> Explanation {
        match self.nearest(path, setting.key()) {
            Some((source, value)) => Explanation { value: value.clone(), source: Some(source) },
            None => Explanation { value: setting.default_value(), source: None },
        }
    }

    fn nearest(&self, path: &LevelPath, key: &str) -> Option<(LevelPath, &Value)> {
        path.with_ancestors().find_map(|level| {
            let value = self.levels.get(&level)?.get(key)?;
            Some((level, value))
        })
    }
}

fn parse_entry(entry: &str, text: &str) -> Option<(LevelPath, String, Value)> {
    let (path, key) = entry.split_once(SEPARATOR)?;
    let path = LevelPath::parse(path).ok()?;
    let value = serde_json::from_str(text).ok()?;
    schema::check(&path, key, &value).ok()?;
    Some((path, key.to_owned(), value))
}
