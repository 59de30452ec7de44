//! Parts of prompts that crash runners that start again, with callers that send requests without a pause.
//!
//! Guards against requests with one part that crash runner after runner although crashes are counted by part: the
//! daemons had taken something for proof that the part is harmless, or a crash for one that was counted already.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::restarting_runner::{Crashes, Ledger, RestartingRunner, Served};
use crate::store::MemoryStore;
use crate::support::{self, SilentControl, TestIngress, configuration, settings};

const DAEMONS: usize = 6;
/// Number of crashes after which the part must become known.
const KNOWN_AFTER: usize = 5;
/// Time in which every daemon must know of the part.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of times that all daemons together may still send such requests after that time.
const MAX_SENDS: usize = 3;
/// Least share of the sound requests that must be served from twice that time on.
const SOUND_SHARE: f64 = 0.9;
/// Time between two requests with a crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which the first daemon becomes coordinator.
const ELECTION_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a coordinator hears from all daemons.
const COORDINATION_TIME: Duration = Duration::from_secs(3);

/// A load on daemons and runners.
struct Scene {
    runners: usize,
    /// First parts of the prompts of crashing requests, in turns, each with the next of the crashing parts.
    crashing_prompts: &'static [&'static str],
    crashing_parts: &'static [&'static str],
    /// Time for which those parts are sound.
    sound_for: Duration,
    /// Events that a runner writes before it crashes.
    events: u32,
    down_time: Duration,
    /// First parts of the prompts of sound requests, in turns.
    sound_prompts: &'static [&'static str],
    /// Time from the first crashing request to the first sound one.
    sound_from: Duration,
    /// Time between two sound requests.
    sound_interval: Duration,
    length: Duration,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            runners: 24,
            crashing_prompts: &["11,77"],
            crashing_parts: &["77"],
            sound_for: Duration::ZERO,
            events: 0,
            down_time: Duration::from_secs(3),
            sound_prompts: &["11,12", "11,13"],
            sound_from: Duration::ZERO,
            sound_interval: Duration::from_millis(50),
            length: Duration::from_secs(20),
        }
    }
}

/// What has come of a scene.
#[derive(Debug)]
struct Outcome {
    crashes: usize,
    /// Sends of crashing requests later than the propagation time after the fifth crash.
    late_sends: usize,
    /// Number of sound requests, and of those that were served, from twice the propagation time on.
    sound: (usize, usize),
}

impl Outcome {
    fn check(&self) {
        assert!(self.crashes > 0, "no runner has crashed");
        assert!(self.late_sends <= MAX_SENDS, "{self:?}");
        let (sent, served) = self.sound;
        assert!(sent >= 10, "{self:?}");
        let share = support::ratio(served, sent);
        assert!(share >= SOUND_SHARE, "{share}: {self:?}");
    }
}

impl Scene {
    async fn play(self) -> Outcome {
        // Daemons must have started before the first request.
        let start = Instant::now() + ELECTION_TIME + COORDINATION_TIME + Duration::from_secs(2);
        let crashes = Arc::new(Crashes {
            parts: self.crashing_parts,
            from: start + self.sound_for,
            events: self.events,
            down_time: self.down_time,
        });
        let ledger = Arc::<Mutex<Ledger>>::default();
        let starting =
            (0..self.runners).map(|_| RestartingRunner::start(crashes.clone(), ledger.clone()));
        let runners = join_all(starting).await;
        let daemons = start_daemons(&runners).await;
        sleep(start.saturating_duration_since(Instant::now())).await;
        let end = start + self.sound_for + self.length;
        let sound = async {
            sleep(self.sound_from).await;
            send(&daemons, self.sound_prompts, self.sound_interval, end).await
        };
        let crashing = send(&daemons, self.crashing_prompts, CRASHING_INTERVAL, end);
        let (_, sound) = tokio::join!(crashing, sound);
        outcome(&ledger.lock().unwrap(), &sound, start + self.sound_for)
    }
}

fn outcome(ledger: &Ledger, sound: &Served, crashing_from: Instant) -> Outcome {
    let mut crashes = ledger.crashes.clone();
    crashes.sort();
    let last_counted = crashes.iter().take(KNOWN_AFTER).next_back();
    let known_from = last_counted.copied().unwrap_or(crashing_from) + PROPAGATION_TIME;
    let late = ledger.arrivals.iter().filter(|at| **at > known_from);
    let late_sends = if crashes.len() < KNOWN_AFTER {
        0
    } else {
        late.count()
    };
    Outcome {
        crashes: crashes.len(),
        late_sends,
        sound: sound.since(known_from + PROPAGATION_TIME),
    }
}

