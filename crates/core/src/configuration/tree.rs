//! Which value holds at a level, and which level it comes from.
//!
//! Owns nothing but the values read from a document; a value that is not set comes from the level above or
//! the default.

use std::collections::BTreeMap;

use serde_json::Value;

use super::document::Document;
use super::path::{Level, LevelPath, PathError};
use super::schema::{self, BooleanSetting, IntegerSetting, SchemaError, Setting};
use crate::identity::{JobId, PoolName};

/// Between the path and the key in an entry of the document; no path and no key contains it.
const SEPARATOR: char = '#';

/// Values set at their levels. A child overrides only what it names and inherits the rest.
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

/// An effective value and where it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The value in force.
    pub value: Value,
    /// The level that sets it; `None` where it is the default of the schema.
    pub source: Option<LevelPath>,
}

impl SettingsTree {
    /// The tree that a document holds. Entries that this release does not know are left out, so that an older
    /// node can read a newer document.
    pub fn from_document(document: &Document) -> Self {
        let mut tree = Self::default();
        for (entry, text) in document.entries() {
            if let Some((path, key, value)) = parse_entry(entry, text) {
                tree.levels.entry(path).or_default().insert(key, value);
            }
        }
        tree
    }

    /// The key of a setting's entry in the document.
    pub fn entry_key(path: &LevelPath, key: &str) -> String {
        format!("{path}{SEPARATOR}{key}")
    }

    /// Every value that is set, with its level and key.
    pub fn values(&self) -> impl Iterator<Item = (&LevelPath, &str, &Value)> {
        let levels = self.levels.iter();
        levels.flat_map(|(path, values)| values.iter().map(move |(key, value)| (path, key.as_str(), value)))
    }

    /// The effective value of a key at a level, and the level that it comes from.
    ///
    /// # Errors
    /// When there is no such setting.
    pub fn explain(&self, path: &LevelPath, key: &str) -> Result<Explanation, SchemaError> {
        let setting = schema::find(key).ok_or_else(|| SchemaError::unknown_key(path, key))?;
        Ok(self.explain_setting(path, setting))
    }

    /// The whole number in force at a level.
    pub fn integer(&self, path: &LevelPath, setting: &'static IntegerSetting) -> u64 {
        let nearest = self.nearest(path, setting.key).and_then(|(_, value)| value.as_u64());
        nearest.unwrap_or(setting.default)
    }

    /// Whether a setting is on at a level.
    pub fn boolean(&self, path: &LevelPath, setting: &'static BooleanSetting) -> bool {
        let nearest = self.nearest(path, setting.key).and_then(|(_, value)| value.as_bool());
        nearest.unwrap_or(setting.default)
    }

    /// The path of a pool: under the site that has settings for it, else the organisation.
    pub fn pool_path(&self, pool: &PoolName) -> LevelPath {
        let mut pools = self.levels.keys().filter(|path| path.level() >= Level::Pool);
        let found = pools.find_map(|path| {
            path.with_ancestors().find(|level| level.level() == Level::Pool && level.name() == pool.as_str())
        });
        found.unwrap_or_else(LevelPath::root)
    }

    /// The path of a job: under its pool's path, or the pool's own where the job's name is no name of a level.
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
