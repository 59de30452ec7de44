//! Capacity of a machine, and whether it is weak compared with others.

use serde::{Deserialize, Serialize};

/// Fraction of the strongest machine's processor share or link speed below which a machine is weak.
const WEAK_SHARE: f64 = 0.5;
/// Capacity assumed for the strongest machine while none is known. With 0.12 of a core and 20
/// Mbit/s a coordinator lost the lease repeatedly; with 0.25 of a core it did not.
const ASSUMED_STRONGEST: MachineStrength = MachineStrength {
    processor: 400,
    link: 0,
};

/// Processor share and link speed of a machine, from its settings. 0 means not configured.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MachineStrength {
    /// Processor share, in thousandths of a core.
    pub processor: u32,
    /// Speed of the link, in Mbit/s.
    pub link: u32,
}

impl MachineStrength {
    /// Whether the machine has less than half of the processor share or link speed of the strongest
    /// one, and should leave coordination to others. The coordinator's work grows with the number
    /// of daemons and runners, and a machine that cannot sustain it loses the lease repeatedly.
    pub fn is_weak_beside(self, strongest: Option<Self>) -> bool {
        let strongest = strongest.unwrap_or(ASSUMED_STRONGEST);
        is_weak(self.processor, strongest.processor) || is_weak(self.link, strongest.link)
    }
}

fn is_weak(own: u32, strongest: u32) -> bool {
    own > 0 && f64::from(own) < f64::from(strongest) * WEAK_SHARE
}
