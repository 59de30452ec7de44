//! What makes two tries of a caller the same request.
//!
//! A caller that tries again names its try anew and may reach another daemon. What stays the same is what it asks
//! for: method, host, path with query, body, and the tenant that asks.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::names::TenantName;

/// Bytes of the digest that are kept: enough that nobody finds another request with the same ones.
const KEPT_BYTES: usize = 16;

/// A digest that is equal for tries of the same request, on every daemon.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; KEPT_BYTES]);

/// What is told apart by a fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The tenant whose key the request carried.
    pub tenant: Option<&'a TenantName>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let tenant = content.tenant.map_or("", TenantName::as_str);
        let mut digest = Sha256::new();
        for field in [content.method, content.host, content.target, tenant] {
            // The length keeps the end of one field from being taken for the beginning of the next.
            digest.update(field.len().to_le_bytes());
            digest.update(field);
        }
        digest.update(content.body);
        let mut kept = [0; KEPT_BYTES];
        kept.copy_from_slice(&digest.finalize()[..KEPT_BYTES]);
        Self(kept)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestFingerprint({self})")
    }
}
