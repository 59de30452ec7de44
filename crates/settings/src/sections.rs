//! The sections of the settings file, with every default. `docs/CONFIGURATION.md` shows the same
//! table, which a test holds against this one.

use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_types::{DaemonName, ZoneName};
use spdlog::Level;
use url::Url;

use crate::checks;
use crate::error::SettingsErrors;
use crate::flags::Flags;
use crate::key::Presence::{Default, Optional, Required};
use crate::key::{Key, section};
use crate::reader::Reader;
use crate::source;
use crate::value::{Seed, Share};

section! {
    /// Who this daemon is and where it listens.
    daemon => DaemonSection {
        /// Name of the daemon, unlike that of any other daemon of the region.
        name: DaemonName = Required;
        /// Zone in which the daemon runs.
        zone: ZoneName = Required;
        /// All zones of the region, its own included.
        zones: Vec<ZoneName> = Required;
        /// Address for callers and operators (HTTP).
        listen: SocketAddr = Default("127.0.0.1:8700");
        /// Address for other daemons, UDP and TCP.
        peer_listen: SocketAddr = Default("127.0.0.1:8701");
        /// Address under which other daemons reach `peer_listen`, if it is another one.
        peer_advertise: Option<SocketAddr> = Optional;
        /// Daemons that a starting daemon asks for the members, of its own and of other zones.
        seeds: Vec<Seed> = Default("");
    }
}

section! {
    /// The platform: object API, machine list and back ends.
    platform => PlatformSection {
        /// Base URL of the object API.
        object_api: Url = Required;
        /// Time allowed for one operation on the object API; watches are not bounded by it.
        object_api_timeout: Duration = Default("2s");
        /// URL of the machine list.
        machine_list: Url = Required;
        /// Time between reads of the machine list.
        machine_list_interval: Duration = Default("1s");
        /// Time allowed for an engine's answer to an order or a read; answers to callers are not
        /// bounded by it.
        engine_timeout: Duration = Default("2s");
    }
}

section! {
    /// Requests of callers.
    gateway => GatewaySection {
        /// Longest body of a request.
        body_limit: ByteSize = Default("1 MiB");
        /// Longest headers of a request, all together.
        header_limit: ByteSize = Default("16 KiB");
        /// Time allowed for the whole body to arrive.
        body_timeout: Duration = Default("10s");
        /// Deadline of a request that names none.
        default_deadline: Duration = Default("60s");
        /// Longest deadline; a longer one is shortened to it.
        max_deadline: Duration = Default("10m");
        /// Requests in progress at this daemon, waiting ones included, at most. As many others may have bodies that are still being read.
        max_in_progress: u32 = Default("8192");
        /// Open connections of callers, at most. When so many are open, the one whose caller has been silent for the longest is closed.
        max_connections: u32 = Default("16384");
        /// Bodies of requests and answers held at this daemon, all together.
        held_bytes: ByteSize = Default("64 MiB");
        /// Longest answer without a stream that is held until it is whole, so that another attempt
        /// can replace it; a longer one is passed on as it comes.
        answer_hold: ByteSize = Default("1 MiB");
        /// Longest silence of a back end in the middle of a stream.
        stream_idle: Duration = Default("30s");
        /// Time that a broken stream waits for another replica.
        stream_resume_wait: Duration = Default("30s");
        /// Time after the deadline in which a stream may still be sent to another replica.
        stream_limit: Duration = Default("1h");
        /// Time in which a caller must take in more of its answer before its connection is closed.
        write_stall: Duration = Default("30s");
        /// Requests waiting at this daemon for all models together, at most.
        queue_total: u32 = Default("4096");
        /// Time between two demands for the same model to the same coordinator.
        demand_renewal: Duration = Default("1s");
        /// The same while requests run and none waits, if their number has doubled or halved. Without such news a demand is renewed every 20 s.
        running_demand_period: Duration = Default("2s");
        /// Time that a request waits while no coordinator answers, before it is refused.
        coordinator_grace: Duration = Default("3s");
        /// Time for which a runner that could not be reached is left alone by all requests.
        unreachable_period: Duration = Default("2s");
        /// Attempts at one repeatable request, the first included, at most.
        attempts: u32 = Default("3");
        /// Retries allowed, as a share of the first attempts.
        retry_share: Share = Default("0.1");
        /// Back ends that must have crashed under a request until this daemon sends it to none any
        /// more.
        quarantine_crashes: u32 = Default("3");
        /// For how long it is refused then.
        quarantine_first: Duration = Default("30s");
        /// For how long it is refused if one more back end crashes under it after that.
        quarantine_repeated: Duration = Default("1h");
    }
}

