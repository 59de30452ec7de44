//! Weighted traffic split that is accurate over few requests.

use std::borrow::Cow;
use std::collections::HashMap;

use crate::configuration::{Route, WeightedService};
use crate::homes::Homes;
use crate::names::{RouteName, ServiceName};

/// Selects the part of a split by smooth weighted round robin, so that each part gets its share over any sequence of
/// requests and not only on average.
#[derive(Debug, Default)]
pub struct SplitChooser {
    routes: HashMap<(RouteName, Homes), Credits>,
}

#[derive(Debug)]
struct Credits {
    parts: Vec<WeightedService>,
    credits: Vec<i64>,
}

impl SplitChooser {
    /// The service for the next request of a route with the given home regions. `seed` sets the starting position, so
    /// that daemons do not all send their first requests to the same part.
    ///
    /// Requests with home regions are split among the parts for which `has_home_runner` is true, that is, which have a
    /// runner in those regions. They do not affect the shares of other requests.
    pub fn choose(
        &mut self,
        route: &Route,
        homes: &Homes,
        has_home_runner: impl Fn(&ServiceName) -> bool,
        seed: u64,
    ) -> Option<ServiceName> {
        if route.services.len() <= 1 {
            return route.services.first().map(|part| part.service.clone());
        }
        let parts = parts_in_home_regions(&route.services, homes, has_home_runner);
        let credits = self
            .routes
            .entry((route.name.clone(), homes.clone()))
            .or_insert_with(|| Credits::new(&parts, seed));
        if credits.parts != *parts {
            *credits = Credits::new(&parts, seed);
        }
        credits.next()
    }
}

/// The parts of a split that can serve requests with the given home regions; all parts if none can, so that the refusal
/// names a service.
fn parts_in_home_regions<'a>(
    parts: &'a [WeightedService],
    homes: &Homes,
    has_home_runner: impl Fn(&ServiceName) -> bool,
) -> Cow<'a, [WeightedService]> {
    if *homes == Homes::Anywhere {
        return Cow::Borrowed(parts);
    }
    let in_home_regions = parts.iter().filter(|part| has_home_runner(&part.service));
    let in_home_regions: Vec<WeightedService> = in_home_regions.cloned().collect();
    if in_home_regions.is_empty() {
        Cow::Borrowed(parts)
    } else {
        Cow::Owned(in_home_regions)
    }
}

impl Credits {
    fn new(parts: &[WeightedService], seed: u64) -> Self {
        let mut credits = Self {
            parts: parts.to_vec(),
            credits: vec![0; parts.len()],
        };
        let total = credits.total().max(1);
        let skipped = seed % total.unsigned_abs();
        for _ in 0..skipped {
            credits.next();
        }
        credits
    }

    fn total(&self) -> i64 {
        self.parts.iter().map(|part| i64::from(part.weight)).sum()
    }

    fn next(&mut self) -> Option<ServiceName> {
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
        }
        let total = self.total();
        let best = (0..self.parts.len()).max_by_key(|&index| self.credits[index])?;
        self.credits[best] -= total;
        Some(self.parts[best].service.clone())
    }
}
