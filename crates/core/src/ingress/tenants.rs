//! Tenants and the keys that authenticate their callers.
//!
//! Only digests of keys are stored, compared or printed. Keys are looked up by digest, so that the time of a
//! look-up reveals nothing about the known keys and does not grow with their number.

use std::collections::{HashMap, HashSet};
use std::fmt;

use sha2::{Digest, Sha256};

use super::places::AllowedRegions;
use crate::identity::TenantName;

/// Maximum length of a key, in bytes; it must fit into a header field.
pub const MAX_KEY_BYTES: usize = 4_096;

/// A key is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// It is empty.
    #[error("the key is empty; use at least one character")]
    Empty,
    /// It is longer than [`MAX_KEY_BYTES`].
    #[error("the key is longer than {MAX_KEY_BYTES} bytes; shorten it")]
    TooLong,
}

/// The tenants of a configuration are invalid. The messages never contain keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// A tenant's key is invalid.
    #[error("tenant {tenant}: {cause}")]
    Key {
        /// The tenant.
        tenant: TenantName,
        /// What is wrong with it.
        cause: KeyError,
    },
    /// Two tenants have the same name.
    #[error("tenant {0} is listed twice; merge the two entries or rename one of them")]
    DuplicateName(TenantName),
    /// Two tenants have the same key, which then identifies neither.
    #[error("tenants {first} and {second} have the same key; take it away from one of them")]
    SharedKey {
        /// The tenant that is listed first.
        first: TenantName,
        /// The other tenant.
        second: TenantName,
    },
}

/// The digest of a key. Its debug output is redacted.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// # Errors
    /// Returns an error if the key is empty or too long.
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
        // A short key could be recovered from its digest by exhaustive search.
        formatter.write_str("KeyDigest(hidden)")
    }
}

/// A tenant and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: TenantName,
    /// The digests of its keys.
    pub keys: HashSet<KeyDigest>,
    /// Priority, 0 being the highest; overrides that of the route if set.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served and stored.
    pub regions: AllowedRegions,
}

impl Tenant {
    /// Creates a tenant. Duplicate keys are ignored.
    ///
    /// # Errors
    /// Returns an error if a key is invalid.
    pub fn new(
        name: TenantName,
        keys: impl IntoIterator<Item = impl AsRef<str>>,
        priority: Option<u32>,
    ) -> Result<Self, TenantError> {
        let digests = keys.into_iter().map(|key| KeyDigest::of(key.as_ref())).collect::<Result<_, _>>();
        let keys = digests.map_err(|cause| TenantError::Key { tenant: name.clone(), cause })?;
        Ok(Self { name, keys, priority, regions: AllowedRegions::all() })
    }

    /// Restricts the regions in which the tenant's requests may be served and stored.
    #[must_use]
    pub fn with_regions(self, regions: AllowedRegions) -> Self {
        Self { regions, ..self }
    }
}

/// The tenants of a configuration, indexed by key and by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantDirectory {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<TenantName, usize>,
}

impl TenantDirectory {
    /// Creates a directory of tenants.
    ///
    /// # Errors
    /// Returns an error if two tenants have the same name or share a key.
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

    /// Returns the tenant with this key.
    pub fn find_by_key(&self, key: &str) -> Option<&Tenant> {
        let digest = KeyDigest::of(key).ok()?;
        self.by_key.get(&digest).and_then(|position| self.tenants.get(*position))
    }

    /// Returns the tenant with this name.
    pub fn by_name(&self, name: &TenantName) -> Option<&Tenant> {
        self.by_name.get(name).and_then(|position| self.tenants.get(*position))
    }

    /// Returns all tenants, in the order of the configuration.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }
}
