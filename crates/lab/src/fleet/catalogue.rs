//! What is configured in a simulated fleet, and where it has its home.
//!
//! One model in ten is busy all day. One in ten may run in every zone, the others in the zones of
//! one region. Everything else sleeps and is woken now and then.

use std::collections::{BTreeMap, BTreeSet};

use bytesize::ByteSize;
use flaxward_control::coordinator::split_units;
use flaxward_types::configuration::{AdapterSpec, CopyRule, ModelSpec, PolicySpec, VersionSpec};
use flaxward_types::records::{Quota, QuotaSubject, Slot, ZonePlacement};
use flaxward_types::{
    AdapterName, ArtifactId, ConfigurationItem, ItemKey, ModelName, Revision, Term, VersionName,
    ZoneName,
};

use super::shape::{Shape, runner_name};

/// Accelerator memory of a runner: eight accelerators of 80 GB.
pub const RUNNER_MEMORY: u64 = 640 << 30;
/// One model in so many is busy.
const BUSY_SHARE: usize = 10;
/// Busy replicas on a runner, on average.
const BUSY_REPLICAS_PER_RUNNER: usize = 2;
/// Weights and KV cache of a busy replica: four accelerators with some room.
const BUSY_WEIGHTS: ByteSize = ByteSize::gib(140);
const BUSY_KV_CACHE: ByteSize = ByteSize::gib(80);
/// Weights of the other models, in turn.
const RARE_WEIGHTS: [ByteSize; 4] = [
    ByteSize::gib(8),
    ByteSize::gib(16),
    ByteSize::gib(28),
    ByteSize::gib(60),
];
const RARE_KV_CACHE: ByteSize = ByteSize::gib(8);
const ADAPTER_WEIGHTS: ByteSize = ByteSize::mib(400);
/// Copies allowed of the other models, in turn.
const RARE_COPIES: [u32; 10] = [1, 2, 1, 1, 2, 1, 4, 1, 2, 1];
/// One adapter in so many may have two copies.
const DOUBLE_ADAPTER_SHARE: usize = 5;
/// Time that an idle replica stays loaded, so that a short run sees replicas go.
const KEEP_ALIVE_MS: u64 = 120_000;
/// Parallel loads and loads a second from the weight store, for each zone.
const LOADS_PER_ZONE: u32 = 10;
const LOADS_PER_SECOND_PER_ZONE: f64 = 2.0;

/// One model.
#[derive(Clone, Debug)]
pub struct ModelEntry {
    /// Its base weights.
    pub artifact: ArtifactId,
    /// Its adapters.
    pub adapters: Vec<ArtifactId>,
    /// Whether it is busy all day.
    pub busy: bool,
    /// Region in whose zones it may run, or `None` for every zone.
    pub region: Option<usize>,
    /// Rule for copies.
    pub copies: CopyRule,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
}

/// Everything configured.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// The models.
    pub models: Vec<ModelEntry>,
    /// The items of configuration in the order in which they were written.
    pub items: Vec<(ItemKey, ConfigurationItem)>,
}

/// What stands in the store when the run begins.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Quotas.
    pub quotas: Vec<Quota>,
    /// Slots of each zone.
    pub placements: BTreeMap<ZoneName, ZonePlacement>,
    /// Slots that hold a ready replica: number of the runner, artifact and its bytes.
    pub preloaded: Vec<(usize, ArtifactId, u64)>,
}

impl Catalogue {
    /// The catalogue of a fleet.
    pub fn new(shape: &Shape) -> Self {
        let mut models: Vec<ModelEntry> = (0..shape.models as usize)
            .map(|number| model(shape, number))
            .collect();
        for number in 0..shape.adapters as usize {
            let place = number % models.len();
            let model = &mut models[place];
            let adapter = AdapterName::literal(&format!("adapter-{number}"));
            model.adapters.push(ArtifactId {
                adapter: Some(adapter),
                ..model.artifact.clone()
            });
        }
        let items = items(shape, &models);
        Self { models, items }
    }

    /// The models that are busy all day and may run in a region.
    pub fn busy_in(&self, region: usize) -> impl Iterator<Item = &ModelEntry> {
        let models = self.models.iter().filter(|model| model.busy);
        models.filter(move |model| model.region.is_none_or(|home| home == region))
    }

    /// What the store holds after a long time of running: quotas, homes and busy replicas.
    pub fn records(&self, shape: &Shape) -> Records {
        let mut builder = RecordBuilder::new(shape);
        for model in &self.models {
            builder.add_model(model, self);
        }
        builder.records
    }

