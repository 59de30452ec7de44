//! Tenants: whose requests are served, by which keys, and how much each may use.
//!
//! A key itself is never kept: daemons hold, compare and tell each other its digest. A lookup by digest takes a time
//! that says nothing of a key, since nobody can choose digests that share their first bytes with a kept one.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::homes::Homes;
use crate::names::TenantName;

/// Length of a digest of a key, in bytes.
const DIGEST_BYTES: usize = 32;
/// Bytes of a digest that are shown to operators.
const FINGERPRINT_BYTES: usize = 4;

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Shows the first bytes, by which operators tell keys apart.
impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..FINGERPRINT_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request is one.
    Requests,
    /// Tokens of the prompt and of the longest answer.
    Tokens {
        /// What a request counts that names no tokens.
        plain: u32,
    },
}

impl QuotaUnit {
    /// What a request counts that names these numbers of tokens, if it names any.
    pub fn cost(self, tokens: Option<(u32, u32)>) -> u32 {
        match (self, tokens) {
            (Self::Requests, _) => 1,
            (Self::Tokens { .. }, Some((prompt, output))) => prompt.saturating_add(output),
            (Self::Tokens { plain }, None) => plain,
        }
    }
}

/// How much the requests of a tenant may use, all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second; above 0.
    pub rate: f64,
    /// Units on top of that, once.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which runners are told.
    pub name: TenantName,
    /// Rank of its requests in place of their route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// How much it may use; `None` bounds nothing.
    pub quota: Option<Quota>,
    /// Where its requests may be served; the homes of their routes bind as well.
    pub homes: Homes,
}

/// A tenant with its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantKeys {
    /// The tenant.
    pub tenant: Arc<Tenant>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why tenants cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TenantError {
    /// A key would admit to two tenants.
    #[error("the key {key} belongs to {first} and to {second}")]
    SharedKey {
        /// The key.
        key: KeyDigest,
        /// One tenant.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
    /// Two tenants have one name.
    #[error("there are two tenants named {0}")]
    SameName(TenantName),
    /// A rate or burst is negative or no number.
    #[error("the {what} of {tenant} must be a number of zero or more")]
    BadQuota {
        /// The tenant.
        tenant: TenantName,
        /// The rate or the burst.
        what: &'static str,
    },
}

/// All tenants of a configuration, by key.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    list: Vec<TenantKeys>,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl Tenants {
    /// Indexes tenants.
    ///
    /// # Errors
    /// Fails if a key or name stands for two tenants, or a quota is no number of zero or more.
    pub fn new(list: Vec<TenantKeys>) -> Result<Self, TenantError> {
        let mut by_key: HashMap<KeyDigest, Arc<Tenant>> = HashMap::new();
        let mut names = std::collections::HashSet::new();
        for TenantKeys { tenant, keys } in &list {
            check_quota(tenant)?;
            if !names.insert(tenant.name.clone()) {
                return Err(TenantError::SameName(tenant.name.clone()));
            }
            for key in keys {
                let other = by_key.insert(*key, tenant.clone());
                if let Some(other) = other.filter(|other| other.name != tenant.name) {
                    return Err(TenantError::SharedKey {
                        key: *key,
                        first: other.name.clone(),
                        second: tenant.name.clone(),
                    });
                }
            }
        }
        Ok(Self { list, by_key })
    }

    /// Whether requests need no key.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// All tenants, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.list.iter().map(|it| &it.tenant)
    }

    /// All tenants with their keys.
    pub fn with_keys(&self) -> &[TenantKeys] {
        &self.list
    }
}

fn check_quota(tenant: &Tenant) -> Result<(), TenantError> {
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    for (what, value) in [("rate", quota.rate), ("burst", quota.burst)] {
        if !value.is_finite() || value < 0.0 {
            return Err(TenantError::BadQuota {
                tenant: tenant.name.clone(),
                what,
            });
        }
    }
    Ok(())
}
