//! Tenants: whose requests are served, by which API keys, and how much each tenant may use.
//!
//! Keys themselves are never stored: daemons keep, compare and exchange their digests. The duration of a lookup by
//! digest reveals nothing about a key, because digests that share their first bytes with a stored one cannot be
//! constructed.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::homes::Homes;
use crate::names::TenantName;

/// Length of a key digest, in bytes.
const DIGEST_BYTES: usize = 32;
/// Number of digest bytes that are displayed to operators.
const DISPLAYED_BYTES: usize = 4;

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Displays the first bytes, by which operators tell keys apart.
impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..DISPLAYED_BYTES] {
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

/// The unit in which a quota is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Tokens of the prompt plus the maximum number of output tokens.
    Tokens {
        /// Cost of a request that does not specify token counts.
        plain: u32,
    },
}

impl QuotaUnit {
    /// Cost of a request with these numbers of prompt and output tokens, if it specifies them.
    pub fn cost(self, tokens: Option<(u32, u32)>) -> u32 {
        match (self, tokens) {
            (Self::Requests, _) => 1,
            (Self::Tokens { .. }, Some((prompt, output))) => prompt.saturating_add(output),
            (Self::Tokens { plain }, None) => plain,
        }
    }
}

/// How much the requests of a tenant may use, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// The unit.
    pub unit: QuotaUnit,
    /// Units per second; above 0.
    pub rate: f64,
    /// Burst capacity in addition to the rate, in units.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which is sent to runners.
    pub name: TenantName,
    /// Rank of its requests, which overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// How much it may use; `None` means unlimited.
    pub quota: Option<Quota>,
    /// Where its requests may be served; the homes of their routes apply as well.
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

/// Why a list of tenants is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TenantError {
    /// A key is assigned to two tenants.
    #[error("key {key} is assigned to both {first} and {second}")]
    DuplicateKey {
        /// The key.
        key: KeyDigest,
        /// One tenant.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
    /// Two tenants have the same name.
    #[error("duplicate tenant name {0}")]
    DuplicateName(TenantName),
    /// A rate or burst is negative or not finite.
    #[error("the {what} of tenant {tenant} must be a finite number of at least 0")]
    InvalidQuota {
        /// The tenant.
        tenant: TenantName,
        /// The rate or the burst.
        what: &'static str,
    },
}

/// All tenants of a configuration, indexed by key.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    list: Vec<TenantKeys>,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl Tenants {
    /// Indexes tenants.
    ///
    /// # Errors
    /// Fails if two tenants share a key or a name, or a quota is negative or not finite.
    pub fn new(list: Vec<TenantKeys>) -> Result<Self, TenantError> {
        let mut by_key: HashMap<KeyDigest, Arc<Tenant>> = HashMap::new();
        let mut names = std::collections::HashSet::new();
        for TenantKeys { tenant, keys } in &list {
            check_quota(tenant)?;
            if !names.insert(tenant.name.clone()) {
                return Err(TenantError::DuplicateName(tenant.name.clone()));
            }
            for key in keys {
                let other = by_key.insert(*key, tenant.clone());
                if let Some(other) = other.filter(|other| other.name != tenant.name) {
                    return Err(TenantError::DuplicateKey {
                        key: *key,
                        first: other.name.clone(),
                        second: tenant.name.clone(),
                    });
                }
            }
        }
        Ok(Self { list, by_key })
    }

    /// Whether there are no tenants, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The tenant to which a key is assigned.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
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
            return Err(TenantError::InvalidQuota {
                tenant: tenant.name.clone(),
                what,
            });
        }
    }
    Ok(())
}
