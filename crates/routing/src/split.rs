//! Shares of a split, exact over few requests.

use std::collections::HashMap;

use crate::configuration::{Route, WeightedService};
use crate::names::{RouteName, ServiceName};

/// Chooses the part of a split by smooth weighted round robin, so that every part has its share over
/// any run of requests and not just on average.
#[derive(Debug, Default)]
pub struct SplitChooser {
    routes: HashMap<RouteName, Credits>,
}

#[derive(Debug)]
struct Credits {
    parts: Vec<WeightedService>,
    credits: Vec<i64>,
}

impl SplitChooser {
    /// The service for the next request of a route. `seed` sets where a daemon begins, so that
    /// several daemons do not give the same part all their first requests.
    pub fn choose(&mut self, route: &Route, seed: u64) -> Option<ServiceName> {
        if route.services.len() <= 1 {
            return route.services.first().map(|part| part.service.clone());
        }
        let credits = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| Credits::new(&route.services, seed));
        if credits.parts != route.services {
            *credits = Credits::new(&route.services, seed);
        }
        credits.next()
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
