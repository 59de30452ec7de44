//! Processor time of one coordinator as a function of its zone's size, in virtual time.
//!
//! Run with `cargo bench -p flaxward-control`. `FLAXWARD_BENCH_RUNNERS` (a list such as `10,40`)
//! chooses the sizes, `FLAXWARD_BENCH_WARM_UP` and `FLAXWARD_BENCH_SECONDS` the virtual time before
//! and during the measurement, `FLAXWARD_BENCH_SEED` the seed. Builds that take the same decisions
//! print the same hash.

mod gateways;
mod models;
mod zone;

use std::time::Duration;

use models::Region;
use zone::{Cost, Zone};

/// Default zone sizes in runners; the last is the size of a zone at the target scale.
const DEFAULT_RUNNERS: &str = "10,40,80,160,318";

fn environment_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.expect("VmRSS in kilobytes") * 1_024
}

fn per_second(time: Duration, seconds: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let seconds = seconds as f64;
    time.as_secs_f64() * 1e6 / seconds
}

fn measure(runners: usize, warm_up: u64, seconds: u64, seed: u64) {
    let region = Region::new(runners);
    let mut zone = Zone::new(&region, seed);
    let resident_before = resident_bytes();
    zone.run_until(warm_up * 1_000);
    zone.reset_costs();
    zone.run_until((warm_up + seconds) * 1_000);
    let (slots, in_use, replicas) = zone.sizes();
    let total: Duration = zone.costs.values().map(Cost::total).sum();
    let micros = per_second(total, seconds);
    println!(
        "{runners} runners, {} models, {} adapters: {slots} slots, {replicas} replicas, \
         {in_use} artifacts in use",
        region.models, region.adapters
    );
    println!(
        "  {micros:.0} us a second, {:.2} % of a core; {} answers and {} confirmations a second; \
         {} decisions, hash {:016x}; {:.1} MB grown",
        micros / 1e4,
        zone.answers / seconds,
        zone.confirmations / seconds,
        zone.decision_count,
        zone.decision_hash.digest(),
        per_second(
            Duration::from_micros(resident_bytes().saturating_sub(resident_before)),
            1_000_000
        ),
    );
    for (kind, cost) in &zone.costs {
        println!(
            "  {kind:<12} {:>6} a second, {:>9.1} us each, median {:>7.1}, {:>9.0} us a second",
            cost.events() / seconds,
            per_second(cost.total(), cost.events()),
            per_second(cost.median(), 1),
            per_second(cost.total(), seconds)
        );
    }
}

fn main() {
    let sizes =
        std::env::var("FLAXWARD_BENCH_RUNNERS").unwrap_or_else(|_| DEFAULT_RUNNERS.to_owned());
    let warm_up = environment_number("FLAXWARD_BENCH_WARM_UP", 20);
    let seconds = environment_number("FLAXWARD_BENCH_SECONDS", 60);
    let seed = environment_number("FLAXWARD_BENCH_SEED", 1);
    for size in sizes.split(',') {
        let runners = size.trim().parse().expect("a number of runners");
        measure(runners, warm_up, seconds, seed);
    }
}
