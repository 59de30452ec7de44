//! Cyclic iteration over the entries of a map, for scans that examine a slice at a time.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// All entries in cyclic order, starting after the given key and ending with it; starts with the
/// first entry if `None`.
pub(super) fn following<'a, Key: Ord, Value>(
    map: &'a BTreeMap<Key, Value>,
    last: Option<&Key>,
) -> impl Iterator<Item = (&'a Key, &'a Value)> + use<'a, Key, Value> {
    let start = last.map_or(Unbounded, Excluded);
    let rest = map.range((start, Unbounded));
    rest.chain(map).take(map.len())
}