    fn revision(&self, key: &ItemKey) -> Revision {
        let place = self.items.iter().position(|(known, _)| known == key);
        Revision(place.map_or(0, |place| place as u64 + 1))
    }
}

/// Zones in which a model may run.
fn zones_of(shape: &Shape, region: Option<usize>) -> BTreeSet<ZoneName> {
    let zones = shape.zones.iter();
    zones
        .filter(|zone| region.is_none_or(|region| zone.region == region))
        .map(|zone| zone.name.clone())
        .collect()
}

fn model(shape: &Shape, number: usize) -> ModelEntry {
    let busy = number.is_multiple_of(BUSY_SHARE);
    let tens = number / BUSY_SHARE;
    let region = (!tens.is_multiple_of(BUSY_SHARE)).then(|| (tens + number) % shape.regions);
    let (weights, kv_cache) = sizes(number, busy);
    let zones = zones_of(shape, region);
    let at_most = if busy {
        let per_zone = busy_replicas_per_zone(shape);
        u32::try_from(per_zone * zones.len() * 5 / 4).unwrap_or(u32::MAX)
    } else {
        RARE_COPIES[number % RARE_COPIES.len()]
    };
    ModelEntry {
        artifact: ArtifactId {
            model: ModelName::literal(&format!("model-{number}")),
            version: VersionName::literal("v1"),
            adapter: None,
        },
        adapters: Vec::new(),
        busy,
        region,
        copies: CopyRule {
            at_least: 0,
            at_most,
            zones: region.map_or_else(BTreeSet::new, |_| zones),
        },
        bytes: weights.as_u64() + kv_cache.as_u64(),
    }
}

fn sizes(number: usize, busy: bool) -> (ByteSize, ByteSize) {
    if busy {
        (BUSY_WEIGHTS, BUSY_KV_CACHE)
    } else {
        (RARE_WEIGHTS[number % RARE_WEIGHTS.len()], RARE_KV_CACHE)
    }
}

/// Replicas that a busy model has in each of its zones.
fn busy_replicas_per_zone(shape: &Shape) -> usize {
    let runners = shape.runners as usize / shape.zones.len();
    let everywhere = (shape.models as usize).div_ceil(BUSY_SHARE * BUSY_SHARE);
    let busy = (shape.models as usize).div_ceil(BUSY_SHARE);
    let in_zone = everywhere + (busy - everywhere).div_ceil(shape.regions);
    (runners * BUSY_REPLICAS_PER_RUNNER / in_zone.max(1)).max(1)
}

fn items(shape: &Shape, models: &[ModelEntry]) -> Vec<(ItemKey, ConfigurationItem)> {
    let zones = u32::try_from(shape.zones.len()).unwrap_or(u32::MAX);
    let policy = PolicySpec {
        weight_store_parallel: LOADS_PER_ZONE * zones,
        weight_store_per_second: LOADS_PER_SECOND_PER_ZONE * f64::from(zones),
        keep_alive_min_ms: KEEP_ALIVE_MS,
        keep_alive_max_ms: KEEP_ALIVE_MS,
        ..PolicySpec::default()
    };
    let mut items = vec![(ItemKey::Policy, ConfigurationItem::Policy(policy))];
    for (number, entry) in models.iter().enumerate() {
        items.push(model_item(entry));
        items.push(version_item(number, entry));
        let adapters = entry.adapters.iter().enumerate();
        items.extend(adapters.filter_map(|(place, adapter)| adapter_item(place, adapter)));
    }
    items
}

fn model_item(entry: &ModelEntry) -> (ItemKey, ConfigurationItem) {
    let spec = ModelSpec {
        serving: entry.artifact.version.clone(),
        copies: entry.copies.clone(),
        priority: 5,
        queue_limit: 1_000,
    };
    let key = ItemKey::Model(entry.artifact.model.clone());
    (key, ConfigurationItem::Model(spec))
}

fn version_item(number: usize, entry: &ModelEntry) -> (ItemKey, ConfigurationItem) {
    let ArtifactId { model, version, .. } = &entry.artifact;
    let (weights, kv_cache) = sizes(number, entry.busy);
    let spec = VersionSpec {
        checkpoint: format!("models/{model}/{version}"),
        weights,
        kv_cache,
    };
    let key = ItemKey::Version(model.clone(), version.clone());
    (key, ConfigurationItem::Version(spec))
}

