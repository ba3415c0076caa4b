//! Authenticates callers by the tenant key in the `Authorization` header.
//!
//! The route table's tenant directory stores only digests of keys. Replicas receive the tenant's name, never
//! the key.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_platform::headers as names;

use super::headers;

/// Header that carries the tenant's name to replicas.
const TENANT: HeaderName = HeaderName::from_static(names::TENANT);

/// The sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// Any caller, since no tenants are configured.
    Anyone,
    /// A caller of a public route without a known key.
    Anonymous,
    /// A caller that presented a key of this tenant.
    Tenant(TenantName),
}

/// The route requires a key, and the caller presented none that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnknownKey;

impl Caller {
    /// Identifies the caller by the header fields of its request. A caller without a known key is accepted
    /// only on public routes.
    pub(super) fn identify(
        table: &RouteTable,
        fields: &HeaderMap,
        is_public: bool,
    ) -> Result<Self, UnknownKey> {
        let Some(directory) = &table.tenants else { return Ok(Self::Anyone) };
        let tenant = key(fields).and_then(|key| directory.find_by_key(key));
        match tenant {
            Some(tenant) => Ok(Self::Tenant(tenant.name.clone())),
            None if is_public => Ok(Self::Anonymous),
            None => Err(UnknownKey),
        }
    }

    /// Returns the caller's tenant, if it has one.
    pub(super) const fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Anyone | Self::Anonymous => None,
        }
    }

    /// Replaces the credentials in the fields by the caller's tenant name before they are sent to a replica.
    pub(super) fn replace_identity(&self, fields: &mut HeaderMap) {
        if *self == Self::Anyone {
            return;
        }
        fields.remove(AUTHORIZATION);
        set_tenant(fields, self.tenant());
    }
}

/// Sets the tenant header to `tenant`, replacing any previous value.
pub(crate) fn set_tenant(fields: &mut HeaderMap, tenant: Option<&TenantName>) {
    fields.remove(TENANT);
    if let Some(name) = tenant.and_then(|tenant| HeaderValue::from_str(tenant.as_str()).ok()) {
        fields.insert(TENANT, name);
    }
}

/// Returns the key of the request if it has exactly one `Authorization` field with the expected scheme.
fn key(fields: &HeaderMap) -> Option<&str> {
    let mut given = fields.get_all(AUTHORIZATION).iter();
    let only = given.next().filter(|_| given.next().is_none())?;
    let (scheme, key) = headers::as_text(only)?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(names::KEY_SCHEME).then(|| key.trim())
}
