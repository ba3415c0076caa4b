//! Paths of the levels at which settings can be set: organisation (`/`), site, pool, job and policy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A level of the settings tree, from the top down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// `/`
    Organisation,
    /// `/site`
    Site,
    /// `/site/pool`
    Pool,
    /// `/site/pool/job`
    Job,
    /// `/site/pool/job/policy`
    Policy,
}

impl Level {
    /// All levels, from the top down.
    pub const ALL: [Self; 5] = [Self::Organisation, Self::Site, Self::Pool, Self::Job, Self::Policy];

    /// Returns the name used in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Site => "site",
            Self::Pool => "pool",
            Self::Job => "job",
            Self::Policy => "policy",
        }
    }
}

/// A valid level path: `/`, or up to four names of letters, digits, `-`, `_` and `.`, each preceded by a slash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LevelPath(String);

/// Why a text is not a valid level path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// The text does not begin with a slash, or ends with one.
    #[error(
        "path `{path}` must begin with `/` and must not end with it; write it like /site/pool/job/policy"
    )]
    Slash {
        /// The text.
        path: String,
    },
    /// A name is empty, too long, or contains a character that is not allowed.
    #[error(
        "path `{path}`: `{name}` is not a valid name; use 1 to {MAX_NAME_LENGTH} letters, digits, `-`, `_` and `.` between slashes"
    )]
    Name {
        /// The text.
        path: String,
        /// The invalid name.
        name: String,
    },
    /// The path has more names than there are levels.
    #[error("path `{path}` is too deep; the levels are organisation (/), site, pool, job and policy")]
    Depth {
        /// The text.
        path: String,
    },
}

/// Maximum length of a name, in characters.
pub(crate) const MAX_NAME_LENGTH: usize = 64;

impl LevelPath {
    /// Returns the path of the organisation.
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// Parses a path.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid level path.
    pub fn parse(text: &str) -> Result<Self, PathError> {
        if text == "/" {
            return Ok(Self::root());
        }
        let names = text.strip_prefix('/').filter(|names| !names.ends_with('/'));
        let names = names.ok_or_else(|| PathError::Slash { path: text.to_owned() })?;
        if let Some(name) = names.split('/').find(|name| !is_name(name)) {
            return Err(PathError::Name { path: text.to_owned(), name: name.to_owned() });
        }
        if names.split('/').count() >= Level::ALL.len() {
            return Err(PathError::Depth { path: text.to_owned() });
        }
        Ok(Self(text.to_owned()))
    }

    /// Returns the path of a child.
    ///
    /// # Errors
    /// See [`Self::parse`].
    pub fn child(&self, name: &str) -> Result<Self, PathError> {
        let parent = self.0.trim_end_matches('/');
        Self::parse(&format!("{parent}/{name}"))
    }

    /// Returns the level of the path.
    pub fn level(&self) -> Level {
        let depth = if self.0 == "/" { 0 } else { self.0.matches('/').count() };
        Level::ALL[depth.min(Level::ALL.len() - 1)]
    }

    /// Returns the last name of the path, or an empty string for the organisation.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }

    /// Returns the path that this one inherits from, or `None` for the organisation.
    pub fn parent(&self) -> Option<Self> {
        if self.0 == "/" {
            return None;
        }
        let (parent, _) = self.0.rsplit_once('/')?;
        Some(if parent.is_empty() { Self::root() } else { Self(parent.to_owned()) })
    }

    /// Returns this path and all paths that it inherits from, nearest first.
    pub(crate) fn with_ancestors(&self) -> impl Iterator<Item = Self> {
        std::iter::successors(Some(self.clone()), Self::parent)
    }

    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for LevelPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(allowed)
}
