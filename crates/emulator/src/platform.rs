//! A whole platform in one process: the object API, the machine list, the weight store, and the
//! engines and services of some zones.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::{RunnerName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineConfig};
use crate::machines::{MachineListConfig, MachineListServer};
use crate::objects::{ObjectApiConfig, ObjectApiServer};
use crate::service::{Service, ServiceConfig};
use crate::weights::{WeightStore, WeightStoreConfig};

/// Any free port of this machine.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One zone of a platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneConfig {
    /// Its name.
    pub name: ZoneName,
    /// Engines in it.
    pub engines: u32,
    /// Machines of each plain service in it.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, u32>,
}

/// How a platform is made.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Its zones.
    pub zones: Vec<ZoneConfig>,
    /// The object API.
    pub objects: ObjectApiConfig,
    /// The machine list.
    pub machines: MachineListConfig,
    /// The weight store.
    pub weights: WeightStoreConfig,
    /// What all engines have in common; name, zone, address and weight store are filled in.
    pub engine: EngineConfig,
    /// Time each request to a plain service takes, in milliseconds.
    pub service_time_ms: u64,
}

/// A running platform.
pub struct Platform {
    /// The object API.
    pub objects: ObjectApiServer,
    /// The machine list.
    pub machines: MachineListServer,
    /// The weight store.
    pub weights: WeightStore,
    engines: BTreeMap<RunnerName, Engine>,
    services: BTreeMap<RunnerName, Service>,
    engine_config: EngineConfig,
    service_time_ms: u64,
    machines_made: u64,
}

impl Platform {
    /// Starts a platform with all machines of its zones.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(config: PlatformConfig) -> anyhow::Result<Self> {
        let weights = WeightStore::start(config.weights).await?;
        let mut engine_config = config.engine;
        engine_config.weight_store = Some(weights.url());
        engine_config.listen = ANY_PORT;
        let mut platform = Self {
            objects: ObjectApiServer::start(config.objects).await?,
            machines: MachineListServer::start(config.machines).await?,
            weights,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            engine_config,
            service_time_ms: config.service_time_ms,
            machines_made: 0,
        };
        for zone in &config.zones {
            platform.add_zone(zone).await?;
        }
        Ok(platform)
    }

    async fn add_zone(&mut self, zone: &ZoneConfig) -> anyhow::Result<()> {
        for _ in 0..zone.engines {
            self.add_engine(&zone.name).await?;
        }
        for (service, machines) in &zone.services {
            for _ in 0..*machines {
                self.add_service(&zone.name, service).await?;
            }
        }
        Ok(())
    }

    /// Starts one more engine in a zone, under a name that was never used.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn add_engine(&mut self, zone: &ZoneName) -> anyhow::Result<RunnerName> {
        let name = self.new_name(zone, "engine")?;
        let engine = Engine::start(EngineConfig {
            name: name.clone(),
            zone: zone.clone(),
            seed: self.machines_made,
            ..self.engine_config.clone()
        });
        let engine = engine.await?;
        self.list(&name, zone, engine.address(), MachineRole::Engine)?;
        self.engines.insert(name.clone(), engine);
        Ok(name)
    }

    /// Starts one more machine of a plain service in a zone, under a name that was never used.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn add_service(
        &mut self,
        zone: &ZoneName,
        service: &ServiceName,
    ) -> anyhow::Result<RunnerName> {
        let name = self.new_name(zone, service.as_str())?;
        let machine = Service::start(ServiceConfig {
            name: name.clone(),
            zone: zone.clone(),
            service: service.clone(),
            listen: ANY_PORT,
            time_ms: self.service_time_ms,
            seed: self.machines_made,
        });
        let machine = machine.await?;
        let role = MachineRole::Service(service.clone());
        self.list(&name, zone, machine.address(), role)?;
        self.services.insert(name.clone(), machine);
        Ok(name)
    }

    /// Takes a machine away without a warning: its connections break, and it leaves the list.
    pub async fn reclaim(&mut self, name: &RunnerName) {
        self.machines.remove(name);
        if let Some(engine) = self.engines.remove(name) {
            engine.shutdown().await;
        }
        if let Some(service) = self.services.remove(name) {
            service.shutdown().await;
        }
    }

    /// The engines, by machine.
    pub fn engines(&self) -> &BTreeMap<RunnerName, Engine> {
        &self.engines
    }

    /// An engine.
    pub fn engine(&self, name: &RunnerName) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// The machines of plain services, by machine.
    pub fn services(&self) -> &BTreeMap<RunnerName, Service> {
        &self.services
    }

    /// Stops everything.
    pub async fn shutdown(self) {
        for engine in self.engines.into_values() {
            engine.shutdown().await;
        }
        for service in self.services.into_values() {
            service.shutdown().await;
        }
        self.weights.shutdown().await;
        self.machines.shutdown().await;
        self.objects.shutdown().await;
    }

    fn new_name(&mut self, zone: &ZoneName, kind: &str) -> anyhow::Result<RunnerName> {
        self.machines_made += 1;
        Ok(format!("{zone}-{kind}-{}", self.machines_made).parse()?)
    }

    fn list(
        &self,
        name: &RunnerName,
        zone: &ZoneName,
        address: SocketAddr,
        role: MachineRole,
    ) -> anyhow::Result<()> {
        self.machines.put(Machine {
            name: name.clone(),
            zone: zone.clone(),
            address: address.to_string(),
            role,
            leaving: false,
        })?;
        Ok(())
    }
}
