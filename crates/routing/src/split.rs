//! Shares of a split, exact over few requests.

use std::borrow::Cow;
use std::collections::HashMap;

use crate::configuration::{Route, WeightedService};
use crate::homes::Homes;
use crate::names::{RouteName, ServiceName};

/// Chooses the part of a split by smooth weighted round robin, so that every part has its share over
/// any run of requests and not just on average.
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
    /// The service for the next request of a route with some homes. `seed` sets where a daemon begins, so that
    /// several daemons do not give the same part all their first requests.
    ///
    /// Requests with homes share the parts of which `is_at_home` says that they have a runner there, and leave the
    /// shares of the others as they are.
    pub fn choose(
        &mut self,
        route: &Route,
        homes: &Homes,
        is_at_home: impl Fn(&ServiceName) -> bool,
        seed: u64,
    ) -> Option<ServiceName> {
        if route.services.len() <= 1 {
            return route.services.first().map(|part| part.service.clone());
        }
        let parts = parts_at_home(&route.services, homes, is_at_home);
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

/// The parts of a split that can serve requests with some homes; all if none can, so that the refusal names one.
fn parts_at_home<'a>(
    parts: &'a [WeightedService],
    homes: &Homes,
    is_at_home: impl Fn(&ServiceName) -> bool,
) -> Cow<'a, [WeightedService]> {
    if *homes == Homes::Anywhere {
        return Cow::Borrowed(parts);
    }
    let able = parts.iter().filter(|part| is_at_home(&part.service));
    let able: Vec<WeightedService> = able.cloned().collect();
    if able.is_empty() {
        Cow::Borrowed(parts)
    } else {
        Cow::Owned(able)
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
