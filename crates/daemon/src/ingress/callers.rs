//! Who sends a request: the tenant whose key it brings.
//!
//! Relies on the route table's directory of tenants, which holds digests of keys only. Replicas get the
//! tenant's name and never the key.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_platform::headers as names;

use super::headers;

/// The field that tells replicas the tenant.
const TENANT: HeaderName = HeaderName::from_static(names::TENANT);

/// Who sends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// Anybody: no tenants are configured.
    Anyone,
    /// Somebody without a known key, where none is needed.
    Unnamed,
    /// A caller with a key of this tenant.
    Tenant(TenantName),
}

/// The caller needs a key and brought none that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnknownKey;

impl Caller {
    /// Who sends a request with these header fields. Without a key that is known only public routes are
    /// served.
    pub(super) fn identify(
        table: &RouteTable,
        fields: &HeaderMap,
        is_public: bool,
    ) -> Result<Self, UnknownKey> {
        let Some(directory) = &table.tenants else { return Ok(Self::Anyone) };
        let holder = key(fields).and_then(|key| directory.find_by_key(key));
        match holder {
            Some(tenant) => Ok(Self::Tenant(tenant.name.clone())),
            None if is_public => Ok(Self::Unnamed),
            None => Err(UnknownKey),
        }
    }

    /// The tenant, where there is one.
    pub(super) const fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Anyone | Self::Unnamed => None,
        }
    }

    /// Makes the fields those that a replica may see: no key, and no tenant but the caller's own.
    pub(super) fn replace_identity(&self, fields: &mut HeaderMap) {
        if *self == Self::Anyone {
            return;
        }
        fields.remove(AUTHORIZATION);
        set_tenant(fields, self.tenant());
    }
}

/// Names the tenant to a replica, in place of what stood there.
pub(crate) fn set_tenant(fields: &mut HeaderMap, tenant: Option<&TenantName>) {
    fields.remove(TENANT);
    if let Some(name) = tenant.and_then(|tenant| HeaderValue::from_str(tenant.as_str()).ok()) {
        fields.insert(TENANT, name);
    }
}

/// The key that a request brings.
fn key(fields: &HeaderMap) -> Option<&str> {
    let mut given = fields.get_all(AUTHORIZATION).iter();
    let only = given.next().filter(|_| given.next().is_none())?;
    let (scheme, key) = headers::as_text(only)?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(names::KEY_SCHEME).then(|| key.trim())
}
