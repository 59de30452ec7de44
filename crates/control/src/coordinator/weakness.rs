//! Faults that proofs put in on purpose.

/// A rule that a coordinator leaves out, so that a test can show that the rule is needed and that
/// the test notices. Only [`Weakness::None`] is fit for use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weakness {
    /// Every rule is kept.
    #[default]
    None,
    /// Orders are sent to a runner whose inventory was read before the term was raised there.
    NoSeal,
    /// The new boot of a runner is sealed without a look at the placement record.
    UnverifiedBoot,
    /// Memory and slot of a load are freed when its order gets no answer in time.
    FreeOnTimeout,
    /// A slot is removed when the unload is ordered and not when it is confirmed.
    EarlySlotRemoval,
    /// Units of quota are raised without a look at the sum.
    UncheckedRaise,
    /// Slots are added before the quota record was written under the own term.
    UnclaimedQuota,
    /// A write of the slots with unknown outcome is taken as not carried out.
    UnknownIsFailed,
}
