//! Tenants and the keys by which their callers are known.
//!
//! Keys are kept as digests only: what is held, compared or printed never shows one. A key is looked up by
//! its digest, so that the time of a look-up tells nothing of the keys that are known, and doesn't grow with
//! their number.

use std::collections::{HashMap, HashSet};
use std::fmt;

use sha2::{Digest, Sha256};

use super::places::AllowedRegions;
use crate::identity::TenantName;

/// The longest key that is taken, in bytes: a header field carries it.
pub const MAX_KEY_BYTES: usize = 4_096;

/// A key that can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// It has no signs.
    #[error("the key is empty; give it at least one sign")]
    Empty,
    /// It is longer than [`MAX_KEY_BYTES`].
    #[error("the key is longer than {MAX_KEY_BYTES} bytes; shorten it")]
    TooLong,
}

/// Tenants that can't be put into force together. The keys themselves are not named.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// A tenant's key can't be taken.
    #[error("tenant {tenant}: {cause}")]
    Key {
        /// Whose key it is.
        tenant: TenantName,
        /// What is wrong with it.
        cause: KeyError,
    },
    /// Two tenants have one name.
    #[error("tenant {0} stands twice; join both entries, or rename one")]
    DuplicateName(TenantName),
    /// Two tenants have one key, so that it names neither.
    #[error("tenants {first} and {second} have one key; take it away from one of them")]
    SharedKey {
        /// The tenant that was read first.
        first: TenantName,
        /// The other one.
        second: TenantName,
    },
}

/// What is kept of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    ///
    /// # Errors
    /// When it is empty or too long.
    pub fn of(key: &str) -> Result<Self, KeyError> {
        match key.len() {
            0 => Err(KeyError::Empty),
            length if length > MAX_KEY_BYTES => Err(KeyError::TooLong),
            _ => Ok(Self(Sha256::digest(key.as_bytes()).into())),
        }
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The digest of a short key could be searched for.
        formatter.write_str("KeyDigest(hidden)")
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// The digests of its keys.
    pub keys: HashSet<KeyDigest>,
    /// Its rank, 0 first, where it has one; it goes before that of a route.
    pub priority: Option<u32>,
    /// Where its requests may be served and kept.
    pub regions: AllowedRegions,
}

impl Tenant {
    /// A tenant with these keys. A key that stands twice counts once.
    ///
    /// # Errors
    /// When one of the keys can't be taken.
    pub fn new(
        name: TenantName,
        keys: impl IntoIterator<Item = impl AsRef<str>>,
        priority: Option<u32>,
    ) -> Result<Self, TenantError> {
        let digests = keys.into_iter().map(|key| KeyDigest::of(key.as_ref())).collect::<Result<_, _>>();
        let keys = digests.map_err(|cause| TenantError::Key { tenant: name.clone(), cause })?;
        Ok(Self { name, keys, priority, regions: AllowedRegions::all() })
    }

    /// The same tenant, whose requests may be served and kept in these regions alone.
    #[must_use]
    pub fn with_regions(self, regions: AllowedRegions) -> Self {
        Self { regions, ..self }
    }
}

/// The tenants of a configuration, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantDirectory {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<TenantName, usize>,
}

impl TenantDirectory {
    /// The directory of these tenants.
    ///
    /// # Errors
    /// When two of them have one name or one key.
    pub fn new(tenants: Vec<Tenant>) -> Result<Self, TenantError> {
        let mut by_name = HashMap::new();
        let mut by_key = HashMap::new();
        for (position, tenant) in tenants.iter().enumerate() {
            if by_name.insert(tenant.name.clone(), position).is_some() {
                return Err(TenantError::DuplicateName(tenant.name.clone()));
            }
            for key in &tenant.keys {
                if let Some(first) = by_key.insert(*key, position) {
                    let first: &Tenant = &tenants[first];
                    let (first, second) = (first.name.clone(), tenant.name.clone());
                    return Err(TenantError::SharedKey { first, second });
                }
            }
        }
        Ok(Self { tenants, by_key, by_name })
    }

    /// The tenant that holds a key; `None` where nobody does.
    pub fn find_by_key(&self, key: &str) -> Option<&Tenant> {
        let digest = KeyDigest::of(key).ok()?;
        self.by_key.get(&digest).and_then(|position| self.tenants.get(*position))
    }

    /// The tenant with this name.
    pub fn by_name(&self, name: &TenantName) -> Option<&Tenant> {
        self.by_name.get(name).and_then(|position| self.tenants.get(*position))
    }

    /// All tenants, in the order of the configuration.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }
}
