//! The retry budget of a daemon that has just started, and of one that hears a coordinator.

use std::time::{Duration, Instant};

use flaxward_routing::budget::RetryBudgetSettings;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::support::{TestIngress, settings};

/// Starts a daemon with an allowance alone, and two runners that break the connection of each request.
async fn start(allowance: f64) -> (TestIngress, [ScriptedRunner; 2]) {
    let mut settings = settings("d");
    settings.retry_budget = RetryBudgetSettings {
        ratio: 0.0,
        allowance,
        window: Duration::from_secs(10),
    };
    let resets = || ScriptedRunner::start(vec![Behaviour::Reset; 100]);
    let runners = [resets().await, resets().await];
    let test = TestIngress::start_with_settings(settings, &[&runners[0], &runners[1]]).await;
    (test, runners)
}

fn attempts(runners: &[ScriptedRunner]) -> usize {
    runners.iter().map(|it| it.received().len()).sum()
}

/// Guards against daemons that each spend their part of the allowance again after a restart.
#[tokio::test]
async fn a_daemon_that_has_just_started_has_nothing_of_the_allowance() {
    let (test, runners) = start(20.0).await;
    let response = test.request("/safe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(attempts(&runners), 1);
}

/// Guards against a budget that is never told how many daemons share it, and so forbids all retries.
#[tokio::test]
async fn a_daemon_that_hears_a_coordinator_gets_its_part_of_the_allowance() {
    let (test, runners) = start(200.0).await;
    let started_at = Instant::now();
    let mut requests = 0;
    while attempts(&runners) == requests {
        assert!(started_at.elapsed() < Duration::from_secs(10), "no retry");
        sleep(Duration::from_millis(200)).await;
        requests += 1;
        let id = format!("id-{requests}");
        test.request("/safe/", &id).send().await.unwrap();
    }
}
