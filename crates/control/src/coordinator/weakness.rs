//! Rules that tests disable deliberately.

/// A rule that a coordinator does not enforce, so that a test can show that the rule is needed and
/// that its absence is detected. Only [`Weakness::None`] is fit for production use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weakness {
    /// Every rule is enforced.
    #[default]
    None,
    /// Orders are sent to a runner whose inventory was read before the term was raised there.
    NoSeal,
    /// The new boot of a runner is sealed without a check of the placement record.
    UnverifiedBoot,
    /// The memory and the slot of a load are freed when its order times out.
    FreeOnTimeout,
    /// A slot is removed when the unload is ordered instead of when it is confirmed.
    EarlySlotRemoval,
    /// Quota units are raised without a check of their sum.
    UncheckedRaise,
    /// Slots are added before the quota record has been written under the own term.
    UnclaimedQuota,
    /// A write of the placement record with unknown outcome is treated as failed.
    UnknownIsFailed,
}
