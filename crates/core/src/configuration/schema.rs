//! Schema of the settings: key, unit, bounds, default and levels of each setting, and validation of values.

use std::ops::RangeInclusive;

use serde_json::Value;

use super::path::{Level, LevelPath, PathError};

/// An integer setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntegerSetting {
    /// Key of the setting, including the unit if any.
    pub key: &'static str,
    /// One-line description.
    pub description: &'static str,
    /// Unit of the value, for display.
    pub unit: &'static str,
    /// Value if no level sets it.
    pub default: u64,
    /// Allowed values.
    pub bounds: RangeInclusive<u64>,
    /// Levels at which the setting can be set.
    pub levels: RangeInclusive<Level>,
}

/// A boolean setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BooleanSetting {
    /// Key of the setting.
    pub key: &'static str,
    /// One-line description.
    pub description: &'static str,
    /// Value if no level sets it.
    pub default: bool,
    /// Levels at which the setting can be set.
    pub levels: RangeInclusive<Level>,
}

/// A setting of any type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// An integer setting.
    Integer(&'static IntegerSetting),
    /// A boolean setting.
    Boolean(&'static BooleanSetting),
}

/// Maximum staleness bound with which a job can be submitted. Staleness is the age of the oldest weights in a
/// sample, counted in versions back from the one that its trainer is about to train.
pub static STALENESS_BOUND: IntegerSetting = IntegerSetting {
    key: "staleness_bound",
    description: "a job with a higher staleness bound than this is refused",
    unit: "weight versions",
    default: 1_000,
    bounds: 0..=1_000,
    levels: Level::Organisation..=Level::Job,
};

/// Retry budget as a percentage of first attempts.
pub static RETRY_BUDGET_PERCENT: IntegerSetting = IntegerSetting {
    key: "retry_budget_percent",
    description: "retries in proportion to first attempts",
    unit: "percent",
    default: 10,
    bounds: 0..=100,
    levels: Level::Organisation..=Level::Pool,
};

/// Share of each replica's concurrency reserved for live requests.
pub static LIVE_RESERVED_PERCENT: IntegerSetting = IntegerSetting {
    key: "live_reserved_percent",
    description: "share of each replica's concurrency that rollouts leave free for live requests",
    unit: "percent",
    default: 25,
    bounds: 0..=100,
    levels: Level::Organisation..=Level::Pool,
};

/// Deadline of a request that does not specify one.
pub static REQUEST_DEADLINE_MS: IntegerSetting = IntegerSetting {
    key: "request_deadline_ms",
    description: "deadline of a request that names none",
    unit: "milliseconds",
    default: 120_000,
    bounds: 100..=3_600_000,
    levels: Level::Organisation..=Level::Pool,
};

/// Places a pool under its site, or a job under its pool, when no other setting is set at that level.
pub(crate) static ATTACHED: BooleanSetting = BooleanSetting {
    key: "attached",
    description: "set it to give a pool or a job its place in the tree, so that it inherits from there",
    default: false,
    levels: Level::Pool..=Level::Job,
};

/// Whether a pool accepts new rollout jobs.
pub static ROLLOUTS_ENABLED: BooleanSetting = BooleanSetting {
    key: "rollouts_enabled",
    description: "whether new rollout jobs may use the pool",
    default: true,
    levels: Level::Organisation..=Level::Pool,
};

/// All settings.
pub const ALL: [Setting; 6] = [
    Setting::Integer(&STALENESS_BOUND),
    Setting::Integer(&RETRY_BUDGET_PERCENT),
    Setting::Integer(&LIVE_RESERVED_PERCENT),
    Setting::Integer(&REQUEST_DEADLINE_MS),
    Setting::Boolean(&ATTACHED),
    Setting::Boolean(&ROLLOUTS_ENABLED),
];

/// Why a value was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SchemaError {
    /// The path is invalid.
    #[error(transparent)]
    Path(#[from] PathError),
    /// No setting has this key.
    #[error("{path}: there is no setting `{key}`; the settings are {known}")]
    UnknownKey {
        /// The level.
        path: LevelPath,
        /// The key.
        key: String,
        /// Comma-separated list of the existing keys.
        known: String,
    },
    /// The setting can't be set at this level.
    #[error("{path}: `{key}` can't be set for a {level}; set it on a level from {first} to {last}")]
    Level {
        /// The path of the level.
        path: LevelPath,
        /// The key.
        key: &'static str,
        /// The level.
        level: &'static str,
        /// The topmost allowed level.
        first: &'static str,
        /// The lowest allowed level.
        last: &'static str,
    },
    /// The value has the wrong type or is out of bounds.
    #[error("{path}: `{key}` can't be {value}; give {allowed}")]
    Value {
        /// The level.
        path: LevelPath,
        /// The key.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl SchemaError {
    pub(super) fn unknown_key(path: &LevelPath, key: &str) -> Self {
        let known = ALL.map(Setting::key).join(", ");
        Self::UnknownKey { path: path.clone(), key: key.to_owned(), known }
    }
}

impl Setting {
    /// Returns the key.
    pub fn key(self) -> &'static str {
        match self {
            Self::Integer(setting) => setting.key,
            Self::Boolean(setting) => setting.key,
        }
    }

    /// Returns the value if no level sets it.
    pub fn default_value(self) -> Value {
        match self {
            Self::Integer(setting) => Value::from(setting.default),
            Self::Boolean(setting) => Value::from(setting.default),
        }
    }

    /// Returns the levels at which the setting can be set.
    pub fn levels(self) -> RangeInclusive<Level> {
        match self {
            Self::Integer(setting) => setting.levels.clone(),
            Self::Boolean(setting) => setting.levels.clone(),
        }
    }

    /// Returns a description of the allowed values.
    pub fn allowed(self) -> String {
        match self {
            Self::Integer(setting) => {
                let (min, max) = setting.bounds.clone().into_inner();
                format!("a whole number from {min} to {max} ({})", setting.unit)
            }
            Self::Boolean(_) => "true or false".to_owned(),
        }
    }

    fn allows(self, value: &Value) -> bool {
        match self {
            Self::Integer(setting) => value.as_u64().is_some_and(|value| setting.bounds.contains(&value)),
            Self::Boolean(_) => value.is_boolean(),
        }
    }
}

/// Returns the setting with a key.
pub fn find(key: &str) -> Option<Setting> {
    ALL.into_iter().find(|setting| setting.key() == key)
}

/// Checks that a setting exists and can be set at a level.
///
/// # Errors
/// Returns an error if the key is unknown or can't be set at the level.
pub(crate) fn check_key(path: &LevelPath, key: &str) -> Result<Setting, SchemaError> {
    let setting = find(key).ok_or_else(|| SchemaError::unknown_key(path, key))?;
    let levels = setting.levels();
    if levels.contains(&path.level()) {
        return Ok(setting);
    }
    Err(SchemaError::Level {
        path: path.clone(),
        key: setting.key(),
        level: path.level().as_str(),
        first: levels.start().as_str(),
        last: levels.end().as_str(),
    })
}

/// Validates a value for a setting at a level.
///
/// # Errors
/// Returns an error if the key is unknown, can't be set at the level, or does not allow the value.
pub fn check(path: &LevelPath, key: &str, value: &Value) -> Result<(), SchemaError> {
    let setting = check_key(path, key)?;
    if setting.allows(value) {
        return Ok(());
    }
    Err(SchemaError::Value {
        path: path.clone(),
        key: setting.key(),
        value: value.to_string(),
        allowed: setting.allowed(),
    })
}
