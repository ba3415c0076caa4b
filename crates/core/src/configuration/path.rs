//! Paths of levels: `/` is the organisation, then site, pool, job and policy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a level of the tree stands for, from the top down.
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
    /// Every level, from the top down.
    pub const ALL: [Self; 5] = [Self::Organisation, Self::Site, Self::Pool, Self::Job, Self::Policy];

    /// The name used in messages.
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

/// A checked path: at most four names of letters, digits, `-`, `_` and `.`, each after a slash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LevelPath(String);

/// Why a text is no path of a level.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// No slash at the beginning, or one at the end.
    #[error(
        "path `{path}` must begin with `/` and must not end with it; write it like /site/pool/job/policy"
    )]
    Slash {
        /// The text.
        path: String,
    },
    /// A name is empty, too long, or holds a character that is not allowed.
    #[error(
        "path `{path}`: `{name}` is no name; use 1 to {MAX_NAME_LENGTH} letters, digits, `-`, `_` and `.` between slashes"
    )]
    Name {
        /// The text.
        path: String,
        /// The name in it.
        name: String,
    },
    /// More names than there are levels.
    #[error("path `{path}` is too deep; the levels are organisation (/), site, pool, job and policy")]
    Depth {
        /// The text.
        path: String,
    },
}

/// Characters in a name at most. Chosen, not measured: longer takes memory in each document, shorter refuses names that
/// operators use.
pub(crate) const MAX_NAME_LENGTH: usize = 64;

impl LevelPath {
    /// The organisation.
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// Checks a text.
    ///
    /// # Errors
    /// Says what is wrong and how to write it.
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

    /// The path one level below.
    ///
    /// # Errors
    /// As for [`Self::parse`].
    pub fn child(&self, name: &str) -> Result<Self, PathError> {
        let parent = self.0.trim_end_matches('/');
        Self::parse(&format!("{parent}/{name}"))
    }

    /// Which level it is.
    pub fn level(&self) -> Level {
        let depth = if self.0 == "/" { 0 } else { self.0.matches('/').count() };
        Level::ALL[depth.min(Level::ALL.len() - 1)]
    }

    /// The last name; empty for the organisation.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }

    /// The level that this one inherits from; `None` for the organisation.
    pub fn parent(&self) -> Option<Self> {
        if self.0 == "/" {
            return None;
        }
        let (parent, _) = self.0.rsplit_once('/')?;
        Some(if parent.is_empty() { Self::root() } else { Self(parent.to_owned()) })
    }

    /// This level and those that it inherits from, nearest first.
    pub(crate) fn with_ancestors(&self) -> impl Iterator<Item = Self> {
        std::iter::successors(Some(self.clone()), Self::parent)
    }

    /// The path as text.
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
