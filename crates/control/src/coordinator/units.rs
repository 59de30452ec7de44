//! Units of a quota and their split over zones.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::ZoneName;
use flaxward_types::records::{Quota, QuotaSubject};
use xxhash_rust::xxh3::xxh3_64;

/// Splits units evenly over zones; rendezvous hashing assigns the remainder.
pub fn split_units(
    subject: &QuotaSubject,
    limit: u32,
    zones: &BTreeSet<ZoneName>,
) -> BTreeMap<ZoneName, u32> {
    let mut units: BTreeMap<ZoneName, u32> = zones.iter().map(|zone| (zone.clone(), 0)).collect();
    let zone_count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    if zone_count == 0 {
        return units;
    }
    for share in units.values_mut() {
        *share = limit / zone_count;
    }
    let mut ranked: Vec<&ZoneName> = zones.iter().collect();
    ranked.sort_by_key(|zone| (std::cmp::Reverse(rank(subject, zone)), *zone));
    let remainder = usize::try_from(limit % zone_count).unwrap_or(0);
    for zone in ranked.into_iter().take(remainder) {
        *units.entry(zone.clone()).or_default() += 1;
    }
    units
}

fn rank(subject: &QuotaSubject, zone: &ZoneName) -> u64 {
    let text = match subject {
        // Adapters rank zones like their model, so that their units go to zones where the model has some.
        QuotaSubject::Model(model) | QuotaSubject::Adapter(model, _) => {
            format!("model {model} {zone}")
        }
        QuotaSubject::WeightStore => format!("weight store {zone}"),
    };
    xxh3_64(text.as_bytes())
}

/// Units of a zone according to the record.
pub(super) fn own_units(quota: &Quota, zone: &ZoneName) -> u32 {
    quota.units.get(zone).copied().unwrap_or(0)
}

/// Sets a zone's units; a zone without an entry has zero units.
pub(super) fn set_units(quota: &mut Quota, zone: &ZoneName, units: u32) {
    if own_units(quota, zone) != units {
        quota.units.insert(zone.clone(), units);
    }
}

/// Sum of the units of all zones.
pub(super) fn total(quota: &Quota) -> u32 {
    quota.units.values().sum()
}