async fn start_daemons(runners: &[RestartingRunner]) -> Vec<TestIngress> {
    let store = MemoryStore::default();
    store.set_runners(support::runners(runners.iter().map(|it| it.address)));
    store.set_configuration(configuration(1, Vec::new()));
    let start = |name: String| {
        let settings = settings(&name);
        TestIngress::start_with(settings, store.share(), Arc::new(SilentControl))
    };
    let coordinator = start("d0".to_owned()).await;
    coordinator.until_ready().await;
    sleep(ELECTION_TIME).await;
    let members = join_all((1..DAEMONS).map(|index| start(format!("d{index}")))).await;
    join_all(members.iter().map(TestIngress::until_ready)).await;
    sleep(COORDINATION_TIME).await;
    std::iter::once(coordinator).chain(members).collect()
}

/// Sends requests, no two alike, to all daemons in turns, streams and whole answers in turns.
async fn send(
    daemons: &[TestIngress],
    prompts: &[&str],
    interval: Duration,
    end: Instant,
) -> Served {
    let mut requests = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        let daemon = &daemons[number % daemons.len()];
        let path = if (number / daemons.len()).is_multiple_of(2) {
            "/stream/x"
        } else {
            "/safe/x"
        };
        let prompt = prompts[number % prompts.len()];
        let own = format!("{}{number}", prompt.len());
        let request = daemon.request(path, &format!("{prompt}-{number}"));
        let request = request.header("x-parts", format!("{prompt},{own}"));
        let request = request.body(format!("{prompt} {number}"));
        requests.spawn(async move { (Instant::now(), is_served(request).await) });
        number += 1;
        sleep(interval).await;
    }
    let mut served = Served::default();
    while let Some(answer) = requests.join_next().await {
        let (sent_at, is_served) = answer.unwrap();
        served.record(sent_at, is_served);
    }
    served
}

async fn is_served(request: reqwest::RequestBuilder) -> bool {
    let Ok(response) = request.send().await else {
        return false;
    };
    response.status() == 200 && response.bytes().await.is_ok()
}

/// Guards against a part that has begun to crash runners and counts as harmless by answers from before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_used_to_be_sound_is_not_sent_any_more() {
    let scene = Scene {
        sound_for: Duration::from_secs(6),
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against a part that counts as harmless since runners write an event before they crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_crashes_runners_after_an_event_is_not_sent_any_more() {
    let scene = Scene {
        events: 1,
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against crashes that are not counted since each runner that starts again keeps its identity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_crashes_two_runners_again_and_again_is_not_sent_any_more() {
    let scene = Scene {
        runners: 2,
        down_time: Duration::from_secs(2),
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against withholding a first part together with the crashing one, where sound requests with it are rare.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rare_sound_requests_with_the_first_part_of_crashing_ones_are_served() {
    let scene = Scene {
        sound_from: Duration::from_secs(1),
        sound_interval: Duration::from_secs(1),
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against taking the first part that two crashing parts share for the cause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_are_served_while_two_parts_crash_runners() {
    let scene = Scene {
        crashing_prompts: &["11,77", "11,78"],
        crashing_parts: &["77", "78"],
        sound_from: Duration::from_secs(1),
        sound_interval: Duration::from_secs(1),
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against counting pairs of parts alone: in prompts of three shared parts, the first two are a pair as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rare_sound_requests_that_share_two_parts_with_crashing_ones_are_served() {
    let scene = Scene {
        crashing_prompts: &["11,12,77"],
        sound_prompts: &["11,12,13", "11,12,14"],
        sound_from: Duration::from_secs(1),
        sound_interval: Duration::from_secs(1),
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against a crashing first part that is never held responsible since what follows it differs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_part_that_crashes_runners_whatever_follows_is_not_sent_any_more() {
    let scene = Scene {
        crashing_prompts: &["77,21", "77,22", "77,23", "77,24", "77,25"],
        ..Scene::default()
    };
    scene.play().await.check();
}

/// Guards against conditions that each hide the crashing part, all at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_is_found_where_everything_hides_it() {
    let scene = Scene {
        runners: 3,
        sound_for: Duration::from_secs(6),
        events: 1,
        down_time: Duration::from_secs(2),
        sound_interval: Duration::from_millis(500),
        ..Scene::default()
    };
    scene.play().await.check();
}