section! {
    /// The coordinator of a zone; meant to be the same at every daemon.
    coordinator => CoordinatorSection {
        /// How long a renewal of the zone's lease holds.
        lease_duration: Duration = Default("6s");
        /// Time between renewals of the lease.
        lease_renewal: Duration = Default("2s");
        /// How much earlier than the end of the lease its holder stops recording decisions, for
        /// clocks that run at different speeds.
        clock_drift: Duration = Default("500ms");
        /// Time after which an order or inventory read without an answer is sent again.
        order_retry: Duration = Default("1s");
        /// Time between reads of a runner's inventory while an order is in progress there.
        inventory_poll: Duration = Default("100ms");
        /// Time between reads of an idle runner's inventory.
        inventory_refresh: Duration = Default("15s");
        /// Time after which a load counts as stuck and is tried on another machine.
        load_timeout: Duration = Default("5m");
        /// Machines tried for one artifact before its waiting requests are refused.
        load_tries: u32 = Default("3");
        /// Pause after all tries failed; doubles with each further failure.
        load_backoff: Duration = Default("5s");
        /// Time after which a demand that is not renewed is forgotten.
        demand_expiry: Duration = Default("5s");
        /// Bytes a second assumed for a load from the weight store, until a speed is measured.
        remote_bytes_per_second: ByteSize = Default("1 GiB");
        /// Bytes a second assumed for a load from a machine's disk, until a speed is measured.
        disk_bytes_per_second: ByteSize = Default("4 GiB");
        /// Bytes a second assumed for a load from main memory, until a speed is measured.
        memory_bytes_per_second: ByteSize = Default("16 GiB");
    }
}

section! {
    /// Failure detection between daemons.
    membership => MembershipSection {
        /// Time between two probes.
        probe_interval: Duration = Default("1s");
        /// Time allowed for the answer to a probe before other members are asked to try.
        probe_timeout: Duration = Default("300ms");
        /// Time in which a suspected member can refute the suspicion before it counts as dead.
        suspicion: Duration = Default("4s");
    }
}

section! {
    /// Requests that may not be repeated.
    claims => ClaimsSection {
        /// How long the outcome of a request with an idempotency key is kept.
        lifetime: Duration = Default("24h");
        /// Calls to the object API that a coordinator makes in a second to remove expired claims, at most.
        removal_calls_per_second: u32 = Default("10");
    }
}

section! {
    /// The log.
    logs => LogsSection {
        /// Lowest level that is written.
        level: Level = Default("info");
        /// Time between two lines of counters.
        counters_interval: Duration = Default("60s");
    }
}

section! {
    /// A planned stop.
    stop => StopSection {
        /// Time allowed for the requests in progress to finish.
        drain_timeout: Duration = Default("10m");
    }
}

/// All settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who this daemon is and where it listens.
    pub daemon: DaemonSection,
    /// Object API, machine list and back ends.
    pub platform: PlatformSection,
    /// Requests of callers.
    pub gateway: GatewaySection,
    /// The coordinator of the zone.
    pub coordinator: CoordinatorSection,
    /// Failure detection between daemons.
    pub membership: MembershipSection,
    /// Requests that may not be repeated.
    pub claims: ClaimsSection,
    /// The log.
    pub logs: LogsSection,
    /// A planned stop.
    pub stop: StopSection,
}

impl Settings {
    /// Every key, in the order of the documentation.
    pub fn keys() -> impl Iterator<Item = &'static Key> {
        let sections = [
            DaemonSection::KEYS,
            PlatformSection::KEYS,
            GatewaySection::KEYS,
            CoordinatorSection::KEYS,
            MembershipSection::KEYS,
            ClaimsSection::KEYS,
            LogsSection::KEYS,
            StopSection::KEYS,
        ];
        sections.into_iter().flatten()
    }

    /// Reads the file that the flags name, if they name one, and lays the flags over it.
    ///
    /// # Errors
    /// Every fault found: of single values, of unknown and missing keys, and between values.
    pub fn load(flags: &Flags) -> Result<Self, SettingsErrors> {
        let values = source::merged(flags.config.as_deref(), flags)
            .map_err(|error| SettingsErrors(vec![error]))?;
        let mut reader = Reader::new(&values);
        reader.check_names();
        let settings = Self::read(&mut reader);
        checks::check_together(&mut reader);
        match (settings, reader.into_errors()) {
            (Some(settings), errors) if errors.is_empty() => Ok(settings),
            (_, errors) => Err(SettingsErrors(errors)),
        }
    }

    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let daemon = DaemonSection::read(reader);
        let platform = PlatformSection::read(reader);
        let gateway = GatewaySection::read(reader);
        let coordinator = CoordinatorSection::read(reader);
        let membership = MembershipSection::read(reader);
        let claims = ClaimsSection::read(reader);
        let logs = LogsSection::read(reader);
        let stop = StopSection::read(reader);
        Some(Self {
            daemon: daemon?,
            platform: platform?,
            gateway: gateway?,
            coordinator: coordinator?,
            membership: membership?,
            claims: claims?,
            logs: logs?,
            stop: stop?,
        })
    }
}
