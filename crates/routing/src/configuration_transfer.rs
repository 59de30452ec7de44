//! Transfer of configurations between daemons.
//!
//! A configuration is split into parts that change independently: the routes, the tenants, and each service. A daemon
//! that needs a version sends the digests of the parts it has and receives the others, so a changed key costs some
//! hundred bytes instead of the list of all models. Parts larger than a datagram are sent in chunks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::{ClientLimits, Configuration, Route, Service};
use crate::tenants::{TenantError, TenantKeys, Tenants};

/// Maximum payload of a chunk in bytes, so that a message fits into a datagram.
const CHUNK_BYTES: usize = 1_100;
/// Maximum size of a part that is accepted, in bytes.
const MAX_PART_BYTES: u32 = 8 * 1024 * 1024;
/// Maximum number of parts of a configuration.
const MAX_PARTS: usize = 256;

/// A part of a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Part {
    Routes(ClientLimits, Vec<Route>),
    Tenants(Vec<TenantKeys>),
    Service(Service),
}

/// Identity of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartId {
    /// Hash of the encoded part.
    pub digest: u64,
    /// Length of the encoded part, in bytes.
    pub length: u32,
}

/// A chunk of one part, with the identities of all parts of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChunk {
    /// Version of the configuration.
    pub version: u64,
    /// All parts of the configuration.
    pub parts: Vec<PartId>,
    /// Digest of the part to which the bytes belong.
    pub digest: u64,
    /// Offset of the bytes within the part.
    pub offset: u32,
    /// Payload; empty if the receiver already has all parts.
    pub bytes: Vec<u8>,
}

