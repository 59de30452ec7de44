//! Rules that hold between several keys. A rule is skipped while one of its keys is faulty itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_types::ZoneName;

use crate::reader::Reader;
use crate::value::Seed;

/// Pairs of durations of which the first must be shorter than the second.
const SHORTER: &[(&str, &str)] = &[
    ("gateway.demand_renewal", "coordinator.demand_expiry"),
    ("gateway.running_demand_period", "coordinator.demand_expiry"),
    ("gateway.stream_idle", "gateway.stream_limit"),
    ("gateway.stream_resume_wait", "gateway.stream_limit"),
    ("gateway.body_timeout", "gateway.max_deadline"),
    ("gateway.max_deadline", "claims.lifetime"),
    ("membership.probe_timeout", "membership.probe_interval"),
    ("membership.probe_interval", "membership.suspicion"),
    (
        "coordinator.inventory_poll",
        "coordinator.inventory_refresh",
    ),
    ("coordinator.inventory_refresh", "coordinator.load_timeout"),
    ("coordinator.order_retry", "coordinator.load_timeout"),
    ("coordinator.clock_drift", "coordinator.lease_duration"),
];

/// Sizes that are held, which must fit into what is held altogether.
const HELD: &[&str] = &["gateway.body_limit", "gateway.answer_hold"];

/// Bytes held altogether.
const HELD_BYTES: &str = "gateway.held_bytes";

/// Applies all rules.
pub(crate) fn check_together(reader: &mut Reader<'_>) {
    for (shorter, longer) in SHORTER {
        check_shorter(reader, shorter, longer);
    }
    for held in HELD {
        check_held(reader, held);
    }
    check_default_deadline(reader);
    check_lease(reader);
    check_zones(reader);
    check_addresses(reader);
    check_seeds(reader);
}

fn check_shorter(reader: &mut Reader<'_>, shorter: &str, longer: &str) {
    let durations = (
        reader.peek::<Duration>(shorter),
        reader.peek::<Duration>(longer),
    );
    let (Some(short), Some(long)) = durations else {
        return;
    };
    if short >= long {
        let long = humantime::format_duration(long);
        reader.refuse(
            shorter,
            format!("must be shorter than {longer}, which is {long}"),
        );
    }
}

/// One that is longer than all together could never be held.
fn check_held(reader: &mut Reader<'_>, held: &str) {
    let one = reader.peek::<ByteSize>(held);
    let all = reader.peek::<ByteSize>(HELD_BYTES);
    let (Some(one), Some(all)) = (one, all) else {
        return;
    };
    if one > all {
        let reason = format!("must not be more than {HELD_BYTES}, which is {all}");
        reader.refuse(held, reason);
    }
}

fn check_default_deadline(reader: &mut Reader<'_>) {
    let default = reader.peek::<Duration>("gateway.default_deadline");
    let longest = reader.peek::<Duration>("gateway.max_deadline");
    let (Some(default), Some(longest)) = (default, longest) else {
        return;
    };
    if default > longest {
        let longest = humantime::format_duration(longest);
        let reason = format!("must not be longer than gateway.max_deadline, which is {longest}");
        reader.refuse("gateway.default_deadline", reason);
    }
}

/// A lease must be renewed before its holder stops deciding, or it would lapse at every renewal.
fn check_lease(reader: &mut Reader<'_>) {
    let renewal = reader.peek::<Duration>("coordinator.lease_renewal");
    let duration = reader.peek::<Duration>("coordinator.lease_duration");
    let drift = reader.peek::<Duration>("coordinator.clock_drift");
    let (Some(renewal), Some(duration), Some(drift)) = (renewal, duration, drift) else {
        return;
    };
    if renewal >= duration.saturating_sub(drift) {
        let reason = "must be shorter than coordinator.lease_duration less coordinator.clock_drift";
        reader.refuse("coordinator.lease_renewal", reason);
    }
}

fn check_zones(reader: &mut Reader<'_>) {
    let Some(zones) = reader.peek::<Vec<ZoneName>>("daemon.zones") else {
        return;
    };
    if zones.is_empty() {
        reader.refuse("daemon.zones", "must name at least one zone");
        return;
    }
    if let Some(doubled) = first_doubled(&zones) {
        reader.refuse("daemon.zones", format!("names {doubled} twice"));
    }
    let Some(own) = reader.peek::<ZoneName>("daemon.zone") else {
        return;
    };
    if !zones.contains(&own) {
        reader.refuse("daemon.zone", "must be one of daemon.zones");
    }
}

fn first_doubled(zones: &[ZoneName]) -> Option<&ZoneName> {
    let doubled = |&(index, zone): &(usize, &ZoneName)| zones[..index].contains(zone);
    let found = zones.iter().enumerate().find(doubled);
    found.map(|(_, zone)| zone)
}

fn check_addresses(reader: &mut Reader<'_>) {
    let listen = reader.peek::<SocketAddr>("daemon.listen");
    let peer_listen = reader.peek::<SocketAddr>("daemon.peer_listen");
    let advertise = reader.peek::<Option<SocketAddr>>("daemon.peer_advertise");
    if let (Some(listen), Some(peer_listen)) = (listen, peer_listen)
        && listen == peer_listen
        && listen.port() != 0
    {
        reader.refuse("daemon.peer_listen", "must differ from daemon.listen");
    }
    match advertise {
        Some(Some(address)) if address.ip().is_unspecified() || address.port() == 0 => {
            let reason = "must be an address and port that other daemons can reach";
            reader.refuse("daemon.peer_advertise", reason);
        }
        Some(None) if peer_listen.is_some_and(|address| address.ip().is_unspecified()) => {
            let reason = "must be set, since daemon.peer_listen names no single address";
            reader.missing("daemon.peer_advertise", reason);
        }
        _ => {}
    }
}

fn check_seeds(reader: &mut Reader<'_>) {
    let Some(seeds) = reader.peek::<Vec<Seed>>("daemon.seeds") else {
        return;
    };
    let zones = reader.peek::<Vec<ZoneName>>("daemon.zones");
    for seed in seeds {
        if seed.address.port() == 0 {
            reader.refuse("daemon.seeds", format!("{} has no port", seed.address));
        }
        if let (Some(zone), Some(zones)) = (&seed.zone, &zones)
            && !zones.contains(zone)
        {
            reader.refuse("daemon.seeds", format!("{zone} is not one of daemon.zones"));
        }
    }
}
