//! What may be set: each key with its unit, bounds, default and levels. A bad key or value is refused at the write.

use std::ops::RangeInclusive;

use serde_json::Value;

use super::path::{Level, LevelPath, PathError};

/// A setting whose value is a whole number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntegerSetting {
    /// Its key; carries the unit where there is one.
    pub key: &'static str,
    /// What it does, in one line.
    pub description: &'static str,
    /// Unit of the value, for people.
    pub unit: &'static str,
    /// In force where no level sets it.
    pub default: u64,
    /// Allowed values.
    pub bounds: RangeInclusive<u64>,
    /// Levels at which it may be set.
    pub levels: RangeInclusive<Level>,
}

/// A setting whose value is true or false.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BooleanSetting {
    /// Its key.
    pub key: &'static str,
    /// What it does, in one line.
    pub description: &'static str,
    /// In force where no level sets it.
    pub default: bool,
    /// Levels at which it may be set.
    pub levels: RangeInclusive<Level>,
}

/// Any setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// A whole number.
    Integer(&'static IntegerSetting),
    /// True or false.
    Boolean(&'static BooleanSetting),
}

/// The highest staleness bound that a job may be submitted with: the oldest weights in a sample, counted back from
/// the version that its trainer is about to train (brief point 2).
pub static STALENESS_BOUND: IntegerSetting = IntegerSetting {
    key: "staleness_bound",
    description: "a job with a higher staleness bound than this is refused",
    unit: "weight versions",
    default: 1_000,
    bounds: 0..=1_000,
    levels: Level::Organisation..=Level::Job,
};

/// Retries in proportion to first attempts.
pub static RETRY_BUDGET_PERCENT: IntegerSetting = IntegerSetting {
    key: "retry_budget_percent",
    description: "retries in proportion to first attempts",
    unit: "percent",
    default: 10,
    bounds: 0..=100,
    levels: Level::Organisation..=Level::Pool,
};

/// Concurrency of each replica that only live requests may use.
pub static LIVE_RESERVED_PERCENT: IntegerSetting = IntegerSetting {
    key: "live_reserved_percent",
    description: "share of each replica's concurrency that rollouts leave free for live requests",
    unit: "percent",
    default: 25,
    bounds: 0..=100,
    levels: Level::Organisation..=Level::Pool,
};

/// The deadline of a request that names none.
pub static REQUEST_DEADLINE_MS: IntegerSetting = IntegerSetting {
    key: "request_deadline_ms",
    description: "deadline of a request that names none",
    unit: "milliseconds",
    default: 120_000,
    bounds: 100..=3_600_000,
    levels: Level::Organisation..=Level::Pool,
};

/// Puts a pool under its site, or a job under its pool, where nothing else is set there.
pub(crate) static ATTACHED: BooleanSetting = BooleanSetting {
    key: "attached",
    description: "set it to give a pool or a job its place in the tree, so that it inherits from there",
    default: false,
    levels: Level::Pool..=Level::Job,
};

/// Whether a pool takes rollouts.
pub static ROLLOUTS_ENABLED: BooleanSetting = BooleanSetting {
    key: "rollouts_enabled",
    description: "whether new rollout jobs may use the pool",
    default: true,
    levels: Level::Organisation..=Level::Pool,
};

/// Every setting, by kind.
pub const ALL: [Setting; 6] = [
    Setting::Integer(&STALENESS_BOUND),
    Setting::Integer(&RETRY_BUDGET_PERCENT),
    Setting::Integer(&LIVE_RESERVED_PERCENT),
    Setting::Integer(&REQUEST_DEADLINE_MS),
    Setting::Boolean(&ATTACHED),
    Setting::Boolean(&ROLLOUTS_ENABLED),
];

/// Why a value may not be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SchemaError {
    /// The path is wrong.
    #[error(transparent)]
    Path(#[from] PathError),
    /// There is no such setting.
    #[error("{path}: there is no setting `{key}`; the settings are {known}")]
    UnknownKey {
        /// The level.
        path: LevelPath,
        /// The key.
        key: String,
        /// The keys that exist, for people.
        known: String,
    },
    /// The setting has no meaning at this level.
    #[error("{path}: `{key}` can't be set for a {level}; set it on a level from {first} to {last}")]
    Level {
        /// The level's path.
        path: LevelPath,
        /// The key.
        key: &'static str,
        /// The level.
        level: &'static str,
        /// The highest level allowed.
        first: &'static str,
        /// The lowest level allowed.
        last: &'static str,
    },
    /// The value is of the wrong kind or out of bounds.
    #[error("{path}: `{key}` can't be {value}; give {allowed}")]
    Value {
        /// The level.
        path: LevelPath,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
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
    /// Its key.
    pub fn key(self) -> &'static str {
        match self {
            Self::Integer(setting) => setting.key,
            Self::Boolean(setting) => setting.key,
        }
    }

    /// The value in force where no level sets it.
    pub fn default_value(self) -> Value {
        match self {
            Self::Integer(setting) => Value::from(setting.default),
            Self::Boolean(setting) => Value::from(setting.default),
        }
    }

    /// Levels at which it may be set.
    pub fn levels(self) -> RangeInclusive<Level> {
        match self {
            Self::Integer(setting) => setting.levels.clone(),
            Self::Boolean(setting) => setting.levels.clone(),
        }
    }

    /// What values are allowed, for people.
    pub fn allowed(self) -> String {
        match self {
            Self::Integer(setting) => {
                let (least, most) = setting.bounds.clone().into_inner();
                format!("a whole number from {least} to {most} ({})", setting.unit)
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

/// The setting with this key.
pub fn find(key: &str) -> Option<Setting> {
    ALL.into_iter().find(|setting| setting.key() == key)
}

/// Checks a key at a level.
///
/// # Errors
/// When there is no such setting, or not at this level.
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

/// Checks a value before it is written.
///
/// # Errors
/// Names the path, what is wrong and what is allowed.
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
