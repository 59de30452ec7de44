//! Loads: from main memory, from disk or from the weight store.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Url;

use super::holdings::LoadJob;
use super::record::LoadSource;
use super::state::Shared;
use crate::fault::{lock, pause_ms};
use crate::http::CLIENT_HEADER;

/// What a fault does to a load.
enum LoadFault {
    None,
    Fail,
    Stick,
}

/// Carries out a load and notes its end.
pub(crate) async fn carry_out(shared: Arc<Shared>, job: LoadJob) {
    let fault = draw_fault(&shared, &job);
    pause_ms(shared.config.timing.load_ms).await;
    let succeeded = match fault {
        LoadFault::Stick => std::future::pending().await,
        LoadFault::Fail => false,
        LoadFault::None => load(&shared, &job).await,
    };
    shared.end_load(job.number, succeeded);
}

fn draw_fault(shared: &Shared, job: &LoadJob) -> LoadFault {
    let mut state = lock(&shared.state);
    let faults = &mut state.faults;
    if faults.stick_artifacts.contains(&job.artifact) || faults.stick_loads.strike(&shared.dice) {
        return LoadFault::Stick;
    }
    if faults.fail_artifacts.contains(&job.artifact) || faults.fail_loads.strike(&shared.dice) {
        return LoadFault::Fail;
    }
    LoadFault::None
}

async fn load(shared: &Shared, job: &LoadJob) -> bool {
    let timing = &shared.config.timing;
    match job.source {
        LoadSource::Start => true,
        LoadSource::Memory => pass_time(job.bytes, timing.memory_bytes_per_second).await,
        LoadSource::Disk => pass_time(job.bytes, timing.disk_bytes_per_second).await,
        LoadSource::WeightStore => fetch(shared, job).await,
    }
}

async fn pass_time(bytes: u64, bytes_per_second: u64) -> bool {
    if bytes_per_second > 0 {
        let micros = u128::from(bytes) * 1_000_000 / u128::from(bytes_per_second);
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        tokio::time::sleep(Duration::from_micros(micros)).await;
    }
    true
}

/// Fetches a checkpoint from the weight store; true if it came.
async fn fetch(shared: &Shared, job: &LoadJob) -> bool {
    let Some(store) = &shared.config.weight_store else {
        return true;
    };
    let Some(url) = weights_url(store, job) else {
        return false;
    };
    let client = format!("{}/{}", shared.config.zone, shared.config.name);
    let request = shared.http.get(url).header(CLIENT_HEADER, client);
    let Ok(response) = request.send().await else {
        return false;
    };
    response.status().is_success() && response.bytes().await.is_ok()
}

fn weights_url(store: &str, job: &LoadJob) -> Option<Url> {
    let mut url = Url::parse(store).ok()?;
    url.path_segments_mut()
        .ok()?
        .pop_if_empty()
        .push("weights")
        .push(&job.checkpoint);
    url.query_pairs_mut()
        .append_pair("bytes", &job.bytes.to_string());
    Some(url)
}
