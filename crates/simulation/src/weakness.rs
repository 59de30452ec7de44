//! Faults that proofs put in on purpose.

/// A rule that the daemons leave out, so that a test can show that the rule is needed and that an
/// invariant notices. Rules of the coordinator have [`flaxward_control::coordinator::Weakness`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DaemonWeakness {
    /// Every rule is kept.
    #[default]
    None,
    /// A request whose answer was lost before its head counts as not sent.
    ResendsAfterLostAnswer,
    /// A request that may have run is refused as not run.
    SaysNotRun,
    /// Frames are passed on without a look at attempt and index.
    PassesEveryFrame,
    /// Keys are not claimed.
    SkipsClaims,
    /// A request whose time is up is dropped without a word.
    DropsSilently,
    /// Leaving marks are ignored.
    IgnoresLeaving,
    /// A planned stop ends the process at once.
    StopsAtOnce,
    /// A change of configuration is followed by the former configuration.
    AppliesOlderConfiguration,
    /// Only the first configuration is applied.
    IgnoresChanges,
}
