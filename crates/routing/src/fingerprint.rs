//! Identifies retries of the same request.
//!
//! A caller that retries gives the retry a new request ID and may reach another daemon. What stays the same is the
//! content: method, host, path with query, body, and the tenant.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::names::TenantName;

/// Number of digest bytes that are kept: enough to make it infeasible to find another request with the same ones.
const KEPT_BYTES: usize = 16;

/// Prefix that keeps the digests of parts apart from those of requests, which begin with a length.
const PART_DOMAIN: &[u8] = b"part of a prompt";
/// The same for the digests of several parts together.
const COMBINATION_DOMAIN: &[u8] = b"parts of a prompt together";

/// A digest that is equal for retries of the same request, on every daemon. Stored and sent as a hexadecimal string.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestFingerprint([u8; KEPT_BYTES]);

/// The content that a fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host in the caller's request.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The tenant whose key the request carried.
    pub tenant: Option<&'a TenantName>,
    /// The complete body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let tenant = content.tenant.map_or("", TenantName::as_str);
        let mut digest = Sha256::new();
        for field in [content.method, content.host, content.target, tenant] {
            // The length prefix keeps the end of one field from being read as the start of the next.
            digest.update(field.len().to_le_bytes());
            digest.update(field);
        }
        digest.update(content.body);
        Self::kept(digest)
    }

    /// The fingerprint of a part of prompts, which is equal for all requests that share the part.
    pub fn of_part(part: u64) -> Self {
        let mut digest = Sha256::new();
        digest.update(PART_DOMAIN);
        digest.update(part.to_le_bytes());
        Self::kept(digest)
    }

    /// The fingerprint of parts together, which is equal for all requests that share all of them in this order.
    pub fn of_combination(parts: &[Self]) -> Self {
        let mut digest = Sha256::new();
        digest.update(COMBINATION_DOMAIN);
        for part in parts {
            digest.update(part.0);
        }
        Self::kept(digest)
    }

    fn kept(digest: Sha256) -> Self {
        let mut kept = [0; KEPT_BYTES];
        kept.copy_from_slice(&digest.finalize()[..KEPT_BYTES]);
        Self(kept)
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// A string that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a fingerprint must have {} hexadecimal digits", 2 * KEPT_BYTES)]
pub struct FingerprintError;

impl From<RequestFingerprint> for String {
    fn from(fingerprint: RequestFingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for RequestFingerprint {
    type Error = FingerprintError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let is_hex = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 2 * KEPT_BYTES || !is_hex {
            return Err(FingerprintError);
        }
        let number = u128::from_str_radix(&text, 16).map_err(|_| FingerprintError)?;
        Ok(Self(number.to_be_bytes()))
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
