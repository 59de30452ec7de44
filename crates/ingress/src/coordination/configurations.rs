//! How configurations go from daemon to daemon.

use std::net::SocketAddr;

use flaxward_routing::configuration_transfer::{
    Assembly, ConfigurationChunk, EncodedConfiguration,
};
use flaxward_routing::messages::{ConfigurationWanted, Message};

use crate::counters::CONFIGURATIONS_FROM_PEERS;
use crate::peer::PeerSocket;
use crate::state::Shared;
use crate::watches::apply_configuration;

/// What this daemon has told of and is told of configurations.
#[derive(Debug, Default)]
pub(super) struct Configurations {
    /// The configuration in force here, in parts.
    encoded: EncodedConfiguration,
    assembly: Option<Assembly>,
    /// Who has told of a version that this daemon lacks, the newest word last.
    tellers: Vec<(SocketAddr, u64)>,
}

/// Daemons that are asked at once.
const ASKED: usize = 2;

impl Configurations {
    /// A daemon has told of a version.
    pub fn told(&mut self, shared: &Shared, from: SocketAddr, version: u64) {
        self.tellers.retain(|(teller, _)| *teller != from);
        let known = shared.configuration().map_or(0, |known| known.version);
        self.tellers.retain(|(_, version)| *version > known);
        if version > known {
            self.tellers.push((from, version));
        }
    }

    /// Asks for a newer configuration, if somebody has told of one.
    pub fn ask(&mut self, shared: &Shared, peers: &PeerSocket, own: SocketAddr) {
        if self.tellers.is_empty() {
            return;
        }
        self.encode(shared);
        let encoded = &self.encoded;
        let assembly = self.assembly.get_or_insert_with(|| Assembly::new(encoded));
        let parts = assembly.known();
        for (teller, version) in self.tellers.iter().rev().take(ASKED) {
            let wanted = ConfigurationWanted {
                from: own,
                version: *version,
                parts: parts.clone(),
            };
            peers.send(*teller, &Message::ConfigurationWanted(wanted));
        }
    }

    /// Answers a daemon that asks.
    pub fn answer(&mut self, shared: &Shared, peers: &PeerSocket, wanted: &ConfigurationWanted) {
        self.encode(shared);
        if self.encoded.version() < wanted.version {
            return;
        }
        for chunk in self.encoded.chunks_for(&wanted.parts) {
            peers.send(wanted.from, &Message::ConfigurationChunk(chunk));
        }
    }

    /// Takes in a piece of a configuration.
    pub fn take(&mut self, shared: &Shared, chunk: &ConfigurationChunk) {
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

    /// Cuts the configuration in force into parts, unless that is done.
    fn encode(&mut self, shared: &Shared) {
        let Some(configuration) = shared.configuration() else {
            return;
        };
        if configuration.version != self.encoded.version() {
            self.encoded = EncodedConfiguration::of(&configuration);
        }
    }
}
