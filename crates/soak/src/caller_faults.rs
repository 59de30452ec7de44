//! Callers that ask for more, or for something else, than most.

use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{CRASHING_BODY, TenantSpec, WorkKind};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::{Ask, Ending, send};
use crate::fleet::{Fleet, locked};
use crate::regions::REGIONS;

/// The route that needs a key.
pub const KEYED_ROUTE: &str = "keyed";
/// The key of the only tenant.
const KEY: &str = "key-of-the-tenant";
/// Requests a second that the tenant may use.
pub const QUOTA_RATE: f64 = 5.0;
/// Requests that it may use on top.
pub const QUOTA_BURST: f64 = 5.0;
/// Pause between two requests of the tenant: it asks for several times its rate.
const KEYED_PAUSE: Duration = Duration::from_millis(30);

/// The first part of the prompts of a fault with a crashing part.
const FIRST_PART: u64 = 11;
/// The part that its sound requests have in place of the crashing one.
const SOUND_PART: u64 = 12;
/// The share of its requests that are sound.
const SOUND_SHARE: f64 = 0.6;

/// The only tenant.
pub fn tenant() -> TenantSpec {
    TenantSpec {
        name: "tenant".to_owned(),
        key: KEY.to_owned(),
        rate: QUOTA_RATE,
        burst: QUOTA_BURST,
    }
}

/// Callers ask for routes that have a home, at any daemon. Where the requests ran is checked at the end.
pub(crate) async fn ask_for_homes(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    for _ in 0..random.random_range(10..60) {
        let home = REGIONS[random.random_range(0..REGIONS.len())];
        let (like, kind) = if random.random_bool(0.5) {
            ("stream", WorkKind::Stream { resumable: true })
        } else {
            ("safe", WorkKind::Repeatable)
        };
        let request = format!("{:016x}", random.next_u64());
        let ask = Ask::new(request, &format!("/{like}-home-{}/x", home.name), kind);
        let daemon = random.random_range(0..fleet.addresses.len());
        let outcome = send(&client, ask, daemon, fleet.addresses[daemon]).await;
        locked(&fleet.outcomes).push(outcome);
        sleep(Duration::from_millis(random.random_range(10..200))).await;
    }
}

/// A tenant asks for several times its rate at all daemons, now and then with a key that belongs to nobody. How many of
/// its requests ran is checked at the end.
pub(crate) async fn exceed_quota(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    let end = Instant::now() + Duration::from_millis(random.random_range(4_000..12_000));
    while Instant::now() < end {
        let is_known = random.random_bool(0.9);
        let key = if is_known { KEY } else { "key-of-nobody" };
        let request = format!("{:016x}", random.next_u64());
        let ask = Ask {
            key: Some(key.to_owned()),
            ..Ask::new(request, &format!("/{KEYED_ROUTE}/x"), WorkKind::Repeatable)
        };
        let daemon = random.random_range(0..fleet.addresses.len());
        let outcome = send(&client, ask, daemon, fleet.addresses[daemon]).await;
        if is_known {
            locked(&fleet.outcomes).push(outcome);
        } else if outcome.ending == Ending::Served {
            fleet.violation(format!("KEYS daemon-{daemon} serves a key of nobody"));
        }
        sleep(KEYED_PAUSE).await;
    }
}

/// A caller repeats a request that crashes each runner which begins to run it, at any daemon.
pub(crate) async fn crashing_request(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    let body = format!("{CRASHING_BODY}-{:08x}", random.next_u32());
    let (path, kind) = match random.random_range(0..3) {
        0 => ("/safe/x", WorkKind::Repeatable),
        1 => ("/once/x", WorkKind::AtMostOnce),
        _ => ("/stream/x", WorkKind::Stream { resumable: true }),
    };
    let end = Instant::now() + Duration::from_millis(random.random_range(4_000..20_000));
    while Instant::now() < end {
        let request = format!("{:016x}", random.next_u64());
        let ask = Ask {
            body: body.clone(),
            ..Ask::new(request, path, kind)
        };
        let daemon = random.random_range(0..fleet.addresses.len());
        let outcome = send(&client, ask, daemon, fleet.addresses[daemon]).await;
        locked(&fleet.outcomes).push(outcome);
        sleep(Duration::from_millis(random.random_range(100..700))).await;
    }
}

/// Callers send requests, no two alike, with one part in their prompts that crashes each runner which begins to run it, and sound
/// ones that share the first part, at all daemons.
pub(crate) async fn crashing_part(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return;
    };
    let crashing = random.next_u64();
    let kind = WorkKind::Stream { resumable: true };
    let end = Instant::now() + Duration::from_millis(random.random_range(8_000..20_000));
    let mut requests = JoinSet::new();
    while Instant::now() < end {
        let own = random.next_u64();
        let is_sound = random.random_bool(SOUND_SHARE);
        let (part, body) = if is_sound {
            (SOUND_PART, format!("{own:x}"))
        } else {
            (crashing, format!("{CRASHING_BODY}-{own:x}"))
        };
        let ask = Ask {
            body,
            parts: vec![FIRST_PART, part, own],
            ..Ask::new(format!("{own:016x}"), "/stream/x", kind)
        };
        let daemon = random.random_range(0..fleet.addresses.len());
        let (client, address) = (client.clone(), fleet.addresses[daemon]);
        requests.spawn(async move { send(&client, ask, daemon, address).await });
        sleep(Duration::from_millis(random.random_range(50..300))).await;
    }
    let outcomes = requests.join_all().await;
    locked(&fleet.outcomes).extend(outcomes);
}
