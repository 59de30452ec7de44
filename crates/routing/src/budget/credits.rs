//! Credit for retries that requests earn, and that expires.

use std::collections::VecDeque;

use flaxward_types::time::Timestamp;

/// Credit that one request has earned, as far as it is not spent.
#[derive(Clone, Copy, Debug)]
struct Credit {
    earned_at: Timestamp,
    units: u64,
}

/// The unspent credit of recent requests, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Credits {
    credits: VecDeque<Credit>,
    total: u64,
}

impl Credits {
    /// Adds the credit of a request.
    pub fn earn(&mut self, units: u64, now: Timestamp) {
        let credit = Credit {
            earned_at: now,
            units,
        };
        self.credits.push_back(credit);
        self.total += units;
    }

    /// Drops credit that was earned before `start`.
    pub fn expire(&mut self, start: Timestamp) {
        while let Some(credit) = self.credits.pop_front_if(|it| it.earned_at < start) {
            self.total -= credit.units;
        }
    }

    /// Total of the credit, in units.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Spends up to `units`, the oldest credit first. Returns how much was spent.
    pub fn spend(&mut self, units: u64) -> u64 {
        let mut missing = units;
        while missing > 0
            && let Some(credit) = self.credits.front_mut()
        {
            let part = credit.units.min(missing);
            credit.units -= part;
            missing -= part;
            if credit.units == 0 {
                self.credits.pop_front();
            }
        }
        let spent = units - missing;
        self.total -= spent;
        spent
    }
}
