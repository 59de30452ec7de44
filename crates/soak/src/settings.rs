//! The settings of a daemon under a soak.

use std::fmt::Write as _;
use std::net::SocketAddr;

use crate::daemon::{Addresses, STOP_GRACE};
use crate::regions::{REGIONS, Region};
use crate::runner_faults::{COLD_FACTOR, COLD_SLACK};

/// The text of the settings file of a daemon.
///
/// # Errors
/// Never in practice: writing to a text does not fail.
pub fn settings_text(
    name: &str,
    region: Region,
    addresses: Addresses,
    store: SocketAddr,
) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    writeln!(text, "[ingress]\nname = {name:?}\nzone = {:?}", region.zone)?;
    writeln!(text, "listen = \"{}\"", addresses.clients)?;
    writeln!(text, "ready_listen = \"{}\"", addresses.ready)?;
    writeln!(text, "peer_listen = \"{}\"", addresses.peers)?;
    writeln!(text, "stop_grace = \"{}s\"", STOP_GRACE.as_secs())?;
    writeln!(text, "[regions]")?;
    for Region { name, zone } in REGIONS {
        writeln!(text, "{zone:?} = {name:?}")?;
    }
    writeln!(text, "[store]\naddress = \"{store}\"")?;
    writeln!(
        text,
        "[coordinator]\nlease_duration = \"3s\"\nload_window = \"5s\""
    )?;
    writeln!(text, "[retries]\nratio = 0.2\nallowance = 50")?;
    writeln!(text, "window = \"10s\"")?;
    // Short, so that what follows the first quarantine is played too.
    writeln!(text, "[quarantine]\nfirst = \"4s\"")?;
    writeln!(
        text,
        "[cold_runners]\nrate_factor = {COLD_FACTOR}\nslack = {COLD_SLACK}"
    )?;
    Ok(text)
}