fn adapter_item(place: usize, adapter: &ArtifactId) -> Option<(ItemKey, ConfigurationItem)> {
    let name = adapter.adapter.clone()?;
    let doubled = place.is_multiple_of(DOUBLE_ADAPTER_SHARE);
    let spec = AdapterSpec {
        checkpoint: format!("adapters/{}/{name}", adapter.model),
        weights: ADAPTER_WEIGHTS,
        at_most: 1 + u32::from(doubled),
    };
    let key = ItemKey::Adapter(adapter.model.clone(), name);
    Some((key, ConfigurationItem::Adapter(spec)))
}

/// Spreads homes and busy replicas over the runners of each zone in turn.
struct RecordBuilder<'a> {
    shape: &'a Shape,
    /// Number of the first runner of each zone.
    first_runner: Vec<usize>,
    /// Runner of each zone whose turn it is.
    turn: Vec<usize>,
    records: Records,
}

impl<'a> RecordBuilder<'a> {
    fn new(shape: &'a Shape) -> Self {
        let mut first_runner = Vec::new();
        let mut next = 0;
        for zone in &shape.zones {
            first_runner.push(next);
            next += zone.runners as usize;
        }
        let placements = shape
            .zones
            .iter()
            .map(|zone| (zone.name.clone(), ZonePlacement::default()));
        Self {
            shape,
            first_runner,
            turn: vec![0; shape.zones.len()],
            records: Records {
                placements: placements.collect(),
                ..Records::default()
            },
        }
    }

    fn add_model(&mut self, model: &ModelEntry, catalogue: &Catalogue) {
        let zones = zones_of(self.shape, model.region);
        let name = model.artifact.model.clone();
        let revision = catalogue.revision(&ItemKey::Model(name.clone()));
        let subject = QuotaSubject::Model(name);
        let units = self.add_quota(subject, model.copies.at_most, &zones, revision);
        let homes = self.add_homes(model, &units);
        let home_zones: BTreeSet<ZoneName> = homes.keys().cloned().collect();
        for (place, adapter) in model.adapters.iter().enumerate() {
            let Some(name) = adapter.adapter.clone() else {
                continue;
            };
            let limit = 1 + u32::from(place.is_multiple_of(DOUBLE_ADAPTER_SHARE));
            let subject = QuotaSubject::Adapter(adapter.model.clone(), name);
            // The items of a model's adapters follow those of the model and its version.
            let revision = Revision(revision.0 + 2 + place as u64);
            // Adapters have their units where their base has its homes, as after some moves.
            let units = self.add_quota(subject, limit, &home_zones, revision);
            for zone in units.keys() {
                if let Some(runner) = homes.get(zone) {
                    self.add_slot(zone, adapter, *runner);
                }
            }
        }
    }

    /// Splits the units of a subject; returns the zones that have some.
    fn add_quota(
        &mut self,
        subject: QuotaSubject,
        limit: u32,
        zones: &BTreeSet<ZoneName>,
        rule: Revision,
    ) -> BTreeMap<ZoneName, u32> {
        let units = split_units(&subject, limit, zones);
        self.records.quotas.push(Quota {
            subject,
            limit,
            units: units.clone(),
            wanted: BTreeMap::new(),
            rule,
            terms: BTreeMap::new(),
        });
        units.into_iter().filter(|(_, units)| *units > 0).collect()
    }

    /// Gives a model its homes, and its replicas if it is busy; returns the first runner of each
    /// zone.
    fn add_homes(
        &mut self,
        model: &ModelEntry,
        units: &BTreeMap<ZoneName, u32>,
    ) -> BTreeMap<ZoneName, usize> {
        let mut homes = BTreeMap::new();
        for (place, zone) in self.shape.zones.iter().enumerate() {
            let Some(units) = units.get(&zone.name) else {
                continue;
            };
            let replicas = if model.busy {
                busy_replicas_per_zone(self.shape).min(*units as usize)
            } else {
                1
            };
            for _ in 0..replicas {
                let runner = self.next_runner(place);
                homes.entry(zone.name.clone()).or_insert(runner);
                self.add_slot(&zone.name, &model.artifact, runner);
                if model.busy {
                    let preloaded = (runner, model.artifact.clone(), model.bytes);
                    self.records.preloaded.push(preloaded);
                }
            }
        }
        homes
    }

    fn next_runner(&mut self, zone: usize) -> usize {
        let turn = self.turn[zone];
        self.turn[zone] = (turn + 1) % self.shape.zones[zone].runners as usize;
        self.first_runner[zone] + turn
    }

    fn add_slot(&mut self, zone: &ZoneName, artifact: &ArtifactId, runner: usize) {
        let slot = Slot {
            artifact: artifact.clone(),
            runner: runner_name(runner),
        };
        if let Some(placement) = self.records.placements.get_mut(zone) {
            placement.slots.push(slot);
            placement.term = Term(0);
        }
    }
}
