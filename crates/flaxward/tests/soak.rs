//! The fault soak, short: the real program as processes, between stand-ins of the platform.

use std::path::{Path, PathBuf};
use std::time::Duration;

use flaxward_soak::{FaultKind, Plan, Report, soak};

/// Daemons of a soak.
const DAEMONS: usize = 3;

/// Seeds with four daemons before a store that comes back from copies, and nothing else, that once failed.
///
/// - 2000: two daemons held the lease under one term.
/// - 2004: a daemon did not learn what was loaded: what it had said that it knew, by its list, was gone with its next list.
const FAILED_SEEDS_OF_COPIES: &[u64] = &[2000, 2004];

/// Seeds of longer soaks that once failed. What fails with a fresh seed is added here and stays.
///
/// - 1102: a daemon did not learn what was loaded after a term had run out and gone on.
const FAILED_SEEDS: &[u64] = &[1102];

/// Kinds of faults beside the standard ones under which the promises hold.
const FURTHER_KINDS: &[FaultKind] = &[
    FaultKind::CutRegion,
    FaultKind::TenantQuota,
    FaultKind::ColdRunner,
    FaultKind::RebornRunner,
    FaultKind::ForeignEntries,
    FaultKind::HomeRoutes,
];

/// What runners say of themselves in their answers. The code before those words were read broke promises with each of these
/// kinds.
const NOTICE_KINDS: &[FaultKind] = &[
    FaultKind::LimitedRunner,
    FaultKind::RestingRunner,
    FaultKind::LateDrain,
    FaultKind::BrittleService,
];

async fn run(name: &str, seed: u64, seconds: u64, faults: Vec<(FaultKind, u32)>) -> Report {
    run_daemons(DAEMONS, name, seed, seconds, faults).await
}

async fn run_daemons(
    daemons: usize,
    name: &str,
    seed: u64,
    seconds: u64,
    faults: Vec<(FaultKind, u32)>,
) -> Report {
    let folder = empty_folder(name);
    let plan = Plan {
        seed,
        duration: Duration::from_secs(seconds),
        daemons,
        faults,
        binaries: vec![program()],
        folder,
    };
    soak(&plan).await.unwrap()
}

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_flaxward"))
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn in_calm_every_request_is_served() {
    let report = run("calm", 1, 4, Vec::new()).await;
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.requests > 100, "{report:?}");
    assert!(report.served * 10 > report.requests * 9, "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults() {
    let report = run("faults", 7, 10, FaultKind::with(&[])).await;
    assert!(!report.faults.is_empty());
    assert_eq!(report.violations, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_runners_say_what_they_take() {
    let report = run("notices", 9_103, 15, FaultKind::alone(NOTICE_KINDS)).await;
    assert!(!report.faults.is_empty());
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Guards against one part of prompts that crashes runner after runner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_a_part_of_prompts_crashes_runners() {
    let faults = FaultKind::alone(&[FaultKind::CrashingPart]);
    let report = run("parts", 9_201, 15, faults).await;
    assert!(!report.faults.is_empty());
    assert_eq!(report.violations, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_further_faults() {
    let report = run("further", 8, 10, FaultKind::with(FURTHER_KINDS)).await;
    let has_struck = |kind: &FaultKind| {
        let name = format!("{kind:?}");
        report.faults.iter().any(|fault| fault.starts_with(&name))
    };
    assert!(FURTHER_KINDS.iter().any(has_struck), "{report:?}");
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Guards against a runner that falls over because it turns cold while it serves: what daemons send until they hear of it is
/// bounded by nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_turns_cold_while_it_serves_gets_no_more_than_it_bears() {
    let faults = FaultKind::with(FURTHER_KINDS);
    let report = run_daemons(4, "cold-3121", 3_121, 30, faults).await;
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Each daemon starts from one path, then from another one, and so on, as in a rolling upgrade and its way back. With two builds
/// of the program this is run by hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_two_builds_take_turns() {
    let folder = empty_folder("turns");
    let other = folder.join("other-build");
    std::os::unix::fs::symlink(program(), &other).unwrap();
    let plan = Plan {
        seed: 9,
        duration: Duration::from_secs(12),
        daemons: DAEMONS,
        faults: FaultKind::with(&[FaultKind::RestoreStore]),
        binaries: vec![program(), other],
        folder,
    };
    let report = soak(&plan).await.unwrap();
    assert!(!report.faults.is_empty());
    assert_eq!(report.violations, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seeds_that_once_failed_keep_the_promises() {
    for &seed in FAILED_SEEDS {
        let report = run(&format!("seed-{seed}"), seed, 30, FaultKind::with(&[])).await;
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_the_store_comes_back_from_copies() {
    for &seed in FAILED_SEEDS_OF_COPIES {
        let faults = FaultKind::alone(&[FaultKind::RestoreStore]);
        let report = run_daemons(4, &format!("copies-{seed}"), seed, 30, faults).await;
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
    }
}
