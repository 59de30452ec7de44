//! Goes round the keys of a map, a slice at a time.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// The entries that follow a key, round to the key itself; all of them from the first on if `None`.
pub(super) fn following<'a, Key: Ord, Value>(
    map: &'a BTreeMap<Key, Value>,
    last: Option<&Key>,
) -> impl Iterator<Item = (&'a Key, &'a Value)> + use<'a, Key, Value> {
    let start = last.map_or(Unbounded, Excluded);
    let rest = map.range((start, Unbounded));
    rest.chain(map).take(map.len())
}