/// Error in decoding a configuration from its parts.
#[derive(Debug, Error)]
pub enum TransferError {
    /// A part cannot be decoded.
    #[error("cannot decode configuration part: {0}")]
    Decode(#[from] postcard::Error),
    /// The tenants are inconsistent.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

/// A configuration as encoded parts.
#[derive(Clone, Debug, Default)]
pub struct EncodedConfiguration {
    version: u64,
    parts: Vec<(PartId, Vec<u8>)>,
}

impl EncodedConfiguration {
    /// Splits a configuration into encoded parts.
    ///
    /// # Panics
    /// Never: every part can be encoded into memory.
    pub fn of(configuration: &Configuration) -> Self {
        let mut routes: Vec<Route> = configuration.routes().map(|it| (**it).clone()).collect();
        routes.sort_by(|left, right| {
            (&left.host, &left.prefix, &left.name).cmp(&(&right.host, &right.prefix, &right.name))
        });
        let mut services: Vec<Service> =
            configuration.services().map(|it| (**it).clone()).collect();
        services.sort_by(|left, right| left.name.cmp(&right.name));
        let mut parts = vec![
            Part::Routes(configuration.limits, routes),
            Part::Tenants(configuration.tenants().with_keys().to_vec()),
        ];
        parts.extend(services.into_iter().map(Part::Service));
        let encode = |part: &Part| {
            let bytes = postcard::to_stdvec(part).expect("parts encode into memory");
            let id = PartId {
                digest: xxh3_64(&bytes),
                length: u32::try_from(bytes.len()).unwrap_or(u32::MAX),
            };
            (id, bytes)
        };
        Self {
            version: configuration.version,
            parts: parts.iter().map(encode).collect(),
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Digests of the parts.
    pub fn digests(&self) -> Vec<u64> {
        self.parts.iter().map(|(id, _)| id.digest).collect()
    }

    /// Chunks of the parts missing from `known`; at least one chunk, which carries the version.
    pub fn chunks_for(&self, known: &[u64]) -> Vec<ConfigurationChunk> {
        let ids: Vec<PartId> = self.parts.iter().map(|(id, _)| *id).collect();
        let chunk = |digest: u64, offset: usize, bytes: &[u8]| ConfigurationChunk {
            version: self.version,
            parts: ids.clone(),
            digest,
            offset: u32::try_from(offset).unwrap_or(u32::MAX),
            bytes: bytes.to_vec(),
        };
        let missing = self.parts.iter();
        let missing = missing.filter(|(id, _)| !known.contains(&id.digest));
        let mut chunks = Vec::new();
        for (id, bytes) in missing {
            let pieces = bytes.chunks(CHUNK_BYTES).enumerate();
            chunks.extend(pieces.map(|(at, piece)| chunk(id.digest, at * CHUNK_BYTES, piece)));
        }
        if chunks.is_empty() {
            chunks.push(chunk(0, 0, &[]));
        }
        chunks
    }

    /// Decodes the configuration.
    ///
    /// # Errors
    /// Fails if the parts do not form a valid configuration.
    pub fn decode(&self) -> Result<Configuration, TransferError> {
        let (mut limits, mut routes) = (ClientLimits::default(), Vec::new());
        let (mut tenants, mut services) = (Vec::new(), Vec::new());
        for (_, bytes) in &self.parts {
            match postcard::from_bytes(bytes)? {
                Part::Routes(new_limits, new_routes) => (limits, routes) = (new_limits, new_routes),
                Part::Tenants(new_tenants) => tenants = new_tenants,
                Part::Service(service) => services.push(service),
            }
        }
        let tenants = Tenants::new(tenants)?;
        let configuration = Configuration::new(self.version, limits, routes, services);
        Ok(configuration.with_tenants(tenants))
    }
}

/// A partially received part.
#[derive(Debug)]
struct Partial {
    bytes: Vec<u8>,
    /// Lengths of the received chunks, by offset.
    received: BTreeMap<u32, usize>,
}

impl Partial {
    fn is_complete(&self) -> bool {
        self.received.values().sum::<usize>() == self.bytes.len()
    }
}

/// Reassembles a configuration from chunks, received in any order.
#[derive(Debug, Default)]
pub struct Assembly {
    version: u64,
    ids: Vec<PartId>,
    partial: BTreeMap<u64, Partial>,
    complete_parts: BTreeMap<u64, Vec<u8>>,
}

impl Assembly {
    /// Creates an assembly that already has the parts of the configuration in force.
    pub fn new(known: &EncodedConfiguration) -> Self {
        let complete = known.parts.iter();
        Self {
            complete_parts: complete
                .map(|(id, bytes)| (id.digest, bytes.clone()))
                .collect(),
            ..Self::default()
        }
    }

    /// Digests of the complete parts.
    pub fn known(&self) -> Vec<u64> {
        self.complete_parts.keys().copied().collect()
    }

    /// Adds a chunk. Returns the encoded configuration once all parts are complete.
    pub fn add(&mut self, chunk: &ConfigurationChunk) -> Option<EncodedConfiguration> {
        let is_valid = chunk.parts.len() <= MAX_PARTS
            && chunk.parts.iter().all(|id| id.length <= MAX_PART_BYTES);
        if chunk.version < self.version || !is_valid {
            return None;
        }
        if chunk.version > self.version {
            self.version = chunk.version;
            self.ids.clone_from(&chunk.parts);
        }
        if !chunk.bytes.is_empty() {
            self.add_bytes(chunk);
        }
        self.complete()
    }

    fn add_bytes(&mut self, chunk: &ConfigurationChunk) {
        if self.complete_parts.contains_key(&chunk.digest) {
            return;
        }
        let Some(id) = self.ids.iter().find(|id| id.digest == chunk.digest) else {
            return;
        };
        let length = usize::try_from(id.length).unwrap_or(0);
        let partial = self.partial.entry(id.digest).or_insert_with(|| Partial {
            bytes: vec![0; length],
            received: BTreeMap::new(),
        });
        let begin = usize::try_from(chunk.offset).unwrap_or(usize::MAX);
        let Some(end) = begin
            .checked_add(chunk.bytes.len())
            .filter(|&end| end <= length)
        else {
            return;
        };
        partial.bytes[begin..end].copy_from_slice(&chunk.bytes);
        partial.received.insert(chunk.offset, chunk.bytes.len());
        if !partial.is_complete() {
            return;
        }
        if let Some(partial) = self.partial.remove(&chunk.digest)
            && xxh3_64(&partial.bytes) == chunk.digest
        {
            self.complete_parts.insert(chunk.digest, partial.bytes);
        }
    }

    fn complete(&self) -> Option<EncodedConfiguration> {
        if self.ids.is_empty() {
            return None;
        }
        let part = |id: &PartId| Some((*id, self.complete_parts.get(&id.digest)?.clone()));
        let parts: Option<Vec<(PartId, Vec<u8>)>> = self.ids.iter().map(part).collect();
        Some(EncodedConfiguration {
            version: self.version,
            parts: parts?,
        })
    }
}
