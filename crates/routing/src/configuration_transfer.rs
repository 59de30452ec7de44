//! A configuration as daemons pass it to each other.
//!
//! It is cut into parts that change apart from each other: the routes, the tenants, and each service. A daemon that
//! lacks a version names the digests of the parts it has and gets the others, so that a changed key costs some hundred
//! bytes, and not the list of all models. Parts longer than a datagram go in chunks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::{ClientLimits, Configuration, Route, Service};
use crate::tenants::{TenantError, TenantKeys, Tenants};

/// Bytes of a part in one message, so that it fits a datagram.
const CHUNK_BYTES: usize = 1_100;
/// Longest part that is taken in, in bytes.
const MAX_PART_BYTES: u32 = 8 * 1024 * 1024;
/// Parts of a configuration at most.
const MAX_PARTS: usize = 256;

/// One part.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Part {
    Routes(ClientLimits, Vec<Route>),
    Tenants(Vec<TenantKeys>),
    Service(Service),
}

/// What a part is recognized by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartId {
    /// Hash of its bytes.
    pub digest: u64,
    /// Its length in bytes.
    pub length: u32,
}

/// A piece of one part, with what the whole configuration consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChunk {
    /// Version of the configuration.
    pub version: u64,
    /// All its parts.
    pub parts: Vec<PartId>,
    /// The part that the bytes belong to.
    pub digest: u64,
    /// Where in the part they begin.
    pub offset: u32,
    /// The bytes; none if the receiver has all parts.
    pub bytes: Vec<u8>,
}

/// Why parts are no configuration.
#[derive(Debug, Error)]
pub enum TransferError {
    /// A part does not decode.
    #[error("a part cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// The tenants contradict each other.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

/// A configuration in parts.
#[derive(Clone, Debug, Default)]
pub struct EncodedConfiguration {
    version: u64,
    parts: Vec<(PartId, Vec<u8>)>,
}

impl EncodedConfiguration {
    /// Cuts a configuration into parts.
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

    /// What a daemon lacks that has these parts; at least one message, which tells the version.
    pub fn chunks_for(&self, known: &[u64]) -> Vec<ConfigurationChunk> {
        let ids: Vec<PartId> = self.parts.iter().map(|(id, _)| *id).collect();
        let chunk = |digest: u64, offset: usize, bytes: &[u8]| ConfigurationChunk {
            version: self.version,
            parts: ids.clone(),
            digest,
            offset: u32::try_from(offset).unwrap_or(u32::MAX),
            bytes: bytes.to_vec(),
        };
        let lacking = self.parts.iter();
        let lacking = lacking.filter(|(id, _)| !known.contains(&id.digest));
        let mut chunks = Vec::new();
        for (id, bytes) in lacking {
            let pieces = bytes.chunks(CHUNK_BYTES).enumerate();
            chunks.extend(pieces.map(|(at, piece)| chunk(id.digest, at * CHUNK_BYTES, piece)));
        }
        if chunks.is_empty() {
            chunks.push(chunk(0, 0, &[]));
        }
        chunks
    }

    /// Puts the configuration together.
    ///
    /// # Errors
    /// Fails if the parts are not those of a configuration.
    pub fn decode(&self) -> Result<Configuration, TransferError> {
        let (mut limits, mut routes) = (ClientLimits::default(), Vec::new());
        let (mut tenants, mut services) = (Vec::new(), Vec::new());
        for (_, bytes) in &self.parts {
            match postcard::from_bytes(bytes)? {
                Part::Routes(its_limits, its_routes) => (limits, routes) = (its_limits, its_routes),
                Part::Tenants(its_tenants) => tenants = its_tenants,
                Part::Service(service) => services.push(service),
            }
        }
        let tenants = Tenants::new(tenants)?;
        let configuration = Configuration::new(self.version, limits, routes, services);
        Ok(configuration.with_tenants(tenants))
    }
}

/// A part of which some bytes have come.
#[derive(Debug)]
struct Partial {
    bytes: Vec<u8>,
    /// Chunks by the offset of their first byte.
    come: BTreeMap<u32, usize>,
}

impl Partial {
    fn is_whole(&self) -> bool {
        self.come.values().sum::<usize>() == self.bytes.len()
    }
}

/// Puts chunks of a version together, whichever order they come in.
#[derive(Debug, Default)]
pub struct Assembly {
    version: u64,
    ids: Vec<PartId>,
    partial: BTreeMap<u64, Partial>,
    whole: BTreeMap<u64, Vec<u8>>,
}

impl Assembly {
    /// Begins with the parts of the configuration in force.
    pub fn new(known: &EncodedConfiguration) -> Self {
        let whole = known.parts.iter();
        Self {
            whole: whole
                .map(|(id, bytes)| (id.digest, bytes.clone()))
                .collect(),
            ..Self::default()
        }
    }

    /// Digests of the parts that are whole.
    pub fn known(&self) -> Vec<u64> {
        self.whole.keys().copied().collect()
    }

    /// Takes in a chunk. Returns the configuration's parts once all are there.
    pub fn take(&mut self, chunk: &ConfigurationChunk) -> Option<EncodedConfiguration> {
        let is_sane = chunk.parts.len() <= MAX_PARTS
            && chunk.parts.iter().all(|id| id.length <= MAX_PART_BYTES);
        if chunk.version < self.version || !is_sane {
            return None;
        }
        if chunk.version > self.version {
            self.version = chunk.version;
            self.ids.clone_from(&chunk.parts);
        }
        if !chunk.bytes.is_empty() {
            self.take_bytes(chunk);
        }
        self.complete()
    }

    fn take_bytes(&mut self, chunk: &ConfigurationChunk) {
        if self.whole.contains_key(&chunk.digest) {
            return;
        }
        let Some(id) = self.ids.iter().find(|id| id.digest == chunk.digest) else {
            return;
        };
        let length = usize::try_from(id.length).unwrap_or(0);
        let partial = self.partial.entry(id.digest).or_insert_with(|| Partial {
            bytes: vec![0; length],
            come: BTreeMap::new(),
        });
        let begin = usize::try_from(chunk.offset).unwrap_or(usize::MAX);
        let Some(end) = begin
            .checked_add(chunk.bytes.len())
            .filter(|&end| end <= length)
        else {
            return;
        };
        partial.bytes[begin..end].copy_from_slice(&chunk.bytes);
        partial.come.insert(chunk.offset, chunk.bytes.len());
        if !partial.is_whole() {
            return;
        }
        if let Some(partial) = self.partial.remove(&chunk.digest)
            && xxh3_64(&partial.bytes) == chunk.digest
        {
            self.whole.insert(chunk.digest, partial.bytes);
        }
    }

    fn complete(&self) -> Option<EncodedConfiguration> {
        if self.ids.is_empty() {
            return None;
        }
        let part = |id: &PartId| Some((*id, self.whole.get(&id.digest)?.clone()));
        let parts: Option<Vec<(PartId, Vec<u8>)>> = self.ids.iter().map(part).collect();
        Some(EncodedConfiguration {
            version: self.version,
            parts: parts?,
        })
    }
}
