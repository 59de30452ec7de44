//! Exchange of configurations between daemons.

use std::net::SocketAddr;

use flaxward_routing::configuration_transfer::{
    Assembly, ConfigurationChunk, EncodedConfiguration,
};
use flaxward_routing::messages::{ConfigurationWanted, Message};

use crate::counters::CONFIGURATIONS_FROM_PEERS;
use crate::peer::PeerSocket;
use crate::state::Shared;
use crate::watches::apply_configuration;

/// State of the exchange of configurations with other daemons.
#[derive(Debug, Default)]
pub(super) struct ConfigurationExchange {
    /// The configuration in force on this daemon, split into parts.
    encoded: EncodedConfiguration,
    assembly: Option<Assembly>,
    /// Daemons that have announced a version newer than the one known here; the latest announcement is last.
    announcers: Vec<(SocketAddr, u64)>,
}

/// Number of daemons that are asked at the same time.
const PARALLEL_REQUESTS: usize = 2;

impl ConfigurationExchange {
    /// Records that a daemon has announced a version.
    pub fn record_announcement(&mut self, shared: &Shared, from: SocketAddr, version: u64) {
        self.announcers.retain(|(announcer, _)| *announcer != from);
        let known = shared.configuration().map_or(0, |known| known.version);
        self.announcers.retain(|(_, version)| *version > known);
        if version > known {
            self.announcers.push((from, version));
        }
    }

    /// Requests a newer configuration if one has been announced.
    pub fn request_newer(&mut self, shared: &Shared, peers: &PeerSocket, own: SocketAddr) {
        if self.announcers.is_empty() {
            return;
        }
        self.encode(shared);
        let encoded = &self.encoded;
        let assembly = self.assembly.get_or_insert_with(|| Assembly::new(encoded));
        let parts = assembly.known();
        for (announcer, version) in self.announcers.iter().rev().take(PARALLEL_REQUESTS) {
            let wanted = ConfigurationWanted {
                from: own,
                version: *version,
                parts: parts.clone(),
            };
            peers.send(*announcer, &Message::ConfigurationWanted(wanted));
        }
    }

    /// Answers another daemon's request for a configuration.
    pub fn answer(&mut self, shared: &Shared, peers: &PeerSocket, wanted: &ConfigurationWanted) {
        self.encode(shared);
        if self.encoded.version() < wanted.version {
            return;
        }
        for chunk in self.encoded.chunks_for(&wanted.parts) {
            peers.send(wanted.from, &Message::ConfigurationChunk(chunk));
        }
    }

    /// Adds a chunk, and applies the configuration once it is complete.
    pub fn apply_chunk(&mut self, shared: &Shared, chunk: &ConfigurationChunk) {
        let known = shared.configuration().map_or(0, |known| known.version);
        let Some(assembly) = self.assembly.as_mut().filter(|_| chunk.version > known) else {
            return;
        };
        let Some(encoded) = assembly.add(chunk) else {
            return;
        };
        self.assembly = None;
        match encoded.decode() {
            Ok(configuration) => {
                metrics::counter!(CONFIGURATIONS_FROM_PEERS.name).increment(1);
                apply_configuration(shared, configuration, "peer");
                self.encoded = encoded;
            }
            Err(error) => {
                let fields: &[(&str, &dyn std::fmt::Display)] =
                    &[("version", &encoded.version()), ("error", &error)];
                shared
                    .log
                    .write(shared.now(), "configuration-of-peer-unusable", fields);
            }
        }
    }

    /// Splits the configuration in force into parts, unless that has been done already.
    fn encode(&mut self, shared: &Shared) {
        let Some(configuration) = shared.configuration() else {
            return;
        };
        if configuration.version != self.encoded.version() {
            self.encoded = EncodedConfiguration::of(&configuration);
        }
    }
}
