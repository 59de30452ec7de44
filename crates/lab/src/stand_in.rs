//! Stand-ins for the platform and the engines, each as a process of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::{Args, Subcommand};
use figment::Figment;
use figment::providers::{Format, Toml};
use flaxward_emulator::{
    Engine, EngineConfig, MachineListConfig, MachineListServer, ObjectApiConfig, ObjectApiServer,
    Service, ServiceConfig, WeightStore, WeightStoreConfig,
};
use flaxward_types::{RunnerName, ServiceName, ZoneName};
use serde::de::DeserializeOwned;

/// What to stand in for.
#[derive(Clone, Debug, Subcommand)]
pub enum StandIn {
    /// The object API.
    ObjectApi(StandInArguments),
    /// The machine list; machines are added with `PUT /machines/NAME`.
    MachineList(StandInArguments),
    /// The weight store.
    WeightStore(StandInArguments),
    /// One model engine.
    Engine(StandInArguments),
    /// One machine of a plain service.
    Service(ServiceArguments),
}

/// Where a stand-in listens and how it is made.
#[derive(Clone, Debug, Args)]
pub struct StandInArguments {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// TOML file with its configuration; defaults for what is not there.
    #[arg(long)]
    settings: Option<PathBuf>,
}

/// A machine of a plain service.
#[derive(Clone, Debug, Args)]
pub struct ServiceArguments {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the machine.
    #[arg(long, default_value = "service-machine")]
    name: RunnerName,
    /// Its zone.
    #[arg(long, default_value = "zone")]
    zone: ZoneName,
    /// The service.
    #[arg(long, default_value = "field-api")]
    service: ServiceName,
    /// Time each request takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    time_ms: u64,
}

/// Runs a stand-in until Ctrl-C. Prints its address once it listens.
///
/// # Errors
/// Fails if its settings cannot be read or its address cannot be bound.
pub async fn run(stand_in: StandIn) -> Result<()> {
    match stand_in {
        StandIn::ObjectApi(arguments) => {
            let config: ObjectApiConfig = arguments.config()?;
            let server = ObjectApiServer::start(ObjectApiConfig {
                listen: arguments.listen,
                ..config
            });
            let server = server.await?;
            listening(server.address()).await?;
            server.shutdown().await;
        }
        StandIn::MachineList(arguments) => {
            let config: MachineListConfig = arguments.config()?;
            let server = MachineListServer::start(MachineListConfig {
                listen: arguments.listen,
                ..config
            });
            let server = server.await?;
            listening(server.address()).await?;
            server.shutdown().await;
        }
        StandIn::WeightStore(arguments) => {
            let config: WeightStoreConfig = arguments.config()?;
            let server = WeightStore::start(WeightStoreConfig {
                listen: arguments.listen,
                ..config
            });
            let server = server.await?;
            listening(server.address()).await?;
            server.shutdown().await;
        }
        StandIn::Engine(arguments) => {
            let config: EngineConfig = arguments.config()?;
            let engine = Engine::start(EngineConfig {
                listen: arguments.listen,
                ..config
            });
            let engine = engine.await?;
            listening(engine.address()).await?;
            engine.shutdown().await;
        }
        StandIn::Service(arguments) => {
            let service = Service::start(ServiceConfig {
                name: arguments.name,
                zone: arguments.zone,
                service: arguments.service,
                listen: arguments.listen,
                time_ms: arguments.time_ms,
                seed: 1,
            });
            let service = service.await?;
            listening(service.address()).await?;
            service.shutdown().await;
        }
    }
    Ok(())
}

impl StandInArguments {
    fn config<T: DeserializeOwned>(&self) -> Result<T> {
        let settings = self.settings.as_deref();
        let text = settings.map(read).transpose()?.unwrap_or_default();
        Ok(Figment::from(Toml::string(&text)).extract()?)
    }
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("settings {}", file.display()))
}

async fn listening(address: SocketAddr) -> Result<()> {
    println!("listening on {address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
