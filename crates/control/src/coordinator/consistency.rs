//! Compares the incrementally updated indexes with their sources, for tests.

use super::Coordinator;
use super::holdings::Holdings;
use super::leading::Leading;

impl Coordinator {
    /// Checks that every index equals one rebuilt from its source.
    ///
    /// # Errors
    /// The name of the first index that differs.
    pub fn check_indexes(&self) -> Result<(), &'static str> {
        self.leading.as_ref().map_or(Ok(()), Leading::check_indexes)
    }
}

impl Leading {
    fn check_indexes(&self) -> Result<(), &'static str> {
        let mut holdings = Holdings::default();
        for (name, runner) in &self.runners {
            holdings.replace(name, runner.holdings());
        }
        let checks = [
            ("slots", self.placement.slots().is_consistent()),
            ("holdings", self.holdings == holdings),
            ("wants", self.wanted.is_consistent()),
        ];
        match checks.into_iter().find(|(_, holds)| !holds) {
            Some((index, _)) => Err(index),
            None => Ok(()),
        }
    }
}
