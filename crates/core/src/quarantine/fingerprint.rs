//! Identifies repetitions of a request by a digest of method, host, path, tenant and body. The request id is
//! excluded, since it differs between attempts. Crash reports carry the digest instead of the request.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

use crate::identity::TenantName;

/// Length of the truncated digest, in bytes. Two requests of a day share a digest by chance less than once in 10^30.
const LENGTH_BYTES: usize = 16;

/// The digest of a request's method, host, path with query, tenant and body. It is the same for each attempt,
/// at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Fingerprint([u8; LENGTH_BYTES]);

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// The host that its route matched, in lower case, without a port.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// The caller's tenant, if callers need keys.
    pub tenant: Option<&'a TenantName>,
    /// Request body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Computes the fingerprint of a request. Each part but the body is prefixed by its length, so that no two
    /// different requests hash the same bytes.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let tenant = content.tenant.map_or("", TenantName::as_str);
        let mut hasher = Sha256::new();
        for part in [content.method, content.host, content.path, tenant].map(str::as_bytes) {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(content.body);
        let digest = hasher.finalize();
        let mut kept = [0; LENGTH_BYTES];
        kept.copy_from_slice(&digest[..LENGTH_BYTES]);
        Self(kept)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// The text is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has {} hexadecimal digits; copy it from `lichenpulley quarantine`", LENGTH_BYTES * 2)]
pub struct FingerprintError;

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != LENGTH_BYTES * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(FingerprintError);
        }
        let mut bytes = [0; LENGTH_BYTES];
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[position * 2..position * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| FingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
