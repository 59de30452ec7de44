//! What a machine can bear, and whether it is weak beside others.

use serde::{Deserialize, Serialize};

/// Part of the strongest machine's processor or link below which a machine is weak.
const WEAK_SHARE: f64 = 0.5;
/// Assumed of the strongest machine while none was heard of: on 0.12 of a core and 20 Mbit/s the lease was
/// lost again and again, on 0.25 of a core it was not.
const ASSUMED_STRONGEST: MachineStrength = MachineStrength {
    processor: 400,
    link: 0,
};

/// Processor and link of a machine, as its settings tell them. A value of 0 was not told.
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
    /// Whether the machine has less than half of the processor or of the link of the strongest one, so that
    /// it should leave the coordination to others. The work of a coordinator grows with the number of daemons
    /// and runners, and a machine that cannot bear it loses the lease again and again.
    pub fn is_weak_beside(self, strongest: Option<Self>) -> bool {
        let strongest = strongest.unwrap_or(ASSUMED_STRONGEST);
        is_weak(self.processor, strongest.processor) || is_weak(self.link, strongest.link)
    }
}

fn is_weak(own: u32, strongest: u32) -> bool {
    own > 0 && f64::from(own) < f64::from(strongest) * WEAK_SHARE
}
